"""Define changes to the configuration and their outcomes."""

import enum

import msgspec

from baobabwharf_core.deployment import Deployment
from baobabwharf_core.fleet_config import (
    Customer,
    EndpointKeyRecord,
    FleetConfig,
    KeyRecord,
    RouteRule,
    Target,
    VmRecord,
)
from baobabwharf_core.ids import (
    CustomerId,
    KeyId,
    RegionId,
    RequestId,
    Revision,
    VmId,
    ZoneId,
)
from baobabwharf_core.input_types import TokenCount


class _Change(msgspec.Struct, frozen=True, tag=True):
    """Base of all changes; on the wire the class name is the tag."""


class CreateCustomer(_Change, frozen=True, tag=True):
    """Add a customer."""

    customer: Customer


class SetCap(_Change, frozen=True, tag=True):
    """Set the rate limit of a customer and its burst."""

    customer_id: CustomerId
    rate_tokens_per_s: TokenCount
    burst_tokens: TokenCount


class SetResidency(_Change, frozen=True, tag=True):
    """Set the regions that may serve a customer; empty allows every region."""

    customer_id: CustomerId
    residency: tuple[RegionId, ...]


class RemoveCustomer(_Change, frozen=True, tag=True):
    """Remove a customer and withdraw its keys."""

    customer_id: CustomerId


class CreateKey(_Change, frozen=True, tag=True):
    """Add a key by its digest."""

    key: KeyRecord


class WithdrawKey(_Change, frozen=True, tag=True):
    """Withdraw a key permanently."""

    key_id: KeyId


class CreateEndpointKey(_Change, frozen=True, tag=True):
    """Add an endpoint key by its digest."""

    key: EndpointKeyRecord


class WithdrawEndpointKey(_Change, frozen=True, tag=True):
    """Withdraw an endpoint key permanently."""

    key_id: KeyId


class SetTarget(_Change, frozen=True, tag=True):
    """Set the latency target of a work class."""

    target: Target


class SetRoute(_Change, frozen=True, tag=True):
    """Set the rule for requests to a service below a path prefix."""

    rule: RouteRule


class RegisterVm(_Change, frozen=True, tag=True):
    """Add a VM or record its new incarnation."""

    vm: VmRecord


class RemoveVm(_Change, frozen=True, tag=True):
    """Remove a VM permanently."""

    vm_id: VmId


class ApplyConfig(_Change, frozen=True, tag=True):
    """Replace all customers, targets and routes; keys are kept."""

    config: FleetConfig


class InstallDeployment(_Change, frozen=True, tag=True):
    """Replace the deployment if this version is higher than the current one."""

    deployment: Deployment


class SetEvacuation(_Change, frozen=True, tag=True):
    """Start or end the evacuation of an availability zone."""

    zone: ZoneId
    active: bool


Change = (
    CreateCustomer
    | SetCap
    | SetResidency
    | RemoveCustomer
    | CreateKey
    | WithdrawKey
    | CreateEndpointKey
    | WithdrawEndpointKey
    | SetTarget
    | SetRoute
    | RegisterVm
    | RemoveVm
    | ApplyConfig
    | InstallDeployment
    | SetEvacuation
)


class ChangeCode(enum.Enum):
    """Classify the outcome of a change."""

    ACCEPTED = 'accepted'
    REVISION_CONFLICT = 'revision_conflict'
    NOT_FOUND = 'not_found'
    ALREADY_EXISTS = 'already_exists'
    INVALID = 'invalid'
    REQUEST_ID_REUSED = 'request_id_reused'
    NOT_ACCEPTED = 'not_accepted'
    UNKNOWN = 'unknown'


class ChangeRequest(msgspec.Struct, frozen=True):
    """Request a change; a resend uses the same request id.

    The change is refused if expected_revision is set and not the current one.
    """

    request_id: RequestId
    change: Change
    expected_revision: Revision | None = None


class ChangeOutcome(msgspec.Struct, frozen=True):
    """Report a change as accepted in a revision, or why it was refused."""

    request_id: RequestId
    code: ChangeCode
    revision: Revision
    sentence: str = ''
