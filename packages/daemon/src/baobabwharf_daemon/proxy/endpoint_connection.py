"""Send one request at a time to an endpoint and read the response.

A response is complete only if its framing says so; a close-delimited one is
complete only if the connection was closed and not reset.  A stream of events
that ends inside an event is lost, however it is framed.
"""

import asyncio
import socket
from typing import Any, final

from baobabwharf_decisions.proxying.read_pacer import ReadPacer

from baobabwharf_daemon.proxy.http_messages import ResponseHead
from baobabwharf_daemon.proxy.response_reader import (
    ResponseLoss,
    ResponseMatcher,
    ResponseReader,
)

_HIGH_WATER_BYTES = 65_536
# Parsed in one go; a read of the event loop can be larger.
_SLICE_BYTES = 8192
# Larger bodies are not copied; smaller ones leave in one segment with the head.
_MAX_JOINED_BYTES = 65_536
_MS_PER_S = 1000
_KEEPALIVE_IDLE_S = 2
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_PROBES = 2
# Unacknowledged bytes end the connection after this time, so also during a
# network partition that reports no error.
_USER_TIMEOUT_MS = 4000


@final
class EndpointConnection(asyncio.Protocol):
    """Own one connection to an endpoint or to another VM."""

    def __init__(self, pacer: ReadPacer) -> None:
        self._pacer = pacer
        self._response = ResponseReader()
        # Received bytes that wait for their turn to be parsed.
        self._unparsed = b''
        self._turn: asyncio.TimerHandle | None = None
        self._transport: Any = None
        self._waiter: asyncio.Future[None] | None = None
        self._pending = False
        self._lost: ResponseLoss | None = None
        self.idle_since_ms = 0
        self.request_count = 0

    @property
    def usable(self) -> bool:
        """Return whether another request may be sent."""
        if self._lost is not None or self._pending or self._turn is not None:
            return False
        if not self._response.reusable or self._transport.is_closing():
            return False
        return self._transport.get_write_buffer_size() == 0

    @property
    def idle_limit_ms(self) -> int | None:
        """Return the idle time-out that the endpoint announced, if any."""
        return self._response.idle_limit_ms

    @property
    def event_ended(self) -> bool:
        """Return whether a whole event of a stream has arrived."""
        return self._response.event_ended

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Enable TCP keepalive, so that network partitions are detected."""
        self._transport = transport
        sock = transport.get_extra_info('socket')
        if sock is not None:
            _enable_keepalive(sock)

    def connection_lost(self, exc: Exception | None) -> None:
        """Complete a close-delimited response, or record why it is lost."""
        self._parse_all()
        closed = exc is None and self._lost is None
        if self._pending and closed and self._response.close_delimited:
            self._response.complete = True
            self._response.reusable = False
        elif self._lost is None:
            self._lost = (
                ResponseLoss.CLOSED if exc is None else ResponseLoss.RESET
            )
        self._wake()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; pause reading while the buffer is full."""
        if self._turn is None:
            self._parse(data)
        else:
            self._unparsed += data

    def send(
        self,
        head: bytes,
        body: bytes | bytearray,
        matches: ResponseMatcher,
        *,
        bodiless: bool,
        streaming: bool = False,
    ) -> None:
        """Write a request; matches recognizes its response by the head."""
        self._response.expect(matches, bodiless=bodiless, streaming=streaming)
        self._pending = True
        self.request_count += 1
        if len(body) > _MAX_JOINED_BYTES:
            self._transport.write(head)
            self._transport.write(body)
        else:
            self._transport.write(head + body)

    async def read_head(self) -> ResponseHead | ResponseLoss:
        """Wait for the head of the response."""
        while self._response.head is None:
            if self._lost is not None:
                return self._lost
            await self._wait()
        return self._response.head

    async def read_block(self) -> bytes | ResponseLoss:
        """Wait for the next block of the body; empty at its end."""
        while not self._response.buffered:
            if self._response.complete and self._response.without_events:
                # This is also how an endpoint looks that crashed.
                return ResponseLoss.CLOSED
            if self._response.complete and self._response.inside_event:
                return ResponseLoss.INSIDE_EVENT
            if self._response.complete:
                return b''
            if self._lost is not None:
                return self._lost
            await self._wait()
        block = self._response.pop_block()
        if self._turn is None:
            self._transport.resume_reading()
        return block

    def mark_idle(self, now_ms: int) -> None:
        """Make the connection available for the next request."""
        self._pending = False
        self.idle_since_ms = now_ms

    def close(self) -> None:
        """Reset the connection; the endpoint then cancels its work."""
        self._response.reusable = False
        if self._transport is not None:
            self._transport.abort()

    def _parse(self, data: bytes) -> None:
        """Parse bytes, or a part of them if their parsing takes long."""
        offset = 0
        delay_ms = 0.0
        while offset < len(data) and not delay_ms:
            part = data[offset : offset + _SLICE_BYTES]
            offset += len(part)
            delay_ms = self._parse_slice(part)
            if self._transport.is_closing():
                break
        self._unparsed = data[offset:]
        if self._transport.is_closing():
            self._unparsed = b''
        elif delay_ms:
            self._transport.pause_reading()
            loop = asyncio.get_running_loop()
            self._turn = loop.call_later(delay_ms / _MS_PER_S, self._parse_rest)
        elif self._response.buffered > _HIGH_WATER_BYTES:
            self._transport.pause_reading()
        self._wake()

    def _parse_slice(self, part: bytes) -> float:
        """Parse a part; return how long to wait before the next one."""
        before = self._response.pieces
        # Bytes that arrive without a pending request belong to no response.
        lost = (
            self._response.feed(part) if self._pending else ResponseLoss.FOREIGN
        )
        if lost is not None:
            self._lost = self._lost or lost
            self._transport.abort()
            return 0
        if self._response.complete and not self._response.reusable:
            # Nothing that may still arrive is of use.
            self._transport.abort()
            return 0
        return self._pacer.delay_ms(
            asyncio.get_running_loop().time() * _MS_PER_S,
            self._response.pieces - before,
            len(part),
        )

    def _parse_rest(self) -> None:
        self._turn = None
        if self._transport.is_closing():
            return
        if self._response.buffered <= _HIGH_WATER_BYTES:
            self._transport.resume_reading()
        self._parse(self._unparsed)

    def _parse_all(self) -> None:
        """Parse what waits for its turn, since nothing follows."""
        if self._turn is not None:
            self._turn.cancel()
            self._turn = None
        if self._unparsed and self._lost is None and self._pending:
            self._lost = self._response.feed(self._unparsed)
        self._unparsed = b''

    async def _wait(self) -> None:
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


def _enable_keepalive(sock: Any) -> None:
    for level, option, value in (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS),
    ):
        sock.setsockopt(level, option, value)
