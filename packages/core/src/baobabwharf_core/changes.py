"""Describe changes to the configuration and their outcomes."""

import enum

import msgspec

from baobabwharf_core.deployment import Deployment
from baobabwharf_core.ids import (
    CustomerId,
    KeyId,
    RegionId,
    RequestId,
    Revision,
    VmId,
    ZoneId,
)
from baobabwharf_core.model import (
    Customer,
    EndpointKeyRecord,
    FleetConfig,
    KeyRecord,
    RouteRule,
    Target,
    VmRecord,
)


class _Change(msgspec.Struct, frozen=True, tag=True):
    """Tag each kind of change with its name."""


class CreateCustomer(_Change, frozen=True, tag=True):
    """Add a customer."""

    customer: Customer


class SetCap(_Change, frozen=True, tag=True):
    """Set rate in tokens per second and burst in tokens."""

    customer_id: CustomerId
    rate_tokens_per_s: int
    burst_tokens: int


class SetResidency(_Change, frozen=True, tag=True):
    """Set the regions that may serve a customer; empty allows all."""

    customer_id: CustomerId
    residency: tuple[RegionId, ...]


class RemoveCustomer(_Change, frozen=True, tag=True):
    """Remove a customer and withdraw its keys."""

    customer_id: CustomerId


class CreateKey(_Change, frozen=True, tag=True):
    """Add a key by its digest."""

    key: KeyRecord


class WithdrawKey(_Change, frozen=True, tag=True):
    """Withdraw a key for good."""

    key_id: KeyId


class CreateEndpointKey(_Change, frozen=True, tag=True):
    """Add an endpoint key by its digest."""

    key: EndpointKeyRecord


class WithdrawEndpointKey(_Change, frozen=True, tag=True):
    """Withdraw an endpoint key for good."""

    key_id: KeyId


class SetTarget(_Change, frozen=True, tag=True):
    """Set the target for a class of work."""

    target: Target


class SetRoute(_Change, frozen=True, tag=True):
    """Set the rule for calls of a service below a path prefix."""

    rule: RouteRule


class RegisterVm(_Change, frozen=True, tag=True):
    """Add a VM or record its new incarnation."""

    vm: VmRecord


class RemoveVm(_Change, frozen=True, tag=True):
    """Remove a VM for good."""

    vm_id: VmId


class ApplyConfig(_Change, frozen=True, tag=True):
    """Replace customers, targets and routes as a whole; keys stay."""

    config: FleetConfig


class InstallDeployment(_Change, frozen=True, tag=True):
    """Replace the deployment unless one with this version or above is held."""

    deployment: Deployment


class SetEvacuation(_Change, frozen=True, tag=True):
    """Take an availability zone out of use, or back into use."""

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
    """Tell the outcome of a change."""

    ACCEPTED = 'accepted'
    REVISION_CONFLICT = 'revision_conflict'
    NOT_FOUND = 'not_found'
    ALREADY_EXISTS = 'already_exists'
    INVALID = 'invalid'
    REQUEST_ID_REUSED = 'request_id_reused'
    NOT_ACCEPTED = 'not_accepted'
    UNKNOWN = 'unknown'


class ChangeRequest(msgspec.Struct, frozen=True):
    """Ask for a change; a resend keeps its request id."""

    request_id: RequestId
    change: Change
    expected_revision: Revision | None = None


class ChangeOutcome(msgspec.Struct, frozen=True):
    """Answer a change with the revision that holds it or a conflict."""

    request_id: RequestId
    code: ChangeCode
    revision: Revision
    sentence: str = ''
