"""Measure which part of the prompt work is in long prompts.

Load pattern: long and short prompts whose proportions change within a day, so
that no fixed number of engines for long prompts fits.
"""

from typing import final

from baobabwharf_decisions.proxying.prefill_rate import DecayingTokenSum

# Smooths single long prompts; a burst lasts several seconds.
_DECAY_MS = 5000
# Weight of the prior in prompt tokens: some seconds of one VM's requests.
_PRIOR_TOKENS = 30_000
_PRIOR_SHARE = 0.35
_MIN_SHARE = 0.15
_MAX_SHARE = 0.5


@final
class WorkMix:
    """Hold the recent prompt tokens of long prompts and of others."""

    def __init__(self) -> None:
        self._long = DecayingTokenSum(_DECAY_MS)
        self._short = DecayingTokenSum(_DECAY_MS)

    def note(self, tokens: int, now_ms: int, *, is_long: bool) -> None:
        """Count the uncached prompt tokens of a request."""
        (self._long if is_long else self._short).add(tokens, now_ms)

    def long_share(self, now_ms: int) -> float:
        """Return the share of engines for long prompts."""
        long = self._long.recent(now_ms)
        short = self._short.recent(now_ms)
        share = (long + _PRIOR_SHARE * _PRIOR_TOKENS) / (
            long + short + _PRIOR_TOKENS
        )
        return min(max(share, _MIN_SHARE), _MAX_SHARE)
