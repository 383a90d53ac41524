"""Choose regions and endpoints for the requests of this VM."""

import random
from collections import Counter, defaultdict
from typing import final

import msgspec
from baobabwharf_core.clock import Clock
from baobabwharf_core.ids import EndpointId, RegionId, RequestId, ServiceId
from baobabwharf_core.model import VmRecord
from baobabwharf_core.refusals import Refusal, RefusalCode
from baobabwharf_core.requests import (
    AttemptOutcome,
    EndpointChoice,
    RegionChoice,
    RequestFacts,
)
from baobabwharf_decisions.choice import Candidate, endpoint_choice
from baobabwharf_decisions.deadlines import Deadlines
from baobabwharf_decisions.directory import Directory
from baobabwharf_decisions.explain import Decision, DecisionKind, DecisionLog
from baobabwharf_decisions.lanes import LaneSet
from baobabwharf_decisions.retries import RetryBudget, decide_retry
from baobabwharf_decisions.routing import Peers, RegionDecision, RegionRouter
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
    """Decide with what this VM knows."""

    def __init__(
        self,
        region: RegionId,
        clock: Clock,
        rng: random.Random,
        directory: Directory,
        regions: RegionRouter,
        config: ConfigSource,
        membership: MembershipView,
    ) -> None:
        self._region = region
        self._clock = clock
        self._rng = rng
        self._directory = directory
        self._regions = regions
        self._config = config
        self._membership = membership
        self._lanes = LaneSet(region, directory, rng)
        self._waiting = PlacementWaiters(clock, directory, self._lanes)
        self._log = DecisionLog()
        self._budgets: dict[ServiceId, RetryBudget] = defaultdict(RetryBudget)
        self._deadlines = Deadlines()
        self._popular = RecentPrefixes()

    @property
    def popular_prefixes(self) -> tuple[int, ...]:
        """Return the first blocks of recent prompts, newest last."""
        return self._popular.newest

    def choose_region(
        self, facts: RequestFacts
    ) -> Result[RegionChoice, Refusal]:
        """Choose the region; the VM is None when this VM's region serves."""
        now_ms = self._clock.now_ms()
        self._deadlines.of(facts, now_ms)
        facts = self._with_residency(facts)
        vms = self._membership.live_vms()
        peers = Peers(Counter(vm.region for vm in vms), self._region)
        home = self._lanes.home_view(facts, now_ms)
        decided = self._regions.choose(
            facts, home, peers, self._away_share(facts), now_ms
        )
        if decided.is_error():
            self._refused(facts, decided.error)
            return Error(decided.error)
        decision = decided.ok
        self._note(facts, DecisionKind.REGION, decision.region, decision.reason)
        return Ok(self._region_choice(decision, vms))

    async def admit(
        self, facts: RequestFacts, excluded: frozenset[EndpointId]
    ) -> Result[EndpointChoice, Refusal]:
        """Wait in the queue of the class until an endpoint has room."""
        now_ms = self._clock.now_ms()
        deadline_at_ms = self._deadlines.of(facts, now_ms)
        facts = self._with_residency(facts)
        refusal = self._check(facts, deadline_at_ms - now_ms)
        if refusal is not None:
            self._refused(facts, refusal)
            return Error(refusal)
        if not excluded:
            self._budgets[facts.service].earn()
        self._popular.note(facts)
        excluded = self._lanes.outside(facts, excluded, now_ms)
        candidate = self._lanes.place_now(facts, excluded, now_ms)
        if candidate is not None:
            return Ok(self._chosen(facts, candidate))
        ticket = self._lanes.enqueue(facts, excluded, deadline_at_ms, now_ms)
        if ticket.is_error():
            self._refused(facts, ticket.error)
            return Error(ticket.error)
        detail = 'no endpoint had room'
        self._note(facts, DecisionKind.QUEUED, facts.work_class, detail)
        placement = await self._waiting.wait(ticket.ok)
        now_ms = self._clock.now_ms()
        if placement.is_error():
            self._refused(facts, placement.error)
            return Error(placement.error)
        return Ok(self._chosen(facts, placement.ok))

    def attempt_ended(
        self, facts: RequestFacts, outcome: AttemptOutcome
    ) -> None:
        """Release the room of an attempt and learn from its outcome."""
        now_ms = self._clock.now_ms()
        self._directory.ended(outcome, now_ms)
        self._regions.in_flight.end(facts.request_id)
        self._lanes.correct(facts, outcome)
        if outcome.succeeded:
            self._deadlines.forget(facts.request_id)
        ending = 'failed'
        if outcome.succeeded:
            ending = f'answered in {outcome.total_ms} ms'
        self._note(facts, DecisionKind.ENDED, outcome.endpoint_id, ending)
        self._waiting.pump(facts.service)

    def attempt_cancelled(
        self, facts: RequestFacts, endpoint_id: EndpointId
    ) -> None:
        """Release the room of an attempt that says nothing of its endpoint."""
        now_ms = self._clock.now_ms()
        self._directory.release(endpoint_id, now_ms)
        self._regions.in_flight.end(facts.request_id)
        self._deadlines.forget(facts.request_id)
        self._waiting.pump(facts.service)

    def forward_ended(self, request_id: RequestId) -> None:
        """Count a request that was forwarded to another VM as ended."""
        self._regions.in_flight.end(request_id)

    def may_retry(
        self, facts: RequestFacts, outcome: AttemptOutcome, attempt: int
    ) -> Result[int, Refusal]:
        """Return the backoff in ms before the next attempt, or a refusal."""
        now_ms = self._clock.now_ms()
        left_ms = self._deadlines.of(facts, now_ms) - now_ms
        budget = self._budgets[facts.service]
        answer = decide_retry(
            facts, outcome, attempt, left_ms, budget, self._rng
        )
        if answer.is_error():
            self._refused(facts, answer.error)
            return answer
        reason = 'failed' if outcome.sent else 'not_sent'
        detail = f'backoff {answer.ok} ms'
        self._note(facts, DecisionKind.RETRIED, reason, detail)
        return answer

    def explain(self, request_id: RequestId) -> tuple[str, ...]:
        """Return the sentences that explain a request's decisions."""
        return self._log.sentences(request_id)

    def tick(self) -> None:
        """Apply what follows from time alone to the queues."""
        self._waiting.tick()

    def slow_tick(self) -> None:
        """Forget what is over."""
        now_ms = self._clock.now_ms()
        self._directory.vms = sum(
            vm.region == self._region for vm in self._membership.live_vms()
        )
        self._directory.tick(now_ms)
        self._regions.in_flight.expire(now_ms)
        self._lanes.relax()
        self._deadlines.expire(now_ms)

    def _region_choice(
        self, decision: RegionDecision, vms: tuple[VmRecord, ...]
    ) -> RegionChoice:
        if decision.region == self._region:
            return RegionChoice(self._region, None, None, decision.reason)
        there = [vm for vm in vms if vm.region == decision.region]
        vm = self._rng.choice(there)
        return RegionChoice(
            decision.region, vm.vm_id, vm.forward_address, decision.reason
        )

    def _check(self, facts: RequestFacts, left_ms: int) -> Refusal | None:
        if facts.residency and self._region not in facts.residency:
            return Refusal(
                RefusalCode.RESIDENCY_CONFLICT,
                detail=f'region {self._region} is not allowed',
            )
        if left_ms <= 0:
            return Refusal(
                RefusalCode.DEADLINE_UNREACHABLE, detail='no time is left'
            )
        return None

    def _with_residency(self, facts: RequestFacts) -> RequestFacts:
        """Narrow the residency in a request to what is configured here."""
        customer = self._config.config.customers.get(facts.customer_id)
        if customer is None or customer.residency == facts.residency:
            return facts
        if not customer.residency:
            return facts
        narrowed = customer.residency
        if facts.residency:
            narrowed = tuple(
                region
                for region in customer.residency
                if region in facts.residency
            )
        if not narrowed:
            # No region is allowed by both; an empty tuple would allow all.
            narrowed = (RegionId(''),)
        return msgspec.structs.replace(facts, residency=narrowed)

    def _away_share(self, facts: RequestFacts) -> float:
        target = self._config.config.targets.get(facts.work_class)
        return 1.0 if target is None else target.max_away_share

    def _chosen(
        self, facts: RequestFacts, candidate: Candidate
    ) -> EndpointChoice:
        choice = endpoint_choice(candidate)
        self._note(
            facts, DecisionKind.ENDPOINT, choice.endpoint_id, choice.reason
        )
        return choice

    def _refused(self, facts: RequestFacts, refusal: Refusal) -> None:
        self._note(
            facts, DecisionKind.REFUSED, refusal.code.value, refusal.detail
        )

    def _note(
        self,
        facts: RequestFacts,
        kind: DecisionKind,
        subject: str,
        detail: str,
    ) -> None:
        decision = Decision(self._clock.now_ms(), kind, subject, detail)
        self._log.add(facts.request_id, decision)
