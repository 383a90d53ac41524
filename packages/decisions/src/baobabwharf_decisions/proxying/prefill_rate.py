"""Measure the prompt tokens recently sent to an engine for prefill.

The load is an engine that always has prompts to prefill: it generates one token
for its running streams between two prompt chunks, some 45 ms apart, so that
long answers miss their deadline although their first token was in time.
"""

import math
from typing import final

# Prefill speed of an engine that does nothing else.
MAX_PREFILL_TOKENS_PER_MS = 101
# Long enough to smooth single prompts, short compared to a long answer.
PREFILL_DECAY_MS = 2000


@final
class DecayingTokenSum:
    """Hold an exponentially decaying sum of sent prompt tokens."""

    def __init__(self, decay_ms: int = PREFILL_DECAY_MS) -> None:
        self._decay_ms = decay_ms
        self._tokens = 0.0
        self._updated_ms = 0

    def add(self, tokens: int, now_ms: int) -> None:
        """Add uncached tokens that are sent at now_ms."""
        self._tokens = self.recent(now_ms) + tokens
        self._updated_ms = now_ms

    def replace(self, tokens: float, now_ms: int) -> None:
        """Replace the sum by the one that another VM reported."""
        self._tokens = tokens
        self._updated_ms = now_ms

    def recent(self, now_ms: int) -> float:
        """Return the sum decayed to now_ms."""
        if not self._tokens:
            return 0.0
        return self._tokens * math.exp(
            (self._updated_ms - now_ms) / self._decay_ms
        )
