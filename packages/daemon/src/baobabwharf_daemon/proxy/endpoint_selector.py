"""Select the endpoint or the remote VM for each attempt."""

import random
from typing import final

from baobabwharf_core.clock import Clock
from baobabwharf_core.deployment import DeployedService
from baobabwharf_core.fleet_config import VmRecord
from baobabwharf_core.ids import ServiceId
from baobabwharf_core.refusals import Refusal, RefusalCode
from baobabwharf_decisions.proxying.endpoint_load import (
    Candidate,
    EndpointLoad,
    LoadSample,
)
from baobabwharf_decisions.proxying.endpoint_table import EndpointTable
from baobabwharf_decisions.proxying.expected_time import Expectation
from baobabwharf_decisions.proxying.placement_messages import Granted
from baobabwharf_decisions.proxying.prefill_burst import BURST_WINDOW_MS
from baobabwharf_decisions.proxying.routes import RouteTable
from expression import Error, Ok

from baobabwharf_daemon.interfaces import MembershipView
from baobabwharf_daemon.proxy.endpoint_chooser import (
    ChosenEndpoint,
    EndpointChooser,
)
from baobabwharf_daemon.proxy.region_selector import RegionSelector
from baobabwharf_daemon.proxy.request_plan import RequestPlan
from baobabwharf_daemon.proxy.selection import (
    AdaptiveSelection,
    AttemptTarget,
    Exclusions,
    GrantId,
    Selection,
)
from baobabwharf_daemon.proxy.usable_endpoints import UsableEndpoints

# Minimum of shared prompt tokens for the preferred region: to prefill them
# again takes longer than a round trip between regions.
_MIN_SHARED_TOKENS = 3000
_RETRY_AFTER_MS = 300
_NO_ENDPOINT_RETRY_MS = 500


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
        *,
        overload_control: bool = False,
    ) -> None:
        self._own = own
        self._clock = clock
        self.endpoints = UsableEndpoints(own, clock, endpoint_table, members)
        self.engines = EndpointChooser(rng, overload_control=overload_control)
        self.loads = self.endpoints.loads
        self.regions = RegionSelector(own, clock, members, rng)
        # Set where the settings name a port for placement.
        self.adaptive: AdaptiveSelection | None = None

    def configure(self, table: RouteTable) -> None:
        """Apply the engine and stream settings of a deployment."""
        self.loads.resize_caches(table.deployment.services)
        self.engines.configure(table)
        if self.adaptive is not None:
            self.adaptive.configure(table)

    def own_slots(self) -> dict[ServiceId, int]:
        """Return the slots of this region's endpoints for each service."""
        return {
            service: self.endpoints.slots_of(service)
            for service in sorted(self.endpoints.table.services)
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
        if self.may_serve_here(plan):
            candidates = self.endpoints.candidates(
                service, exclusions.endpoints, self.loads
            )
            chosen = self.engines.choose(
                plan, service, candidates, self._clock.now_ms()
            )
            if chosen is not None:
                return Ok(self._destination(chosen))
        if not plan.forwarded:
            remote = self.regions.select_remote(plan, exclusions.regions)
            if remote is not None:
                return Ok(remote)
        now_ms = self._clock.now_ms()
        pause_ms = self.endpoints.shortest_pause_ms(service, now_ms)
        return Error(_refusal(plan, candidates, pause_ms, now_ms))

    def may_serve_here(self, plan: RequestPlan) -> bool:
        """Return whether endpoints of this region may serve a request."""
        allowed = plan.allowed_regions
        return allowed is None or self._own.region in allowed

    def select_here(
        self,
        plan: RequestPlan,
        service: DeployedService,
        exclusions: Exclusions,
    ) -> AttemptTarget | None:
        """Return an endpoint by what this VM knows itself, if one is in time."""
        chosen = self.engines.choose(
            plan,
            service,
            self.endpoints.candidates(
                service, exclusions.endpoints, self.loads
            ),
            self._clock.now_ms(),
        )
        return None if chosen is None else self._destination(chosen)

    def granted_target(
        self, granted: Granted, service: DeployedService
    ) -> AttemptTarget | None:
        """Return the granted endpoint unless this VM knows better."""
        grant = granted.grant
        if grant.endpoint_id is None:
            return None
        entry = self.endpoints.table.entries.get(grant.endpoint_id)
        if entry is None or not self.endpoints.is_usable(entry, service):
            return None
        record = entry.record
        return AttemptTarget(
            record.address,
            record.region,
            record,
            expectation=Expectation(grant.first_event_ms, grant.work_ms),
            grant=GrantId(granted.placing_vm, grant.number),
        )

    def note_sample(self, target: AttemptTarget, sample: LoadSample) -> None:
        """Store the load that an endpoint reported."""
        if target.record is None:
            return
        reported = self.loads.load(target.record).reported
        reported.note(sample, self._clock.now_ms())
        if sample.percent is not None:
            self.engines.mark_adaptive(target.record.service)

    def load_of(self, target: AttemptTarget) -> EndpointLoad | None:
        """Return the load of an endpoint, None for a VM."""
        return None if target.record is None else self.loads.load(target.record)

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
        own_slots = self.endpoints.slots_of(service.name)
        return self.regions.select_preferred_region(plan, own_slots)

    def _destination(self, chosen: ChosenEndpoint) -> AttemptTarget:
        endpoint_id = chosen.candidate.endpoint_id
        record = self.endpoints.table.entries[endpoint_id].record
        return AttemptTarget(
            record.address,
            record.region,
            record,
            expectation=chosen.expectation,
        )


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
