"""Choose among the usable endpoints of a region for one request."""

import random
from typing import final

import msgspec
from baobabwharf_core.deployment import DeployedService
from baobabwharf_core.ids import ServiceId
from baobabwharf_decisions.proxying.adaptive_placement import (
    AdaptivePlacement,
)
from baobabwharf_decisions.proxying.endpoint_load import Candidate
from baobabwharf_decisions.proxying.expected_time import (
    EngineRequest,
    Expectation,
)
from baobabwharf_decisions.proxying.prefill_burst import burst_bound
from baobabwharf_decisions.proxying.prompt_placement import (
    LESS_URGENT_SHARE,
    URGENT_SHARE,
    PlacementRequest,
    PromptPlacement,
)
from baobabwharf_decisions.proxying.routes import RouteTable
from baobabwharf_decisions.proxying.slot_placement import SlotPlacement
from baobabwharf_decisions.proxying.work_mix import WorkMix

from baobabwharf_daemon.proxy.request_plan import RequestPlan


class ChosenEndpoint(msgspec.Struct, frozen=True):
    """Hold the chosen endpoint and, if it was estimated, the expected time."""

    candidate: Candidate
    expectation: Expectation | None = None


@final
class EndpointChooser:
    """Apply the placement that a service calls for."""

    def __init__(self, rng: random.Random, *, overload_control: bool) -> None:
        self._overload_control = overload_control
        self._prompt_placement = PromptPlacement()
        self._adaptive_placement = AdaptivePlacement(rng)
        self._slot_placement = SlotPlacement()
        self._work_mix = WorkMix()
        self._burst_bounds: dict[ServiceId, float | None] = {}
        self._adaptive: set[ServiceId] = set()

    def configure(self, table: RouteTable) -> None:
        """Apply the engine and stream settings of a deployment."""
        self._burst_bounds = {
            service.name: burst_bound(
                table.shortest_pause_target_ms(service.name),
                service.engine.tokens_per_event,
            )
            for service in table.deployment.services
            if service.engine is not None
        }

    def mark_adaptive(self, service: ServiceId) -> None:
        """Record that an endpoint of a service reports its present speed."""
        self._adaptive.add(service)

    def is_adaptive(self, service: ServiceId) -> bool:
        """Return whether requests are placed by expected times.

        They are if the settings ask for overload control, or once an endpoint
        of the service has reported its present speed.
        """
        return self._overload_control or service in self._adaptive

    def choose(
        self,
        plan: RequestPlan,
        service: DeployedService,
        candidates: list[Candidate],
        now_ms: int,
    ) -> ChosenEndpoint | None:
        """Return the endpoint for a request, None if none can take it."""
        if service.engine is None:
            chosen = self._slot_placement.choose(candidates)
        elif self.is_adaptive(service.name):
            return self._choose_by_time(
                plan, service.engine.tokens_per_event, candidates, now_ms
            )
        else:
            chosen = self._choose_by_backlog(plan, candidates, now_ms)
        return None if chosen is None else ChosenEndpoint(chosen)

    def _choose_by_time(
        self,
        plan: RequestPlan,
        tokens_per_event: int,
        candidates: list[Candidate],
        now_ms: int,
    ) -> ChosenEndpoint | None:
        request = EngineRequest(
            plan.metadata.prompt,
            plan.metadata.urgency,
            (plan.target_ms - now_ms) * _allowance(plan),
            plan.deadline_ms - now_ms,
            now_ms,
            tokens_per_event,
            plan.metadata.output_tokens,
        )
        placed = self._adaptive_placement.choose(
            candidates, request, self._work_mix.long_share(now_ms)
        )
        if placed is None:
            return None
        uncached = placed.candidate.load.cache.uncached_tokens(request.prompt)
        self._work_mix.note(
            uncached, now_ms, is_long=placed.expectation.is_long
        )
        return ChosenEndpoint(placed.candidate, placed.expectation)

    def _choose_by_backlog(
        self, plan: RequestPlan, candidates: list[Candidate], now_ms: int
    ) -> Candidate | None:
        request = PlacementRequest(
            plan.metadata.prompt,
            plan.target_ms - now_ms,
            _allowance(plan),
            now_ms,
            self._burst_bounds.get(plan.metadata.service),
        )
        return self._prompt_placement.choose(candidates, request)


def _allowance(plan: RequestPlan) -> float:
    return URGENT_SHARE if plan.metadata.urgency == 0 else LESS_URGENT_SHARE
