"""Define the HTTP requests and responses that pass through this VM."""

import enum

import msgspec
from baobabwharf_decisions.proxying.endpoint_load import LoadSample
from baobabwharf_decisions.proxying.prompt_cache import Prompt

Header = tuple[bytes, bytes]
Headers = tuple[Header, ...]

# Hop-by-hop headers; Expect and Content-Length are handled by this VM, too.
_CONNECTION_HEADERS = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'expect',
        b'content-length',
    )
)


# Longer numbers are no sizes or times; int() refuses some of them.
_MAX_DIGITS = 15


def parse_number(value: bytes | None) -> int | None:
    """Return a number from a header, None if it is missing or invalid."""
    if value is None or not value.isdigit() or len(value) > _MAX_DIGITS:
        return None
    return int(value)


def _find_header(headers: Headers, name: bytes) -> bytes | None:
    for found, value in headers:
        if found.lower() == name:
            return value
    return None


class HttpRequest(msgspec.Struct, frozen=True):
    """Hold a request as received; target is the path and the query."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes | bytearray

    def header(self, name: bytes) -> bytes | None:
        """Return the value of a header, by its lower-case name."""
        return _find_header(self.headers, name)


class RequestMetadata(msgspec.Struct, frozen=True):
    """Hold the metadata of a request that routing and limits need.

    time_left_ms is the caller's time-out and tokens is the amount to charge the
    customer; either is None if the request does not state it.
    """

    request_id: str
    host: str
    path: str
    key: bytes | None = None
    time_left_ms: int | None = None
    tokens: int | None = None
    prompt: Prompt = ()
    resume_after: int | None = None


class ResponseMetadata(msgspec.Struct, frozen=True):
    """Hold the metadata that an endpoint sends with a response.

    signed means that the response is the result of running the request.
    not_executed means that the request did not run and will not run later.
    leaving means that the endpoint wants no further requests, and pause_ms that
    it wants none from this VM for so long.
    """

    request_id: str | None
    signed: bool = False
    not_executed: bool = False
    load: LoadSample | None = None
    leaving: bool = False
    pause_ms: int | None = None


class Framing(enum.Enum):
    """Name what ends the body of a response."""

    LENGTH = 'length'
    CHUNKS = 'chunks'
    CLOSE = 'close'


class ResponseHead(msgspec.Struct, frozen=True):
    """Hold status and headers of a response; length is None if unknown."""

    status: int
    reason: bytes
    headers: Headers
    length: int | None
    framing: Framing = Framing.LENGTH

    def header(self, name: bytes) -> bytes | None:
        """Return the value of a header, by its lower-case name."""
        return _find_header(self.headers, name)


def end_to_end_headers(headers: Headers) -> list[Header]:
    """Return the headers without the hop-by-hop ones."""
    named = frozenset(
        token.strip().lower()
        for name, value in headers
        if name.lower() == b'connection'
        for token in value.split(b',')
    )
    dropped = _CONNECTION_HEADERS | named
    return [pair for pair in headers if pair[0].lower() not in dropped]


def encode_head(first_line: bytes, headers: list[Header]) -> bytes:
    """Return the head of a message, including the empty line."""
    lines = [first_line, *(b'%s: %s' % pair for pair in headers), b'', b'']
    return b'\r\n'.join(lines)


def encode_request_head(request: HttpRequest, headers: list[Header]) -> bytes:
    """Return the head of a request, with its Content-Length."""
    line = b'%s %s HTTP/1.1' % (request.method, request.target)
    framed = headers
    if request.body or request.method not in {b'GET', b'HEAD', b'DELETE'}:
        length = b'%d' % len(request.body)
        framed = [*headers, (b'Content-Length', length)]
    return encode_head(line, framed)
