"""Time out on what other programs do, not on delays of this process."""

import asyncio
from types import TracebackType
from typing import Self, final

# Input that arrived while this process did not run is handled within this many
# turns of the event loop: it is read, parsed and handed to the waiting task.
_GRACE_TURNS = 10


@final
class LoopTimeout:
    """Raise TimeoutError after a time in which this process ran.

    After a pause of this process the event loop runs expired timers before it
    reads sockets, so an ordinary timeout would drop an answer that has arrived,
    and give no time for one to a request that was not sent before the pause.
    """

    def __init__(self, limit_s: float) -> None:
        self._limit_s = limit_s
        self._due_s = 0.0
        self._timeout = asyncio.timeout(None)
        self._pending: asyncio.Handle | None = None

    async def __aenter__(self) -> Self:
        """Start the timer."""
        await self._timeout.__aenter__()
        loop = asyncio.get_running_loop()
        self._due_s = loop.time() + self._limit_s
        self._pending = loop.call_later(self._limit_s, self._make_up)
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Stop the timer; raise TimeoutError if it has expired."""
        if self._pending is not None:
            self._pending.cancel()
        await self._timeout.__aexit__(error_type, error, traceback)

    def _make_up(self) -> None:
        """Extend the limit once by the time that the timer is late."""
        loop = asyncio.get_running_loop()
        late_s = min(self._limit_s, max(0, loop.time() - self._due_s))
        self._pending = loop.call_later(late_s, self._expire, _GRACE_TURNS)

    def _expire(self, turns_left: int) -> None:
        loop = asyncio.get_running_loop()
        if turns_left:
            self._pending = loop.call_soon(self._expire, turns_left - 1)
        else:
            self._pending = None
            self._timeout.reschedule(loop.time())
