"""Define the request attributes and results of routing decisions."""

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


class RequestAttributes(msgspec.Struct, frozen=True):
    """Hold the attributes that limits, admission, routing and retries use.

    deadline_ms is the time that was left when this record was made.  It is
    passed between VMs as time left, not as a point in time, since their clocks
    differ.
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
    # Number of forwards between VMs so far, at most 1.
    hop: int = 0
    origin_vm: VmId | None = None
    origin_region: RegionId | None = None

    @property
    def reserved_tokens(self) -> int:
        """Return the tokens to reserve until the output length is known."""
        return self.prompt_tokens + self.max_output_tokens


class RegionChoice(msgspec.Struct, frozen=True):
    """Hold the region chosen for a request and a VM there."""

    region: RegionId
    vm_id: VmId | None
    forward_address: str | None
    reason: str


class EndpointChoice(msgspec.Struct, frozen=True):
    """Hold the endpoint chosen for a request."""

    endpoint_id: EndpointId
    url: str
    supports_resume: bool
    supports_cancel: bool
    supports_priority: bool
    reason: str


class AttemptOutcome(msgspec.Struct, frozen=True):
    """Report how an attempt at an endpoint ended.

    sent is false if nothing was sent to the endpoint.
    """

    endpoint_id: EndpointId
    succeeded: bool
    sent: bool
    first_token_ms: int | None = None
    total_ms: int = 0
    output_tokens: int = 0


class Reservation(msgspec.Struct, frozen=True):
    """Record tokens that were reserved from the balance of a customer."""

    reservation_id: int
    customer_id: CustomerId
    tokens: int
