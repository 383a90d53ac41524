"""Choose regions and endpoints for the requests that this VM receives."""

import random
from collections import Counter, defaultdict
from typing import final

import msgspec
from baobabwharf_core.clock import Clock
from baobabwharf_core.fleet_config import VmRecord
from baobabwharf_core.ids import EndpointId, RegionId, RequestId, ServiceId
from baobabwharf_core.refusals import Refusal, RefusalCode
from baobabwharf_core.requests import (
    AttemptOutcome,
    EndpointChoice,
    RegionChoice,
    RequestAttributes,
)
from baobabwharf_decisions.deadlines import Deadlines
from baobabwharf_decisions.dispatcher import Dispatcher
from baobabwharf_decisions.endpoint_chooser import (
    Candidate,
    build_endpoint_choice,
)
from baobabwharf_decisions.endpoint_directory import EndpointDirectory
from baobabwharf_decisions.explain import Decision, DecisionKind, DecisionLog
from baobabwharf_decisions.retries import RetryBudget, decide_retry
from baobabwharf_decisions.routing import (
    RegionDecision,
    RegionRouter,
    RegionVmCounts,
)
from baobabwharf_decisions.summaries import RecentPrefixes
from expression import Error, Ok, Result

from baobabwharf_daemon.interfaces import (
    ConfigSource,
    MembershipView,
    Router,
)
from baobabwharf_daemon.placement_waiters import PlacementWaiters


