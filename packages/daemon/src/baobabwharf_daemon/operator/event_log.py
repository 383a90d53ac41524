"""Keep the most recent events of this VM in memory, for operators."""

from collections import deque

import msgspec
from baobabwharf_core.clock import Clock

MAX_EVENTS = 2000


class Event(msgspec.Struct, frozen=True):
    """Describe one event; time_ms is in Unix time."""

    time_ms: int
    part: str
    sentence: str
    request_id: str = ''


class EventLog:
    """Keep a bounded number of events; the oldest are dropped first."""

    def __init__(self, clock: Clock, max_events: int = MAX_EVENTS) -> None:
        self._clock = clock
        self._events: deque[Event] = deque(maxlen=max_events)

    def add(self, part: str, sentence: str, request_id: str = '') -> None:
        """Add an event of a component of the daemon."""
        self._events.append(
            Event(self._clock.wall_ms(), part, sentence, request_id)
        )

    def newest(self, limit: int = MAX_EVENTS) -> tuple[Event, ...]:
        """Return the most recent events in chronological order."""
        events = tuple(self._events)
        return events[-limit:] if limit else ()
