"""Track the state of one endpoint as one VM sees it."""

import enum
from collections import deque

import msgspec
from baobabwharf_core.announcements import Announcement, LoadReport
from baobabwharf_core.ids import EndpointId
from baobabwharf_core.requests import AttemptOutcome, RequestAttributes
from baobabwharf_core.statechart import load_chart

from baobabwharf_decisions.prefixes import CacheView

CHART = load_chart('endpoint_lifecycle')
USABLE = frozenset(('serving', 'slow_start'))
EJECTED = 'ejected'
LEASE_MS = 3000
HEARTBEAT_MS = 1000
SLOW_START_MS = 5000
_MS_PER_S = 1000
# Initial estimates until the first responses are measured.
_TYPICAL_OUTPUT_TOKENS = 128
_PLAIN_SERVICE_MS = 100.0
# Weight of a new measurement; 0.1 follows a change within about ten responses.
_SMOOTHING_FACTOR = 0.1
# An engine may hold 1/8 more requests than it has slots: the report of a free
# slot arrives late, and the slot would be idle until then.
_QUEUE_DIVISOR = 8
_MIN_RAMP = 0.1
# The sends of one VM predict those of only a few others.
_MAX_EXTRAPOLATED_VMS = 3
_EJECT_AFTER_FAILURES = 5
_EJECT_MS = 2000
_MAX_EJECT_MS = 60_000


class LoadEstimate:
    """Correct a late load report by the requests sent and ended since.

    This VM knows its own requests.  Each other VM of the region, counted by
    vms, is assumed to have sent and ended about as many.
    """

    __slots__ = (
        '_changes',
        '_net_sent',
        '_own_running',
        '_report_ms',
        '_reported',
        'vms',
    )

    def __init__(self) -> None:
        self._reported = 0
        self._report_ms = -1
        self._own_running = 0
        self._net_sent = 0
        self.vms = 1
        self._changes: deque[tuple[int, int]] = deque()

    @property
    def requests(self) -> int:
        """Return the estimated number of requests at the endpoint now."""
        net_sent = self._net_sent * min(self.vms, _MAX_EXTRAPOLATED_VMS)
        return max(self._own_running, self._reported + net_sent)

    @property
    def own(self) -> int:
        """Return the number of running requests of this VM."""
        return self._own_running

    def report(self, load: LoadReport, now_ms: int) -> None:
        """Apply a load report unless it is older than the last one."""
        taken_ms = now_ms - load.age_ms
        if taken_ms < self._report_ms:
            return
        self._report_ms = taken_ms
        self._reported = load.running + load.queued
        while self._changes and self._changes[0][0] <= taken_ms:
            self._net_sent -= self._changes.popleft()[1]

    def record_sent(self, now_ms: int) -> None:
        """Record a request that this VM sent."""
        self._own_running += 1
        self._record_change(now_ms, 1)

    def ended(self, now_ms: int) -> None:
        """Record that a request of this VM ended."""
        if self._own_running:
            self._own_running -= 1
            self._record_change(now_ms, -1)

    def _record_change(self, now_ms: int, step: int) -> None:
        self._net_sent += step
        self._changes.append((now_ms, step))


class SpeedEstimate(msgspec.Struct):
    """Hold moving averages of the response times of an endpoint, in ms."""

    prefill_token_ms: float
    decode_token_ms: float
    service_ms: float
    output_tokens: float = _TYPICAL_OUTPUT_TOKENS

    def update(self, outcome: AttemptOutcome) -> None:
        """Update the averages from one complete response."""
        if not outcome.succeeded:
            return
        self.service_ms = _moving_average(self.service_ms, outcome.total_ms)
        first_ms = outcome.first_token_ms
        if first_ms is None or outcome.output_tokens < 2:
            return
        self.output_tokens = _moving_average(
            self.output_tokens, outcome.output_tokens
        )
        token_ms = (outcome.total_ms - first_ms) / (outcome.output_tokens - 1)
        self.decode_token_ms = _moving_average(self.decode_token_ms, token_ms)


class LatencyEstimate(msgspec.Struct, frozen=True):
    """Estimate the times from now and the duration of the prefill, in ms."""

    first_token_ms: float
    complete_ms: float
    prefill_ms: float = 0.0


class Health(msgspec.Struct):
    """Count consecutive failures and past ejections."""

    consecutive_failures: int = 0
    ejections: int = 0
    ejected_until_ms: int = 0


