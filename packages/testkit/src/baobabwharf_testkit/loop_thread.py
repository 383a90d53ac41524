"""Run an event loop in a thread, so that proxies run between steps."""

import asyncio
import threading
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

ResultT = TypeVar('ResultT')


class LoopThread:
    """Run an event loop in a thread until it is closed."""

    def __init__(self) -> None:
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(
            target=self._loop.run_forever, daemon=True
        )
        self._thread.start()

    def run(
        self, work: Coroutine[Any, Any, ResultT], timeout_s: float = 60.0
    ) -> ResultT:
        """Return the result of a coroutine; raise TimeoutError if late."""
        return self.submit(work).result(timeout_s)

    def submit(self, work: Coroutine[Any, Any, ResultT]) -> Any:
        """Start a coroutine and return its concurrent future."""
        return asyncio.run_coroutine_threadsafe(work, self._loop)

    def call(self, function: Callable[[], None]) -> None:
        """Call a function in the thread of the loop and wait for it."""

        async def work() -> None:
            function()

        self.run(work())

    def close(self) -> None:
        """Stop the loop."""
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()
