"""Send verified calls during a soak run and record their outcomes."""

import asyncio
import time
from collections import Counter

import msgspec

from baobabwharf_testkit.calls import (
    Call,
    CallKind,
    CheckResult,
    Outcome,
    Response,
    check_response,
)
from baobabwharf_testkit.expected_responses import body_digest
from baobabwharf_testkit.fleet import Fleet
from baobabwharf_testkit.fleet_plan import Deployment
from baobabwharf_testkit.load import Caller, EntryVms, Statistics
from baobabwharf_testkit.workload import CallGenerator, CustomerPlan

_WORKERS_PER_CUSTOMER = 2
_PAUSE_S = 0.05
_FLOOD_WORKERS = 6
_NS_PER_S = 1_000_000_000


class BookingOutcomes:
    """Record the outcomes reported to callers for each booking."""

    def __init__(self) -> None:
        self._reported: dict[str, set[Outcome]] = {}

    def record(self, call: Call, outcome: Outcome) -> None:
        """Record the outcome of one response to a booking."""
        if call.kind is CallKind.BOOKING:
            reported = self._reported.setdefault(body_digest(call.body), set())
            reported.add(outcome)

    def violations(self, runs: Counter[str]) -> list[str]:
        """Compare the reported outcomes with the runs."""
        found = []
        for digest, reported in self._reported.items():
            count = runs[digest]
            name = digest[:12]
            if count > 1:
                found.append(f'Booking {name} ran {count} times.')
            if Outcome.COMPLETE in reported and count == 0:
                found.append(f'Booking {name} was confirmed but never ran.')
            if reported <= {Outcome.REFUSED, Outcome.UNSENT} and count:
                found.append(f'Booking {name} ran but was refused as not run.')
        return found


class RateLimitCheck:
    """Compare the tokens that a customer got with its rate and burst."""

    def __init__(self, plan: CustomerPlan) -> None:
        self._plan = plan
        self._started_ns = time.monotonic_ns()
        self._tokens = 0
        self._peak_ratio = 0.0

    @property
    def peak_ratio(self) -> float:
        """Return the highest ratio of tokens received to tokens allowed."""
        return self._peak_ratio

    @property
    def tokens(self) -> int:
        """Return the tokens of complete responses."""
        return self._tokens

    def add(self, response: Response) -> None:
        """Count the usage of a complete response."""
        usage = msgspec.json.decode(response.content)['usage']
        self._tokens += usage['total_tokens']
        elapsed_s = (time.monotonic_ns() - self._started_ns) / _NS_PER_S
        burst = self._plan.burst_tokens
        allowed = burst + self._plan.rate_tokens_per_s * elapsed_s
        self._peak_ratio = max(self._peak_ratio, self._tokens / allowed)


class SoakClients:
    """Run the callers of all customers."""

    def __init__(self, fleet: Fleet, deployment: Deployment, seed: int) -> None:
        self._fleet = fleet
        self._deployment = deployment
        self._seed = seed
        self._statistics = Statistics()
        self._booking_outcomes = BookingOutcomes()
        self._stopping = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def statistics(self) -> Statistics:
        """Return the counts of all calls."""
        return self._statistics

    @property
    def booking_outcomes(self) -> BookingOutcomes:
        """Return the outcomes reported for bookings."""
        return self._booking_outcomes

    def start(self, plan: CustomerPlan, key: str) -> None:
        """Start sending the mixed calls of a customer."""
        generator = CallGenerator(
            self._deployment, plan.customer_id, self._seed
        )
        work = self._work(plan, key, generator)
        self._tasks.append(asyncio.create_task(work))

    def start_flood(self, plan: CustomerPlan, key: str) -> RateLimitCheck:
        """Start sending quick questions far above the rate of a customer."""
        rate_check = RateLimitCheck(plan)
        work = self._flood(plan, key, rate_check)
        self._tasks.append(asyncio.create_task(work))
        return rate_check

    async def stop(self) -> None:
        """Stop sending and wait for the running calls."""
        self._stopping.set()
        await asyncio.gather(*self._tasks)

    def _caller(self, plan: CustomerPlan, key: str) -> Caller:
        entries = EntryVms(
            self._fleet.urls(plan.region), plan.region, self._seed
        )
        return Caller(key, entries, self._fleet.files.context, self._seed)

    async def _work(
        self, plan: CustomerPlan, key: str, generator: CallGenerator
    ) -> None:
        caller = self._caller(plan, key)

        async def repeat() -> None:
            while not self._stopping.is_set():
                call = generator.next_call()
                result, response = await caller.send_with_retries(
                    call, on_response=self._booking_outcomes.record
                )
                self._statistics.record(call, result, response)
                await asyncio.sleep(_PAUSE_S)

        await asyncio.gather(*(repeat() for _ in range(_WORKERS_PER_CUSTOMER)))
        await caller.close()

    async def _flood(
        self, plan: CustomerPlan, key: str, rate_check: RateLimitCheck
    ) -> None:
        caller = self._caller(plan, key)
        generator = CallGenerator(
            self._deployment, plan.customer_id, self._seed
        )

        async def repeat() -> None:
            while not self._stopping.is_set():
                call = generator.next_call_of_kind(CallKind.QUICK)
                response = await caller.send(call)
                result = check_response(call, response)
                if result.outcome is Outcome.COMPLETE:
                    rate_check.add(response)
                self._record_if_wrong(call, result, response)
                await asyncio.sleep(_PAUSE_S)

        await asyncio.gather(*(repeat() for _ in range(_FLOOD_WORKERS)))
        await caller.close()

    def _record_if_wrong(
        self, call: Call, result: CheckResult, response: Response
    ) -> None:
        if result.outcome is Outcome.WRONG:
            self._statistics.record(call, result, response)