class EndpointState(msgspec.Struct):
    """Hold the state of one endpoint.

    tie_breaker differs per VM, so that VMs rank equal endpoints differently.
    """

    announcement: Announcement
    tie_breaker: float
    state: str
    lease_until_ms: int
    speed: SpeedEstimate
    load: LoadEstimate
    health: Health
    cache: CacheView
    heartbeat_sequence: int = -1
    slow_start_began_ms: int = 0
    changed_ms: int = 0
    rank: tuple[float, float, EndpointId] | None = None
    # Requests of this endpoint included in the sums of its groups.
    counted_requests: int = 0
    # Estimated end of the prefill of all prompts that this VM sent.
    prefill_until_ms: float = 0.0

    @property
    def endpoint_id(self) -> EndpointId:
        """Return the id of the endpoint."""
        return self.announcement.endpoint_id

    def step(self, event: str, now_ms: int) -> bool:
        """Apply an event of the state chart; return whether it was allowed."""
        if not CHART.accepts(self.state, event):
            return False
        before = self.state
        self.state = CHART.step(before, event)
        if self.state != before:
            self.changed_ms = now_ms
            if self.state == 'slow_start':
                self.slow_start_began_ms = now_ms
        return True

    def record_failure(self, now_ms: int) -> bool:
        """Record a failure; return whether it ejected the endpoint."""
        health = self.health
        health.consecutive_failures += 1
        if health.consecutive_failures < _EJECT_AFTER_FAILURES:
            return False
        if not self.step('ejected', now_ms):
            return False
        health.consecutive_failures = 0
        ejection_ms = min(_MAX_EJECT_MS, _EJECT_MS << min(health.ejections, 5))
        health.ejected_until_ms = now_ms + ejection_ms
        health.ejections += 1
        return True

    def end_timed_states(self, now_ms: int) -> None:
        """End an ejection or a slow start whose time has passed."""
        ramp_has_ended = now_ms - self.slow_start_began_ms >= SLOW_START_MS
        ejection_has_ended = now_ms >= self.health.ejected_until_ms
        if self.state == EJECTED and ejection_has_ended:
            self.step('ejection_ended', now_ms)
        elif self.state == 'slow_start' and ramp_has_ended:
            self.step('ramp_ended', now_ms)

    def usable(self, now_ms: int, panic: bool = False) -> bool:
        """Return whether new requests may be sent.

        In panic mode ejected endpoints are usable too.
        """
        if now_ms >= self.lease_until_ms:
            return False
        return self.state in USABLE or (panic and self.state == EJECTED)

    def room(self, now_ms: int) -> int:
        """Return how many more requests may be sent to the endpoint."""
        slots = self.announcement.slots
        if self.state == 'slow_start':
            share = (now_ms - self.slow_start_began_ms) / SLOW_START_MS
            slots = max(1, int(slots * min(1.0, max(_MIN_RAMP, share))))
            return slots - self.load.requests
        return slots + slots // _QUEUE_DIVISOR - self.load.requests

    def estimate(
        self, attributes: RequestAttributes, cached_share: float, now_ms: int
    ) -> LatencyEstimate:
        """Return the estimated latency of a request sent now."""
        slots = self.announcement.slots
        excess = self.load.requests + 1 - slots
        first_ms = 0.0
        if excess > 0:
            first_ms = self.speed.service_ms * excess / slots
        if not self.announcement.models:
            complete_ms = first_ms + self.speed.service_ms
            return LatencyEstimate(complete_ms, complete_ms)
        uncached_tokens = attributes.prompt_tokens * (1 - cached_share)
        prefill_ms = uncached_tokens * self.speed.prefill_token_ms
        # Engines prefill one prompt at a time.
        first_ms = max(first_ms, self.prefill_until_ms - now_ms) + prefill_ms
        output_tokens = min(
            attributes.max_output_tokens, self.speed.output_tokens
        )
        decode_ms = output_tokens * self.speed.decode_token_ms
        return LatencyEstimate(first_ms, first_ms + decode_ms, prefill_ms)

    def record_sent(self, prefill_ms: float, now_ms: int) -> None:
        """Record a request that this VM sends and its prefill time."""
        self.load.record_sent(now_ms)
        begin_ms = max(self.prefill_until_ms, now_ms)
        self.prefill_until_ms = begin_ms + prefill_ms

    def current_rank(self) -> tuple[float, float, EndpointId]:
        """Return the sort key of the endpoint among those with room."""
        fill = (self.load.requests + 1) / self.announcement.slots
        return (
            self.speed.service_ms * (1 + fill),
            self.tie_breaker,
            self.endpoint_id,
        )


def new_endpoint(
    announcement: Announcement, tie_breaker: float, now_ms: int
) -> EndpointState:
    """Return the initial state of a newly announced endpoint."""
    decode_ms = _MS_PER_S / max(announcement.tokens_per_s, 0.001)
    prefill_ms = _MS_PER_S / max(announcement.prefill_tokens_per_s, 0.001)
    service_ms = _PLAIN_SERVICE_MS
    if announcement.models:
        service_ms = decode_ms * _TYPICAL_OUTPUT_TOKENS
    return EndpointState(
        announcement,
        tie_breaker,
        CHART.initial,
        now_ms + LEASE_MS,
        SpeedEstimate(prefill_ms, decode_ms, service_ms),
        LoadEstimate(),
        Health(),
        CacheView(),
        changed_ms=now_ms,
    )


def _moving_average(before: float, measured: float) -> float:
    return before + (measured - before) * _SMOOTHING_FACTOR


class HeartbeatOutcome(enum.Enum):
    """Classify the result of a heartbeat or an announcement."""

    ACCEPTED = 'accepted'
    STALE = 'stale'
    UNKNOWN = 'unknown'
