"""Define the RPC messages that replicate endpoint records."""

from typing import Annotated

import msgspec
from baobabwharf_core.ids import EndpointId, Incarnation, RegionId
from baobabwharf_core.input_types import (
    EXACT_INTEGER,
    HEADER_TOKEN,
    DurationIntegerMs,
    ExactInteger,
)

PUSH_PATH = '/baobabwharf.Endpoints/Push'
FETCH_PATH = '/baobabwharf.Endpoints/Fetch'


class Renewal(msgspec.Struct, frozen=True):
    """Report a heartbeat of an endpoint.

    state is the checksum of its state: a VM that missed a change holds another.
    VMs of earlier versions send none.
    """

    endpoint_id: Annotated[EndpointId, HEADER_TOKEN]
    order: tuple[ExactInteger, ExactInteger]
    cold_left_ms: DurationIntegerMs
    state: ExactInteger | None = None


class Departure(msgspec.Struct, frozen=True):
    """Report an endpoint that said in an answer that it is leaving."""

    endpoint_id: Annotated[EndpointId, HEADER_TOKEN]
    incarnation: Annotated[Incarnation, EXACT_INTEGER]


class EndpointPush(msgspec.Struct, frozen=True):
    """Send changed records, renewals, departures and endpoints that left.

    EndpointRecord, Renewal and Departure are decoded one by one, so that an
    invalid one does not affect the others.
    """

    records: tuple[msgspec.Raw, ...] = ()
    renewals: tuple[msgspec.Raw, ...] = ()
    left: tuple[EndpointId, ...] = ()
    departures: tuple[msgspec.Raw, ...] = ()


class EndpointPushReply(msgspec.Struct, frozen=True):
    """Acknowledge a push; unknown requests the records of these endpoints."""

    unknown: tuple[EndpointId, ...] = ()


class EndpointFetchRequest(msgspec.Struct, frozen=True):
    """Request the endpoints of a region."""

    region: RegionId
