"""Serve HTTP/1.1 to callers with exact control over bytes and closing."""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from typing import Any, final

import httptools
from baobabwharf_core.deployment import IngressLimits

from baobabwharf_daemon.proxy.messages import (
    Header,
    Headers,
    WireRequest,
    encode_head,
)

_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
_LAST_CHUNK = b'0\r\n\r\n'
_MAX_PIPELINED = 4
_NO_BODY = frozenset((204, 304))
_BAD_REQUEST = 400
_TIMEOUT = 408
_BODY_TOO_LARGE = 413
_HEADER_TOO_LARGE = 431

CallHandler = Callable[['Call'], Awaitable[None]]
LimitsSource = Callable[[], IngressLimits]


@final
class Call:
    """Hold a request and write its answer."""

    def __init__(
        self, request: WireRequest, connection: 'CallerConnection'
    ) -> None:
        self._connection = connection
        self._chunked = False
        self.request = request
        self.started = False

    @property
    def stopping(self) -> bool:
        """Tell whether the VM of this call is stopping."""
        return self._connection.stopping

    def start(
        self,
        status: int,
        reason: bytes,
        headers: list[Header],
        length: int | None,
    ) -> None:
        """Write the head; without a length the body goes in chunks."""
        self.started = True
        framed = list(headers)
        self._chunked = length is None and status not in _NO_BODY
        if self._chunked:
            framed.append((b'Transfer-Encoding', b'chunked'))
        elif status not in _NO_BODY:
            framed.append((b'Content-Length', b'%d' % (length or 0)))
        if not self._connection.keeps_alive:
            framed.append((b'Connection', b'close'))
        line = b'HTTP/1.1 %d %s' % (status, reason)
        self._connection.write(encode_head(line, framed))

    def write(self, block: bytes) -> None:
        """Write a part of the body."""
        if self._chunked and block:
            self._connection.write(b'%x\r\n%s\r\n' % (len(block), block))
        elif block:
            self._connection.write(block)

    async def drain(self) -> None:
        """Wait until the caller takes more bytes."""
        await self._connection.writable.wait()

    def finish(self) -> None:
        """End a whole answer."""
        if self._chunked:
            self._connection.write(_LAST_CHUNK)
        self._connection.end_call()

    def abort(self) -> None:
        """End an answer so that it does not look whole."""
        self._connection.abort()

    def answer(
        self, status: int, reason: bytes, headers: list[Header], body: bytes
    ) -> None:
        """Write a whole answer."""
        self.start(status, reason, headers, len(body))
        self.write(body)
        self.finish()


class _Incoming:
    """Collect one request while it is parsed."""

    def __init__(self) -> None:
        self.target = b''
        self.headers: list[Header] = []
        self.body = bytearray()
        self.header_bytes = 0
        self.fault: int | None = None


