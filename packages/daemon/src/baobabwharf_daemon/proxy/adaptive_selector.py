"""Select destinations for services that call for overload control.

A request is served in its region if its first event is expected in time there,
else in a region where it is, else late by what the engines have left.
"""

import random
from typing import final

import msgspec
from baobabwharf_core.clock import Clock
from baobabwharf_core.deployment import DeployedService
from baobabwharf_core.fleet_config import VmRecord
from baobabwharf_core.refusals import Refusal, RefusalCode
from baobabwharf_decisions.proxying.endpoint_table import EndpointTable
from baobabwharf_decisions.proxying.placement_messages import (
    PlacementProgress,
)
from baobabwharf_decisions.proxying.routes import RouteTable
from expression import Error, Ok

from baobabwharf_daemon.interfaces import MembershipView
from baobabwharf_daemon.proxy.endpoint_selector import EndpointSelector
from baobabwharf_daemon.proxy.placement_exchange import PlacementExchange
from baobabwharf_daemon.proxy.request_plan import RequestPlan
from baobabwharf_daemon.proxy.selection import (
    AdaptiveSelection,
    AttemptTarget,
    Exclusions,
    PlacementReports,
    Selection,
)
from baobabwharf_daemon.settings import Settings
from baobabwharf_daemon.task import Task

# Fraction of the time to the target in which the first event is expected; the
# rest covers the error of the estimate.  Three in four first events come within
# 1.4 times the expected time.
_ALLOWANCE = 0.7
# The same for requests of other regions, so that a region helps others only
# with what its own callers leave.
_FORWARDED_ALLOWANCE = 0.62
# Less urgent requests leave a part of the time to more urgent ones.
_ALLOWANCE_PER_RANK = 0.08
_MAX_RANK_STEPS = 4
_MIN_RETRY_MS = 150
_MAX_RETRY_MS = 1500
# Refused callers return spread over this range around the forecast.
_RETRY_SPREAD = (0.8, 1.4)


@final
class AdaptiveSelector(AdaptiveSelection):
    """Select by expected times, with the placing VM of the region."""

    def __init__(
        self,
        selector: EndpointSelector,
        placements: PlacementExchange,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._selector = selector
        self._placements = placements
        self._clock = clock
        self._rng = rng

    @property
    def reports(self) -> PlacementReports:
        """Return where the progress of granted requests is reported."""
        return self._placements

    def configure(self, table: RouteTable) -> None:
        """Apply the engine settings of a deployment."""
        self._placements.configure(table)

    def applies_to(self, service: DeployedService) -> bool:
        """Return whether requests for a service are placed here."""
        return (
            service.engine is not None
            and self._selector.engines.is_adaptive(service.name)
        )

    async def select(
        self,
        plan: RequestPlan,
        service: DeployedService,
        exclusions: Exclusions,
    ) -> Selection:
        """Return the destination of the next attempt, or a refusal."""
        while True:
            local = await self._select_local(plan, service, exclusions)
            if local is not None:
                return Ok(local)
            wait_ms = plan.region_wait_ms or 0
            remote = self._select_remote(plan, exclusions)
            if remote is not None:
                return Ok(remote)
            if plan.late or plan.forwarded:
                return Error(self._refusal(plan, wait_ms))
            plan.accept_late(self._clock.now_ms())

    async def _select_local(
        self,
        plan: RequestPlan,
        service: DeployedService,
        exclusions: Exclusions,
    ) -> AttemptTarget | None:
        if not self._selector.may_serve_here(plan):
            return None
        bound_ms = self._bound_ms(plan)
        unusable = self._selector.endpoints.unusable(
            service, exclusions.endpoints
        )
        granted = await self._placements.ask(plan, bound_ms, unusable)
        if granted is None:
            return self._selector.select_here(plan, service, exclusions)
        plan.region_wait_ms = granted.grant.wait_ms
        target = self._selector.granted_target(granted, service)
        if target is None and granted.grant.endpoint_id is not None:
            unused = PlacementProgress(granted.grant.number, None, ended=True)
            self._placements.report(granted.placing_vm, unused)
        return target

    def _bound_ms(self, plan: RequestPlan) -> int:
        left_ms = plan.target_ms - self._clock.now_ms()
        if plan.late:
            return left_ms
        allowance = _FORWARDED_ALLOWANCE if plan.forwarded else _ALLOWANCE
        rank = min(plan.metadata.urgency, _MAX_RANK_STEPS)
        return int(left_ms * (allowance - _ALLOWANCE_PER_RANK * rank))

    def _select_remote(
        self, plan: RequestPlan, exclusions: Exclusions
    ) -> AttemptTarget | None:
        if plan.forwarded:
            return None
        if plan.late and self._selector.may_serve_here(plan):
            return None
        return self._selector.regions.select_in_time(
            plan, exclusions.regions, self._bound_ms(plan)
        )

    def _refusal(self, plan: RequestPlan, wait_ms: int) -> Refusal:
        left_ms = plan.target_ms - self._clock.now_ms()
        spread = self._rng.uniform(*_RETRY_SPREAD)
        forecast_ms = (wait_ms - max(0, left_ms)) * spread
        retry_ms = min(max(int(forecast_ms), _MIN_RETRY_MS), _MAX_RETRY_MS)
        return Refusal(
            RefusalCode.QUEUE_FULL,
            retry_after_ms=retry_ms,
            detail=(
                f'first event in {wait_ms} ms at best, {left_ms} ms left; '
                f'other regions: {self._selector.regions.describe(plan)}'
            ),
        )


class BuiltSelector(msgspec.Struct, frozen=True):
    """Hold a selector and the tasks that it needs."""

    selector: EndpointSelector
    tasks: tuple[Task, ...] = ()


def build_selector(
    settings: Settings,
    own: VmRecord,
    clock: Clock,
    endpoint_table: EndpointTable,
    members: MembershipView,
    rng: random.Random,
) -> BuiltSelector:
    """Build the selector of a VM.

    Without a port for placement each VM places requests by itself.
    """
    selector = EndpointSelector(
        own,
        clock,
        endpoint_table,
        members,
        rng,
        overload_control=settings.overload_control,
    )
    port = settings.listen.placement_port
    if port is None:
        return BuiltSelector(selector)
    placements = PlacementExchange(own, port, clock, members, selector, rng)
    selector.adaptive = AdaptiveSelector(selector, placements, clock, rng)
    return BuiltSelector(selector, (placements,))
