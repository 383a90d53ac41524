"""Simulate engines, links and time for the comparison of policies."""

import heapq
import random
from collections import OrderedDict, deque
from collections.abc import Callable
from typing import Any

import msgspec
from baobabwharf_core.announcements import (
    Announcement,
    CacheEvent,
    CacheEventKind,
    Heartbeat,
    LoadReport,
)
from baobabwharf_core.ids import RegionId
from baobabwharf_core.requests import RequestAttributes

REPORT_LAG_MS = 300
_HEARTBEAT_INTERVAL_MS = 1000
# Each batch of cache events is lost with this probability.
_EVENT_LOSS_PROBABILITY = 0.05
_CACHE_BLOCKS = 400
# Relative slowdown of decoding in a full batch against a single stream.
_BATCH_SLOWDOWN = 0.5


Action = Callable[..., None]


class Simulation:
    """Run events in the order of their time in ms."""

    def __init__(self) -> None:
        self.now_ms = 0.0
        self._order = 0
        self._events: list[tuple[float, int, Action, Any]] = []

    @property
    def clock_ms(self) -> int:
        """Return the time in whole ms, as the decisions see it."""
        return int(self.now_ms)

    def call_at(self, when_ms: float, action: Action, *args: Any) -> None:
        """Schedule an action at a time."""
        self._order += 1
        when_ms = max(when_ms, self.now_ms)
        heapq.heappush(self._events, (when_ms, self._order, action, args))

    def call_later(self, delay_ms: float, action: Action, *args: Any) -> None:
        """Schedule an action after a delay."""
        self.call_at(self.now_ms + delay_ms, action, *args)

    def call_every(self, delay_ms: float, action: Callable[[], None]) -> None:
        """Run an action periodically."""

        def run_and_reschedule() -> None:
            action()
            self.call_later(delay_ms, run_and_reschedule)

        self.call_later(delay_ms, run_and_reschedule)

    def run(self, until_ms: float) -> None:
        """Run all events up to a time."""
        while self._events and self._events[0][0] <= until_ms:
            when_ms, _order, action, args = heapq.heappop(self._events)
            self.now_ms = when_ms
            action(*args)


class Job(msgspec.Struct, eq=False):
    """Hold one request at an endpoint and its callbacks."""

    attributes: RequestAttributes
    output_tokens: int
    service_ms: float
    deadline_at_ms: float
    on_first_token: Callable[[], None]
    on_end: Callable[[bool], None]
    ended: bool = False


