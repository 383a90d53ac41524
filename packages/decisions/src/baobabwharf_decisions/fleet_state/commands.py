"""Define the commands in the replicated log and their answers."""

import msgspec
from baobabwharf_core.changes import ChangeOutcome, ChangeRequest
from baobabwharf_core.ids import (
    CustomerId,
    FencingToken,
    RequestId,
    VmId,
)


class _Operation(msgspec.Struct, frozen=True, tag=True):
    """Tag each kind of operation with its class name when encoded."""


class ApplyChange(_Operation, frozen=True, tag=True):
    """Change the configuration."""

    request: ChangeRequest


class TakeLease(_Operation, frozen=True, tag=True):
    """Take or renew a lease for a duration in ms."""

    name: str
    holder: VmId
    duration_ms: int


class ReleaseLease(_Operation, frozen=True, tag=True):
    """Release a lease before it expires."""

    name: str
    holder: VmId
    token: FencingToken


class BeginClaim(_Operation, frozen=True, tag=True):
    """Claim an idempotency key before a call is sent to an endpoint."""

    customer_id: CustomerId
    idempotency_key: str
    body_digest: bytes
    request_id: RequestId
    owner: VmId


class FinishClaim(_Operation, frozen=True, tag=True):
    """Record the outcome of a call; state is one of the chart booking_claim."""

    customer_id: CustomerId
    idempotency_key: str
    request_id: RequestId
    state: str
    status: int = 0
    content_type: str = ''
    body: bytes = b''


class LoseOwner(_Operation, frozen=True, tag=True):
    """Mark the running claims of a failed VM as unknown."""

    owner: VmId


Operation = (
    ApplyChange
    | TakeLease
    | ReleaseLease
    | BeginClaim
    | FinishClaim
    | LoseOwner
)


class Command(msgspec.Struct, frozen=True):
    """Pair an operation with the leader's wall time in ms."""

    at_ms: int
    operation: Operation


class _Answer(msgspec.Struct, frozen=True, tag=True):
    """Tag each kind of answer with its class name when encoded."""


class ChangeAnswer(_Answer, frozen=True, tag=True):
    """Answer a change."""

    outcome: ChangeOutcome


class LeaseAnswer(_Answer, frozen=True, tag=True):
    """Answer a lease operation; retry_after_ms is the wait if refused."""

    granted: bool
    holder: VmId
    token: FencingToken
    retry_after_ms: int = 0


class ClaimAnswer(_Answer, frozen=True, tag=True):
    """Answer a claim operation; done is true if the outcome is recorded."""

    state: str
    owner: VmId
    granted: bool = False
    mismatch: bool = False
    done: bool = False
    status: int = 0
    content_type: str = ''
    body: bytes = b''


class Done(_Answer, frozen=True, tag=True):
    """Answer an operation that has no result."""


Answer = ChangeAnswer | LeaseAnswer | ClaimAnswer | Done
