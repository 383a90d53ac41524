"""Describe what endpoints announce and report over HTTP as JSON."""

import enum

import msgspec

from baobabwharf_core.ids import (
    EndpointId,
    Incarnation,
    ModelId,
    RegionId,
    ServiceId,
    ZoneId,
)

ANNOUNCE_PATH = '/platform/v1/announce'
HEARTBEAT_PATH = '/platform/v1/heartbeat'
# Headers on a request to an endpoint; the endpoint echoes the request id.
REQUEST_ID_HEADER = 'X-Request-Id'
PRIORITY_HEADER = 'X-Priority'
DEADLINE_HEADER = 'X-Deadline-Ms'
RESUME_HEADER = 'X-Resume-From-Token'
# Set to "no" by an endpoint on an error answer when it did not run the call.
EXECUTED_HEADER = 'X-Executed'
# Control paths of an endpoint.
CANCEL_PATH = '/control/cancel'
ORDERS_PATH = '/control/orders'
STATE_PATH = '/control/state'
KV_EXPORT_PATH = '/control/kv/export'
KV_IMPORT_PATH = '/control/kv/import'


class Capabilities(msgspec.Struct, frozen=True):
    """State what an endpoint supports."""

    priority: bool = False
    cancel: bool = False
    resume: bool = False
    kv_transfer: bool = False
    checks_fencing: bool = False


class Announcement(msgspec.Struct, frozen=True):
    """Introduce an endpoint; slots is the number of concurrent requests."""

    endpoint_id: EndpointId
    service: ServiceId
    region: RegionId
    zone: ZoneId
    url: str
    incarnation: Incarnation
    models: tuple[ModelId, ...] = ()
    adapters: tuple[str, ...] = ()
    capabilities: Capabilities = Capabilities()
    slots: int = 8
    tokens_per_s: float = 50.0
    prefill_tokens_per_s: float = 4000.0


class CacheEventKind(enum.Enum):
    """Tell what happened to a cached prefix block."""

    STORED = 'stored'
    EVICTED = 'evicted'


class CacheEvent(msgspec.Struct, frozen=True):
    """Report one change of the prefix cache; a gap in sequence is a loss."""

    sequence: int
    kind: CacheEventKind
    block_hash: int


class LoadReport(msgspec.Struct, frozen=True):
    """Report load as it was age_ms ago."""

    running: int
    queued: int
    age_ms: int = 0
    kv_used_share: float = 0.0


class Heartbeat(msgspec.Struct, frozen=True):
    """Renew the lease of an endpoint and report load and cache events."""

    endpoint_id: EndpointId
    incarnation: Incarnation
    sequence: int
    load: LoadReport
    cache_events: tuple[CacheEvent, ...] = ()
    leaving: bool = False


class LeaseAnswer(msgspec.Struct, frozen=True):
    """Answer an announcement or heartbeat with the time left to renew."""

    lease_ms: int
    heartbeat_ms: int
    vm_urls: tuple[str, ...] = ()
