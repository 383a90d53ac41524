"""Run events in the order of simulated time."""

import heapq
import itertools
import random
import zlib
from collections.abc import Callable
from typing import final

_Event = tuple[float, int, Callable[[], None]]


@final
class Timeline:
    """Hold events; equal seeds run equal events."""

    def __init__(self, seed: int) -> None:
        self._events: list[_Event] = []
        self._numbers = itertools.count()
        self._trace = 0
        self.now_ms = 0.0
        self.random = random.Random(seed)

    @property
    def trace(self) -> int:
        """Return a checksum over everything that was noted."""
        return self._trace

    def note(self, sentence: str) -> None:
        """Add what happened to the trace."""
        line = f'{self.now_ms:.3f} {sentence}'
        self._trace = zlib.crc32(line.encode(), self._trace)

    def chance(self, percent: int) -> bool:
        """Return true in so many of a hundred cases."""
        return self.random.randrange(100) < percent

    def after(self, delay_ms: float, work: Callable[[], None]) -> None:
        """Run work after a delay."""
        due_ms = self.now_ms + delay_ms
        heapq.heappush(self._events, (due_ms, next(self._numbers), work))

    def run_until(self, end_ms: float) -> None:
        """Run all events up to a time."""
        while self._events and self._events[0][0] <= end_ms:
            event = heapq.heappop(self._events)
            self.now_ms = event[0]
            event[2]()
        self.now_ms = end_ms