@final
class CallerConnection(asyncio.Protocol):
    """Parse requests of one connection and run them one after another."""

    def __init__(
        self,
        handler: CallHandler,
        limits: LimitsSource,
        registry: set['CallerConnection'],
    ) -> None:
        self._handler = handler
        self._limits = limits
        self._registry = registry
        self._parser: Any = httptools.HttpRequestParser(self)
        self._transport: Any = None
        self._incoming: _Incoming | None = None
        self._waiting: deque[WireRequest | int] = deque()
        self._running: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self.keeps_alive = True
        self.stopping = False
        self.writable = asyncio.Event()
        self.writable.set()

    @property
    def busy(self) -> bool:
        """Tell whether a request is read or answered."""
        return bool(
            self._running is not None or self._waiting or self._incoming
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin to wait for a request."""
        self._transport = transport
        self._registry.add(self)
        self._set_timer(self._limits().idle_timeout_ms, self._close_idle)

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop the request of a caller that is gone."""
        self._registry.discard(self)
        self._clear_timer()
        self.writable.set()
        self._waiting.clear()
        if self._running is not None:
            self._running.cancel()

    def data_received(self, data: bytes) -> None:
        """Parse bytes of the caller."""
        if self._transport.is_closing():
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._refuse(_BAD_REQUEST)

    def eof_received(self) -> bool:
        """Treat a caller that closes its side as gone."""
        return False

    def pause_writing(self) -> None:
        """Note that the caller takes no more bytes for now."""
        self.writable.clear()

    def resume_writing(self) -> None:
        """Note that the caller takes bytes again."""
        self.writable.set()

    def on_message_begin(self) -> None:
        """Begin a request."""
        self._incoming = _Incoming()
        self._set_timer(self._limits().header_timeout_ms, self._time_out)

    def on_url(self, url: bytes) -> None:
        """Collect the target."""
        assert self._incoming is not None
        self._incoming.target += url
        self._count_header(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header."""
        assert self._incoming is not None
        self._incoming.headers.append((name, value))
        self._count_header(len(name) + len(value) + 4)

    def on_headers_complete(self) -> None:
        """Ask for the body if the caller waits for that."""
        assert self._incoming is not None
        self._clear_timer()
        for name, value in self._incoming.headers:
            wants = (
                name.lower() == b'expect' and value.lower() == b'100-continue'
            )
            if wants and self._incoming.fault is None:
                self.write(_CONTINUE)

    def on_body(self, body: bytes) -> None:
        """Collect the body."""
        incoming = self._incoming
        assert incoming is not None
        if len(incoming.body) + len(body) > self._limits().max_body_bytes:
            incoming.fault = incoming.fault or _BODY_TOO_LARGE
            self._refuse(_BODY_TOO_LARGE)
            return
        incoming.body += body

    def on_message_complete(self) -> None:
        """Queue a whole request."""
        incoming = self._incoming
        self._incoming = None
        if incoming is None or incoming.fault is not None:
            return
        self._clear_timer()
        self.keeps_alive = (
            self._parser.should_keep_alive() and not self.stopping
        )
        self._waiting.append(
            WireRequest(
                self._parser.get_method(),
                incoming.target,
                tuple(incoming.headers),
                bytes(incoming.body),
            )
        )
        if len(self._waiting) >= _MAX_PIPELINED:
            self._transport.pause_reading()
        self._run_next()

    def write(self, block: bytes) -> None:
        """Write bytes unless the caller is gone."""
        if not self._transport.is_closing():
            self._transport.write(block)

    def end_call(self) -> None:
        """Close the connection or wait for the next request."""
        if not self.keeps_alive:
            self._transport.close()

    def abort(self) -> None:
        """Reset the connection."""
        self.keeps_alive = False
        self._transport.abort()

    def stop(self) -> None:
        """Close once idle; answers from now on say so."""
        self.stopping = True
        if self._running is not None:
            self.keeps_alive = False
        if not self.busy and self._transport is not None:
            self._transport.close()

    def _run_next(self) -> None:
        if self._running is not None or not self._waiting:
            return
        request = self._waiting.popleft()
        if isinstance(request, int):
            self._answer_fault(request)
            return
        call = Call(request, self)
        self._running = asyncio.get_running_loop().create_task(self._run(call))

    async def _run(self, call: Call) -> None:
        try:
            await self._handler(call)
        finally:
            self._running = None
            self._ended()

    def _ended(self) -> None:
        if self._transport.is_closing():
            return
        if self._waiting:
            self._transport.resume_reading()
            self._run_next()
        elif self.stopping and self._incoming is None:
            self._transport.close()
        elif self._incoming is None:
            limit_ms = self._limits().idle_timeout_ms
            self._set_timer(limit_ms, self._close_idle)

    def _count_header(self, size: int) -> None:
        incoming = self._incoming
        assert incoming is not None
        incoming.header_bytes += size
        too_large = incoming.header_bytes > self._limits().max_header_bytes
        if too_large and incoming.fault is None:
            incoming.fault = _HEADER_TOO_LARGE
            self._refuse(_HEADER_TOO_LARGE)

    def _refuse(self, status: int) -> None:
        self._clear_timer()
        self._waiting.append(status)
        self._transport.pause_reading()
        self._run_next()

    def _answer_fault(self, status: int) -> None:
        self.keeps_alive = False
        Call(WireRequest(b'', b'', (), b''), self).answer(
            status, b'Refused', [], b''
        )

    def _set_timer(self, limit_ms: int, action: Callable[[], None]) -> None:
        self._clear_timer()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(limit_ms / 1000, action)

    def _clear_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _close_idle(self) -> None:
        if not self.busy:
            self._transport.close()

    def _time_out(self) -> None:
        if self._running is None:
            self._refuse(_TIMEOUT)


@final
class CallerListener:
    """Own one listener and its connections."""

    def __init__(self, handler: CallHandler, limits: LimitsSource) -> None:
        self._handler = handler
        self._limits = limits
        self._connections: set[CallerConnection] = set()
        self._server: asyncio.Server | None = None

    @property
    def connections(self) -> int:
        """Return the number of open connections."""
        return len(self._connections)

    async def start(self, host: str, port: int) -> None:
        """Listen; raise OSError if the address is taken."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: CallerConnection(
                self._handler, self._limits, self._connections
            ),
            host,
            port,
            backlog=1024,
        )

    def stop_idle(self) -> None:
        """Close idle connections, and the others after their answer."""
        for connection in tuple(self._connections):
            connection.stop()

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    def abort(self) -> None:
        """Reset what is still open."""
        for connection in tuple(self._connections):
            connection.abort()


def strip_headers(headers: Headers, names: frozenset[bytes]) -> list[Header]:
    """Return the headers without some, by their lower-case names."""
    return [pair for pair in headers if pair[0].lower() not in names]
