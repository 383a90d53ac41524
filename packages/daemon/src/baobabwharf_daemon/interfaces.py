"""Define the interfaces through which the tasks of a daemon call each other.

All tasks run on one event loop.  A method that is not a coroutine does its work
synchronously, without a queue, since a queue on the request path costs more
than the decision itself.  Arguments and results are immutable.
"""

import abc
import asyncio
from collections.abc import Mapping, Sequence
from typing import Any

import msgspec
from baobabwharf_core.announcements import Announcement, Heartbeat, LeaseAnswer
from baobabwharf_core.changes import ChangeOutcome, ChangeRequest
from baobabwharf_core.fleet_config import FleetConfig, VmRecord
from baobabwharf_core.ids import (
    CustomerId,
    EndpointId,
    Incarnation,
    ModelId,
    RegionId,
    RequestId,
    Revision,
    ServiceId,
    VmId,
    ZoneId,
)
from baobabwharf_core.refusals import Refusal
from baobabwharf_core.requests import (
    AttemptOutcome,
    EndpointChoice,
    RegionChoice,
    RequestAttributes,
    Reservation,
)
from expression import Result


class ConfigSource(abc.ABC):
    """Provide the configuration that is in force on this VM."""

    @property
    @abc.abstractmethod
    def config(self) -> FleetConfig:
        """Return the configuration in force; its revision never decreases."""

    @property
    @abc.abstractmethod
    def ready(self) -> bool:
        """Return whether any configuration has been received."""

    @property
    @abc.abstractmethod
    def age_ms(self) -> int:
        """Return the time since the upstream last confirmed the revision."""

    @abc.abstractmethod
    def is_withdrawn(self, digest: bytes) -> bool:
        """Return whether a logged or urgent withdrawal of the key is known."""

    @abc.abstractmethod
    def subscribe(self) -> asyncio.Queue[FleetConfig]:
        """Return a queue of size one that holds the latest configuration."""


class ChangeClient(abc.ABC):
    """Submit changes to the leader, wherever it is."""

    @abc.abstractmethod
    async def propose(self, request: ChangeRequest) -> ChangeOutcome:
        """Return the outcome of a change.

        NOT_ACCEPTED is final; UNKNOWN may be resolved with outcome().
        """

    @abc.abstractmethod
    async def outcome(self, request_id: RequestId) -> ChangeOutcome | None:
        """Return the recorded outcome of a request id, if there is one."""


class ClaimState(msgspec.Struct, frozen=True):
    """Describe the recorded claim of an idempotency key.

    state is a state of the booking_claim chart; granted is true only for the
    one caller whose claim was recorded by this call.
    """

    state: str
    granted: bool
    owner: VmId
    status: int = 0
    content_type: str = ''
    body: bytes = b''


class ClaimClient(abc.ABC):
    """Record claims of idempotency keys in the replicated state."""

    @abc.abstractmethod
    async def begin(
        self,
        customer_id: CustomerId,
        idempotency_key: str,
        body_digest: bytes,
        request_id: RequestId,
    ) -> Result[ClaimState, Refusal]:
        """Claim a key before the call is sent, or return the existing claim."""

    @abc.abstractmethod
    async def finish(
        self,
        customer_id: CustomerId,
        idempotency_key: str,
        request_id: RequestId,
        answer: ClaimState,
    ) -> bool:
        """Record the answer; state "absent" releases a claim that never ran."""


class LimitClient(abc.ABC):
    """Reserve and settle tokens of customers' rate limits."""

    @abc.abstractmethod
    async def reserve(
        self, customer_id: CustomerId, tokens: int, wait_ms: int
    ) -> Result[Reservation, Refusal]:
        """Reserve tokens, waiting up to wait_ms to borrow missing ones."""

    @abc.abstractmethod
    def settle(self, reservation: Reservation, used_tokens: int) -> None:
        """Release the unused part of a reservation."""


class MembershipView(abc.ABC):
    """Provide the VMs that are alive."""

    @abc.abstractmethod
    def live_vms(self) -> tuple[VmRecord, ...]:
        """Return VMs that are alive and not stopping, this VM included."""

    @abc.abstractmethod
    def announce_leaving(self) -> None:
        """Announce to the other VMs that this VM is stopping."""


class Router(abc.ABC):
    """Choose regions and endpoints and update estimates from outcomes."""

    @abc.abstractmethod
    def choose_region(
        self, attributes: RequestAttributes
    ) -> Result[RegionChoice, Refusal]:
        """Choose the region; the VM is None for the region of this VM."""

    @abc.abstractmethod
    async def admit(
        self, attributes: RequestAttributes, excluded: frozenset[EndpointId]
    ) -> Result[EndpointChoice, Refusal]:
        """Choose an endpoint; queue by work class until a slot is free."""

    @abc.abstractmethod
    def attempt_ended(
        self, attributes: RequestAttributes, outcome: AttemptOutcome
    ) -> None:
        """Release the slot of an attempt and record its outcome."""

    @abc.abstractmethod
    def attempt_cancelled(
        self, attributes: RequestAttributes, endpoint_id: EndpointId
    ) -> None:
        """Release the slot of an attempt without rating its endpoint."""

    @abc.abstractmethod
    def forward_ended(self, request_id: RequestId) -> None:
        """Record the end of a request that was forwarded to another VM."""

    @abc.abstractmethod
    def may_retry(
        self,
        attributes: RequestAttributes,
        outcome: AttemptOutcome,
        attempt: int,
    ) -> Result[int, Refusal]:
        """Return the backoff in ms before the next attempt, or a refusal."""

    @abc.abstractmethod
    def explain(self, request_id: RequestId) -> tuple[str, ...]:
        """Return the sentences that explain the decisions on a request."""


class EndpointRegistry(abc.ABC):
    """Accept announcements and heartbeats from endpoints."""

    @abc.abstractmethod
    def announce(
        self, announcement: Announcement
    ) -> Result[LeaseAnswer, Refusal]:
        """Register an endpoint whose key has been verified."""

    @abc.abstractmethod
    def heartbeat(self, beat: Heartbeat) -> Result[LeaseAnswer, Refusal]:
        """Renew the lease; an unknown endpoint must announce itself."""

    @abc.abstractmethod
    def describe(self) -> tuple[dict[str, Any], ...]:
        """Return one JSON object for each known endpoint, for operators."""


class ModelCatalog(abc.ABC):
    """List the models that the fleet serves."""

    @abc.abstractmethod
    def models(self) -> Mapping[ModelId, ServiceId]:
        """Map each model of any region to its service."""

    @property
    @abc.abstractmethod
    def complete(self) -> bool:
        """Return whether every region with live VMs has sent a summary."""


class VmStatus(msgspec.Struct, frozen=True):
    """Describe a VM as this VM sees it; age_ms is the revision's age."""

    vm_id: VmId
    region: RegionId
    zone: ZoneId
    revision: Revision
    age_ms: int
    alive: bool
    role: str
    incarnation: Incarnation


class StatusSource(abc.ABC):
    """Describe the VMs of the fleet to operators."""

    @abc.abstractmethod
    def vm_status(self) -> tuple[VmStatus, ...]:
        """Return one entry for each known VM, this VM included."""

    @abc.abstractmethod
    async def query_revisions(self, vm_ids: Sequence[VmId]) -> None:
        """Query VMs directly, without waiting for their gossiped reports."""
