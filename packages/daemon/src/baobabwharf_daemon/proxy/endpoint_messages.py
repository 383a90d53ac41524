"""Define the RPC messages that replicate endpoint records."""

import msgspec
from baobabwharf_core.ids import EndpointId, RegionId
from baobabwharf_decisions.proxying.endpoint_table import EndpointRecord

PUSH_PATH = '/baobabwharf.Endpoints/Push'
FETCH_PATH = '/baobabwharf.Endpoints/Fetch'


class Renewal(msgspec.Struct, frozen=True):
    """Report a heartbeat of an endpoint.

    state is the checksum of its state: a VM that missed a change holds another.
    VMs of earlier versions send none.
    """

    endpoint_id: EndpointId
    order: tuple[int, int]
    cold_left_ms: int
    state: int | None = None


class EndpointPush(msgspec.Struct, frozen=True):
    """Send changed records, renewals and the endpoints that left."""

    records: tuple[EndpointRecord, ...] = ()
    renewals: tuple[Renewal, ...] = ()
    left: tuple[EndpointId, ...] = ()


class EndpointPushReply(msgspec.Struct, frozen=True):
    """Acknowledge a push; unknown requests the records of these endpoints."""

    unknown: tuple[EndpointId, ...] = ()


class EndpointFetchRequest(msgspec.Struct, frozen=True):
    """Request the endpoints of a region."""

    region: RegionId
