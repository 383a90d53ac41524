"""Estimate which prompts an engine has not prefilled yet.

An engine reports a prompt only with its first event, some decode steps after
its prefill and a network path later.  In between the engine is assumed to work
off prompts at its speed, the most urgent first.  First events that come later
than expected, or do not come, show that it has other work, such as requests
that were placed without this VM; it counts as ahead of all.

Load pattern: an engine that is sent a prompt every few ms and takes less time
for its prefill than for its first event.
"""

from collections import deque
from typing import final

import msgspec

from baobabwharf_decisions.proxying.prefill_rate import DecayingTokenSum

# Part of an unexpected delay that is applied at a time; requests vary.
_CORRECTION_WEIGHT = 0.3
_MAX_CORRECTION_MS = 2000


class _QueuedPrompt(msgspec.Struct):
    tokens: int
    left: float


@final
class PrefillQueue:
    """Hold the prompts of one engine by the rank of their requests."""

    def __init__(self) -> None:
        self._prompts: dict[int, deque[_QueuedPrompt]] = {}
        self._recent: dict[int, DecayingTokenSum] = {}
        self._advanced_ms = 0
        # Tokens of work that no known prompt explains.
        self._unexplained = 0.0
        self._corrected_ms = 0.0

    @property
    def corrected_ms(self) -> float:
        """Return the sum of all corrections."""
        return self._corrected_ms

    def correct(
        self, lag_ms: float, corrected_ms: float, tokens_per_ms: float
    ) -> None:
        """Correct by how much later than expected a first event comes.

        corrected_ms is the sum of corrections at the time of the estimate;
        later ones explain a part of the lag.
        """
        unexplained_ms = lag_ms - (self._corrected_ms - corrected_ms)
        bounded_ms = min(
            max(unexplained_ms, -_MAX_CORRECTION_MS), _MAX_CORRECTION_MS
        )
        applied_ms = bounded_ms * _CORRECTION_WEIGHT
        # Less than nothing can't be ahead.
        floor_ms = -self._unexplained / tokens_per_ms
        applied_ms = max(applied_ms, floor_ms)
        self._corrected_ms += applied_ms
        self._unexplained += applied_ms * tokens_per_ms

    def add(self, rank: int, tokens: int, now_ms: int) -> None:
        """Queue a prompt that is sent now."""
        prompts = self._prompts.setdefault(rank, deque())
        prompts.append(_QueuedPrompt(tokens, tokens))
        self._recent.setdefault(rank, DecayingTokenSum()).add(tokens, now_ms)

    def remove(self, rank: int, tokens: int) -> None:
        """Remove the oldest prompt of this length, which is prefilled."""
        prompts = self._prompts.get(rank, deque())
        for prompt in prompts:
            if prompt.tokens == tokens:
                prompts.remove(prompt)
                return

    def advance(self, tokens_per_ms: float, now_ms: int) -> None:
        """Work off what the engine has prefilled since the last call."""
        budget = tokens_per_ms * max(0, now_ms - self._advanced_ms)
        self._advanced_ms = now_ms
        explained = min(self._unexplained, budget)
        self._unexplained -= explained
        budget -= explained
        for rank in sorted(self._prompts):
            for prompt in self._prompts[rank]:
                done = min(prompt.left, budget)
                prompt.left -= done
                budget -= done
            if budget <= 0:
                return

    def ahead(self, rank: int) -> float:
        """Return the tokens that are prefilled before a new prompt."""
        return self._unexplained + sum(
            prompt.left
            for other, prompts in self._prompts.items()
            if other <= rank
            for prompt in prompts
        )

    def behind(self, rank: int) -> float:
        """Return the tokens of less urgent prompts."""
        return self.ahead(max(self._prompts, default=rank)) - self.ahead(rank)

    def overtaking_tokens(self, rank: int, now_ms: int) -> float:
        """Return the decayed sum of recent tokens that are more urgent."""
        return sum(
            recent.recent(now_ms)
            for other, recent in self._recent.items()
            if other < rank
        )
