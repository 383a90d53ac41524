"""Describe how fast an engine works.

The priors are those of an engine that was measured; what an endpoint reports
about its present speed corrects them.

Load pattern: engines of one service that differ in speed, on machines that are
shared with others and slow down for some hundred ms.
"""

from typing import final

import msgspec

from baobabwharf_decisions.proxying.prefill_rate import (
    MAX_PREFILL_TOKENS_PER_MS,
)

# Duration of a decode step of an engine that prefills nothing.
PRIOR_STEP_MS = 3.5
# Network, scheduling and the first decode step.
PRIOR_OVERHEAD_MS = 55.0
# Prompt tokens that an engine prefills between two decode steps.
CHUNK_TOKENS = 4096
USUAL_PERCENT = 100
# A machine shared with others changes its speed several times per second.
_PRESENT_SPEED_MS = 600
_MIN_PERCENT = 10
_MAX_PERCENT = 2000


class EngineSpeed(msgspec.Struct, frozen=True):
    """Hold the speeds with which times are estimated."""

    prefill_tokens_per_ms: float = MAX_PREFILL_TOKENS_PER_MS
    step_ms: float = PRIOR_STEP_MS
    overhead_ms: float = PRIOR_OVERHEAD_MS

    def scaled(self, factor: float) -> 'EngineSpeed':
        """Return the speeds where all work takes factor times as long."""
        return EngineSpeed(
            self.prefill_tokens_per_ms / factor,
            self.step_ms * factor,
            self.overhead_ms,
        )


@final
class PresentSpeed:
    """Hold how long work takes at an endpoint now, as it reported."""

    def __init__(self) -> None:
        self._percent = USUAL_PERCENT
        self._reported_ms: int | None = None

    @property
    def reported(self) -> bool:
        """Return whether the endpoint has ever reported its speed."""
        return self._reported_ms is not None

    def note(self, percent: int, now_ms: int) -> None:
        """Store a report; values beyond any real machine are clamped."""
        self._percent = min(max(percent, _MIN_PERCENT), _MAX_PERCENT)
        self._reported_ms = now_ms

    def factor(self, now_ms: int) -> float:
        """Return how many times as long as usual work takes.

        The influence of a report decreases linearly with its age.
        """
        if self._reported_ms is None:
            return 1.0
        age_ms = now_ms - self._reported_ms
        weight = max(0.0, 1 - age_ms / _PRESENT_SPEED_MS)
        return 1 + weight * (self._percent / USUAL_PERCENT - 1)
