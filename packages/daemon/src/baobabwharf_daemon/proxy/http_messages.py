"""Describe requests and replies as they pass through this VM."""

import msgspec
from baobabwharf_decisions.proxying.endpoint_load import LoadSample
from baobabwharf_decisions.proxying.prompt_cache import Prompt

Header = tuple[bytes, bytes]
Headers = tuple[Header, ...]

# Headers that concern one connection only.
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


def _find_header(headers: Headers, name: bytes) -> bytes | None:
    for found, value in headers:
        if found.lower() == name:
            return value
    return None


class HttpRequest(msgspec.Struct, frozen=True):
    """Hold a request as a caller sent it; target is path and query."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes

    def header(self, name: bytes) -> bytes | None:
        """Return the value of a header, by its lower-case name."""
        return _find_header(self.headers, name)


class RequestMetadata(msgspec.Struct, frozen=True):
    """Hold what the decisions need to know of a request.

    time_left_ms is what the caller will wait, None if it did not say.
    tokens is what a customer is charged, None if the request has no count.
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
    """Hold what an endpoint says about its reply beside the body.

    signed tells that the reply is the result of a run.  not_executed tells
    that the request did not run and never will.
    """

    request_id: str | None
    signed: bool = False
    not_executed: bool = False
    load: LoadSample | None = None


class ResponseHead(msgspec.Struct, frozen=True):
    """Hold status and headers of a reply; length is None if unknown."""

    status: int
    reason: bytes
    headers: Headers
    length: int | None

    def header(self, name: bytes) -> bytes | None:
        """Return the value of a header, by its lower-case name."""
        return _find_header(self.headers, name)


def end_to_end_headers(headers: Headers) -> list[Header]:
    """Return the headers without those that concern one connection."""
    named = frozenset(
        token.strip().lower()
        for name, value in headers
        if name.lower() == b'connection'
        for token in value.split(b',')
    )
    dropped = _CONNECTION_HEADERS | named
    return [pair for pair in headers if pair[0].lower() not in dropped]


def encode_head(first_line: bytes, headers: list[Header]) -> bytes:
    """Return the head of a message with its empty line."""
    lines = [first_line, *(b'%s: %s' % pair for pair in headers), b'', b'']
    return b'\r\n'.join(lines)


def encode_request(request: HttpRequest, headers: list[Header]) -> bytes:
    """Return a request with a body of known length."""
    line = b'%s %s HTTP/1.1' % (request.method, request.target)
    framed = headers
    if request.body or request.method not in {b'GET', b'HEAD', b'DELETE'}:
        length = b'%d' % len(request.body)
        framed = [*headers, (b'Content-Length', length)]
    return encode_head(line, framed) + request.body
