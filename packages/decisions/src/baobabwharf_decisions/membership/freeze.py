"""Find out that this process did not run for a while."""

from typing import final

# Ticks come at least every 100 ms; a busy loop stays well under this gap.
FREEZE_MS = 1000


@final
class FreezeDetector:
    """Compare consecutive clock readings.

    A stopped process sees a jump of monotonic time; a suspended VM, whose
    monotonic clock stood still, sees the wall clock run ahead of it.
    """

    def __init__(self, now_ms: int, wall_ms: int) -> None:
        self._now_ms = now_ms
        self._wall_ms = wall_ms

    def observe(self, now_ms: int, wall_ms: int) -> int:
        """Return the length of a freeze in ms, or zero."""
        elapsed_ms = now_ms - self._now_ms
        wall_elapsed_ms = wall_ms - self._wall_ms
        self._now_ms = now_ms
        self._wall_ms = wall_ms
        gap_ms = max(elapsed_ms, wall_elapsed_ms)
        return gap_ms if gap_ms > FREEZE_MS else 0
