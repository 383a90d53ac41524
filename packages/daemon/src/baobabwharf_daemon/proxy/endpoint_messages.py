"""Describe the calls between VMs about endpoints."""

import msgspec
from baobabwharf_core.ids import EndpointId, RegionId
from baobabwharf_decisions.proxying.endpoint_table import EndpointRecord

PUSH_PATH = '/baobabwharf.Endpoints/Push'
FETCH_PATH = '/baobabwharf.Endpoints/Fetch'


class Renewal(msgspec.Struct, frozen=True):
    """Tell that an endpoint was heard with an unchanged state."""

    endpoint_id: EndpointId
    order: tuple[int, int]
    cold_left_ms: int


class EndpointPush(msgspec.Struct, frozen=True):
    """Carry changed records, renewals and endpoints that left."""

    records: tuple[EndpointRecord, ...] = ()
    renewals: tuple[Renewal, ...] = ()
    left: tuple[EndpointId, ...] = ()


class EndpointPushed(msgspec.Struct, frozen=True):
    """Confirm a push; unknown asks for the records of these endpoints."""

    unknown: tuple[EndpointId, ...] = ()


class EndpointFetch(msgspec.Struct, frozen=True):
    """Ask for the endpoints of a region."""

    region: RegionId
