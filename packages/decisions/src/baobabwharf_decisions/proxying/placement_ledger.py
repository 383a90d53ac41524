"""Place the prompts of all VMs of a region in one ledger.

Dozens of VMs that place prompts by loads of some hundred ms ago fill the engine
that looked free with more prompts than it prefills in a second, while others
run empty.  One VM of the region therefore grants engines to the others' requests
and knows each grant at once.

Load pattern: a region at its capacity, in which the engine with the least
backlog changes from request to request.
"""

from collections.abc import Container, Sequence
from typing import final

import msgspec
from baobabwharf_core.ids import ServiceId, VmId

from baobabwharf_decisions.proxying.adaptive_placement import (
    AdaptivePlacement,
    Placement,
)
from baobabwharf_decisions.proxying.awaited_events import (
    AwaitedEvent,
    AwaitedEvents,
)
from baobabwharf_decisions.proxying.endpoint_load import (
    Candidate,
    EndpointLoad,
)
from baobabwharf_decisions.proxying.engine_memory import EngineMemory, Holding
from baobabwharf_decisions.proxying.engine_profile import (
    EngineWork,
    ServiceSpeed,
)
from baobabwharf_decisions.proxying.expected_time import (
    LATE_RANK,
    EngineRequest,
)
from baobabwharf_decisions.proxying.placement_messages import (
    PlacementAsk,
    PlacementGrant,
    PlacementProgress,
)
from baobabwharf_decisions.proxying.work_mix import WorkMix

# A grant whose VM reports nothing is dropped this long after the deadline of
# its request: the VM has ended, or its last report was lost.
_EXPIRY_MARGIN_MS = 1000
# Expired grants are looked for at this interval.
_SWEEP_MS = 250


class _Grant(msgspec.Struct):
    load: EndpointLoad
    uncached: int
    rank: int
    expires_ms: int
    holding: Holding
    work: EngineWork | None
    # How many times as long as usual work took when the engine was granted.
    present_factor: float
    # None for late requests, which others overtake at any time.
    event: AwaitedEvent | None = None
    prefilled: bool = False


@final
class PlacementLedger:
    """Hold the granted requests of a region and grant engines."""

    def __init__(self, placement: AdaptivePlacement) -> None:
        self._placement = placement
        self._work_mix = WorkMix()
        self._grants: dict[tuple[VmId, int], _Grant] = {}
        self._memory = EngineMemory()
        self._speeds: dict[ServiceId, ServiceSpeed] = {}
        self._events = AwaitedEvents()
        self._swept_ms = 0

    @property
    def open_grants(self) -> int:
        """Return the number of granted requests that have not ended."""
        return len(self._grants)

    def grant(
        self,
        vm_id: VmId,
        ask: PlacementAsk,
        candidates: Sequence[Candidate],
        tokens_per_event: int,
        now_ms: int,
    ) -> PlacementGrant:
        """Choose an engine for a request and count it there."""
        self._sweep(now_ms)
        request = EngineRequest(
            ask.prompt,
            ask.urgency,
            ask.bound_ms,
            ask.deadline_left_ms,
            now_ms,
            tokens_per_event,
            ask.output_tokens,
        )
        self._apply_speeds(ask.service, candidates)
        self._events.check_overdue(candidates, now_ms)
        placed = self._placement.choose(
            self._memory.fitting(candidates, ask.held_tokens),
            request,
            self._work_mix.long_share(now_ms),
        )
        if placed is None:
            wait_ms = self._placement.shortest_wait_ms(candidates, request)
            return PlacementGrant(ask.number, None, 0, 0, round(wait_ms))
        self._count(vm_id, ask, placed, request)
        expectation = placed.expectation
        return PlacementGrant(
            ask.number,
            placed.candidate.endpoint_id,
            round(expectation.first_event_ms),
            round(expectation.work_ms),
            round(expectation.first_event_ms - expectation.work_ms),
        )

    def note(
        self, vm_id: VmId, progress: PlacementProgress, now_ms: int
    ) -> None:
        """Apply what a VM reports of a granted request."""
        grant = self._grants.get((vm_id, progress.number))
        if grant is None:
            return
        if progress.percent:
            grant.load.reported.speed.note(progress.percent, now_ms)
        if progress.first_event_ms is not None and not grant.prefilled:
            _learn(grant, progress.first_event_ms, now_ms)
        if grant.event is not None:
            self._events.settle(grant.event, progress.first_event_ms, now_ms)
        self._mark_prefilled(grant)
        if progress.ended:
            grant.load.note_outcome(progress.failed)
            self._drop((vm_id, progress.number), grant)

    def drop_vms(self, live: Container[VmId]) -> None:
        """Drop the grants of VMs that are gone."""
        for key, grant in tuple(self._grants.items()):
            if key[0] not in live:
                self._drop(key, grant)

    def _count(
        self,
        vm_id: VmId,
        ask: PlacementAsk,
        placed: Placement,
        request: EngineRequest,
    ) -> None:
        load = placed.candidate.load
        now_ms = request.now_ms
        uncached = load.begin(request.prompt, now_ms, request.rank)
        is_long = placed.expectation.is_long
        self._work_mix.note(uncached, now_ms, is_long=is_long)
        self._grants[vm_id, ask.number] = _Grant(
            load,
            uncached,
            request.rank,
            now_ms + ask.deadline_left_ms + _EXPIRY_MARGIN_MS,
            self._memory.hold(placed.candidate, ask.held_tokens),
            placed.expectation.work,
            load.reported.speed.factor(now_ms),
            self._await_event(placed, request),
        )

    def _await_event(
        self, placed: Placement, request: EngineRequest
    ) -> AwaitedEvent | None:
        if request.rank >= LATE_RANK:
            return None
        return self._events.add(
            placed.candidate.load,
            placed.expectation.first_event_ms,
            request.now_ms,
        )

    def _apply_speeds(
        self, service: ServiceId, candidates: Sequence[Candidate]
    ) -> None:
        """Let new engines, also restarted ones, start from their service's."""
        speed = self._speeds.setdefault(service, ServiceSpeed())
        for candidate in candidates:
            candidate.load.profile.service = speed

    def _mark_prefilled(self, grant: _Grant) -> None:
        if not grant.prefilled:
            grant.prefilled = True
            grant.load.mark_prefilled(grant.uncached, grant.rank)

    def _sweep(self, now_ms: int) -> None:
        if now_ms - self._swept_ms < _SWEEP_MS:
            return
        self._swept_ms = now_ms
        for key, grant in tuple(self._grants.items()):
            if grant.expires_ms <= now_ms:
                self._drop(key, grant)

    def _drop(self, key: tuple[VmId, int], grant: _Grant) -> None:
        self._mark_prefilled(grant)
        if grant.event is not None:
            grant.event.settled = True
        grant.load.end()
        grant.holding.release()
        self._grants.pop(key)


def _learn(grant: _Grant, observed_ms: int, now_ms: int) -> None:
    """Learn from a first event, whose engine may have changed its speed."""
    if grant.work is None:
        return
    reported = grant.load.reported.speed.factor(now_ms)
    present = (grant.present_factor + reported) / 2
    grant.load.profile.note(grant.work.scaled(present), observed_ms, now_ms)
