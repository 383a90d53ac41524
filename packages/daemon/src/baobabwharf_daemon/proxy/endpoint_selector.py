"""Select the endpoint or the remote VM for each attempt."""

import random
from collections.abc import Iterable
from typing import final

import msgspec
from baobabwharf_core.clock import Clock
from baobabwharf_core.deployment import DeployedService
from baobabwharf_core.fleet_config import VmRecord
from baobabwharf_core.ids import EndpointId, RegionId, ServiceId, VmId, ZoneId
from baobabwharf_core.refusals import Refusal, RefusalCode
from baobabwharf_decisions.membership.proxy_vms import (
    forwarding_vms_by_region,
    forwarding_vms_of,
)
from baobabwharf_decisions.proxying.cold_rate_limit import ColdRateLimit
from baobabwharf_decisions.proxying.endpoint_load import (
    Candidate,
    EndpointLoad,
)
from baobabwharf_decisions.proxying.endpoint_table import (
    EndpointEntry,
    EndpointRecord,
    EndpointTable,
)
from baobabwharf_decisions.proxying.prefill_burst import (
    BURST_WINDOW_MS,
    burst_bound,
)
from baobabwharf_decisions.proxying.prompt_placement import (
    LESS_URGENT_SHARE,
    URGENT_SHARE,
    PlacementRequest,
    PromptPlacement,
)
from baobabwharf_decisions.proxying.region_backoff import (
    RegionBackoff,
    preferred_region,
    region_candidates,
)
from baobabwharf_decisions.proxying.routes import RouteTable
from baobabwharf_decisions.proxying.slot_placement import SlotPlacement
from expression import Error, Ok, Result

from baobabwharf_daemon.interfaces import MembershipView
from baobabwharf_daemon.proxy.load_tracker import LoadTracker
from baobabwharf_daemon.proxy.request_plan import RequestPlan

# Minimum of shared prompt tokens for the preferred region: to prefill them
# again takes longer than a round trip between regions.
_MIN_SHARED_TOKENS = 3000
_RETRY_AFTER_MS = 300
_NO_ENDPOINT_RETRY_MS = 500
# Requests to cold endpoints may arrive in a later second than they were sent.
_COLD_RATE_FACTOR = 1.2
# If fewer endpoints than this share are healthy, the fault is probably not in
# the endpoints, and all of them are used.
_MIN_HEALTHY_SHARE = 0.5


class AttemptTarget(msgspec.Struct, frozen=True):
    """Describe an endpoint or, if record is None, a VM of another region."""

    address: str
    region: RegionId
    record: EndpointRecord | None = None
    vm_id: VmId | None = None


class Exclusions(msgspec.Struct, frozen=True):
    """Hold the endpoints and regions that a request was already sent to."""

    endpoints: frozenset[EndpointId] = frozenset()
    regions: frozenset[RegionId] = frozenset()


Selection = Result[AttemptTarget, Refusal]


@final
class RegionSelector:
    """Select VMs of other regions to forward requests to."""

    def __init__(
        self,
        own: VmRecord,
        clock: Clock,
        members: MembershipView,
        rng: random.Random,
    ) -> None:
        self._own = own
        self._clock = clock
        self._members = members
        self._backoff = RegionBackoff(rng)
        # Slots per region and service, as published by the VMs there.
        self.slots: dict[tuple[RegionId, ServiceId], int] = {}
        self._live: tuple[VmRecord, ...] | None = None
        self._forwarding_vms: dict[RegionId, list[VmRecord]] = {}
        self._vm_ids: dict[RegionId, list[VmId]] = {}

    def note_refusal(self, plan: RequestPlan, region: RegionId) -> None:
        """Back off from a region that refused a request."""
        self._backoff.note_refusal(
            region,
            plan.metadata.service,
            plan.metadata.urgency,
            self._clock.now_ms(),
        )

    def note_unreachable(self, vm_id: VmId) -> None:
        """Back off from a VM that could not be reached."""
        self._backoff.note_unreachable(vm_id, self._clock.now_ms())

    def select_remote(
        self, plan: RequestPlan, excluded: frozenset[RegionId]
    ) -> AttemptTarget | None:
        """Return a VM of another region for a request, if there is one."""
        self._follow_members()
        service = plan.metadata.service
        candidates = region_candidates(
            self.slots,
            self._vm_ids,
            service,
            plan.allowed_regions,
            self._own.region,
            excluded,
        )
        candidate = self._backoff.choose(
            candidates, service, plan.metadata.urgency, self._clock.now_ms()
        )
        if candidate is None:
            return None
        chosen = next(
            vm
            for vm in self._forwarding_vms[candidate.region]
            if vm.vm_id == candidate.vm_id
        )
        return AttemptTarget(
            chosen.forward_address, candidate.region, vm_id=candidate.vm_id
        )

    def _follow_members(self) -> None:
        """Group the live VMs by region if any of them has changed."""
        live = self._members.live_vms()
        if live is self._live:
            return
        self._live = live
        self._forwarding_vms = forwarding_vms_by_region(live)
        self._vm_ids = {
            region: [vm.vm_id for vm in region_vms]
            for region, region_vms in self._forwarding_vms.items()
        }

    def select_preferred_region(
        self, plan: RequestPlan, own_slots: int
    ) -> AttemptTarget | None:
        """Return a VM of the region that should have the shared prompt cached.

        The result is None if that is this region or no VM there is available.
        """
        own = self._own.region
        slots = {
            region: count
            for (region, name), count in self.slots.items()
            if name == plan.metadata.service
            and (plan.allowed_regions is None or region in plan.allowed_regions)
        }
        slots.pop(own, None)
        if plan.allowed_regions is None or own in plan.allowed_regions:
            slots[own] = own_slots
        preferred = preferred_region(slots, plan.metadata.prompt[-2].part_id)
        if preferred is None or preferred == own:
            return None
        return self.select_remote(plan, frozenset(slots) - {preferred})


