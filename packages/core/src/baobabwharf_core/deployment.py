"""Define a deployment: routes, services, customers and limits.

Operators replace a deployment as a whole and number its versions; the highest
accepted version is in force.
"""

import enum

import msgspec

from baobabwharf_core.ids import CustomerId, RegionId, ServiceId


class RouteKind(enum.Enum):
    """Say whether requests of a route may be repeated."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non_idempotent'
    STREAMING = 'streaming'


class RouteShare(msgspec.Struct, frozen=True):
    """Assign a service its share of the requests of a route."""

    service: ServiceId
    weight: float


class DeployedRoute(msgspec.Struct, frozen=True):
    """Describe how requests for a host and path prefix are served.

    priority 0 is the highest.  An empty home_regions allows all regions.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    timeout_ms: int
    target_ms: int
    priority: int
    shares: tuple[RouteShare, ...]
    max_attempts: int = 1
    open_to_all: bool = False
    sticky: bool = False
    resumable: bool = False
    pause_target_ms: int | None = None
    home_regions: tuple[RegionId, ...] = ()

    @property
    def repeatable(self) -> bool:
        """Return whether a request may run more than once."""
        return self.kind is RouteKind.IDEMPOTENT or self.resumes

    @property
    def resumes(self) -> bool:
        """Return whether another endpoint may resume a broken stream."""
        return self.kind is RouteKind.STREAMING and self.resumable


class EngineSpec(msgspec.Struct, frozen=True):
    """Describe batch slots and KV cache size of the engines of a service.

    tokens_per_event is the number of tokens in an event of a stream, 0 if
    unknown.
    """

    slots: int
    cache_tokens: int
    tokens_per_event: int = 0


class DeployedService(msgspec.Struct, frozen=True):
    """Describe a service; engine is None if it runs no inference engine.

    cold_rate_per_s limits the requests to an endpoint that started less than
    cold_ms ago; zero means no limit.
    """

    name: ServiceId
    health_path: str = '/'
    max_connections: int = 0
    cold_ms: int = 0
    cold_rate_per_s: float = 0.0
    engine: EngineSpec | None = None


class DeployedCustomer(msgspec.Struct, frozen=True):
    """Describe a customer; a rate of zero means no limit.

    plain_tokens is the number of tokens charged for a request without a token
    count.
    """

    customer_id: CustomerId
    key_digests: tuple[bytes, ...]
    priority: int | None = None
    rate_tokens_per_s: int = 0
    burst_tokens: int = 0
    plain_tokens: int = 1
    home_regions: tuple[RegionId, ...] = ()


class IngressLimits(msgspec.Struct, frozen=True):
    """Limit the size of requests and the time for receiving them."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: int = 3000
    idle_timeout_ms: int = 15_000


class Deployment(msgspec.Struct, frozen=True):
    """Hold one version of a deployment.

    document is the text as the operator sent it, returned on request.
    """

    version: int
    routes: tuple[DeployedRoute, ...] = ()
    services: tuple[DeployedService, ...] = ()
    customers: tuple[DeployedCustomer, ...] = ()
    limits: IngressLimits = IngressLimits()
    document: bytes = b''
