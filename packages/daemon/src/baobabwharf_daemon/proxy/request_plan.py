"""Define the parameters of a request and the state of its attempts."""

import msgspec
from baobabwharf_core.deployment import DeployedCustomer
from baobabwharf_core.ids import CustomerId, RegionId, ServiceId
from baobabwharf_core.input_types import (
    Amount,
    DurationIntegerMs,
    ExactInteger,
    RemainingIntegerMs,
)
from baobabwharf_decisions.proxying.attempt_outcomes import AttemptCounts
from baobabwharf_decisions.proxying.expected_time import LATE_RANK
from baobabwharf_decisions.proxying.prompt_cache import Prompt
from baobabwharf_decisions.proxying.request_traits import (
    TraitId,
    Traits,
    request_traits,
)

from baobabwharf_daemon.proxy.http_messages import Framing

# Fraction of the time to the deadline in which the first event of such a
# request should come; the rest is for the other events.
_LATE_SHARE = 0.5


class ForwardMetadata(msgspec.Struct, frozen=True):
    """Carry a forwarded request's parameters to another VM.

    Times are remaining ms.  The receiving VM does not forward it again.
    """

    request_id: str
    service: ServiceId
    route: str
    urgency: Amount
    time_left_ms: DurationIntegerMs
    target_left_ms: RemainingIntegerMs
    max_attempts: Amount
    repeatable: bool
    streaming: bool
    resumes: bool
    customer: DeployedCustomer | None
    homes: tuple[RegionId, ...] | None
    prompt: Prompt = ()
    resume_after: ExactInteger | None = None
    whole_trait: TraitId | None = None
    output_tokens: ExactInteger = 0

    @property
    def traits(self) -> Traits:
        """Return what the request is recognized by if it crashes endpoints."""
        return request_traits(self.prompt, self.whole_trait)

    @property
    def part_ids(self) -> list[str]:
        """Return the ids of the parts of the prompt."""
        return [part.part_id for part in self.prompt]


class RequestPlan(msgspec.Struct):
    """Hold the parameters and state of a request; times are local ms."""

    metadata: ForwardMetadata
    started_ms: int
    deadline_ms: int
    target_ms: int
    attempts: AttemptCounts
    forwarded: bool = False
    # Reason why a response was aborted after it had begun.
    abort_reason: str | None = None
    # Time at which the headers of the latest response arrived.
    headers_received_ms: int | None = None
    # What ended the body of that response.
    framing: Framing | None = None
    # No endpoint could serve the request in time, so it is served after others.
    late: bool = False
    # Expected time to a first event in this region, without the prompt.
    region_wait_ms: int | None = None
    # Expected and observed time from the last sending to the first event.
    expected_ms: int | None = None
    first_event_ms: int | None = None

    @property
    def customer_id(self) -> CustomerId | None:
        """Return the customer to charge, None on public routes."""
        customer = self.metadata.customer
        return None if customer is None else customer.customer_id

    @property
    def allowed_regions(self) -> frozenset[RegionId] | None:
        """Return the regions that may serve the request, None for all."""
        homes = self.metadata.homes
        return None if homes is None else frozenset(homes)

    def accept_late(self, now_ms: int) -> None:
        """Aim at the deadline instead of the target, behind other requests."""
        self.late = True
        left_ms = int((self.deadline_ms - now_ms) * _LATE_SHARE)
        self.target_ms = now_ms + left_ms
        self.metadata = msgspec.structs.replace(
            self.metadata, urgency=LATE_RANK
        )


def build_plan(
    metadata: ForwardMetadata, now_ms: int, *, forwarded: bool
) -> RequestPlan:
    """Return the plan of a request that starts now."""
    return RequestPlan(
        metadata,
        now_ms,
        now_ms + metadata.time_left_ms,
        now_ms + metadata.target_left_ms,
        AttemptCounts(metadata.max_attempts, metadata.repeatable),
        forwarded,
    )


def remaining_metadata(plan: RequestPlan, now_ms: int) -> ForwardMetadata:
    """Return the metadata for forwarding, with the remaining times."""
    return msgspec.structs.replace(
        plan.metadata,
        time_left_ms=max(1, plan.deadline_ms - now_ms),
        target_left_ms=plan.target_ms - now_ms,
        max_attempts=plan.attempts.max_attempts - plan.attempts.sent,
        customer=_without_key_digests(plan.metadata.customer),
    )


def _without_key_digests(
    customer: DeployedCustomer | None,
) -> DeployedCustomer | None:
    if customer is None:
        return None
    return msgspec.structs.replace(customer, key_digests=())
