"""Parse HTTP requests and enforce the size limits of the deployment."""

import abc
from collections.abc import Callable
from typing import Any, final

import httptools
from baobabwharf_core.deployment import IngressLimits

from baobabwharf_daemon.proxy.http_messages import Header, HttpRequest

# The parser takes no length beyond 64 bits.
_MAX_LENGTH_DIGITS = 20
# Object headers of a header line, in bytes.
_HEADER_OVERHEAD = 200
# The body of a refused request is read and dropped up to this length, so that
# the connection stays usable.
_MAX_DROPPED_BYTES = 65_536
# Smaller bodies are copied, larger ones keep the buffer they were read into.
_MAX_COPIED_BYTES = 65_536

LimitsSource = Callable[[], IngressLimits]

BAD_REQUEST = 400
_BODY_TOO_LARGE = 413
_HEADER_TOO_LARGE = 431
_SEPARATORS = len(b': \r\n')
# Header lines and trailers of a request.
_MAX_HEADERS = 256
# Chunk headers and their extensions, beyond this and in relation to the body.
_MAX_FRAMING_BYTES = 131_072
_MAX_FRAMING_RATIO = 64


class RequestSink(abc.ABC):
    """Receive the events of a RequestReader."""

    @abc.abstractmethod
    def on_request_begin(self) -> None:
        """Handle the first byte of a request."""

    @abc.abstractmethod
    def on_head(self, head: HttpRequest, length: int | None) -> bool:
        """Return whether the body is kept; length is None if unknown."""

    @abc.abstractmethod
    def on_received(self, size: int) -> bool:
        """Count bytes of the request; return whether it is read further."""

    @abc.abstractmethod
    def refuse_head(self) -> None:
        """Reject a request whose body is not kept; nothing more is parsed."""

    @abc.abstractmethod
    def on_headers_end(self, *, awaits_continue: bool) -> None:
        """Handle the end of the headers."""

    @abc.abstractmethod
    def on_request_end(self, request: HttpRequest, *, keep_alive: bool) -> None:
        """Handle a complete request."""

    @abc.abstractmethod
    def refuse(self, status: int) -> None:
        """Reject an invalid request; the connection is parsed no further."""


class _PartialRequest:
    """Accumulate the parts of one request."""

    def __init__(self) -> None:
        self.target = b''
        self.headers: list[Header] = []
        self.body = bytearray()
        self.header_bytes = 0
        # Bytes received after the first ones.
        self.later_bytes = 0
        self.keeps_body = True
        # Bytes that the sink has counted.
        self.counted = 0

    @property
    def held_bytes(self) -> int:
        """Return how much memory the request takes."""
        headers = self.header_bytes + len(self.headers) * _HEADER_OVERHEAD
        return headers + len(self.body)

    @property
    def framing_exceeded(self) -> bool:
        """Return whether the body is much smaller than what frames it."""
        framing = self.later_bytes - len(self.body)
        allowed = _MAX_FRAMING_BYTES + _MAX_FRAMING_RATIO * len(self.body)
        return framing > allowed


@final
class RequestReader:
    """Parse the requests of one connection."""

    def __init__(self, sink: RequestSink, limits: LimitsSource) -> None:
        self._sink = sink
        self._limits = limits
        self._parser: Any = httptools.HttpRequestParser(self)
        self._incoming: _PartialRequest | None = None
        self._refused = False

    @property
    def reading_request(self) -> bool:
        """Return whether a request is partly received."""
        return self._incoming is not None

    @property
    def refused(self) -> bool:
        """Return whether nothing more is parsed."""
        return self._refused

    def abandon(self) -> None:
        """Drop the partial request and parse nothing more."""
        self._refused = True
        self._incoming = None

    def feed(self, data: bytes | memoryview) -> None:
        """Parse received bytes."""
        if self._refused:
            return
        incoming = self._incoming
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._refuse(BAD_REQUEST)
        if incoming is not None and incoming is self._incoming:
            incoming.later_bytes += len(data)
            if incoming.framing_exceeded:
                self._refuse(BAD_REQUEST)
        if self._incoming is not None:
            self._count(self._incoming)

    def on_message_begin(self) -> None:
        """Start a new request."""
        self._incoming = _PartialRequest()
        self._sink.on_request_begin()

    def on_url(self, url: bytes) -> None:
        """Append to the request target."""
        if self._incoming is not None:
            self._incoming.target += url
            self._count_header(self._incoming, len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header."""
        if self._incoming is not None:
            self._incoming.headers.append((name, value))
            size = len(name) + len(value) + _SEPARATORS
            self._count_header(self._incoming, size)

    def on_headers_complete(self) -> None:
        """Report the end of the headers and any Expect: 100-continue."""
        if self._incoming is None:
            return
        head = HttpRequest(
            self._parser.get_method(),
            self._incoming.target,
            tuple(self._incoming.headers),
            b'',
        )
        length = _body_length(head)
        if length is not None and length > self._limits().max_body_bytes:
            self._refuse(_BODY_TOO_LARGE)
            return
        self._incoming.keeps_body = self._sink.on_head(head, length)
        drops_all = length is not None and length <= _MAX_DROPPED_BYTES
        if not (self._incoming.keeps_body or drops_all):
            self.abandon()
            self._sink.refuse_head()
            return
        awaits_continue = head.header(b'expect') or b''
        self._sink.on_headers_end(
            awaits_continue=awaits_continue.lower() == b'100-continue'
        )

    def on_body(self, body: bytes) -> None:
        """Append to the body."""
        incoming = self._incoming
        if incoming is None:
            return
        if len(incoming.body) + len(body) > self._limits().max_body_bytes:
            self._refuse(_BODY_TOO_LARGE)
        elif incoming.keeps_body:
            incoming.body += body

    def on_message_complete(self) -> None:
        """Report the complete request."""
        incoming = self._incoming
        self._incoming = None
        if incoming is None or not self._count(incoming):
            return
        copied = len(incoming.body) <= _MAX_COPIED_BYTES
        request = HttpRequest(
            self._parser.get_method(),
            incoming.target,
            tuple(incoming.headers),
            bytes(incoming.body) if copied else incoming.body,
        )
        keep_alive = self._parser.should_keep_alive()
        self._sink.on_request_end(request, keep_alive=keep_alive)

    def _count(self, incoming: _PartialRequest) -> bool:
        """Report what arrived; return whether the request is read on."""
        held = incoming.held_bytes
        size = held - incoming.counted
        incoming.counted = held
        if size and not self._sink.on_received(size):
            self.abandon()
        return not self._refused

    def _count_header(self, incoming: _PartialRequest, size: int) -> None:
        incoming.header_bytes += size
        too_many = len(incoming.headers) > _MAX_HEADERS
        if too_many or incoming.header_bytes > self._limits().max_header_bytes:
            self._refuse(_HEADER_TOO_LARGE)

    def _refuse(self, status: int) -> None:
        if not self._refused:
            self._refused = True
            self._incoming = None
            self._sink.refuse(status)


def _body_length(head: HttpRequest) -> int | None:
    """Return the announced length of a body, None for a chunked one.

    The parser has checked the value, which may be longer than int() takes.
    """
    if head.header(b'transfer-encoding') is not None:
        return None
    value = (head.header(b'content-length') or b'0').strip()
    return int(value[-_MAX_LENGTH_DIGITS:]) if value.isdigit() else 0
