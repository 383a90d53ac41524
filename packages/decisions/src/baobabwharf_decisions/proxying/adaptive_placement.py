"""Place prompts where their first event is expected soonest.

All VMs of a region see loads that are some hundred ms old.  If each chose the
engine that looks best, all would choose the same one until its load is known,
so a VM compares only a few engines that it draws at random, and the engine that
holds the session's prompt parts.

Prefill delays the tokens of all streams on an engine, and long prompts delay
them most.  Long prompts, and requests that are late anyway, therefore keep to a
part of the engines that corresponds to their share of the work, and use others
only while those are nearly idle.

Load pattern: a peak in which dozens of VMs place several requests each within
the age of their figures, most of them short, some long.
"""

import random
from collections.abc import Sequence
from typing import final

import msgspec

from baobabwharf_decisions.proxying import long_prompts
from baobabwharf_decisions.proxying.endpoint_load import Candidate
from baobabwharf_decisions.proxying.expected_time import (
    LATE_RANK,
    EngineRequest,
    Expectation,
    ExpectedTime,
)
from baobabwharf_decisions.proxying.prompt_placement import home_engine

# More than a region has: with exact loads all engines are compared.
COMPARE_ALL = 10_000
# Random engines that are compared: two avoid most of the load of a random
# choice, and more would send the VMs to the same engine.
_DRAWN = 2
# An engine that spends more of its time in prefill generates the tokens of long
# answers too slowly for their deadline.
_MAX_PREFILL_SHARE = 0.85
# An engine that spends less of its time in prefill also takes long prompts
# that are not meant for it.
_NEARLY_IDLE_SHARE = 0.25


class Placement(msgspec.Struct, frozen=True):
    """Hold the chosen engine and what is expected there."""

    candidate: Candidate
    expectation: Expectation
    prefill_share: float


@final
class AdaptivePlacement:
    """Choose an engine of one region by the expected time."""

    def __init__(self, rng: random.Random, drawn: int = _DRAWN) -> None:
        """Compare a number of random engines, or all for exact loads."""
        self._rng = rng
        self._drawn = drawn

    def choose(
        self,
        candidates: Sequence[Candidate],
        request: EngineRequest,
        long_share: float,
    ) -> Placement | None:
        """Return the engine for a request, None if none is in time.

        long_share is the part of the engines that long prompts keep to.
        """
        estimates = [
            _estimate(one, request)
            for one in candidates
            if one.load.total_running < one.slots
        ]
        in_time = [
            one
            for one in estimates
            if one.expectation.first_event_ms <= request.bound_ms
            and one.expectation.end_ms <= request.deadline_left_ms
        ]
        if request.rank >= LATE_RANK or _is_long(in_time):
            in_time = _restrict(in_time, candidates, long_share)
        if not in_time:
            return _idle(estimates, request)
        drawn = self._rng.sample(in_time, min(self._drawn, len(in_time)))
        home = home_engine([one.candidate for one in in_time], request.prompt)
        drawn += [one for one in in_time if one.candidate is home]
        return min(drawn, key=_cost_ms)

    def shortest_wait_ms(
        self, candidates: Sequence[Candidate], request: EngineRequest
    ) -> float:
        """Return the shortest time to a first event, without the prompt."""
        waits = []
        for candidate in candidates:
            expectation = _estimate(candidate, request).expectation
            waits.append(expectation.first_event_ms - expectation.work_ms)
        return min(waits, default=0.0)


def _is_long(estimates: Sequence[Placement]) -> bool:
    """Return whether a prompt is long even where most of it is cached."""
    return bool(estimates) and all(one.expectation.is_long for one in estimates)


def _restrict(
    in_time: Sequence[Placement],
    candidates: Sequence[Candidate],
    long_share: float,
) -> list[Placement]:
    """Return the engines for long prompts, else nearly idle ones."""
    meant, _others = long_prompts.split_engines(candidates, long_share)
    names = {one.endpoint_id for one in meant}
    return [one for one in in_time if one.candidate.endpoint_id in names] or [
        one for one in in_time if one.prefill_share < _NEARLY_IDLE_SHARE
    ]


def _idle(
    estimates: Sequence[Placement], request: EngineRequest
) -> Placement | None:
    """Return an engine without pending prompts, for the earliest first event.

    A request whose prompt alone takes longer than its target is served there.
    """
    idle = [
        one
        for one in estimates
        if one.candidate.load.total_pending_tokens <= 0
        and one.prefill_share < _NEARLY_IDLE_SHARE
        and one.expectation.first_event_ms <= request.deadline_left_ms
    ]
    return min(idle, key=_cost_ms, default=None)


def _estimate(candidate: Candidate, request: EngineRequest) -> Placement:
    speed = candidate.load.speed(request.now_ms)
    estimator = ExpectedTime(candidate.load, speed)
    return Placement(
        candidate,
        estimator.of(request),
        estimator.prefill_share(request.now_ms),
    )


def _cost_ms(placement: Placement) -> float:
    # A prompt that is read again delays all later requests as well.
    expectation = placement.expectation
    return expectation.first_event_ms + expectation.work_ms
