"""Limit customers by an equal static share on each VM."""

import asyncio
from typing import final

from baobabwharf_core.clock import Clock
from baobabwharf_core.ids import CustomerId
from baobabwharf_core.model import Customer
from baobabwharf_core.refusals import Refusal, RefusalCode
from baobabwharf_core.requests import Reservation
from expression import Error, Ok, Result

from baobabwharf_daemon.interfaces import ConfigSource, LimitClient

_MS_PER_S = 1000


class _Bucket:
    """Hold the balance of one customer; it starts empty after a restart."""

    def __init__(self, now_ms: int) -> None:
        self.level = 0.0
        self.filled_ms = now_ms

    def refill(self, customer: Customer, vms: int, now_ms: int) -> None:
        gained = customer.rate_tokens_per_s * (now_ms - self.filled_ms)
        full = customer.burst_tokens / vms
        self.level = min(full, self.level + gained / vms / _MS_PER_S)
        self.filled_ms = now_ms


@final
class StaticLimits(LimitClient):
    """Give each VM of the configuration the same share of every bucket."""

    def __init__(self, clock: Clock, config: ConfigSource) -> None:
        self._clock = clock
        self._config = config
        self._buckets: dict[CustomerId, _Bucket] = {}
        self._last_id = 0

    async def reserve(
        self, customer_id: CustomerId, tokens: int, wait_ms: int
    ) -> Result[Reservation, Refusal]:
        """Take tokens, waiting for the refill up to wait_ms."""
        customer = self._config.config.customers.get(customer_id)
        if customer is None:
            return Error(Refusal(RefusalCode.KEY_UNKNOWN))
        vms = max(1, len(self._config.config.vms))
        if tokens * vms > customer.burst_tokens:
            return Error(Refusal(RefusalCode.REQUEST_ABOVE_BURST))
        due_ms = self._due_ms(customer, tokens, vms)
        if due_ms > wait_ms:
            return Error(
                Refusal(RefusalCode.RATE_EXCEEDED, retry_after_ms=due_ms)
            )
        self._buckets[customer_id].level -= tokens
        await asyncio.sleep(due_ms / _MS_PER_S)
        self._last_id += 1
        return Ok(Reservation(self._last_id, customer_id, tokens))

    def settle(self, reservation: Reservation, used_tokens: int) -> None:
        """Return the unused part of a reservation."""
        bucket = self._buckets.get(reservation.customer_id)
        if bucket is not None:
            bucket.level += max(0, reservation.tokens - used_tokens)

    def _due_ms(self, customer: Customer, tokens: int, vms: int) -> int:
        now_ms = self._clock.now_ms()
        bucket = self._buckets.setdefault(customer.customer_id, _Bucket(now_ms))
        bucket.refill(customer, vms, now_ms)
        missing = max(0.0, tokens - bucket.level)
        return int(missing * vms * _MS_PER_S / customer.rate_tokens_per_s)
