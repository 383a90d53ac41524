"""Describe the settings, faults and records of a simulated endpoint."""

import enum

import msgspec

_MAX_SEEN_REQUESTS = 50_000


class EndpointKind(enum.Enum):
    """Name the interface that the endpoint serves."""

    ENGINE = 'engine'
    SERVICE = 'service'


class EndpointSettings(msgspec.Struct, kw_only=True):
    """Hold the settings of an endpoint; a rate of 0 is unlimited."""

    endpoint_id: str
    service: str
    region: str
    zone: str
    kind: EndpointKind = EndpointKind.ENGINE
    host: str = '127.0.0.1'
    port: int = 0
    vm_urls: tuple[str, ...] = ()
    endpoint_key: str = ''
    ca_file: str | None = None
    models: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()
    slots: int = 8
    tokens_per_s: float = 50.0
    prefill_tokens_per_s: float = 4000.0
    # Share by which a full batch slows down each sequence.
    batch_slowdown: float = 0.3
    service_ms: float = 5.0
    cache_blocks: int = 4096
    load_lag_ms: int = 300
    cache_event_delay_ms: int = 500
    cache_event_loss: float = 0.02
    checks_fencing: bool = True
    resume: bool = True
    cancel: bool = True
    priority: bool = True
    # New requests are still served for this time after leaving is announced.
    leave_grace_ms: int = 1500
    # Announced in place of the listening URL, to connect through a fault proxy.
    announced_url: str = ''
    # Off for benchmarks, where recording would take time.
    records_requests: bool = True
    # Folder to which a stopping endpoint writes its records, for tests.
    records_folder: str | None = None
    seed: int = 1


class Faults(msgspec.Struct, kw_only=True):
    """Hold the faults to inject; each use decrements its counter."""

    late_ms: int = 0
    late_next: int = 0
    cross_next: int = 0
    refuse_next: int = 0
    break_next: int = 0
    break_after_tokens: int = 0
    exit_after_tokens: int = 0
    fail_next: int = 0
    hold_heartbeats: bool = False

    def consume(self, name: str) -> bool:
        """Decrement the counter of a fault; return whether it applies."""
        left = getattr(self, name)
        if left > 0:
            setattr(self, name, left - 1)
        return left > 0


class SeenRequest(msgspec.Struct, frozen=True):
    """Record one request as an endpoint saw it."""

    method: str
    url: str
    request_id: str
    headers: dict[str, str]


class Run(msgspec.Struct, frozen=True):
    """Record one call that a plain service ran."""

    method: str
    path: str
    request_id: str
    idempotency_key: str
    body_digest: str


class RecordsPage(msgspec.Struct, frozen=True):
    """Hold all records of an endpoint."""

    seen: tuple[SeenRequest, ...] = ()
    runs: tuple[Run, ...] = ()
    dropped: int = 0


class Records:
    """Record the requests that the endpoint saw and ran, for tests."""

    def __init__(self) -> None:
        self._seen: list[SeenRequest] = []
        self._runs: list[Run] = []
        self._dropped = 0

    @property
    def dropped(self) -> int:
        """Return the number of requests that were not kept."""
        return self._dropped

    @property
    def seen(self) -> tuple[SeenRequest, ...]:
        """Return the requests in the order of arrival."""
        return tuple(self._seen)

    @property
    def runs(self) -> tuple[Run, ...]:
        """Return the calls in the order in which they ran."""
        return tuple(self._runs)

    def page(self) -> RecordsPage:
        """Return all records."""
        return RecordsPage(self.seen, self.runs, self.dropped)

    def add_seen(self, seen: SeenRequest) -> None:
        """Keep a request, up to a limit."""
        if len(self._seen) < _MAX_SEEN_REQUESTS:
            self._seen.append(seen)
        else:
            self._dropped += 1

    def add_run(self, run: Run) -> None:
        """Keep a run; runs are not limited, since tests count them."""
        self._runs.append(run)
