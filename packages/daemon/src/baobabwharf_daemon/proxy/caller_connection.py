"""Serve HTTP/1.1 with full control over its bytes and connections."""

import asyncio
from typing import final

from baobabwharf_decisions.intake_budget import (
    RESUME_BYTES,
    intake_limit_bytes,
)

from baobabwharf_daemon.proxy.head_gate import HeadGate, OpenGate
from baobabwharf_daemon.proxy.intake import Intake
from baobabwharf_daemon.proxy.request_queue import CallHandler, RequestQueue
from baobabwharf_daemon.proxy.request_reader import LimitsSource

_BACKLOG = 1024
# While memory is short, each connection reads less at a time.
_SHORT_READ_BYTES = 16_384
# All connections read into it, since what was read is parsed at once.
_READ_BUFFER = memoryview(bytearray(RESUME_BYTES))

Connections = set['CallerConnection']


@final
class CallerConnection(asyncio.BufferedProtocol):
    """Connect one transport to its parser and request queue."""

    def __init__(
        self, requests: RequestQueue, intake: Intake, registry: Connections
    ) -> None:
        self._requests = requests
        self._intake = intake
        self._registry = registry

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection and start its idle timer."""
        self._registry.add(self)
        self._requests.begin(transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Unregister the connection and cancel its requests."""
        self._registry.discard(self)
        self._requests.on_connection_lost()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next bytes."""
        if self._intake.short:
            return _READ_BUFFER[:_SHORT_READ_BYTES]
        return _READ_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        """Pass received bytes to the parser."""
        if not self._requests.transport.is_closing():
            self._requests.reader.feed(_READ_BUFFER[:nbytes])

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

    def __init__(
        self,
        handler: CallHandler,
        limits: LimitsSource,
        intake: Intake | None = None,
        gate: HeadGate | None = None,
    ) -> None:
        self._handler = handler
        self._limits = limits
        self._intake = intake or Intake(intake_limit_bytes(None))
        self._gate = gate or OpenGate()
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
            self._connection,
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

    def _connection(self) -> CallerConnection:
        requests = RequestQueue(
            self._handler, self._limits, self._intake, self._gate
        )
        return CallerConnection(requests, self._intake, self._connections)
