"""Parse the HTTP responses on one connection to an endpoint.

A response with another request id belongs to an earlier request and is
skipped.
"""

import enum
from collections import deque
from collections.abc import Callable
from typing import Any, final

import httptools

from baobabwharf_daemon.proxy.http_messages import Header, ResponseHead

_NO_BODY = frozenset((204, 304))
_FIRST_FINAL_STATUS = 200
_MAX_SKIPPED = 3
_MS_PER_S = 1000

ResponseMatcher = Callable[[ResponseHead], bool]


class ResponseLoss(enum.Enum):
    """Name the reason why no complete response arrived."""

    CLOSED = 'connection_closed'
    RESET = 'connection_reset'
    MALFORMED = 'malformed_reply'
    FOREIGN = 'foreign_reply'


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
        self._close_delimited = False
        self._bodiless = False
        self.head: ResponseHead | None = None
        self.blocks: deque[bytes] = deque()
        self.buffered = 0
        self.complete = False
        self.reusable = True
        self.idle_limit_ms: int | None = None

    @property
    def close_delimited(self) -> bool:
        """Return whether the end of the connection ends the response."""
        return self.head is not None and self._close_delimited

    def expect(self, matches: ResponseMatcher, *, bodiless: bool) -> None:
        """Prepare for the next response; bodiless is set for HEAD requests."""
        self._matches = matches
        self._bodiless = bodiless
        self.head = None
        self.blocks.clear()
        self.buffered = 0
        self.complete = False
        self._close_delimited = False

    def feed(self, data: bytes) -> ResponseLoss | None:
        """Parse received bytes; return the reason if the response is lost."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            # Invalid bytes after a complete response do not affect it.
            self.reusable = False
            return None if self.complete else ResponseLoss.MALFORMED
        if self._skipped > _MAX_SKIPPED:
            self.reusable = False
            return ResponseLoss.FOREIGN
        return None

    def pop_block(self) -> bytes:
        """Remove and return the next block of the body."""
        block = self.blocks.popleft()
        self.buffered -= len(block)
        return block

    def on_message_begin(self) -> None:
        """Start a response; one after a complete response is skipped."""
        if self.complete:
            self.reusable = False
        self._reason = b''
        self._headers = []
        self._skipping = self.complete

    def on_status(self, reason: bytes) -> None:
        """Append to the reason phrase."""
        self._reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header."""
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Accept the response if it belongs to the current request."""
        status = self._parser.get_status_code()
        if self._skipping or status < _FIRST_FINAL_STATUS:
            return
        headers = tuple(self._headers)
        length, chunked = _framing(headers)
        close_delimited = (
            length is None and not chunked and status not in _NO_BODY
        )
        head = ResponseHead(status, self._reason, headers, length)
        if not self._matches(head):
            self._skipping = True
            # A close-delimited response has no end after which the expected one
            # could begin.
            self._skipped += _MAX_SKIPPED + 1 if close_delimited else 1
            return
        self.head = head
        self._close_delimited = close_delimited
        if self._bodiless:
            # The parser would read the next response as the body of this one.
            self.complete = True
            self.reusable = False
        if not self._parser.should_keep_alive():
            self.reusable = False
        self.idle_limit_ms = _idle_limit_ms(head)

    def on_body(self, body: bytes) -> None:
        """Buffer a block of the body."""
        if self.head is not None and not self._skipping:
            self.blocks.append(body)
            self.buffered += len(body)

    def on_message_complete(self) -> None:
        """Mark the response as complete."""
        if self.head is not None and not self._skipping:
            self.complete = True


def _framing(headers: tuple[Header, ...]) -> tuple[int | None, bool]:
    length = None
    chunked = False
    for name, value in headers:
        lower = name.lower()
        if lower == b'content-length' and value.isdigit():
            length = int(value)
        elif lower == b'transfer-encoding':
            chunked = b'chunked' in value.lower()
    return (None if chunked else length), chunked


def _idle_limit_ms(head: ResponseHead) -> int | None:
    announced = head.header(b'keep-alive') or b''
    for part in announced.split(b','):
        name, _equals, value = part.strip().partition(b'=')
        if name.lower() == b'timeout' and value.isdigit():
            return int(value) * _MS_PER_S
    return None
