"""Describe a request as the decisions see it."""

import msgspec

from baobabwharf_core.ids import (
    CustomerId,
    EndpointId,
    ModelId,
    RegionId,
    RequestId,
    ServiceId,
    VmId,
    WorkClass,
)


class RequestFacts(msgspec.Struct, frozen=True):
    """Hold what limits, admission, routing and retries need to know.

    deadline_ms is the time left when the facts were made; between VMs it is
    passed as time left, since their clocks differ.
    """

    request_id: RequestId
    customer_id: CustomerId
    service: ServiceId
    work_class: WorkClass
    residency: tuple[RegionId, ...]
    deadline_ms: int
    first_token_ms: int
    model: ModelId | None = None
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    body_bytes: int = 0
    prefix_hashes: tuple[int, ...] = ()
    repeatable: bool = True
    streaming: bool = False
    # VMs the request crossed; 1 proves that it was already forwarded.
    hop: int = 0
    origin_vm: VmId | None = None
    origin_region: RegionId | None = None

    @property
    def reserved_tokens(self) -> int:
        """Return the tokens reserved until the length is known."""
        return self.prompt_tokens + self.max_output_tokens


class RegionChoice(msgspec.Struct, frozen=True):
    """Name the region that serves a request and a VM there."""

    region: RegionId
    vm_id: VmId | None
    forward_address: str | None
    reason: str


class EndpointChoice(msgspec.Struct, frozen=True):
    """Name the endpoint that serves a request."""

    endpoint_id: EndpointId
    url: str
    supports_resume: bool
    supports_cancel: bool
    supports_priority: bool
    reason: str


class AttemptOutcome(msgspec.Struct, frozen=True):
    """Report how one attempt at an endpoint ended, with times in ms."""

    endpoint_id: EndpointId
    succeeded: bool
    sent: bool
    first_token_ms: int | None = None
    total_ms: int = 0
    output_tokens: int = 0


class Reservation(msgspec.Struct, frozen=True):
    """Hold tokens that were taken from a customer's balance."""

    reservation_id: int
    customer_id: CustomerId
    tokens: int
