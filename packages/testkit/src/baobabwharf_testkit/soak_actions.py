"""Run random actions drawn by seed and print events."""

import asyncio
import random
import time
from collections.abc import Awaitable, Callable

_NS_PER_S = 1_000_000_000

Action = Callable[[], Awaitable[None]]


class EventPrinter:
    """Print events with the time since the start."""

    def __init__(self) -> None:
        self._started_ns = time.monotonic_ns()

    def report(self, sentence: str) -> None:
        """Print a sentence."""
        elapsed_s = (time.monotonic_ns() - self._started_ns) / _NS_PER_S
        print(f'{elapsed_s:7.2f} s  {sentence}', flush=True)


class ActionLoop:
    """Run random actions one after another until a deadline."""

    def __init__(self, actions: list[Action], seed: str) -> None:
        self._actions = actions
        self._random = random.Random(seed)

    async def run(self, until_ns: int) -> None:
        """Draw and run actions until the deadline."""
        while time.monotonic_ns() < until_ns:
            await asyncio.sleep(self._random.uniform(0.5, 2.0))
            await self._random.choice(self._actions)()