@final
class EndpointSelector:
    """Select the destinations of requests by the state of the fleet."""

    def __init__(
        self,
        own: VmRecord,
        clock: Clock,
        endpoint_table: EndpointTable,
        members: MembershipView,
        rng: random.Random,
    ) -> None:
        self._own = own
        self._clock = clock
        self._endpoint_table = endpoint_table
        self._members = members
        self._cold_rate_limit = ColdRateLimit(own.vm_id)
        self._prompt_placement = PromptPlacement()
        self._slot_placement = SlotPlacement()
        self._evacuated: frozenset[ZoneId] = frozenset()
        self._burst_bounds: dict[ServiceId, float | None] = {}
        self.loads = LoadTracker(clock, endpoint_table)
        self.regions = RegionSelector(own, clock, members, rng)

    def configure(self, table: RouteTable) -> None:
        """Apply the engine and stream settings of a deployment."""
        services = table.deployment.services
        self.loads.resize_caches(services)
        self._burst_bounds = {
            service.name: burst_bound(
                table.shortest_pause_target_ms(service.name),
                service.engine.tokens_per_event,
            )
            for service in services
            if service.engine is not None
        }

    def evacuate(self, zones: Iterable[ZoneId], cold_ms: int) -> None:
        """Apply the evacuated zones; restored ones count as cold at first."""
        wanted = frozenset(zones)
        restored = self._evacuated - wanted
        if restored:
            self._endpoint_table.mark_cold(
                restored, self._clock.now_ms() + cold_ms
            )
        self._evacuated = wanted

    def own_slots(self) -> dict[ServiceId, int]:
        """Return the slots of this region's endpoints for each service."""
        return {
            service: self._own_slots_of(service)
            for service in sorted(self._endpoint_table.services)
        }

    def select(
        self,
        plan: RequestPlan,
        service: DeployedService,
        exclusions: Exclusions,
    ) -> Selection:
        """Return the destination of the next attempt, or a refusal."""
        preferred = self._select_preferred_region(plan, service, exclusions)
        if preferred is not None:
            return Ok(preferred)
        candidates: list[Candidate] = []
        if (
            plan.allowed_regions is None
            or self._own.region in plan.allowed_regions
        ):
            candidates = self._candidates(service, exclusions.endpoints)
            chosen = self._choose(plan, service, candidates)
            if chosen is not None:
                return Ok(self._destination(chosen))
        if not plan.forwarded:
            remote = self.regions.select_remote(plan, exclusions.regions)
            if remote is not None:
                return Ok(remote)
        now_ms = self._clock.now_ms()
        pause_ms = self._shortest_pause_ms(service, now_ms)
        return Error(_refusal(plan, candidates, pause_ms, now_ms))

    def load_of(self, target: AttemptTarget) -> EndpointLoad | None:
        """Return the load of an endpoint, None for a VM."""
        return None if target.record is None else self.loads.load(target.record)

    def note_sent(self, record: EndpointRecord) -> None:
        """Count a request against the rate limit of a cold endpoint."""
        now_ms = self._clock.now_ms()
        entry = self._endpoint_table.entries.get(record.endpoint_id)
        if entry is not None and entry.cold_until_ms > now_ms:
            self._cold_rate_limit.note_sent(record.endpoint_id, now_ms)

    def _select_preferred_region(
        self,
        plan: RequestPlan,
        service: DeployedService,
        exclusions: Exclusions,
    ) -> AttemptTarget | None:
        if plan.forwarded or exclusions.regions or exclusions.endpoints:
            return None
        shared_tokens = sum(part.tokens for part in plan.metadata.prompt[:-1])
        if service.engine is None or shared_tokens < _MIN_SHARED_TOKENS:
            return None
        own_slots = self._own_slots_of(service.name)
        return self.regions.select_preferred_region(plan, own_slots)

    def _own_slots_of(self, service: ServiceId) -> int:
        return sum(
            entry.record.slots
            for entry in self._endpoint_table.of_service(service)
            if self._in_use(entry.record)
        )

    def _destination(self, chosen: Candidate) -> AttemptTarget:
        record = self._endpoint_table.entries[chosen.endpoint_id].record
        return AttemptTarget(record.address, record.region, record)

    def _candidates(
        self, service: DeployedService, excluded: frozenset[EndpointId]
    ) -> list[Candidate]:
        found = [
            self._candidate(entry.record)
            for entry in self._endpoint_table.of_service(service.name)
            if self._usable(entry, service)
            and entry.record.endpoint_id not in excluded
        ]
        healthy = [one for one in found if not one.load.failing]
        return (
            healthy
            if len(healthy) >= len(found) * _MIN_HEALTHY_SHARE
            else found
        )

    def _candidate(self, record: EndpointRecord) -> Candidate:
        load = self.loads.load(record)
        return Candidate(record.endpoint_id, load, record.slots)

    def _in_use(self, record: EndpointRecord) -> bool:
        return (
            record.region == self._own.region
            and not record.draining
            and not self._endpoint_table.is_leaving(record)
            and record.zone not in self._evacuated
        )

    def _usable(self, entry: EndpointEntry, service: DeployedService) -> bool:
        record = entry.record
        now_ms = self._clock.now_ms()
        availability = self.loads.load(record).availability
        if availability.until_ms > now_ms or not self._in_use(record):
            return False
        if entry.cold_until_ms <= now_ms or not service.cold_rate_per_s:
            return True
        rate = service.cold_rate_per_s * _COLD_RATE_FACTOR
        vms = self._region_vms()
        return self._cold_rate_limit.may_send(
            record.endpoint_id, rate, vms, now_ms
        )

    def _shortest_pause_ms(
        self, service: DeployedService, now_ms: int
    ) -> int | None:
        """Return the time until the first endpoint takes requests again.

        The result is None unless all endpoints in use asked for a pause.
        """
        pauses_ms = [
            self.loads.load(entry.record).availability.paused_until_ms - now_ms
            for entry in self._endpoint_table.of_service(service.name)
            if self._in_use(entry.record)
        ]
        shortest_ms = min(pauses_ms, default=0)
        return shortest_ms if shortest_ms > 0 else None

    def _region_vms(self) -> list[VmId]:
        live = self._members.live_vms()
        return [vm.vm_id for vm in forwarding_vms_of(live, self._own.region)]

    def _choose(
        self,
        plan: RequestPlan,
        service: DeployedService,
        candidates: list[Candidate],
    ) -> Candidate | None:
        if service.engine is None:
            return self._slot_placement.choose(candidates)
        urgent = plan.metadata.urgency == 0
        now_ms = self._clock.now_ms()
        request = PlacementRequest(
            plan.metadata.prompt,
            plan.target_ms - now_ms,
            URGENT_SHARE if urgent else LESS_URGENT_SHARE,
            now_ms,
            self._burst_bounds.get(service.name),
        )
        return self._prompt_placement.choose(candidates, request)


