"""Place requests on endpoints, or queue them, by service and model."""

import random
from collections.abc import Iterator

from baobabwharf_core.ids import EndpointId, ModelId, RegionId, ServiceId
from baobabwharf_core.refusals import Refusal, RefusalCode
from baobabwharf_core.requests import AttemptOutcome, RequestFacts
from expression import Error, Result

from baobabwharf_decisions.admission import Admission, Capacity, Ticket, cost
from baobabwharf_decisions.choice import (
    ESTIMATE_CANDIDATES,
    RATED_CANDIDATES,
    Candidate,
    EndpointChooser,
)
from baobabwharf_decisions.directory import Directory, GroupKey
from baobabwharf_decisions.groups import EndpointGroup
from baobabwharf_decisions.routing import HomeView
from baobabwharf_decisions.waiting import expected_wait_ms

# Part of each endpoint's slots that classes below the most urgent one leave
# free, so that an urgent request never waits for the end of a long one.
RESERVE_SHARE = 0.4


class LaneSet:
    """Hold one admission queue for each service and model."""

    def __init__(
        self,
        region: RegionId,
        directory: Directory,
        rng: random.Random,
    ) -> None:
        self._region = region
        self._directory = directory
        self._chooser = EndpointChooser(region, directory, rng)
        self._lanes: dict[GroupKey, Admission] = {}

    def place_now(
        self, facts: RequestFacts, excluded: frozenset[EndpointId], now_ms: int
    ) -> Candidate | None:
        """Place a request at once unless others wait before it."""
        lane = self._lane(facts.service, facts.model)
        if lane.blocked(facts.first_token_ms):
            return None
        candidate = self._choose(lane, facts, excluded, now_ms)
        if candidate is None:
            return None
        self._send(candidate, now_ms)
        lane.charge(facts, cost(facts))
        return candidate

    def enqueue(
        self,
        facts: RequestFacts,
        excluded: frozenset[EndpointId],
        deadline_at_ms: int,
        now_ms: int,
    ) -> Result[Ticket, Refusal]:
        """Queue a request, or refuse it as not run."""
        group = self._directory.groups.get((facts.service, facts.model))
        if group is None or not self._chooser.serves(facts, now_ms):
            return Error(
                Refusal(
                    RefusalCode.NO_ENDPOINT,
                    detail=f'no endpoint serves {facts.service} here',
                )
            )
        lane = self._lane(facts.service, facts.model)
        return lane.offer(
            facts, excluded, _capacity(group), deadline_at_ms, now_ms
        )

    def cancel(self, ticket: Ticket) -> None:
        """Take out the request of a caller that has gone."""
        lane = self._lane(ticket.facts.service, ticket.facts.model)
        lane.cancel(ticket.facts.request_id)

    def pump(
        self, service: ServiceId, now_ms: int
    ) -> Iterator[tuple[Ticket, Candidate]]:
        """Place waiting requests of a service where there is room."""
        for key, lane in self._lanes.items():
            if key[0] == service and lane.waiting:
                yield from self._pump_lane(lane, now_ms)

    def pump_all(self, now_ms: int) -> Iterator[tuple[Ticket, Candidate]]:
        """Place all waiting requests where there is room."""
        for lane in self._lanes.values():
            if lane.waiting:
                yield from self._pump_lane(lane, now_ms)

    def expire(self, now_ms: int) -> Iterator[tuple[Ticket, Refusal]]:
        """Take out requests whose time is over."""
        for lane in self._lanes.values():
            if lane.waiting:
                yield from lane.expire(now_ms)

    def relax(self) -> None:
        """Forget old differences between customers while nobody waits."""
        for lane in self._lanes.values():
            lane.relax()

    def correct(self, facts: RequestFacts, outcome: AttemptOutcome) -> None:
        """Charge what was served instead of what was expected."""
        surplus = facts.max_output_tokens - outcome.output_tokens
        lane = self._lane(facts.service, facts.model)
        lane.charge(facts, -float(max(0, surplus)))

    def home_view(self, facts: RequestFacts, now_ms: int) -> HomeView:
        """Return what this region offers a request, within its residency."""
        if not self._chooser.allows(facts):
            return HomeView(False, 0.0, 0.0)
        group = self._directory.groups.get((facts.service, facts.model))
        if group is None or not self._chooser.serves(facts, now_ms):
            return HomeView(False, 0.0, 0.0)
        lane = self._lane(facts.service, facts.model)
        ahead = lane.ahead(facts.first_token_ms)
        wait_ms = expected_wait_ms(
            group.requests + ahead, group.slots, group.service_ms
        )
        candidate = self._choose(
            lane, facts, frozenset(), now_ms, ESTIMATE_CANDIDATES
        )
        if candidate is None:
            complete_ms = wait_ms + group.service_ms
            return HomeView(True, wait_ms, complete_ms, lane.urgent_ms)
        expected = candidate.expected
        return HomeView(
            True,
            wait_ms + expected.first_token_ms,
            wait_ms + expected.complete_ms,
            lane.urgent_ms,
        )

    def outside(
        self, facts: RequestFacts, excluded: frozenset[EndpointId], now_ms: int
    ) -> frozenset[EndpointId]:
        """Return the exclusions, or none if they leave no endpoint."""
        group = self._directory.groups.get((facts.service, facts.model))
        if not excluded or group is None:
            return excluded
        others = any(
            self._directory.may_use(member, now_ms)
            for endpoint_id, member in group.members.items()
            if endpoint_id not in excluded
        )
        return excluded if others else frozenset()

    def _choose(
        self,
        lane: Admission,
        facts: RequestFacts,
        excluded: frozenset[EndpointId],
        now_ms: int,
        limit: int = RATED_CANDIDATES,
    ) -> Candidate | None:
        urgent = lane.most_urgent(facts.first_token_ms)
        reserve_share = 0.0 if urgent else RESERVE_SHARE
        return self._chooser.choose(
            facts, excluded, reserve_share, now_ms, limit
        )

    def _pump_lane(
        self, lane: Admission, now_ms: int
    ) -> Iterator[tuple[Ticket, Candidate]]:
        def fits(ticket: Ticket) -> Candidate | None:
            return self._choose(lane, ticket.facts, ticket.excluded, now_ms)

        for ticket, candidate in lane.place(fits, now_ms):
            self._send(candidate, now_ms)
            yield ticket, candidate

    def _send(self, candidate: Candidate, now_ms: int) -> None:
        prefill_ms = candidate.expected.prefill_ms
        endpoint_id = candidate.endpoint.endpoint_id
        self._directory.sent(endpoint_id, prefill_ms, now_ms)

    def _lane(self, service: ServiceId, model: ModelId | None) -> Admission:
        lane = self._lanes.get((service, model))
        if lane is None:
            lane = Admission()
            self._lanes[service, model] = lane
        return lane


def _capacity(group: EndpointGroup) -> Capacity:
    return Capacity(group.slots, group.service_ms)
