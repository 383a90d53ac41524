"""Define how tasks ask each other.

All tasks run on one event loop.  A method that is not a coroutine handles its
message at once, without a queue, since a queue on the request path costs more
than the decision itself.  Arguments and answers are immutable.
"""

import abc
import asyncio
from collections.abc import Mapping, Sequence
from typing import Any

import msgspec
from baobabwharf_core.announcements import Announcement, Heartbeat, LeaseAnswer
from baobabwharf_core.changes import ChangeOutcome, ChangeRequest
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
from baobabwharf_core.model import FleetConfig, VmRecord
from baobabwharf_core.refusals import Refusal
from baobabwharf_core.requests import (
    AttemptOutcome,
    EndpointChoice,
    RegionChoice,
    RequestFacts,
    Reservation,
)
from expression import Result


class ConfigSource(abc.ABC):
    """Give the configuration that is in force on this VM."""

    @property
    @abc.abstractmethod
    def config(self) -> FleetConfig:
        """Return the configuration in force; its revision never decreases."""

    @property
    @abc.abstractmethod
    def ready(self) -> bool:
        """Tell whether any configuration has been received."""

    @property
    @abc.abstractmethod
    def age_ms(self) -> int:
        """Return the time since the upstream last confirmed the revision."""

    @abc.abstractmethod
    def is_withdrawn(self, digest: bytes) -> bool:
        """Tell whether a withdrawal of the key is known, logged or urgent."""

    @abc.abstractmethod
    def subscribe(self) -> asyncio.Queue[FleetConfig]:
        """Return a queue of size one that holds the newest configuration."""


class ChangeClient(abc.ABC):
    """Submit changes to the leader, wherever it is."""

    @abc.abstractmethod
    async def propose(self, request: ChangeRequest) -> ChangeOutcome:
        """Return the outcome; NOT_ACCEPTED is final, UNKNOWN may be asked."""

    @abc.abstractmethod
    async def outcome(self, request_id: RequestId) -> ChangeOutcome | None:
        """Return the first answer to a request id, if there is one."""


class ClaimState(msgspec.Struct, frozen=True):
    """Tell what is known of an idempotency key.

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
        """Claim a key before the call is sent, or learn who did."""

    @abc.abstractmethod
    async def finish(
        self,
        customer_id: CustomerId,
        idempotency_key: str,
        request_id: RequestId,
        answer: ClaimState,
    ) -> bool:
        """Record the answer; state "absent" frees a claim that never ran."""


class LimitClient(abc.ABC):
    """Take and return tokens of customers."""

    @abc.abstractmethod
    async def reserve(
        self, customer_id: CustomerId, tokens: int, wait_ms: int
    ) -> Result[Reservation, Refusal]:
        """Take tokens, waiting for borrowed ones up to wait_ms."""

    @abc.abstractmethod
    def settle(self, reservation: Reservation, used_tokens: int) -> None:
        """Return the unused part of a reservation."""


class MembershipView(abc.ABC):
    """Tell which VMs are alive."""

    @abc.abstractmethod
    def live_vms(self) -> tuple[VmRecord, ...]:
        """Return VMs that are alive and not stopping, this VM included."""

    @abc.abstractmethod
    def announce_leaving(self) -> None:
        """Tell the others that this VM stops."""


class Router(abc.ABC):
    """Choose regions and endpoints and learn from the outcomes."""

    @abc.abstractmethod
    def choose_region(
        self, facts: RequestFacts
    ) -> Result[RegionChoice, Refusal]:
        """Choose the region; the VM is None when this VM's region serves."""

    @abc.abstractmethod
    async def admit(
        self, facts: RequestFacts, excluded: frozenset[EndpointId]
    ) -> Result[EndpointChoice, Refusal]:
        """Wait in the queue of the class until an endpoint has room."""

    @abc.abstractmethod
    def attempt_ended(
        self, facts: RequestFacts, outcome: AttemptOutcome
    ) -> None:
        """Release the room of an attempt and learn from its outcome."""

    @abc.abstractmethod
    def attempt_cancelled(
        self, facts: RequestFacts, endpoint_id: EndpointId
    ) -> None:
        """Release the room of an attempt that says nothing of its endpoint."""

    @abc.abstractmethod
    def forward_ended(self, request_id: RequestId) -> None:
        """Count a request that was forwarded to another VM as ended."""

    @abc.abstractmethod
    def may_retry(
        self, facts: RequestFacts, outcome: AttemptOutcome, attempt: int
    ) -> Result[int, Refusal]:
        """Return the backoff in ms before the next attempt, or a refusal."""

    @abc.abstractmethod
    def explain(self, request_id: RequestId) -> tuple[str, ...]:
        """Return the sentences that explain a request's decisions."""


class EndpointRegistry(abc.ABC):
    """Accept announcements and heartbeats of endpoints."""

    @abc.abstractmethod
    def announce(
        self, announcement: Announcement
    ) -> Result[LeaseAnswer, Refusal]:
        """Record an endpoint whose key was checked."""

    @abc.abstractmethod
    def heartbeat(self, beat: Heartbeat) -> Result[LeaseAnswer, Refusal]:
        """Renew the lease; an unknown endpoint must announce itself."""

    @abc.abstractmethod
    def describe(self) -> tuple[dict[str, Any], ...]:
        """Return one JSON object for each known endpoint, for operators."""


class ModelCatalog(abc.ABC):
    """Tell which models the fleet serves."""

    @abc.abstractmethod
    def models(self) -> Mapping[ModelId, ServiceId]:
        """Return the service of each model, over all regions."""

    @property
    @abc.abstractmethod
    def complete(self) -> bool:
        """Tell whether every region with live VMs has been heard."""


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
        """Ask VMs directly for their revision, ahead of their reports."""
