"""Follow how fast an engine has been given prompts to read.

Load pattern: an engine that always has prompts to read makes one token for
its running streams between two chunks of prompt, some 45 ms apart, so that
long answers miss their deadline although their first token was in time.
"""

import math
from typing import final

# Reading speed of an engine that does nothing else, in tokens per ms.
MAX_PREFILL_TOKENS_PER_MS = 101
# Long enough to smooth single prompts, short against a long answer.
PREFILL_MEMORY_MS = 2000


@final
class DecayingTokenSum:
    """Hold a decaying sum of the prompt tokens that were sent."""

    def __init__(self, memory_ms: int = PREFILL_MEMORY_MS) -> None:
        self._memory_ms = memory_ms
        self._tokens = 0.0
        self._at_ms = 0

    def add(self, tokens: int, now_ms: int) -> None:
        """Count unread tokens that are sent now."""
        self._tokens = self.recent(now_ms) + tokens
        self._at_ms = now_ms

    def put(self, tokens: float, now_ms: int) -> None:
        """Replace the sum by what another VM tells."""
        self._tokens = tokens
        self._at_ms = now_ms

    def recent(self, now_ms: int) -> float:
        """Return the decayed sum of tokens."""
        if not self._tokens:
            return 0.0
        return self._tokens * math.exp((self._at_ms - now_ms) / self._memory_ms)
