"""Parse the HTTP responses on one connection to an endpoint.

A response with another request id belongs to an earlier request and is
skipped.
"""

import enum
from collections.abc import Callable
from typing import Any, final

import httptools
import msgspec

from baobabwharf_daemon.event_boundary import EVENT_STREAM, EventBoundary
from baobabwharf_daemon.proxy.http_messages import (
    Framing,
    Header,
    ResponseHead,
    parse_number,
)

_NO_BODY = frozenset((204, 304))
_FIRST_FINAL_STATUS = 200
_REDIRECT = 300
_MAX_SKIPPED = 3
# Longest header line, which includes a chunk header.
_MAX_LINE_BYTES = 16_384
# Heads and trailers until the response is complete, with interim and skipped
# responses.
_MAX_HEAD_BYTES = 65_536
# Header lines and trailers until the response is complete.
_MAX_HEADERS = 256
# Chunk headers and their extensions, in relation to the body.
_MAX_FRAMING_RATIO = 64
# Bodies of skipped responses.
_MAX_SKIPPED_BYTES = 1_048_576
# A status line without its reason, and the line break at the end of a head.
_MESSAGE_BYTES = len(b'HTTP/1.1 200 \r\n\r\n')
_SEPARATORS_BYTES = len(b': \r\n')
_MS_PER_S = 1000

ResponseMatcher = Callable[[ResponseHead], bool]


class ResponseLoss(enum.Enum):
    """Name the reason why no complete response arrived."""

    CLOSED = 'connection_closed'
    RESET = 'connection_reset'
    MALFORMED = 'malformed_reply'
    FOREIGN = 'foreign_reply'
    OVERSIZED = 'oversized_head'
    INSIDE_EVENT = 'ended_inside_event'


class _Sizes:
    """Count the bytes received for one request, except its body."""

    def __init__(self) -> None:
        # Bytes since the parser last reported anything.
        self.open_line = 0
        self.longest_line = 0
        self.heads = 0
        self.headers = 0
        self.skipped = 0
        self.received = 0
        self.body = 0

    @property
    def head_exceeded(self) -> bool:
        """Return whether a line or the heads are too long."""
        longest = max(self.open_line, self.longest_line)
        return (
            longest > _MAX_LINE_BYTES
            or self.heads > _MAX_HEAD_BYTES
            or self.headers > _MAX_HEADERS
        )

    @property
    def framing_exceeded(self) -> bool:
        """Return whether the body is much smaller than what frames it."""
        framing = self.received - self.body
        return framing > _MAX_HEAD_BYTES * 2 + _MAX_FRAMING_RATIO * self.body

    def add_line(self, size: int) -> None:
        """Count a complete line of a head or trailer."""
        self.open_line = 0
        self.longest_line = max(self.longest_line, size)
        self.heads += size


