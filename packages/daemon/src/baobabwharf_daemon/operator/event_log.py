"""Keep the newest events of this VM for operators."""

from collections import deque

import msgspec
from baobabwharf_core.clock import Clock

KEPT_EVENTS = 2000


class Event(msgspec.Struct, frozen=True):
    """Hold one sentence; time_ms counts from the Unix epoch."""

    time_ms: int
    part: str
    sentence: str
    request_id: str = ''


class EventLog:
    """Hold events up to a bound; the oldest are dropped."""

    def __init__(self, clock: Clock, bound: int = KEPT_EVENTS) -> None:
        self._clock = clock
        self._events: deque[Event] = deque(maxlen=bound)

    def add(self, part: str, sentence: str, request_id: str = '') -> None:
        """Add an event of a part of the daemon."""
        self._events.append(
            Event(self._clock.wall_ms(), part, sentence, request_id)
        )

    def newest(self, limit: int = KEPT_EVENTS) -> tuple[Event, ...]:
        """Return the newest events, the oldest of them first."""
        events = tuple(self._events)
        return events[-limit:] if limit else ()
