"""Keep connections to endpoints and VMs open between requests."""

import asyncio
from typing import final

from baobabwharf_core.clock import Clock

from baobabwharf_daemon.proxy.endpoint_connection import EndpointConnection

# Several round trips between regions; a lost opening packet comes again only
# after a second, so a new connection is the faster way.
_CONNECT_TIMEOUT_S = 0.4
# Without a stated time-out an idle connection is reused that long.
_DEFAULT_IDLE_MS = 4000
# Margin against a close that crosses the next request.
_IDLE_SHARE = 0.7


@final
class ConnectionPool:
    """Own the idle connections; the one used last is reused first."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._idle: dict[str, list[EndpointConnection]] = {}

    async def acquire(self, address: str) -> EndpointConnection | None:
        """Return a connection, None if none can be opened."""
        idle = self._idle.get(address, [])
        while idle:
            connection = idle.pop()
            if connection.usable and not self._expired(connection):
                return connection
            connection.close()
        return await self._open(address)

    def release(self, address: str, connection: EndpointConnection) -> None:
        """Keep a connection whose reply was read to its end."""
        connection.mark_idle(self._clock.now_ms())
        if connection.usable:
            self._idle.setdefault(address, []).append(connection)
        else:
            connection.close()

    def close_expired(self) -> None:
        """Close connections that were idle for too long."""
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
            async with asyncio.timeout(_CONNECT_TIMEOUT_S):
                _transport, connection = await loop.create_connection(
                    EndpointConnection, host, int(port)
                )
        except (OSError, TimeoutError, ValueError):
            return None
        return connection
