"""Send one request at a time to an endpoint and read its reply.

A reply is whole only if its framing says so: one that ends with its
connection must not have been reset.  A reply with another request id belongs
to an earlier request and is skipped.
"""

import asyncio
import enum
import socket
from collections import deque
from collections.abc import Callable
from typing import Any, final

import httptools

from baobabwharf_daemon.proxy.messages import Header, ReplyHead

_HIGH_WATER_BYTES = 65_536
_NO_BODY = frozenset((204, 304))
_FIRST_FINAL = 200
_KEEPALIVE_IDLE_S = 2
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_PROBES = 2
# Unanswered bytes end the connection after that, also at a silent partition.
_USER_TIMEOUT_MS = 4000
_MAX_SKIPPED = 3

BelongsTo = Callable[[ReplyHead], bool]


class Lost(enum.Enum):
    """Say why no whole reply came."""

    CLOSED = 'connection_closed'
    RESET = 'connection_reset'
    MALFORMED = 'malformed_reply'
    FOREIGN = 'foreign_reply'


class _Reply:
    def __init__(self) -> None:
        self.reason = b''
        self.headers: list[Header] = []
        self.head: ReplyHead | None = None
        self.skipped = False


@final
class EndpointConnection(asyncio.Protocol):
    """Own one connection to an endpoint."""

    def __init__(self) -> None:
        self._parser: Any = None
        self._transport: Any = None
        self._reply = _Reply()
        self._blocks: deque[bytes] = deque()
        self._buffered = 0
        self._complete = False
        self._waiter: asyncio.Future[None] | None = None
        self._belongs: BelongsTo = lambda head: True
        self._pending = False
        self._skipped = 0
        self._reusable = True
        self._by_close = False
        self.lost: Lost | None = None
        self.idle_since_ms = 0
        self.idle_limit_ms: int | None = None
        self.used = 0

    @property
    def usable(self) -> bool:
        """Tell whether another request may be sent."""
        return (
            self.lost is None
            and self._reusable
            and not self._pending
            and not self._transport.is_closing()
            and self._transport.get_write_buffer_size() == 0
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Let silent partitions show."""
        self._transport = transport
        self._parser = httptools.HttpResponseParser(self)
        found = transport.get_extra_info('socket')
        if found is not None:
            _set_probes(found)

    def connection_lost(self, exc: Exception | None) -> None:
        """End the reply as its framing says."""
        whole = self._by_close and exc is None and self.lost is None
        if self._pending and whole and self._reply.head is not None:
            self._complete = True
        elif self.lost is None:
            self.lost = Lost.CLOSED if exc is None else Lost.RESET
        self._wake()

    def eof_received(self) -> bool:
        """Close when the endpoint does."""
        return False

    def data_received(self, data: bytes) -> None:
        """Parse bytes of the endpoint."""
        if not self._pending:
            # No request is waiting for these bytes.
            self._spoil(Lost.FOREIGN)
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            if not self._complete:
                self._spoil(Lost.MALFORMED)
            self._reusable = False

    def on_message_begin(self) -> None:
        """Begin a reply."""
        if self._complete:
            self._reusable = False
        else:
            self._reply = _Reply()

    def on_status(self, reason: bytes) -> None:
        """Collect the reason phrase."""
        self._reply.reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header."""
        if not self._complete:
            self._reply.headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Check whether the reply belongs to the request."""
        status = self._parser.get_status_code()
        if self._complete or status < _FIRST_FINAL:
            return
        reply = self._reply
        headers = tuple(reply.headers)
        length, chunked = _framing(headers)
        head = ReplyHead(status, reply.reason, headers, length)
        if not self._belongs(head):
            self._skip(length is None and not chunked)
            return
        reply.head = head
        self._by_close = length is None and not chunked
        self._by_close = self._by_close and status not in _NO_BODY
        self._reusable = self._reusable and self._parser.should_keep_alive()
        self.idle_limit_ms = _idle_limit_ms(head)
        self._wake()

    def on_body(self, body: bytes) -> None:
        """Keep a part of the body until it is read."""
        if self._reply.skipped or self._complete:
            return
        self._blocks.append(body)
        self._buffered += len(body)
        if self._buffered > _HIGH_WATER_BYTES:
            self._transport.pause_reading()
        self._wake()

    def on_message_complete(self) -> None:
        """Note that the reply is whole."""
        if self._reply.head is not None:
            self._complete = True
            self._wake()

    def send(self, request: bytes, belongs: BelongsTo) -> None:
        """Write a request; its reply is the one that belongs to it."""
        self._reply = _Reply()
        self._blocks.clear()
        self._buffered = 0
        self._complete = False
        self._by_close = False
        self._belongs = belongs
        self._pending = True
        self.used += 1
        self._transport.write(request)

    async def head(self) -> ReplyHead | Lost:
        """Wait for the head of the reply."""
        while self._reply.head is None and self.lost is None:
            await self._wait()
        if self._reply.head is not None:
            return self._reply.head
        assert self.lost is not None
        return self.lost

    async def block(self) -> bytes | Lost:
        """Wait for a part of the body; empty at its whole end."""
        while not self._blocks and not self._complete and self.lost is None:
            await self._wait()
        if self._blocks:
            block = self._blocks.popleft()
            self._buffered -= len(block)
            if self._buffered <= _HIGH_WATER_BYTES:
                self._transport.resume_reading()
            return block
        if self._complete:
            return b''
        assert self.lost is not None
        return self.lost

    def release(self, now_ms: int) -> None:
        """Free the connection for the next request."""
        self._pending = False
        self.idle_since_ms = now_ms

    def close(self) -> None:
        """Drop the connection; an endpoint then cancels its work."""
        self._reusable = False
        if self._transport is not None:
            self._transport.abort()

    def _skip(self, endless: bool) -> None:
        self._skipped += 1
        self._reply.skipped = True
        if endless or self._skipped > _MAX_SKIPPED:
            self._spoil(Lost.FOREIGN)

    def _spoil(self, lost: Lost) -> None:
        self._reusable = False
        if self.lost is None and not self._complete:
            self.lost = lost
        self._transport.abort()
        self._wake()

    async def _wait(self) -> None:
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


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


def _idle_limit_ms(head: ReplyHead) -> int | None:
    stated = head.header(b'keep-alive') or b''
    for part in stated.split(b','):
        name, _equals, value = part.strip().partition(b'=')
        if name.lower() == b'timeout' and value.isdigit():
            return int(value) * 1000
    return None


def _set_probes(found: Any) -> None:
    for level, option, value in (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS),
    ):
        found.setsockopt(level, option, value)