class EndpointModel:
    """Batch requests in slots, prefill one prompt at a time, cache prefixes."""

    def __init__(
        self, sim: Simulation, announcement: Announcement, rng: random.Random
    ) -> None:
        self.announcement = announcement
        self.alive = True
        self._active_ms = 0.0
        self._active_from_ms: float | None = None
        self._sim = sim
        self._rng = rng
        self._running: dict[Job, None] = {}
        self._queue: deque[Job] = deque()
        self._prefill_free_ms = 0.0
        self._cache: OrderedDict[int, None] = OrderedDict()
        self._events: list[CacheEvent] = []
        self._sequence = 0
        self._heartbeats = 0

    @property
    def region(self) -> RegionId:
        """Return the region of the endpoint."""
        return self.announcement.region

    @property
    def active_ms(self) -> float:
        """Return the accelerator time in use, the sum of all batch steps."""
        return self._active_ms if self.announcement.models else 0.0

    def submit(self, job: Job) -> None:
        """Run a request or queue it; a dead endpoint fails it at once."""
        if not self.alive:
            self._end(job, False)
            return
        if len(self._running) >= self.announcement.slots:
            self._queue.append(job)
            return
        self._start(job)

    def fail(self) -> None:
        """Fail all requests and stop."""
        self.alive = False
        for job in (*self._running, *self._queue):
            self._end(job, False)
        self._running.clear()
        self._queue.clear()
        self._stop_active_period()
        self.clear_cache()

    def clear_cache(self) -> None:
        """Evict all cached prefixes."""
        for block in self._cache:
            self._record_cache_event(CacheEventKind.EVICTED, block)
        self._cache.clear()

    def start_heartbeats(self, deliver: Callable[[Heartbeat], None]) -> None:
        """Report load and cache events periodically, with a delay."""

        def report() -> None:
            if not self.alive:
                return
            self._heartbeats += 1
            load = LoadReport(
                len(self._running), len(self._queue), REPORT_LAG_MS
            )
            events = tuple(self._events)
            self._events.clear()
            if self._rng.random() < _EVENT_LOSS_PROBABILITY:
                events = ()
            name = self.announcement.endpoint_id
            heartbeat = Heartbeat(
                name,
                self.announcement.incarnation,
                self._heartbeats,
                load,
                events,
            )
            self._sim.call_later(REPORT_LAG_MS, deliver, heartbeat)

        self._sim.call_every(_HEARTBEAT_INTERVAL_MS, report)

    def _start(self, job: Job) -> None:
        self._running[job] = None
        if self._active_from_ms is None:
            self._active_from_ms = self._sim.now_ms
        now_ms = self._sim.now_ms
        if not self.announcement.models:
            self._sim.call_later(job.service_ms, self._emit_first_token, job)
            self._sim.call_later(job.service_ms, self._finish, job)
            return
        rate = self.announcement.prefill_tokens_per_s
        uncached = job.attributes.prompt_tokens * (
            1 - self._use_cache(job.attributes)
        )
        prefill_ms = uncached * 1000 / rate
        begin_ms = max(now_ms, self._prefill_free_ms)
        self._prefill_free_ms = begin_ms + prefill_ms
        fill = len(self._running) / self.announcement.slots
        token_ms = 1000 / self.announcement.tokens_per_s
        token_ms *= 1 + _BATCH_SLOWDOWN * fill
        decode_ms = token_ms * job.output_tokens
        first_ms = self._prefill_free_ms + token_ms
        self._sim.call_at(first_ms, self._emit_first_token, job)
        self._sim.call_at(first_ms + decode_ms, self._finish, job)

    def _emit_first_token(self, job: Job) -> None:
        if not job.ended:
            job.on_first_token()

    def _finish(self, job: Job) -> None:
        if job.ended:
            return
        self._running.pop(job)
        self._end(job, True)
        while self._queue and len(self._running) < self.announcement.slots:
            waiting = self._queue.popleft()
            if waiting.deadline_at_ms <= self._sim.now_ms:
                self._end(waiting, False)
            else:
                self._start(waiting)
        if not self._running:
            self._stop_active_period()

    def _stop_active_period(self) -> None:
        if self._active_from_ms is not None:
            self._active_ms += self._sim.now_ms - self._active_from_ms
        self._active_from_ms = None

    def _end(self, job: Job, succeeded: bool) -> None:
        if not job.ended:
            job.ended = True
            job.on_end(succeeded)

    def _use_cache(self, attributes: RequestAttributes) -> float:
        hits = 0
        for block in attributes.prefix_hashes:
            if block not in self._cache:
                break
            hits += 1
        for block in attributes.prefix_hashes:
            if block in self._cache:
                self._cache.move_to_end(block)
            else:
                self._cache[block] = None
                self._record_cache_event(CacheEventKind.STORED, block)
        while len(self._cache) > _CACHE_BLOCKS:
            oldest, _none = self._cache.popitem(last=False)
            self._record_cache_event(CacheEventKind.EVICTED, oldest)
        return hits / max(1, len(attributes.prefix_hashes))

    def _record_cache_event(self, kind: CacheEventKind, block: int) -> None:
        self._sequence += 1
        self._events.append(CacheEvent(self._sequence, kind, block))


class LinkModel:
    """Delay and queue bytes one way between two regions."""

    def __init__(
        self,
        sim: Simulation,
        delay_ms: float,
        bytes_per_ms: float,
        rng: random.Random,
    ) -> None:
        self.partitioned = False
        self.sent_bytes = 0.0
        self._sim = sim
        self._delay_ms = delay_ms
        self._bytes_per_ms = bytes_per_ms
        self._rng = rng
        self._free_ms = 0.0

    def send(self, size: float, action: Action, *args: Any) -> bool:
        """Run an action when the bytes have arrived; false if partitioned."""
        if self.partitioned:
            return False
        self.sent_bytes += size
        begin_ms = max(self._sim.now_ms, self._free_ms)
        self._free_ms = begin_ms + size / self._bytes_per_ms
        delay_ms = self._delay_ms * self._rng.uniform(1, 1.2)
        self._sim.call_at(self._free_ms + delay_ms, action, *args)
        return True
