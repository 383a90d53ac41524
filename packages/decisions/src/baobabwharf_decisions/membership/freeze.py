"""Detect that this process or its VM was paused."""

from typing import final

# Ticks come at least every 100 ms; a busy event loop stays well below this.
FREEZE_MS = 1000


@final
class FreezeDetector:
    """Detect pauses by comparing consecutive clock readings.

    After a stopped process resumes, the monotonic clock has jumped.  After a
    suspended VM resumes, its monotonic clock may have stood still, but the
    wall clock has jumped.
    """

    def __init__(self, now_ms: int, wall_ms: int) -> None:
        self._now_ms = now_ms
        self._wall_ms = wall_ms

    def observe(self, now_ms: int, wall_ms: int) -> int:
        """Return the length of the pause in ms, 0 if there was none."""
        elapsed_ms = now_ms - self._now_ms
        wall_elapsed_ms = wall_ms - self._wall_ms
        self._now_ms = now_ms
        self._wall_ms = wall_ms
        gap_ms = max(elapsed_ms, wall_elapsed_ms)
        return gap_ms if gap_ms > FREEZE_MS else 0
