"""Recognize whether a stream of server-sent events ends between two events."""

from typing import final

EVENT_STREAM = 'text/event-stream'

_CR = b'\r'
_LF = b'\n'
_CRLF = b'\r\n'
# An empty line and the end of the line before it, at their longest.
_TAIL_BYTES = len(_CRLF * 2)
_EMPTY = frozenset((b'', _LF))


@final
class EventBoundary:
    """Remember the end of the bytes of an event stream."""

    def __init__(self) -> None:
        self._tail = b''
        self._event_ended = False
        # Whether lines end in a lone CR; None before the first line has ended.
        self._lone_cr: bool | None = None

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
        lines = self._with_newlines(self._tail)
        return lines not in _EMPTY and not lines.endswith(_LF * 2)

    def feed(self, block: bytes) -> None:
        """Add the next bytes of the stream."""
        content = self._tail + block
        if self._lone_cr is None:
            self._lone_cr = _ends_lines_with_lone_cr(content)
        if not self._event_ended:
            lines = self._with_newlines(content)
            self._event_ended = _LF * 2 in lines.lstrip(_LF)
        self._tail = (self._tail + block[-_TAIL_BYTES:])[-_TAIL_BYTES:]

    def _with_newlines(self, content: bytes) -> bytes:
        lines = content.replace(_CRLF, _LF)
        # Where lines end otherwise, a CR at the end is the half of a CRLF.
        return lines.replace(_CR, _LF) if self._lone_cr else lines


def _ends_lines_with_lone_cr(content: bytes) -> bool | None:
    """Return how the first line ends, None if more bytes are needed."""
    cr = content.find(_CR)
    lf = content.find(_LF)
    if lf >= 0 and (cr < 0 or lf <= cr + 1):
        return False
    if cr < 0 or cr + 1 == len(content):
        return None
    return True
