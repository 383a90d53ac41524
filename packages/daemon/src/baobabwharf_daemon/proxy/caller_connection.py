"""Serve HTTP/1.1 with full control over its bytes and connections."""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from typing import Any, final

from baobabwharf_daemon.proxy.http_call import HttpCall, ResponseChannel
from baobabwharf_daemon.proxy.http_messages import HttpRequest
from baobabwharf_daemon.proxy.request_reader import (
    LimitsSource,
    RequestReader,
    RequestSink,
)

_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
_MAX_QUEUED_REQUESTS = 4
_REQUEST_TIMEOUT = 408
_BACKLOG = 1024
_MS_PER_S = 1000
_UNPARSED_REQUEST = HttpRequest(b'', b'', (), b'')

CallHandler = Callable[[HttpCall], Awaitable[None]]
Connections = set['CallerConnection']


@final
class _SingleTimer:
    """Hold at most one scheduled callback."""

    def __init__(self) -> None:
        self._handle: asyncio.TimerHandle | None = None

    def set(self, delay_ms: int, action: Callable[[], None]) -> None:
        """Schedule a callback in place of the pending one."""
        self.clear()
        loop = asyncio.get_running_loop()
        self._handle = loop.call_later(delay_ms / _MS_PER_S, action)

    def clear(self) -> None:
        """Cancel the pending callback."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None


@final
class _RequestQueue(RequestSink, ResponseChannel):
    """Run the requests of one connection in order."""

    def __init__(self, handler: CallHandler, limits: LimitsSource) -> None:
        self._handler = handler
        self._limits = limits
        # Requests with their keep-alive flag, or error statuses for requests
        # that could not be parsed.
        self._waiting: deque[tuple[HttpRequest, bool] | int] = deque()
        self._running: asyncio.Task[None] | None = None
        self._timer = _SingleTimer()
        self._keeps_alive = True
        self._stopping = False
        self.reader = RequestReader(self, limits)
        self.transport: Any = None
        self.writable = asyncio.Event()
        self.writable.set()

    @property
    def keeps_alive(self) -> bool:
        """Return whether the connection stays open for another request."""
        return self._keeps_alive

    def on_request_begin(self) -> None:
        """Start the header time-out."""
        limit_ms = self._limits().header_timeout_ms
        self._timer.set(limit_ms, lambda: self.refuse(_REQUEST_TIMEOUT))

    def on_headers_end(self, *, awaits_continue: bool) -> None:
        """Send 100 Continue if the caller expects it."""
        self._timer.clear()
        if awaits_continue:
            self.write(_CONTINUE)

    def on_request_end(self, request: HttpRequest, *, keep_alive: bool) -> None:
        """Queue a complete request."""
        self._timer.clear()
        self._queue((request, keep_alive))

    def refuse(self, status: int) -> None:
        """Queue an error response behind the requests already received."""
        self._timer.clear()
        self.transport.pause_reading()
        self._queue(status)

    def write(self, block: bytes) -> None:
        """Write bytes unless the connection is closing."""
        if not self.transport.is_closing():
            self.transport.write(block)

    async def drain(self) -> None:
        """Wait until the write buffer has room."""
        await self.writable.wait()

    def end_response(self) -> None:
        """Close the connection unless it is kept alive."""
        if not self._keeps_alive:
            self.transport.close()

    def abort(self) -> None:
        """Reset the connection."""
        self._keeps_alive = False
        self.transport.abort()

    def stop(self) -> None:
        """Close once idle and send Connection: close from now on."""
        self._stopping = True
        if self._running is not None:
            self._keeps_alive = False
        self.close_idle()

    def start_idle_timer(self) -> None:
        """Close the connection after the idle time-out."""
        self._timer.set(self._limits().idle_timeout_ms, self.close_idle)

    def close_idle(self) -> None:
        """Close the connection unless a request is being read or handled."""
        running = self._running is not None
        if not (running or self._waiting or self.reader.reading_request):
            self.transport.close()

    def on_connection_lost(self) -> None:
        """Cancel the running request and discard the queued ones."""
        self._timer.clear()
        self.writable.set()
        self._waiting.clear()
        if self._running is not None:
            self._running.cancel()

    def _queue(self, entry: tuple[HttpRequest, bool] | int) -> None:
        self._waiting.append(entry)
        if len(self._waiting) >= _MAX_QUEUED_REQUESTS:
            self.transport.pause_reading()
        if self._running is None:
            self._run_next()

    def _run_next(self) -> None:
        entry = self._waiting.popleft()
        if isinstance(entry, int):
            self._keeps_alive = False
            HttpCall(_UNPARSED_REQUEST, self).respond(
                entry, b'Refused', [], b''
            )
            return
        request, keep_alive = entry
        self._keeps_alive = keep_alive and not self._stopping
        loop = asyncio.get_running_loop()
        self._running = loop.create_task(self._run(HttpCall(request, self)))

    async def _run(self, call: HttpCall) -> None:
        try:
            # A caller that reads no responses gets no further ones.
            await self.drain()
            await self._handler(call)
        finally:
            self._running = None
            if not self.transport.is_closing():
                self._on_request_done()

    def _on_request_done(self) -> None:
        if self._waiting:
            self.transport.resume_reading()
            self._run_next()
        elif self._stopping:
            self.close_idle()
        elif not self.reader.reading_request:
            self.start_idle_timer()


@final
class CallerConnection(asyncio.Protocol):
    """Connect one transport to its parser and request queue."""

    def __init__(
        self,
        handler: CallHandler,
        limits: LimitsSource,
        registry: Connections,
    ) -> None:
        self._requests = _RequestQueue(handler, limits)
        self._registry = registry

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection and start its idle timer."""
        self._requests.transport = transport
        self._registry.add(self)
        self._requests.start_idle_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Unregister the connection and cancel its requests."""
        self._registry.discard(self)
        self._requests.on_connection_lost()

    def data_received(self, data: bytes) -> None:
        """Pass received bytes to the parser."""
        if not self._requests.transport.is_closing():
            self._requests.reader.feed(data)

    def eof_received(self) -> bool:
        """Close the connection; a half-closed one counts as closed."""
        return False

    def pause_writing(self) -> None:
        """Block writers while the write buffer is full."""
        self._requests.writable.clear()

    def resume_writing(self) -> None:
        """Unblock writers."""
        self._requests.writable.set()

    def stop(self) -> None:
        """Close once idle and send Connection: close from now on."""
        self._requests.stop()


@final
class CallerListener:
    """Accept connections on one port and keep track of them."""

    def __init__(self, handler: CallHandler, limits: LimitsSource) -> None:
        self._handler = handler
        self._limits = limits
        self._connections: Connections = set()
        self._server: asyncio.Server | None = None

    @property
    def connections(self) -> int:
        """Return the number of open connections."""
        return len(self._connections)

    async def start(self, host: str, port: int) -> None:
        """Listen; raise OSError if the address is in use."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: CallerConnection(
                self._handler, self._limits, self._connections
            ),
            host,
            port,
            backlog=_BACKLOG,
        )

    def stop_idle(self) -> None:
        """Close idle connections now and the others after their response."""
        for connection in tuple(self._connections):
            connection.stop()

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()
