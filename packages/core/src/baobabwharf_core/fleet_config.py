"""Define the replicated configuration of the fleet."""

from typing import Annotated

import msgspec

from baobabwharf_core.deployment import Deployment
from baobabwharf_core.ids import (
    CustomerId,
    Incarnation,
    KeyId,
    RegionId,
    Revision,
    ServiceId,
    VmId,
    WorkClass,
    ZoneId,
)
from baobabwharf_core.input_types import EXACT_INTEGER, ExactInteger, TokenCount


class Customer(msgspec.Struct, frozen=True):
    """Describe a customer; an empty residency allows every region."""

    customer_id: CustomerId
    rate_tokens_per_s: TokenCount
    burst_tokens: TokenCount
    residency: tuple[RegionId, ...] = ()


class KeyRecord(msgspec.Struct, frozen=True):
    """Hold the digest of a customer's key; the key itself is never stored."""

    key_id: KeyId
    customer_id: CustomerId
    digest: bytes
    withdrawn: bool = False


class EndpointKeyRecord(msgspec.Struct, frozen=True):
    """Hold the digest of a key that authenticates endpoints of a service."""

    key_id: KeyId
    service: ServiceId
    digest: bytes
    withdrawn: bool = False


class Target(msgspec.Struct, frozen=True):
    """Describe the latency targets of a work class.

    max_away_share limits the share of requests that may spill over to other
    regions.
    """

    work_class: WorkClass
    first_token_ms: int
    complete_ms: int
    max_away_share: float = 1.0


class RouteRule(msgspec.Struct, frozen=True):
    """Describe how requests to a service below a path prefix are handled."""

    service: ServiceId
    path_prefix: str = '/'
    open_to_all: bool = False
    repeatable: bool = True
    work_class: WorkClass = WorkClass('interactive')


class VmRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """Describe a VM that has joined the fleet.

    capacity says what it can carry relative to the other VMs; it is 0 where it
    is unknown, such as from VMs of earlier versions.
    """

    vm_id: VmId
    region: RegionId
    zone: ZoneId
    has_disk: bool
    peer_address: str
    forward_address: str
    caller_url: str
    incarnation: Annotated[Incarnation, EXACT_INTEGER] = Incarnation(0)
    capacity: ExactInteger = 0


class FleetConfig(msgspec.Struct, frozen=True):
    """Hold the whole configuration at one revision."""

    revision: Revision = Revision(0)
    customers: dict[CustomerId, Customer] = {}
    keys: dict[KeyId, KeyRecord] = {}
    endpoint_keys: dict[KeyId, EndpointKeyRecord] = {}
    targets: dict[WorkClass, Target] = {}
    routes: dict[str, RouteRule] = {}
    vms: dict[VmId, VmRecord] = {}
    deployment: Deployment | None = None
    evacuated: tuple[ZoneId, ...] = ()


def route_key(service: ServiceId, path_prefix: str) -> str:
    """Return the key of a route rule in FleetConfig.routes."""
    return f'{service} {path_prefix}'
