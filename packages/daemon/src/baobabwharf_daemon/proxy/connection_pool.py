"""Pool idle connections to endpoints and VMs."""

import asyncio
from typing import final

from baobabwharf_core.clock import Clock
from baobabwharf_decisions.proxying.buffer_budget import BufferBudget
from baobabwharf_decisions.proxying.read_pacer import ReadPacer

from baobabwharf_daemon.log import get_logger
from baobabwharf_daemon.loop_timeout import LoopTimeout
from baobabwharf_daemon.proxy.endpoint_connection import EndpointConnection

# Several round trips between regions.  A lost SYN is retransmitted only after a
# second, so opening another connection is faster than waiting.
_CONNECT_TIMEOUT_S = 0.4
# Idle time-out for endpoints that announce none.
_DEFAULT_IDLE_MS = 4000
# Fraction of the announced time-out that is used, so that the endpoint does not
# close the connection while a request is on the way.
_IDLE_SHARE = 0.7

_log = get_logger('connections')


@final
class ConnectionPool:
    """Own the idle connections; the most recently used one goes first."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._pacer = ReadPacer()
        self.buffers = BufferBudget()
        self._idle: dict[str, list[EndpointConnection]] = {}

    async def acquire(self, address: str) -> EndpointConnection | None:
        """Return an idle or new connection, None if none can be opened."""
        idle = self._idle.get(address, [])
        while idle:
            connection = idle.pop()
            if connection.usable and not self._expired(connection):
                return connection
            connection.close()
        return await self._open(address)

    def release(self, address: str, connection: EndpointConnection) -> None:
        """Take back a connection whose response was read completely."""
        connection.mark_idle(self._clock.now_ms())
        if connection.usable:
            self._idle.setdefault(address, []).append(connection)
        else:
            connection.close()

    def close_expired(self) -> None:
        """Close connections that reached their idle time-out."""
        for address in tuple(self._idle):
            kept = []
            for connection in self._idle[address]:
                if connection.usable and not self._expired(connection):
                    kept.append(connection)
                else:
                    connection.close()
            self._idle[address] = kept
            if not kept:
                self._idle.pop(address)

    def drop(self, address: str) -> None:
        """Close the idle connections to an address."""
        for connection in self._idle.pop(address, ()):
            connection.close()

    def close(self) -> None:
        """Close all idle connections."""
        for address in tuple(self._idle):
            self.drop(address)

    def _expired(self, connection: EndpointConnection) -> bool:
        limit_ms = connection.idle_limit_ms
        if limit_ms is None:
            limit_ms = _DEFAULT_IDLE_MS
        idle_ms = self._clock.now_ms() - connection.idle_since_ms
        return idle_ms > limit_ms * _IDLE_SHARE

    async def _open(self, address: str) -> EndpointConnection | None:
        host, _colon, port = address.rpartition(':')
        loop = asyncio.get_running_loop()
        try:
            async with LoopTimeout(_CONNECT_TIMEOUT_S):
                _transport, connection = await loop.create_connection(
                    lambda: EndpointConnection(self._pacer), host, int(port)
                )
        except (OSError, ValueError, OverflowError) as error:
            # Without uvloop, a port out of range raises OverflowError.
            _log.debug('Connecting to %s failed: %s', address, error)
            return None
        return connection
