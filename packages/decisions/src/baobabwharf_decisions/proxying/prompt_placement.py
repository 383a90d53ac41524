"""Place prompts on engines by the prefill backlog ahead of them.

An engine prefills prompts one after another, so the time to first token is the
pending tokens ahead over the prefill speed.  A session stays with its engine,
which has its shared prompt parts in cache, unless another engine's backlog is
shorter by more than a whole prefill.  A request that would get its first token
after its target is refused at once, and so is one that would keep the engine
prefilling for so much of the time that long answers would miss their deadline.

The load is a peak of a region that demands several times what its engines can
prefill.
"""

from collections.abc import Sequence
from typing import final

import msgspec

from baobabwharf_decisions.hashing import hash_names
from baobabwharf_decisions.proxying import long_prompts
from baobabwharf_decisions.proxying.endpoint_load import Candidate
from baobabwharf_decisions.proxying.prefill_rate import (
    MAX_PREFILL_TOKENS_PER_MS,
    PREFILL_DECAY_MS,
)
from baobabwharf_decisions.proxying.prompt_cache import Prompt

# Prefill speed while other requests decode: a chunk of 4096 tokens takes about
# 41 ms at 101 tokens per ms, and the batch step adds 4 to 5 ms.
PREFILL_TOKENS_PER_MS = 85
# Part of the time to first token that does not depend on placement: one batch
# step, the first event's tokens and the network.
FIRST_EVENT_OVERHEAD_MS = 60
# Fraction of an engine's time that may go into prefill: a long answer of some
# 400 tokens then still ends within 12 s in the emulator.
MAX_PREFILL_SHARE = 0.82
# Fraction of the time to the target, and of an engine's prefill time, that a
# request may use; less urgent ones leave the rest to urgent ones.
URGENT_SHARE = 1.0
LESS_URGENT_SHARE = 0.9
# A session leaves its home engine when the backlog there exceeds the shortest
# one by more than this.
SESSION_MOVE_MARGIN_TOKENS = 20_000
_MAX_RECENT_TOKENS = (
    MAX_PREFILL_SHARE * MAX_PREFILL_TOKENS_PER_MS * PREFILL_DECAY_MS
)


class PlacementRequest(msgspec.Struct, frozen=True):
    """Describe a request to be placed: its prompt and the time to its target.

    share is the fraction of that time, and of an engine's prefill time, that a
    request of this urgency may use.
    """

    prompt: Prompt
    target_left_ms: int
    share: float
    now_ms: int
    # Bound on the prompt tokens sent to an engine within BURST_WINDOW_MS.
    burst_bound: float | None = None


@final
class PromptPlacement:
    """Choose an engine of one region for each prompt."""

    def choose(
        self, candidates: Sequence[Candidate], request: PlacementRequest
    ) -> Candidate | None:
        """Return the engine for a request, None if none meets its target."""
        if request.burst_bound is None or request.share >= URGENT_SHARE:
            return _shortest_backlog(candidates, request)
        for_long, others = long_prompts.split_engines(candidates)
        uncached = min(
            (
                candidate.load.cache.uncached_tokens(request.prompt)
                for candidate in candidates
            ),
            default=0,
        )
        if for_long and long_prompts.is_long(uncached, request.burst_bound):
            return _shortest_backlog(for_long, request)
        return _shortest_backlog(others, request) or _shortest_backlog(
            for_long, request
        )


def _shortest_backlog(
    candidates: Sequence[Candidate], request: PlacementRequest
) -> Candidate | None:
    available = [one for one in candidates if _has_slot(one)]
    fit = [one for one in available if _meets_target(one, request)]
    if not fit:
        return None
    best = min(fit, key=lambda one: _backlog_tokens(one, request.prompt))
    home = home_engine(available, request.prompt)
    excess = _backlog_tokens(home, request.prompt) - _backlog_tokens(
        best, request.prompt
    )
    return (
        home if home in fit and excess <= SESSION_MOVE_MARGIN_TOKENS else best
    )


def home_engine(candidates: Sequence[Candidate], prompt: Prompt) -> Candidate:
    """Return the engine that all VMs prefer for a session, by hashing."""
    # The last part is specific to the request, the one before to its session.
    session = prompt[-2].part_id if len(prompt) > 1 else ''
    return max(candidates, key=lambda one: hash_names(one.endpoint_id, session))


def _has_slot(candidate: Candidate) -> bool:
    return candidate.load.total_running < candidate.slots


def _backlog_tokens(candidate: Candidate, prompt: Prompt) -> int:
    load = candidate.load
    return load.total_pending_tokens + load.cache.uncached_tokens(prompt)


def _meets_target(candidate: Candidate, request: PlacementRequest) -> bool:
    uncached = candidate.load.cache.uncached_tokens(request.prompt)
    budget_ms = request.target_left_ms - FIRST_EVENT_OVERHEAD_MS
    bound = budget_ms * PREFILL_TOKENS_PER_MS
    ahead = candidate.load.total_pending_tokens
    if (
        candidate.load.recent_tokens(request.now_ms)
        > _MAX_RECENT_TOKENS * request.share
    ):
        return False
    if _pauses_streams(candidate, request, uncached):
        return False
    if ahead <= 0:
        # On an idle engine the request gets its earliest possible first token,
        # even if that is after the target.
        return True
    return ahead + uncached <= bound and ahead <= bound * request.share


def _pauses_streams(
    candidate: Candidate, request: PlacementRequest, uncached: int
) -> bool:
    if request.burst_bound is None or candidate.load.total_running == 0:
        return False
    burst = candidate.load.burst_tokens(request.now_ms)
    # A long prompt counts only in part, so that it also fits an engine with
    # little recent prefill and not only an idle one.
    counted = min(
        uncached, request.burst_bound * long_prompts.LONG_PROMPT_SHARE
    )
    return burst + counted > request.burst_bound * request.share
