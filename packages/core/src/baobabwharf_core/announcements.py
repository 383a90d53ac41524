"""Define the JSON messages with which endpoints announce and report."""

import enum
from typing import Annotated

import msgspec

from baobabwharf_core.ids import (
    EndpointId,
    Incarnation,
    ModelId,
    RegionId,
    ServiceId,
    ZoneId,
)
from baobabwharf_core.input_types import (
    EXACT_INTEGER,
    HEADER_TOKEN,
    NAME,
    DurationIntegerMs,
    ExactInteger,
    Name,
    SmallCount,
    Speed,
    Text,
    Weight,
)

ANNOUNCE_PATH = '/platform/v1/announce'
HEARTBEAT_PATH = '/platform/v1/heartbeat'
# Request headers sent to an endpoint, which echoes the request id.
REQUEST_ID_HEADER = 'X-Request-Id'
PRIORITY_HEADER = 'X-Priority'
DEADLINE_HEADER = 'X-Deadline-Ms'
RESUME_HEADER = 'X-Resume-From-Token'
# Response header: "no" on an error if the endpoint did not run the request.
EXECUTED_HEADER = 'X-Executed'
# Paths of the control API that an endpoint serves.
CANCEL_PATH = '/control/cancel'
ORDERS_PATH = '/control/orders'
STATE_PATH = '/control/state'
KV_EXPORT_PATH = '/control/kv/export'
KV_IMPORT_PATH = '/control/kv/import'


class Capabilities(msgspec.Struct, frozen=True):
    """List the optional features that an endpoint supports."""

    priority: bool = False
    cancel: bool = False
    resume: bool = False
    kv_transfer: bool = False
    checks_fencing: bool = False


class Announcement(msgspec.Struct, frozen=True):
    """Describe an endpoint; slots is its number of concurrent requests."""

    endpoint_id: Annotated[EndpointId, HEADER_TOKEN]
    service: Annotated[ServiceId, NAME]
    region: Annotated[RegionId, NAME]
    zone: Annotated[ZoneId, NAME]
    url: Text
    incarnation: Annotated[Incarnation, EXACT_INTEGER]
    models: tuple[Annotated[ModelId, NAME], ...] = ()
    adapters: tuple[Name, ...] = ()
    capabilities: Capabilities = Capabilities()
    slots: SmallCount = 8
    tokens_per_s: Speed = 50.0
    prefill_tokens_per_s: Speed = 4000.0


class CacheEventKind(enum.Enum):
    """Distinguish additions to the prefix cache from evictions."""

    STORED = 'stored'
    EVICTED = 'evicted'


class CacheEvent(msgspec.Struct, frozen=True):
    """Report one change of the prefix cache.

    A gap in the sequence numbers means that events were lost.
    """

    sequence: ExactInteger
    kind: CacheEventKind
    block_hash: int


class LoadReport(msgspec.Struct, frozen=True):
    """Report the load of an endpoint as of age_ms ago."""

    running: SmallCount
    queued: SmallCount
    age_ms: DurationIntegerMs = 0
    kv_used_share: Weight = 0.0


class Heartbeat(msgspec.Struct, frozen=True):
    """Renew the lease of an endpoint and report load and cache events."""

    endpoint_id: Annotated[EndpointId, HEADER_TOKEN]
    incarnation: Annotated[Incarnation, EXACT_INTEGER]
    sequence: ExactInteger
    load: LoadReport
    cache_events: tuple[CacheEvent, ...] = ()
    leaving: bool = False


class LeaseAnswer(msgspec.Struct, frozen=True):
    """Answer an announcement or heartbeat.

    lease_ms is the time left to renew the lease.
    """

    lease_ms: int
    heartbeat_ms: int
    vm_urls: tuple[str, ...] = ()
