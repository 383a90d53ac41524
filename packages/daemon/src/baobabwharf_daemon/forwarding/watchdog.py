"""Close responses that stop making progress.

One timer per response, set again only when it expires, replaces the read
timeout of aiohttp, which sets a timer for each chunk.
"""

import asyncio

import aiohttp

# Far longer than the gap between two tokens, far shorter than the time that a
# caller waits.
STREAM_IDLE_TIMEOUT_S = 5


class Watchdog:
    """Close a response whose first or next chunk does not arrive in time."""

    def __init__(
        self, response: aiohttp.ClientResponse, timeout_s: float
    ) -> None:
        self._response = response
        self._loop = asyncio.get_running_loop()
        self._chunk_received = False
        self._waiting = False
        self._fired = False
        self._first_chunk_deadline_s = self._loop.time() + timeout_s
        self._timer = self._loop.call_later(
            min(timeout_s, STREAM_IDLE_TIMEOUT_S), self._check
        )

    @property
    def fired(self) -> bool:
        """Return whether the watchdog closed the response."""
        return self._fired

    def start_waiting(self) -> None:
        """Record that the relay waits for a chunk."""
        self._waiting = True

    def record_chunk(self) -> None:
        """Record that a chunk arrived.

        Time spent writing to a slow receiver does not count as idle time.
        """
        self._chunk_received = True
        self._waiting = False
        self._first_chunk_deadline_s = 0.0

    def stop(self) -> None:
        """Cancel the timer."""
        self._timer.cancel()

    def _check(self) -> None:
        if self._chunk_received or not self._waiting:
            self._chunk_received = False
            self._set_timer(STREAM_IDLE_TIMEOUT_S)
            return
        left_s = self._first_chunk_deadline_s - self._loop.time()
        if left_s > 0:
            self._set_timer(min(left_s, STREAM_IDLE_TIMEOUT_S))
            return
        self._fired = True
        self._response.close()

    def _set_timer(self, delay_s: float) -> None:
        self._timer = self._loop.call_later(delay_s, self._check)
