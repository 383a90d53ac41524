"""Batch requests on a limited number of slots with a prefix cache."""

import asyncio
import heapq
import itertools
from collections import OrderedDict, deque
from collections.abc import AsyncIterator, Callable

import msgspec
from baobabwharf_core.announcements import (
    CacheEvent,
    CacheEventKind,
    LoadReport,
)
from baobabwharf_core.prefix_hashing import BLOCK_CHARS, prefix_hashes

from baobabwharf_testkit.endpoint_model import EndpointSettings
from baobabwharf_testkit.expected_responses import (
    CHARS_PER_TOKEN,
    completion_token,
    prompt_seed,
    prompt_tokens,
)

_MAX_SAMPLES = 200
_MS_PER_S = 1000
_BLOCK_TOKENS = BLOCK_CHARS // CHARS_PER_TOKEN


class Generation(msgspec.Struct):
    """Track one request to the engine."""

    request_id: str
    prompt: str
    token_count: int
    start_index: int = 0
    priority: int = 0
    cancelled: bool = False


class PrefixCache:
    """Cache prefix blocks; evict the least recently used ones."""

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._blocks: OrderedDict[int, None] = OrderedDict()
        self._sequence = 0
        self._events: list[CacheEvent] = []

    @property
    def used_share(self) -> float:
        """Return the share of the capacity that is in use."""
        return len(self._blocks) / self._capacity if self._capacity else 0.0

    @property
    def blocks(self) -> tuple[int, ...]:
        """Return the hashes of the cached blocks."""
        return tuple(self._blocks)

    def take_events(self) -> list[CacheEvent]:
        """Return the events since the last call."""
        events = self._events
        self._events = []
        return events

    def match(self, hashes: tuple[int, ...]) -> int:
        """Return how many leading blocks are cached."""
        matched = 0
        for block in hashes:
            if block not in self._blocks:
                break
            self._blocks.move_to_end(block)
            matched += 1
        return matched

    def store(self, hashes: tuple[int, ...]) -> None:
        """Cache the blocks and record an event for each change."""
        for block in hashes:
            if block not in self._blocks and self._capacity:
                self._blocks[block] = None
                self._record_event(CacheEventKind.STORED, block)
        while len(self._blocks) > self._capacity:
            oldest, _none = self._blocks.popitem(last=False)
            self._record_event(CacheEventKind.EVICTED, oldest)

    def _record_event(self, kind: CacheEventKind, block: int) -> None:
        self._sequence += 1
        self._events.append(CacheEvent(self._sequence, kind, block))


_Waiter = tuple[int, int, asyncio.Future[None]]


class Slots:
    """Grant a limited number of slots by priority, then by arrival."""

    def __init__(self, slots: int) -> None:
        self._free = slots
        self._slots = slots
        self._order = itertools.count()
        self._waiting: list[_Waiter] = []

    @property
    def running(self) -> int:
        """Return the number of slots in use."""
        return self._slots - self._free

    @property
    def queued(self) -> int:
        """Return the number of waiting requests."""
        return sum(1 for entry in self._waiting if not entry[2].done())

    @property
    def used_share(self) -> float:
        """Return the share of the slots in use."""
        return self.running / self._slots

    async def acquire(self, priority: int) -> None:
        """Wait for a slot; a lower priority value is served first."""
        if self._free > 0:
            self._free -= 1
            return
        granted = asyncio.get_running_loop().create_future()
        heapq.heappush(self._waiting, (priority, next(self._order), granted))
        try:
            await granted
        except asyncio.CancelledError:
            if granted.done() and not granted.cancelled():
                self.release()
            raise

    def release(self) -> None:
        """Give the slot to the next waiting request or free it."""
        while self._waiting:
            _priority, _order, granted = heapq.heappop(self._waiting)
            if not granted.done():
                granted.set_result(None)
                return
        self._free += 1


class LoadHistory:
    """Report the load as it was a fixed time ago."""

    def __init__(self, lag_ms: int, now_ms: Callable[[], int]) -> None:
        self._lag_ms = lag_ms
        self._now_ms = now_ms
        self._samples: deque[tuple[int, LoadReport]] = deque(
            maxlen=_MAX_SAMPLES
        )

    def record(self, report: LoadReport) -> None:
        """Keep a sample of the load."""
        self._samples.append((self._now_ms(), report))

    def lagged(self) -> LoadReport:
        """Return the newest sample that is at least as old as the lag."""
        now = self._now_ms()
        found: tuple[int, LoadReport] = (now, LoadReport(0, 0))
        for taken, report in self._samples:
            if now - taken < self._lag_ms:
                break
            found = (taken, report)
        return msgspec.structs.replace(found[1], age_ms=now - found[0])


class Engine:
    """Generate deterministic tokens at a limited rate."""

    def __init__(self, settings: EndpointSettings) -> None:
        self._settings = settings
        self._slots = Slots(settings.slots)
        self._cache = PrefixCache(settings.cache_blocks)
        self._running: dict[str, Generation] = {}
        self._cancelled = 0

    @property
    def cache(self) -> PrefixCache:
        """Return the prefix cache."""
        return self._cache

    @property
    def slots(self) -> Slots:
        """Return the slots."""
        return self._slots

    @property
    def cancelled(self) -> int:
        """Return the number of requests that ended by cancellation."""
        return self._cancelled

    def load(self) -> LoadReport:
        """Return the current load."""
        return LoadReport(
            running=self._slots.running,
            queued=self._slots.queued,
            kv_used_share=self._cache.used_share,
        )

    def cancel(self, request_id: str) -> bool:
        """Stop a running request; return whether it was running."""
        generation = self._running.get(request_id)
        if generation is None:
            return False
        generation.cancelled = True
        return True

    async def tokens(self, generation: Generation) -> AsyncIterator[str]:
        """Yield the tokens; fewer than requested if it is cancelled."""
        self._running[generation.request_id] = generation
        try:
            await self._slots.acquire(generation.priority)
        except asyncio.CancelledError:
            self._running.pop(generation.request_id, None)
            raise
        complete = False
        try:
            async for token in self._generate(generation):
                yield token
            complete = not generation.cancelled
        finally:
            self._slots.release()
            self._finish(generation, complete)

    def _finish(self, generation: Generation, complete: bool) -> None:
        self._running.pop(generation.request_id, None)
        self._cancelled += not complete

    async def _generate(self, generation: Generation) -> AsyncIterator[str]:
        await self._prefill(generation.prompt)
        seed = prompt_seed(generation.prompt)
        for index in range(generation.start_index, generation.token_count):
            if generation.cancelled:
                return
            await self._wait_for_next_token()
            yield completion_token(seed, index)

    async def _prefill(self, prompt: str) -> None:
        hashes = prefix_hashes(prompt)
        cached = self._cache.match(hashes) * _BLOCK_TOKENS
        rate = self._settings.prefill_tokens_per_s
        if rate:
            work = max(0, prompt_tokens(prompt) - cached)
            await asyncio.sleep(work / rate)
        self._cache.store(hashes)

    async def _wait_for_next_token(self) -> None:
        rate = self._settings.tokens_per_s
        if rate:
            slowdown = (
                1 + self._settings.batch_slowdown * self._slots.used_share
            )
            await asyncio.sleep(slowdown / rate)