@final
class LocalRouter(Router):
    """Route requests by the state that this VM knows."""

    def __init__(
        self,
        region: RegionId,
        clock: Clock,
        rng: random.Random,
        directory: EndpointDirectory,
        regions: RegionRouter,
        config_source: ConfigSource,
        membership: MembershipView,
    ) -> None:
        self._region = region
        self._clock = clock
        self._rng = rng
        self._directory = directory
        self._regions = regions
        self._config_source = config_source
        self._membership = membership
        self._dispatcher = Dispatcher(region, directory, rng)
        self._waiters = PlacementWaiters(clock, directory, self._dispatcher)
        self._decision_log = DecisionLog()
        self._budgets: dict[ServiceId, RetryBudget] = defaultdict(RetryBudget)
        self._deadlines = Deadlines()
        self._recent_prefixes = RecentPrefixes()

    @property
    def recent_prefixes(self) -> tuple[int, ...]:
        """Return the first prefix blocks of recent prompts, newest last."""
        return self._recent_prefixes.newest

    def choose_region(
        self, attributes: RequestAttributes
    ) -> Result[RegionChoice, Refusal]:
        """Choose the region; the VM is None for the region of this VM."""
        now_ms = self._clock.now_ms()
        self._deadlines.of(attributes, now_ms)
        attributes = self._with_residency(attributes)
        vms = self._membership.live_vms()
        vm_counts = RegionVmCounts(
            Counter(vm.region for vm in vms), self._region
        )
        local_estimate = self._dispatcher.local_estimate(attributes, now_ms)
        result = self._regions.choose(
            attributes,
            local_estimate,
            vm_counts,
            self._max_away_share(attributes),
            now_ms,
        )
        if result.is_error():
            self._record_refusal(attributes, result.error)
            return Error(result.error)
        decision = result.ok
        self._record_decision(
            attributes, DecisionKind.REGION, decision.region, decision.reason
        )
        return Ok(self._region_choice(decision, vms))

    async def admit(
        self, attributes: RequestAttributes, excluded: frozenset[EndpointId]
    ) -> Result[EndpointChoice, Refusal]:
        """Choose an endpoint; queue by work class until a slot is free."""
        now_ms = self._clock.now_ms()
        deadline_at_ms = self._deadlines.of(attributes, now_ms)
        attributes = self._with_residency(attributes)
        refusal = self._check_admissible(attributes, deadline_at_ms - now_ms)
        if refusal is not None:
            self._record_refusal(attributes, refusal)
            return Error(refusal)
        if not excluded:
            self._budgets[attributes.service].earn()
        self._recent_prefixes.record_prompt(attributes)
        excluded = self._dispatcher.effective_exclusions(
            attributes, excluded, now_ms
        )
        candidate = self._dispatcher.place_now(attributes, excluded, now_ms)
        if candidate is not None:
            return Ok(self._record_choice(attributes, candidate))
        ticket = self._dispatcher.enqueue(
            attributes, excluded, deadline_at_ms, now_ms
        )
        if ticket.is_error():
            self._record_refusal(attributes, ticket.error)
            return Error(ticket.error)
        detail = 'no endpoint had room'
        self._record_decision(
            attributes, DecisionKind.QUEUED, attributes.work_class, detail
        )
        placement = await self._waiters.wait(ticket.ok)
        now_ms = self._clock.now_ms()
        if placement.is_error():
            self._record_refusal(attributes, placement.error)
            return Error(placement.error)
        return Ok(self._record_choice(attributes, placement.ok))

    def attempt_ended(
        self, attributes: RequestAttributes, outcome: AttemptOutcome
    ) -> None:
        """Release the slot of an attempt and record its outcome."""
        now_ms = self._clock.now_ms()
        self._directory.ended(outcome, now_ms)
        self._regions.in_flight.end(attributes.request_id)
        self._dispatcher.settle_charge(attributes, outcome)
        if outcome.succeeded:
            self._deadlines.forget(attributes.request_id)
        detail = 'failed'
        if outcome.succeeded:
            detail = f'answered in {outcome.total_ms} ms'
        self._record_decision(
            attributes, DecisionKind.ENDED, outcome.endpoint_id, detail
        )
        self._waiters.place_waiting(attributes.service)

    def attempt_cancelled(
        self, attributes: RequestAttributes, endpoint_id: EndpointId
    ) -> None:
        """Release the slot of an attempt without rating its endpoint."""
        now_ms = self._clock.now_ms()
        self._directory.release(endpoint_id, now_ms)
        self._regions.in_flight.end(attributes.request_id)
        self._deadlines.forget(attributes.request_id)
        self._waiters.place_waiting(attributes.service)

    def forward_ended(self, request_id: RequestId) -> None:
        """Record the end of a request that was forwarded to another VM."""
        self._regions.in_flight.end(request_id)

    def may_retry(
        self,
        attributes: RequestAttributes,
        outcome: AttemptOutcome,
        attempt: int,
    ) -> Result[int, Refusal]:
        """Return the backoff in ms before the next attempt, or a refusal."""
        now_ms = self._clock.now_ms()
        left_ms = self._deadlines.of(attributes, now_ms) - now_ms
        budget = self._budgets[attributes.service]
        answer = decide_retry(
            attributes, outcome, attempt, left_ms, budget, self._rng
        )
        if answer.is_error():
            self._record_refusal(attributes, answer.error)
            return answer
        reason = 'failed' if outcome.sent else 'not_sent'
        detail = f'backoff {answer.ok} ms'
        self._record_decision(attributes, DecisionKind.RETRIED, reason, detail)
        return answer

    def explain(self, request_id: RequestId) -> tuple[str, ...]:
        """Return the sentences that explain the decisions on a request."""
        return self._decision_log.sentences(request_id)

    def tick(self) -> None:
        """Expire and place queued requests."""
        self._waiters.tick()

    def run_maintenance(self) -> None:
        """Expire old state and update the number of VMs in the region."""
        now_ms = self._clock.now_ms()
        self._directory.vms = sum(
            vm.region == self._region for vm in self._membership.live_vms()
        )
        self._directory.tick(now_ms)
        self._regions.in_flight.expire(now_ms)
        self._dispatcher.decay_usage()
        self._deadlines.expire(now_ms)

    def _region_choice(
        self, decision: RegionDecision, vms: tuple[VmRecord, ...]
    ) -> RegionChoice:
        if decision.region == self._region:
            return RegionChoice(self._region, None, None, decision.reason)
        region_vms = [vm for vm in vms if vm.region == decision.region]
        vm = self._rng.choice(region_vms)
        return RegionChoice(
            decision.region, vm.vm_id, vm.forward_address, decision.reason
        )

    def _check_admissible(
        self, attributes: RequestAttributes, left_ms: int
    ) -> Refusal | None:
        if attributes.residency and self._region not in attributes.residency:
            return Refusal(
                RefusalCode.RESIDENCY_CONFLICT,
                detail=f'region {self._region} is not allowed',
            )
        if left_ms <= 0:
            return Refusal(
                RefusalCode.DEADLINE_UNREACHABLE, detail='no time is left'
            )
        return None

    def _with_residency(
        self, attributes: RequestAttributes
    ) -> RequestAttributes:
        """Restrict the residency of a request to that of its customer."""
        customer = self._config_source.config.customers.get(
            attributes.customer_id
        )
        if customer is None or customer.residency == attributes.residency:
            return attributes
        if not customer.residency:
            return attributes
        allowed = customer.residency
        if attributes.residency:
            allowed = tuple(
                region
                for region in customer.residency
                if region in attributes.residency
            )
        if not allowed:
            # No region is allowed by both; an empty tuple would allow all.
            allowed = (RegionId(''),)
        return msgspec.structs.replace(attributes, residency=allowed)

    def _max_away_share(self, attributes: RequestAttributes) -> float:
        target = self._config_source.config.targets.get(attributes.work_class)
        return 1.0 if target is None else target.max_away_share

    def _record_choice(
        self, attributes: RequestAttributes, candidate: Candidate
    ) -> EndpointChoice:
        choice = build_endpoint_choice(candidate)
        self._record_decision(
            attributes, DecisionKind.ENDPOINT, choice.endpoint_id, choice.reason
        )
        return choice

    def _record_refusal(
        self, attributes: RequestAttributes, refusal: Refusal
    ) -> None:
        self._record_decision(
            attributes, DecisionKind.REFUSED, refusal.code.value, refusal.detail
        )

    def _record_decision(
        self,
        attributes: RequestAttributes,
        kind: DecisionKind,
        subject: str,
        detail: str,
    ) -> None:
        decision = Decision(self._clock.now_ms(), kind, subject, detail)
        self._decision_log.add(attributes.request_id, decision)
