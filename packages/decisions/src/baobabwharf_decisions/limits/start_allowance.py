"""Let a VM that has just started serve customers within their rate.

Load pattern: all VMs are killed and come back under full load.  A restarted
holder lends nothing for one chunk lifetime, since chunks of its earlier life
may still be spent.  Its share of the rate over that time is never handed out,
so the VM may spend just that much at once: over any window of a chunk
lifetime or more, the customer's rate and burst are kept.
"""

from typing import final

from baobabwharf_core.ids import CustomerId
from baobabwharf_core.model import Customer

from baobabwharf_decisions.limits.units import CHUNK_LIFETIME_MS

_MS_PER_S = 1000


@final
class StartAllowance:
    """Hold what is left of the allowance of each customer."""

    def __init__(self, started_ms: int) -> None:
        self._until_ms = started_ms + CHUNK_LIFETIME_MS
        self._spent: dict[CustomerId, int] = {}

    def take(
        self, customer: Customer, tokens: int, vms: int, now_ms: int
    ) -> bool:
        """Spend tokens if the VM has just started and its share has them."""
        if now_ms >= self._until_ms or vms <= 0:
            return False
        rate = customer.rate_tokens_per_s
        share = rate * CHUNK_LIFETIME_MS // _MS_PER_S // vms
        spent = self._spent.get(customer.customer_id, 0)
        if spent + tokens > share:
            return False
        self._spent[customer.customer_id] = spent + tokens
        return True
