"""Place requests on endpoints or queue them, by service and model."""

import random
from collections.abc import Iterator

from baobabwharf_core.ids import EndpointId, ModelId, RegionId, ServiceId
from baobabwharf_core.refusals import Refusal, RefusalCode
from baobabwharf_core.requests import AttemptOutcome, RequestAttributes
from expression import Error, Result

from baobabwharf_decisions.admission import Admission, Capacity, Ticket, cost
from baobabwharf_decisions.endpoint_chooser import (
    ESTIMATE_CANDIDATES,
    RATED_CANDIDATES,
    Candidate,
    EndpointChooser,
)
from baobabwharf_decisions.endpoint_directory import EndpointDirectory, GroupKey
from baobabwharf_decisions.endpoint_groups import EndpointGroup
from baobabwharf_decisions.routing import LocalEstimate
from baobabwharf_decisions.wait_estimate import expected_wait_ms

# Share of the slots of each endpoint that classes below the most urgent one
# leave free, so that an urgent request never waits for a long one to end.
RESERVE_SHARE = 0.4


class Dispatcher:
    """Place requests, with an admission queue for each service and model."""

    def __init__(
        self,
        region: RegionId,
        directory: EndpointDirectory,
        rng: random.Random,
    ) -> None:
        self._region = region
        self._directory = directory
        self._chooser = EndpointChooser(region, directory, rng)
        self._admissions: dict[GroupKey, Admission] = {}

    def place_now(
        self,
        attributes: RequestAttributes,
        excluded: frozenset[EndpointId],
        now_ms: int,
    ) -> Candidate | None:
        """Place a request at once unless others are queued before it."""
        admission = self._admission_for(attributes.service, attributes.model)
        if admission.blocked(attributes.first_token_ms):
            return None
        candidate = self._choose(admission, attributes, excluded, now_ms)
        if candidate is None:
            return None
        self._send(candidate, now_ms)
        admission.charge(attributes, cost(attributes))
        return candidate

    def enqueue(
        self,
        attributes: RequestAttributes,
        excluded: frozenset[EndpointId],
        deadline_at_ms: int,
        now_ms: int,
    ) -> Result[Ticket, Refusal]:
        """Queue a request, or refuse it as not executed."""
        group = self._directory.groups.get(
            (attributes.service, attributes.model)
        )
        if group is None or not self._chooser.serves(attributes, now_ms):
            return Error(
                Refusal(
                    RefusalCode.NO_ENDPOINT,
                    detail=f'no endpoint serves {attributes.service} here',
                )
            )
        admission = self._admission_for(attributes.service, attributes.model)
        return admission.offer(
            attributes, excluded, _capacity(group), deadline_at_ms, now_ms
        )

    def cancel(self, ticket: Ticket) -> None:
        """Remove the request of a caller that has disconnected."""
        admission = self._admission_for(
            ticket.attributes.service, ticket.attributes.model
        )
        admission.cancel(ticket.attributes.request_id)

    def place_waiting(
        self, service: ServiceId, now_ms: int
    ) -> Iterator[tuple[Ticket, Candidate]]:
        """Place and yield waiting requests of a service that fit."""
        for key, admission in self._admissions.items():
            if key[0] == service and admission.waiting:
                yield from self._place_waiting_in(admission, now_ms)

    def place_all_waiting(
        self, now_ms: int
    ) -> Iterator[tuple[Ticket, Candidate]]:
        """Place and yield all waiting requests that fit."""
        for admission in self._admissions.values():
            if admission.waiting:
                yield from self._place_waiting_in(admission, now_ms)

    def expire(self, now_ms: int) -> Iterator[tuple[Ticket, Refusal]]:
        """Remove and yield requests whose deadline has passed."""
        for admission in self._admissions.values():
            if admission.waiting:
                yield from admission.expire(now_ms)

    def decay_usage(self) -> None:
        """Decay the served tokens counted per customer while no request waits."""
        for admission in self._admissions.values():
            admission.decay_usage()

    def settle_charge(
        self, attributes: RequestAttributes, outcome: AttemptOutcome
    ) -> None:
        """Refund the reserved output tokens that were not generated."""
        surplus = attributes.max_output_tokens - outcome.output_tokens
        admission = self._admission_for(attributes.service, attributes.model)
        admission.charge(attributes, -float(max(0, surplus)))

    def local_estimate(
        self, attributes: RequestAttributes, now_ms: int
    ) -> LocalEstimate:
        """Return the estimate of this region for a request."""
        if not self._chooser.allows(attributes):
            return LocalEstimate(False, 0.0, 0.0)
        group = self._directory.groups.get(
            (attributes.service, attributes.model)
        )
        if group is None or not self._chooser.serves(attributes, now_ms):
            return LocalEstimate(False, 0.0, 0.0)
        admission = self._admission_for(attributes.service, attributes.model)
        ahead = admission.ahead(attributes.first_token_ms)
        wait_ms = expected_wait_ms(
            group.requests + ahead, group.slots, group.service_ms
        )
        candidate = self._choose(
            admission, attributes, frozenset(), now_ms, ESTIMATE_CANDIDATES
        )
        if candidate is None:
            complete_ms = wait_ms + group.service_ms
            return LocalEstimate(
                True, wait_ms, complete_ms, admission.strictest_target_ms
            )
        expected = candidate.expected
        return LocalEstimate(
            True,
            wait_ms + expected.first_token_ms,
            wait_ms + expected.complete_ms,
            admission.strictest_target_ms,
        )

    def effective_exclusions(
        self,
        attributes: RequestAttributes,
        excluded: frozenset[EndpointId],
        now_ms: int,
    ) -> frozenset[EndpointId]:
        """Return the exclusions, or none if they would leave no endpoint."""
        group = self._directory.groups.get(
            (attributes.service, attributes.model)
        )
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
        admission: Admission,
        attributes: RequestAttributes,
        excluded: frozenset[EndpointId],
        now_ms: int,
        limit: int = RATED_CANDIDATES,
    ) -> Candidate | None:
        urgent = admission.most_urgent(attributes.first_token_ms)
        reserve_share = 0.0 if urgent else RESERVE_SHARE
        return self._chooser.choose(
            attributes, excluded, reserve_share, now_ms, limit
        )

    def _place_waiting_in(
        self, admission: Admission, now_ms: int
    ) -> Iterator[tuple[Ticket, Candidate]]:
        def fits(ticket: Ticket) -> Candidate | None:
            return self._choose(
                admission, ticket.attributes, ticket.excluded, now_ms
            )

        for ticket, candidate in admission.place(fits, now_ms):
            self._send(candidate, now_ms)
            yield ticket, candidate

    def _send(self, candidate: Candidate, now_ms: int) -> None:
        prefill_ms = candidate.expected.prefill_ms
        endpoint_id = candidate.endpoint.endpoint_id
        self._directory.record_sent(endpoint_id, prefill_ms, now_ms)

    def _admission_for(
        self, service: ServiceId, model: ModelId | None
    ) -> Admission:
        admission = self._admissions.get((service, model))
        if admission is None:
            admission = Admission()
            self._admissions[service, model] = admission
        return admission


def _capacity(group: EndpointGroup) -> Capacity:
    return Capacity(group.slots, group.service_ms)