@final
class ResponseReader:
    """Parse the response to the current request of one connection."""

    def __init__(self) -> None:
        self._parser: Any = httptools.HttpResponseParser(self)
        self._matches: ResponseMatcher = lambda head: True
        self._reason = b''
        self._headers: list[Header] = []
        self._skipping = False
        self._skipped = 0
        self._sizes = _Sizes()
        # The first reason, which later bytes of the same block do not change.
        self._lost: ResponseLoss | None = None
        self._close_delimited = False
        self._bodiless = False
        self._streaming = False
        # None if the body is no stream of events.
        self._events: EventBoundary | None = None
        self.head: ResponseHead | None = None
        # One buffer, since the pieces of a body can be of one byte each.
        self._body = bytearray()
        self._unread_events = 0
        self.pieces = 0
        self.complete = False
        self.reusable = True
        self.idle_limit_ms: int | None = None

    @property
    def buffered(self) -> int:
        """Return the size of the body that was not taken yet."""
        return len(self._body)

    @property
    def close_delimited(self) -> bool:
        """Return whether the end of the connection ends the response."""
        return self.head is not None and self._close_delimited

    @property
    def without_events(self) -> bool:
        """Return whether a close-delimited stream of events has none."""
        return (
            self._close_delimited
            and self._events is not None
            and self._events.empty
        )

    @property
    def event_ended(self) -> bool:
        """Return whether at least one event of a stream is whole."""
        return self._events is not None and self._events.event_ended

    @property
    def inside_event(self) -> bool:
        """Return whether the body is a stream that ends inside an event."""
        return self._events is not None and self._events.inside_event

    def expect(
        self,
        matches: ResponseMatcher,
        *,
        bodiless: bool,
        streaming: bool = False,
    ) -> None:
        """Prepare for the next response; bodiless is set for HEAD requests.

        streaming means that a response that is close-delimited or states no
        content type is a stream of events.
        """
        self._matches = matches
        self._bodiless = bodiless
        self._streaming = streaming
        self._events = None
        self.head = None
        self._body.clear()
        self._unread_events = 0
        self.complete = False
        self._close_delimited = False
        self._sizes = _Sizes()
        self._lost = None

    def feed(self, data: bytes) -> ResponseLoss | None:
        """Parse received bytes; return the reason if the response is lost."""
        if self.complete:
            # Bytes after a complete response belong to no request.
            self.reusable = False
            return None
        self._sizes.open_line += len(data)
        self._sizes.received += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            # Invalid bytes after a complete response do not affect it.
            self._lost = self._lost or ResponseLoss.MALFORMED
        self._read_events()
        if self.complete:
            self.reusable = self.reusable and self._lost is None
            return None
        self._check_bounds()
        return self._lost

    def pop_block(self) -> bytes:
        """Remove and return what has arrived of the body."""
        block = bytes(self._body)
        self._body.clear()
        return block

    def on_message_begin(self) -> None:
        """Start a response; one after a complete response is skipped."""
        if self.complete:
            self.reusable = False
        self._reason = b''
        self._headers = []
        self._skipping = self.complete
        self._sizes.add_line(_MESSAGE_BYTES)

    def on_status(self, reason: bytes) -> None:
        """Append to the reason phrase."""
        self._reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header."""
        self._headers.append((name, value))
        self.pieces += 1
        self._sizes.headers += 1
        self._sizes.add_line(len(name) + len(value) + _SEPARATORS_BYTES)
        self._check_bounds()

    def on_headers_complete(self) -> None:
        """Accept the response if it belongs to the current request."""
        self._sizes.add_line(len(self._reason))
        self._check_bounds()
        status = self._parser.get_status_code()
        if self._skipping or status < _FIRST_FINAL_STATUS:
            return
        if self._lost is not None:
            self._skipping = True
            return
        headers = tuple(self._headers)
        framing, length = _framing(status, headers)
        close_delimited = framing is Framing.CLOSE
        head = ResponseHead(status, self._reason, headers, length, framing)
        if not self._matches(head):
            self._skipping = True
            # A close-delimited response has no end after which the expected one
            # could begin.
            self._skipped += _MAX_SKIPPED + 1 if close_delimited else 1
            self._check_bounds()
            return
        self._close_delimited = close_delimited
        if status < _REDIRECT and not self._bodiless and self._is_stream(head):
            self._events = EventBoundary()
            # With a length, a stream that ends inside an event would look
            # complete to the caller before it could be aborted.
            head = msgspec.structs.replace(head, length=None)
        self.head = head
        if self._bodiless:
            # The parser would read the next response as the body of this one.
            self.complete = True
            self.reusable = False
        if not self._parser.should_keep_alive():
            self.reusable = False
        self.idle_limit_ms = _idle_limit_ms(head)

    def on_body(self, body: bytes) -> None:
        """Buffer a block of the body."""
        self._sizes.open_line = 0
        self._sizes.body += len(body)
        self.pieces += 1
        if self.head is None or self._skipping:
            self._sizes.skipped += len(body)
            self._check_bounds()
        elif not self._bodiless:
            self._body += body
            self._unread_events += len(body)

    def on_message_complete(self) -> None:
        """Mark the response as complete."""
        # Trailers may have exceeded a bound.
        if self.head is None or self._skipping or self._lost is not None:
            return
        self.complete = True

    def _read_events(self) -> None:
        if self._events is not None and self._unread_events:
            self._events.feed(bytes(self._body[-self._unread_events :]))
        self._unread_events = 0

    def _is_stream(self, head: ResponseHead) -> bool:
        content_type = head.header(b'content-type')
        if self._streaming and (self._close_delimited or content_type is None):
            return True
        return (content_type or b'').lower().startswith(EVENT_STREAM.encode())

    def _check_bounds(self) -> None:
        if self.complete or self._lost is not None:
            return
        skipped = self._skipped > _MAX_SKIPPED
        if self._sizes.head_exceeded or self._sizes.framing_exceeded:
            self._lost = ResponseLoss.OVERSIZED
        elif skipped or self._sizes.skipped > _MAX_SKIPPED_BYTES:
            self._lost = ResponseLoss.FOREIGN


def _framing(
    status: int, headers: tuple[Header, ...]
) -> tuple[Framing, int | None]:
    length = None
    # The parser follows a length that is no usable number here, too.
    length_stated = False
    chunked = False
    for name, value in headers:
        lower = name.lower()
        if lower == b'content-length':
            length_stated = True
            length = parse_number(value.strip())
        elif lower == b'transfer-encoding':
            chunked = b'chunked' in value.lower()
    if chunked:
        return Framing.CHUNKS, None
    if length_stated or status in _NO_BODY:
        return Framing.LENGTH, length
    return Framing.CLOSE, None


def _idle_limit_ms(head: ResponseHead) -> int | None:
    announced = head.header(b'keep-alive') or b''
    for part in announced.split(b','):
        name, _equals, value = part.strip().partition(b'=')
        seconds = parse_number(value)
        if name.lower() == b'timeout' and seconds is not None:
            return seconds * _MS_PER_S
    return None
