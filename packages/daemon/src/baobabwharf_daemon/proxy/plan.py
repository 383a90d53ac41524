"""Hold what is decided about a request before it is sent anywhere."""

import msgspec
from baobabwharf_core.deployment import DeployedCustomer
from baobabwharf_core.ids import CustomerId, RegionId, ServiceId
from baobabwharf_decisions.proxying.attempt_outcomes import AttemptCounts
from baobabwharf_decisions.proxying.prompt_cache import Prompt


class ForwardFacts(msgspec.Struct, frozen=True):
    """Tell another VM how to serve a request; times are ms left.

    The receiving VM does not forward it again.
    """

    request_id: str
    service: ServiceId
    route: str
    urgency: int
    time_left_ms: int
    target_left_ms: int
    max_attempts: int
    repeatable: bool
    streaming: bool
    resumes: bool
    customer: DeployedCustomer | None
    homes: tuple[RegionId, ...] | None
    prompt: Prompt = ()
    resume_after: int | None = None


class Plan(msgspec.Struct):
    """Hold the facts of a request with local deadlines in ms."""

    facts: ForwardFacts
    started_ms: int
    deadline_ms: int
    target_ms: int
    sends: AttemptCounts
    forwarded: bool = False
    # Why an answer that had begun was cut.
    cut: str | None = None
    # When the first byte of an answer came.
    first_ms: int | None = None

    @property
    def customer_id(self) -> CustomerId | None:
        """Return who is charged, None on routes open to all."""
        customer = self.facts.customer
        return None if customer is None else customer.customer_id

    @property
    def allowed(self) -> frozenset[RegionId] | None:
        """Return the regions that may serve it, None for all."""
        homes = self.facts.homes
        return None if homes is None else frozenset(homes)


def plan_of(facts: ForwardFacts, now_ms: int, *, forwarded: bool) -> Plan:
    """Return the plan of a request that starts now."""
    return Plan(
        facts,
        now_ms,
        now_ms + facts.time_left_ms,
        now_ms + facts.target_left_ms,
        AttemptCounts(facts.max_attempts, facts.repeatable),
        forwarded,
    )


def facts_left(plan: Plan, now_ms: int) -> ForwardFacts:
    """Return the facts with the times that are left now."""
    return msgspec.structs.replace(
        plan.facts,
        time_left_ms=max(1, plan.deadline_ms - now_ms),
        target_left_ms=plan.target_ms - now_ms,
        max_attempts=plan.sends.max_attempts - plan.sends.sent,
        customer=_without_keys(plan.facts.customer),
    )


def _without_keys(
    customer: DeployedCustomer | None,
) -> DeployedCustomer | None:
    if customer is None:
        return None
    return msgspec.structs.replace(customer, key_digests=())
