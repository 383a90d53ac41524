"""Schedule events in simulated time."""

import heapq
import itertools
import random
import zlib
from collections.abc import Callable
from typing import final

_Event = tuple[float, int, Callable[[], None]]


@final
class EventScheduler:
    """Run events in time order; equal seeds give equal runs."""

    def __init__(self, seed: int) -> None:
        self._events: list[_Event] = []
        self._numbers = itertools.count()
        self._trace = 0
        self.now_ms = 0.0
        self.random = random.Random(seed)

    @property
    def trace(self) -> int:
        """Return a checksum of all trace lines."""
        return self._trace

    def add_to_trace(self, text: str) -> None:
        """Add a line with the current time to the trace checksum."""
        line = f'{self.now_ms:.3f} {text}'
        self._trace = zlib.crc32(line.encode(), self._trace)

    def chance(self, percent: int) -> bool:
        """Return true with a probability in percent."""
        return self.random.randrange(100) < percent

    def call_later(self, delay_ms: float, work: Callable[[], None]) -> None:
        """Schedule work after a delay."""
        due_ms = self.now_ms + delay_ms
        heapq.heappush(self._events, (due_ms, next(self._numbers), work))

    def run_until(self, end_ms: float) -> None:
        """Run all events up to and including a time."""
        while self._events and self._events[0][0] <= end_ms:
            event = heapq.heappop(self._events)
            self.now_ms = event[0]
            event[2]()
        self.now_ms = end_ms
