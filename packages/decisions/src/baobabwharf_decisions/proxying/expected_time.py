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
    EngineWork,
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
# Part of the recent prefill that continues beside a first event; the rest is
# still pending and counted so, or goes to other engines.  On emulated engines
# 0.5 gave lower errors than 0.7 and 1.
_CONTINUED_SHARE = 0.5


class EngineRequest(msgspec.Struct, frozen=True):
    """Describe a request for an engine, as far as its duration depends on it.

    rank 0 is the most urgent.  bound_ms is the time in which the first event
    should come, deadline_left_ms the remaining time to the deadline.
    output_tokens is the expected length of the answer, 0 if unknown.
    """

    prompt: Prompt
    rank: int
    bound_ms: float
    deadline_left_ms: int
    now_ms: int
    tokens_per_event: int = 1
    output_tokens: int = 0


class Expectation(msgspec.Struct, frozen=True):
    """Hold the expected times to the first event and to the end.

    work_ms is the time that the engine spends on the prompt alone, is_long
    whether that takes more than one chunk.
    """

    first_event_ms: float
    work_ms: float
    is_long: bool = False
    # What the time was estimated from, None where another VM did.
    work: EngineWork | None = None
    end_ms: float = 0.0


@final
class ExpectedTime:
    """Estimate the time to the first event at an engine."""

    def __init__(self, load: EndpointLoad, speed: EngineSpeed) -> None:
        self._load = load
        self._speed = speed
        self._queue = load.profile.queue

    def of(self, request: EngineRequest) -> Expectation:
        """Return the expectation for a request that is sent now."""
        self._queue.advance(self._speed.prefill_tokens_per_ms, request.now_ms)
        uncached = self._load.cache.uncached_tokens(request.prompt)
        work = self._work(request, uncached)
        first_event_ms = self._speed.first_event_ms(work)
        return Expectation(
            first_event_ms,
            uncached / self._speed.prefill_tokens_per_ms,
            uncached > CHUNK_TOKENS,
            work,
            first_event_ms + self._answer_ms(request),
        )

    def _answer_ms(self, request: EngineRequest) -> float:
        """Return the time from the first event to the end of the answer.

        The prefill of other prompts goes on beside it.
        """
        steps = max(0, request.output_tokens - request.tokens_per_event)
        share = self.prefill_share(request.now_ms)
        return steps * self._speed.step_ms / (1 - share)

    def _work(self, request: EngineRequest, uncached: int) -> EngineWork:
        beside, steps = self._steps(request)
        tokens = self._tokens(request, uncached) + beside * CHUNK_TOKENS
        own = EngineWork(uncached, max(1, request.tokens_per_event))
        own_ms = self._speed.work_ms(own)
        whole_ms = self._speed.work_ms(EngineWork(tokens, steps))
        return EngineWork(tokens, steps, own_ms / whole_ms)

    def _tokens(self, request: EngineRequest, uncached: int) -> float:
        """Return the tokens that are prefilled until the prompt is."""
        rank = request.rank
        ahead = self._queue.ahead(rank) + self._load.unranked_tokens()
        # The chunk that is being prefilled is not interrupted.
        interrupted = min(self._queue.behind(rank), CHUNK_TOKENS) / 2
        # What arrives meanwhile and is more urgent goes first.
        recent = self._queue.overtaking_tokens(rank, request.now_ms)
        overtaking = min(self._share(recent), _MAX_OVERTAKING_SHARE)
        return (ahead + interrupted + uncached) / (1 - overtaking)

    def prefill_share(self, now_ms: int) -> float:
        """Return the recent fraction of the engine's time in prefill."""
        return min(
            self._share(self._load.recent_tokens(now_ms)), _MAX_PREFILL_SHARE
        )

    def _share(self, recent_tokens: float) -> float:
        capacity = self._speed.prefill_tokens_per_ms * PREFILL_DECAY_MS
        return recent_tokens / capacity

    def _steps(self, request: EngineRequest) -> tuple[float, float]:
        """Return the steps with a pending chunk, and all in plain steps.

        A step beside arriving prompts takes as long as several others, and not
        longer than one beside a whole chunk.
        """
        steps = max(1, request.tokens_per_event)
        behind = self._queue.behind(request.rank)
        beside = min(steps, behind / CHUNK_TOKENS)
        chunk_ms = CHUNK_TOKENS / self._speed.prefill_tokens_per_ms
        share = self.prefill_share(request.now_ms) * _CONTINUED_SHARE
        longer = min(1 / (1 - share), 1 + chunk_ms / self._speed.step_ms)
        return beside, beside + (steps - beside) * longer
