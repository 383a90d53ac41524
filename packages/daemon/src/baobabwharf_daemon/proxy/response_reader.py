"""Parse the reply to one request of an endpoint connection.

A reply with another request id belongs to an earlier request and is skipped.
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
    """Say why no whole reply came."""

    CLOSED = 'connection_closed'
    RESET = 'connection_reset'
    MALFORMED = 'malformed_reply'
    FOREIGN = 'foreign_reply'


@final
class ResponseReader:
    """Own the parser of one connection and the reply that it reads."""

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
        """Tell whether only the end of the connection ends the reply."""
        return self.head is not None and self._close_delimited

    def expect(self, matches: ResponseMatcher, *, bodiless: bool) -> None:
        """Wait for the reply to a request; one to HEAD has no body."""
        self._matches = matches
        self._bodiless = bodiless
        self.head = None
        self.blocks.clear()
        self.buffered = 0
        self.complete = False
        self._close_delimited = False

    def feed(self, data: bytes) -> ResponseLoss | None:
        """Parse bytes; say why the reply is lost, if it is."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            # Bytes after a whole reply do no harm to it.
            self.reusable = False
            return None if self.complete else ResponseLoss.MALFORMED
        if self._skipped > _MAX_SKIPPED:
            self.reusable = False
            return ResponseLoss.FOREIGN
        return None

    def take(self) -> bytes:
        """Return the next part of the body."""
        block = self.blocks.popleft()
        self.buffered -= len(block)
        return block

    def on_message_begin(self) -> None:
        """Begin a reply."""
        if self.complete:
            self.reusable = False
        self._reason = b''
        self._headers = []
        self._skipping = self.complete

    def on_status(self, reason: bytes) -> None:
        """Collect the reason phrase."""
        self._reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header."""
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Check whether the reply belongs to the request."""
        status = self._parser.get_status_code()
        if self._skipping or status < _FIRST_FINAL_STATUS:
            return
        headers = tuple(self._headers)
        length, chunked = _framing(headers)
        endless = length is None and not chunked and status not in _NO_BODY
        head = ResponseHead(status, self._reason, headers, length)
        if not self._matches(head):
            self._skipping = True
            # Nothing tells where an endless reply ends and ours begins.
            self._skipped += _MAX_SKIPPED + 1 if endless else 1
            return
        self.head = head
        self._close_delimited = endless
        if self._bodiless:
            # The parser would take what follows for the body.
            self.complete = True
            self.reusable = False
        if not self._parser.should_keep_alive():
            self.reusable = False
        self.idle_limit_ms = _idle_limit_ms(head)

    def on_body(self, body: bytes) -> None:
        """Keep a part of the body until it is taken."""
        if self.head is not None and not self._skipping:
            self.blocks.append(body)
            self.buffered += len(body)

    def on_message_complete(self) -> None:
        """Note that the reply is whole."""
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
    stated = head.header(b'keep-alive') or b''
    for part in stated.split(b','):
        name, _equals, value = part.strip().partition(b'=')
        if name.lower() == b'timeout' and value.isdigit():
            return int(value) * _MS_PER_S
    return None