def _refusal(
    plan: RequestPlan,
    candidates: list[Candidate],
    pause_ms: int | None,
    now_ms: int,
) -> Refusal:
    if pause_ms is not None:
        return Refusal(
            RefusalCode.QUEUE_FULL,
            retry_after_ms=pause_ms,
            detail='all endpoints in this region asked for a pause',
        )
    if candidates:
        pending = min(one.load.total_pending_tokens for one in candidates)
        recent = min(one.load.recent_tokens(now_ms) for one in candidates)
        burst = min(one.load.burst_tokens(now_ms) for one in candidates)
        running = min(one.load.total_running for one in candidates)
        return Refusal(
            RefusalCode.QUEUE_FULL,
            retry_after_ms=_RETRY_AFTER_MS,
            detail=(
                f'{len(candidates)} endpoints; at least {pending} '
                f'unread and {recent:.0f} recent tokens, {burst:.0f} in the '
                f'last {BURST_WINDOW_MS} ms, {running} running; '
                f'{plan.target_ms - now_ms} ms to the target'
            ),
        )
    homes = (
        'any' if plan.allowed_regions is None else sorted(plan.allowed_regions)
    )
    return Refusal(
        RefusalCode.NO_ENDPOINT,
        retry_after_ms=_NO_ENDPOINT_RETRY_MS,
        detail=f'no usable endpoint here or in reach; regions allowed: {homes}',
    )
