"""Estimate when an engine would send the first event of a request.

An engine prefills the prompts of more urgent requests first and prefills a
chunk of the others between two decode steps.  The tokens of a first event
therefore take as many steps, each as long as the chunk beside it.

Load pattern: many short prompts that share engines with a few long ones.
"""

from typing import final

import msgspec

from baobabwharf_decisions.proxying.endpoint_load import EndpointLoad
from baobabwharf_decisions.proxying.engine_profile import (
    CHUNK_TOKENS,
    EngineSpeed,
)
from baobabwharf_decisions.proxying.prefill_rate import PREFILL_DECAY_MS
from baobabwharf_decisions.proxying.prompt_cache import Prompt

# Rank of requests that no engine can serve in time; behind all others.
LATE_RANK = 9
# Above this fraction of its time in prefill, an engine's steps grow without
# bound in the estimate.
_MAX_PREFILL_SHARE = 0.95
# The same for the share of what overtakes a less urgent request.
_MAX_OVERTAKING_SHARE = 0.7


class EngineRequest(msgspec.Struct, frozen=True):
    """Describe a request for an engine, as far as its duration depends on it.

    rank 0 is the most urgent.  bound_ms is the time in which the first event
    should come, deadline_left_ms the remaining time to the deadline.
    """

    prompt: Prompt
    rank: int
    bound_ms: float
    deadline_left_ms: int
    now_ms: int
    tokens_per_event: int = 1


class Expectation(msgspec.Struct, frozen=True):
    """Hold the expected time to the first event and the prompt work in it.

    work_ms is the time that the engine spends on the prompt alone, is_long
    whether that takes more than one chunk.
    """

    first_event_ms: float
    work_ms: float
    is_long: bool = False


@final
class ExpectedTime:
    """Estimate the time to the first event at an engine."""

    def __init__(self, load: EndpointLoad, speed: EngineSpeed) -> None:
        self._load = load
        self._speed = speed

    def of(self, request: EngineRequest) -> Expectation:
        """Return the expectation for a request that is sent now."""
        uncached = self._load.cache.uncached_tokens(request.prompt)
        ahead, behind = self._pending(request)
        share = self.prefill_share(request.now_ms)
        # The chunk that is being prefilled is not interrupted.
        prefill = ahead + min(behind, CHUNK_TOKENS) / 2 + uncached
        if request.rank >= LATE_RANK:
            # What arrives meanwhile goes first.
            prefill /= 1 - min(share, _MAX_OVERTAKING_SHARE)
        first_event_ms = (
            self._speed.overhead_ms
            + prefill / self._speed.prefill_tokens_per_ms
            + self._event_ms(request.tokens_per_event, behind, share)
        )
        return Expectation(
            first_event_ms,
            uncached / self._speed.prefill_tokens_per_ms,
            uncached > CHUNK_TOKENS,
        )

    def _pending(self, request: EngineRequest) -> tuple[float, float]:
        """Return the pending tokens ahead of a request and behind it.

        Other VMs do not tell ranks apart, so all of theirs are ahead.
        """
        backlog = self._load.follow_backlog(request.now_ms)
        others = max(0, self._load.peer_pending_tokens)
        return (
            backlog.ahead(request.rank) + others,
            backlog.behind(request.rank),
        )

    def prefill_share(self, now_ms: int) -> float:
        """Return the recent fraction of the engine's time in prefill."""
        capacity = self._speed.prefill_tokens_per_ms * PREFILL_DECAY_MS
        return min(
            self._load.recent_tokens(now_ms) / capacity, _MAX_PREFILL_SHARE
        )

    def _event_ms(self, tokens: int, behind: float, share: float) -> float:
        """Return the duration of the decode steps of the first event."""
        steps = max(1, tokens)
        beside = min(steps, behind / CHUNK_TOKENS)
        chunk_ms = CHUNK_TOKENS / self._speed.prefill_tokens_per_ms
        return beside * (chunk_ms + self._speed.step_ms) + (
            steps - beside
        ) * self._speed.step_ms / (1 - share)
