"""Implement a simpler limit scheme as a baseline for benchmarks."""

from typing import final

from baobabwharf_core.fleet_config import Customer

from baobabwharf_decisions.limits.bucket import HolderBucket
from baobabwharf_decisions.limits.units import (
    MICRO,
    MICRO_PER_MS,
    REFILL_PERCENT,
)


@final
class FixedBucket:
    """Hold one of several equal, fixed parts of a customer's bucket.

    With one part per VM this is a static equal split; with a single part it is
    the bucket of a central ledger.
    """

    def __init__(self, customer: Customer, parts: int, now_ms: int) -> None:
        rate = customer.rate_tokens_per_s * MICRO_PER_MS
        self._bucket = HolderBucket(
            rate * REFILL_PERCENT // 100 // parts,
            customer.burst_tokens * MICRO // parts,
            now_ms,
        )
        self._last_id = 0

    def reserve(self, tokens: int, now_ms: int) -> int | None:
        """Return a reservation id, or None if the level is too low."""
        self._bucket.refill(now_ms)
        if self._bucket.level < tokens * MICRO:
            return None
        self._last_id += 1
        self._bucket.spend(self._last_id, tokens * MICRO)
        return self._last_id

    def settle(
        self, reservation_id: int, unused_tokens: int, now_ms: int
    ) -> None:
        """Refund the unused tokens of a reservation."""
        self._bucket.refill(now_ms)
        self._bucket.refund(reservation_id, unused_tokens * MICRO)
