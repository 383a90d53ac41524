"""Close answers that make no progress.

One timer for each limit replaces the read timeout of aiohttp, which sets a
timer again for each chunk.
"""

import asyncio

import aiohttp

# Far above the time between two tokens, far below the time a caller waits.
STREAM_IDLE_TIMEOUT_S = 5


class Watchdog:
    """Close a response without a first chunk in time or a next one."""

    def __init__(
        self, response: aiohttp.ClientResponse, limit_s: float
    ) -> None:
        self._response = response
        self._loop = asyncio.get_running_loop()
        self._progressed = False
        self._waiting = False
        self._fired = False
        self._first_by = self._loop.time() + limit_s
        self._timer = self._loop.call_later(
            min(limit_s, STREAM_IDLE_TIMEOUT_S), self._check
        )

    @property
    def fired(self) -> bool:
        """Tell whether the response was closed."""
        return self._fired

    def expect(self) -> None:
        """Record that a chunk is awaited."""
        self._waiting = True

    def progress(self) -> None:
        """Record that a chunk arrived; a slow receiver costs no time."""
        self._progressed = True
        self._waiting = False
        self._first_by = 0.0

    def stop(self) -> None:
        """Stop watching."""
        self._timer.cancel()

    def _check(self) -> None:
        if self._progressed or not self._waiting:
            self._progressed = False
            self._set_timer(STREAM_IDLE_TIMEOUT_S)
            return
        left_s = self._first_by - self._loop.time()
        if left_s > 0:
            self._set_timer(min(left_s, STREAM_IDLE_TIMEOUT_S))
            return
        self._fired = True
        self._response.close()

    def _set_timer(self, delay_s: float) -> None:
        self._timer = self._loop.call_later(delay_s, self._check)
