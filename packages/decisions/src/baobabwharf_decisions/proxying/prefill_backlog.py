"""Follow the prompt tokens that an engine still has to prefill.

The backlog drains at the engine's speed, the most urgent rank first.  Waiting
for first events instead would count prompts as pending while their first tokens
are generated.  When a first event comes later or earlier than expected, the
backlog is corrected, since it then differs from the engine's.

Load pattern: engines at their capacity, where the time to the first event is
mostly the backlog ahead.
"""

from typing import final

# Fraction of its time that a busy engine prefills; it generates a token of each
# stream between two chunks.
_PREFILL_EFFICIENCY = 0.9
# Part of an unexpected delay that is applied; single requests vary.
_CORRECTION_WEIGHT = 0.3
_MAX_CORRECTION_MS = 2000
_MOST_URGENT = 0


@final
class PrefillBacklog:
    """Hold the estimated pending tokens of one engine by rank."""

    def __init__(self) -> None:
        self._tokens: dict[int, float] = {}
        self._drained_ms = 0
        self._corrected_ms = 0.0

    @property
    def corrected_ms(self) -> float:
        """Return the sum of all corrections."""
        return self._corrected_ms

    def drain(self, tokens_per_ms: float, now_ms: int) -> None:
        """Apply the prefill since the last call."""
        elapsed_ms = max(0, now_ms - self._drained_ms)
        self._drained_ms = now_ms
        self._remove(elapsed_ms * tokens_per_ms * _PREFILL_EFFICIENCY)

    def add(self, rank: int, tokens: int) -> None:
        """Count the uncached tokens of a request."""
        self._tokens[rank] = self._tokens.get(rank, 0.0) + tokens

    def ahead(self, rank: int) -> float:
        """Return the tokens that are prefilled before a new request's."""
        return sum(
            tokens for other, tokens in self._tokens.items() if other <= rank
        )

    def behind(self, rank: int) -> float:
        """Return the tokens of less urgent requests."""
        return sum(
            tokens for other, tokens in self._tokens.items() if other > rank
        )

    def correct(
        self, lag_ms: float, corrected_ms: float, tokens_per_ms: float
    ) -> None:
        """Correct by how much later than expected a first event came.

        corrected_ms is the sum of corrections at the time of the estimate;
        later ones are part of the lag already.
        """
        unexplained_ms = lag_ms - (self._corrected_ms - corrected_ms)
        bounded_ms = min(
            max(unexplained_ms, -_MAX_CORRECTION_MS), _MAX_CORRECTION_MS
        )
        applied_ms = bounded_ms * _CORRECTION_WEIGHT
        self._corrected_ms += applied_ms
        tokens = applied_ms * tokens_per_ms
        if tokens < 0:
            self._remove(-tokens)
        else:
            rank = min(self._tokens, default=_MOST_URGENT)
            self._tokens[rank] = self._tokens.get(rank, 0.0) + tokens

    def _remove(self, tokens: float) -> None:
        for rank in sorted(self._tokens):
            removed = min(tokens, self._tokens[rank])
            tokens -= removed
            self._tokens[rank] -= removed
            if self._tokens[rank] <= 0:
                self._tokens.pop(rank)
