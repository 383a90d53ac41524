"""Recognize whether a stream of server-sent events ends between two events."""

from typing import final

EVENT_STREAM = 'text/event-stream'

# An empty line and the end of the line before it, at their longest.
_TAIL_BYTES = len(b'\r\n\r\n')
_EMPTY = frozenset((b'', b'\n'))


@final
class EventBoundary:
    """Remember the end of the bytes of an event stream."""

    def __init__(self) -> None:
        self._tail = b''
        self._event_ended = False

    @property
    def event_ended(self) -> bool:
        """Return whether at least one event is whole."""
        return self._event_ended

    @property
    def empty(self) -> bool:
        """Return whether there were no bytes yet."""
        return not self._tail

    @property
    def inside_event(self) -> bool:
        """Return whether the bytes end before the empty line of an event."""
        lines = _with_newlines(self._tail)
        return lines not in _EMPTY and not lines.endswith(b'\n\n')

    def feed(self, block: bytes) -> None:
        """Add the next bytes of the stream."""
        if not self._event_ended:
            lines = _with_newlines(self._tail + block)
            self._event_ended = b'\n\n' in lines.lstrip(b'\n')
        self._tail = (self._tail + block[-_TAIL_BYTES:])[-_TAIL_BYTES:]


def _with_newlines(content: bytes) -> bytes:
    return content.replace(b'\r\n', b'\n').replace(b'\r', b'\n')
