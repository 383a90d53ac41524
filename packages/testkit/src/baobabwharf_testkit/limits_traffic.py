"""Send one customer's requests and count the refusals."""

import functools
import random
from collections.abc import Callable
from typing import final

import msgspec
from baobabwharf_core.fleet_config import Customer
from baobabwharf_decisions.limits.bucket import HolderBucket

from baobabwharf_testkit.limits_audit import Audit, SpendEvent
from baobabwharf_testkit.limits_node import Node
from baobabwharf_testkit.limits_simulation import Simulation

_MEAN_USED_TOKENS = 350
_MIN_RESERVED_TOKENS, _MAX_RESERVED_TOKENS = 200, 800
# Requests use 40% to 100% of their reservation, 70% on average.
_MIN_USED_SHARE = 0.4
_WAIT_MS = 250
_MICROS_PER_UNIT = 1_000_000


class PlannedRequest(msgspec.Struct, frozen=True):
    """Describe one planned request."""

    at_us: int
    reserved: int
    used: int
    hold_us: int


class TrafficCounts(msgspec.Struct):
    """Count requests and how long the granted ones waited."""

    sent: int = 0
    refused: int = 0
    waits_ms: list[int] = []


def plan_traffic(
    customer: Customer, load: float, span_us: tuple[int, int], seed: int
) -> list[PlannedRequest]:
    """Draw random requests at a load relative to the customer's rate."""
    rng = random.Random(seed)
    requests_per_us = (
        load * customer.rate_tokens_per_s / _MEAN_USED_TOKENS / _MICROS_PER_UNIT
    )
    plan = []
    at_us = float(span_us[0])
    while at_us < span_us[1]:
        at_us += rng.expovariate(requests_per_us)
        reserved = rng.randint(_MIN_RESERVED_TOKENS, _MAX_RESERVED_TOKENS)
        used = round(reserved * rng.uniform(_MIN_USED_SHARE, 1))
        hold_us = rng.randrange(100_000, 3_000_000)
        plan.append(PlannedRequest(int(at_us), reserved, used, hold_us))
    return plan


def keep_conforming(
    customer: Customer, plan: list[PlannedRequest]
) -> list[PlannedRequest]:
    """Drop what one ideal bucket for the whole fleet refuses.

    Any refusal of the remaining requests is wrongful.
    """
    start_ms = plan[0].at_us // 1000 - 10**7
    ideal_bucket = HolderBucket(
        customer.rate_tokens_per_s * 1000,
        customer.burst_tokens * _MICROS_PER_UNIT,
        start_ms,
    )
    events: list[tuple[int, int, PlannedRequest]] = []
    for index, planned in enumerate(plan):
        events.append((planned.at_us, index + 1, planned))
        events.append((planned.at_us + planned.hold_us, -index - 1, planned))
    granted = []
    # A positive mark reserves and the same negative one settles.
    for at_us, reservation_mark, planned in sorted(
        events, key=lambda event: event[:2]
    ):
        ideal_bucket.refill(at_us // 1000)
        if reservation_mark < 0:
            ideal_bucket.refund(
                -reservation_mark,
                (planned.reserved - planned.used) * _MICROS_PER_UNIT,
            )
        elif ideal_bucket.level >= planned.reserved * _MICROS_PER_UNIT:
            ideal_bucket.spend(
                reservation_mark, planned.reserved * _MICROS_PER_UNIT
            )
            granted.append(planned)
    return granted


@final
class Traffic:
    """Send planned requests to the entry VM in use at the time."""

    def __init__(
        self,
        simulation: Simulation,
        audit: Audit,
        choose: Callable[[int], Node],
    ) -> None:
        self._simulation = simulation
        self._audit = audit
        self._choose = choose
        self.counts = TrafficCounts()

    def schedule(self, plan: list[PlannedRequest]) -> None:
        """Send all requests at their times."""
        for planned in plan:
            self._simulation.call_at(
                planned.at_us, functools.partial(self._send, planned)
            )

    def _send(self, planned: PlannedRequest) -> None:
        node = self._choose(planned.at_us)
        self.counts.sent += 1

        def on_reserved(settle: Callable[[int], None] | None) -> None:
            if settle is None:
                self.counts.refused += 1
                return
            self._grant(planned, settle)

        node.run(lambda: node.request(planned.reserved, _WAIT_MS, on_reserved))

    def _grant(
        self, planned: PlannedRequest, settle: Callable[[int], None]
    ) -> None:
        now_us = self._simulation.now_us
        # Used tokens count from the time of their grant.
        self._audit.spent.append(SpendEvent(now_us, planned.used))
        self.counts.waits_ms.append((now_us - planned.at_us) // 1000)
        self._simulation.call_later(
            planned.hold_us, lambda: settle(planned.used)
        )
