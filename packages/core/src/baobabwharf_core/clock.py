"""Provide monotonic and wall-clock time in whole milliseconds."""

import abc
import time
from typing import final

_NS_PER_MS = 1_000_000


class Clock(abc.ABC):
    """Provide monotonic and wall-clock time."""

    @abc.abstractmethod
    def now_ms(self) -> int:
        """Return monotonic time in milliseconds."""

    @abc.abstractmethod
    def wall_ms(self) -> int:
        """Return milliseconds since the Unix epoch."""


@final
class SystemClock(Clock):
    """Read the system clocks of this VM."""

    def now_ms(self) -> int:
        """Return monotonic time in milliseconds."""
        return time.monotonic_ns() // _NS_PER_MS

    def wall_ms(self) -> int:
        """Return milliseconds since the Unix epoch."""
        return time.time_ns() // _NS_PER_MS
