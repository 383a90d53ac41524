"""Place prompts on engines by the unread prompt tokens ahead of them.

Load pattern: a region's peak asks for several times what its engines can
read.  An engine reads prompts one after another, so the time to the first
token is the unread tokens ahead over the reading speed.  A session stays with
its engine, which has read its shared parts, unless another one is ahead by
more than a whole reading; a request that would get its first token after its
target is refused at once.  So is one that would keep the engine reading for
so much of the time that long answers would miss their deadline.
"""

from collections.abc import Sequence
from typing import final

import msgspec

from baobabwharf_decisions.hashing import hash_names
from baobabwharf_decisions.proxying import long_prompts
from baobabwharf_decisions.proxying.endpoint_load import Candidate
from baobabwharf_decisions.proxying.prefill_rate import (
    MAX_PREFILL_TOKENS_PER_MS,
    PREFILL_MEMORY_MS,
)
from baobabwharf_decisions.proxying.prompt_cache import Prompt

# Reading speed while other requests generate: a chunk of 4096 tokens takes
# about 41 ms at 101 tokens per ms, and the step of a batch 4 to 5 ms more.
PREFILL_TOKENS_PER_MS = 85
# Time to the first token that no placement can save: one batch step, the
# first event's tokens and the network.
FIRST_EVENT_OVERHEAD_MS = 60
# Part of an engine's time that may go into reading prompts: a long answer of
# some 400 tokens then still ends within 12 s, as the emulator shows.
MAX_PREFILL_SHARE = 0.82
# Part of the time to the target, and of an engine's reading time, that a
# request may fill; a less urgent one leaves the rest to more urgent ones.
URGENT_SHARE = 1.0
LESS_URGENT_SHARE = 0.9
# A session moves when its engine is behind by more than that.
SESSION_MOVE_MARGIN_TOKENS = 20_000
_MAX_RECENT_TOKENS = (
    MAX_PREFILL_SHARE * MAX_PREFILL_TOKENS_PER_MS * PREFILL_MEMORY_MS
)


class PlacementRequest(msgspec.Struct, frozen=True):
    """State the prompt of a request and the time left to its target.

    share is the part of that time, and of the reading time of an engine, that
    a request of this urgency may fill.
    """

    prompt: Prompt
    target_left_ms: int
    share: float
    now_ms: int
    # Prompt tokens that an engine may get within a pause of its streams.
    burst_bound: float | None = None


@final
class PromptPlacement:
    """Choose among the engines of one region."""

    def choose(
        self, candidates: Sequence[Candidate], need: PlacementRequest
    ) -> Candidate | None:
        """Return the engine for a request, None if all are too far behind."""
        if need.burst_bound is None or need.share >= URGENT_SHARE:
            return _shortest_backlog(candidates, need)
        few, most = long_prompts.split(candidates)
        unread = min(
            (one.load.cache.unread_tokens(need.prompt) for one in candidates),
            default=0,
        )
        if few and long_prompts.is_long(unread, need.burst_bound):
            return _shortest_backlog(few, need)
        return _shortest_backlog(most, need) or _shortest_backlog(few, need)


def _shortest_backlog(
    candidates: Sequence[Candidate], need: PlacementRequest
) -> Candidate | None:
    open_now = [one for one in candidates if _has_slot(one)]
    fit = [one for one in open_now if _in_time(one, need)]
    if not fit:
        return None
    best = min(fit, key=lambda one: _ahead(one, need.prompt))
    home = session_home(open_now, need.prompt)
    margin = _ahead(home, need.prompt) - _ahead(best, need.prompt)
    return (
        home if home in fit and margin <= SESSION_MOVE_MARGIN_TOKENS else best
    )


def session_home(candidates: Sequence[Candidate], prompt: Prompt) -> Candidate:
    """Return the engine at which all VMs look for a session first."""
    # The last part belongs to the request, the one before to its session.
    session = prompt[-2].part_id if len(prompt) > 1 else ''
    return max(candidates, key=lambda one: hash_names(one.endpoint_id, session))


def _has_slot(candidate: Candidate) -> bool:
    return candidate.load.total_running < candidate.slots


def _ahead(candidate: Candidate, prompt: Prompt) -> int:
    load = candidate.load
    return load.total_pending_tokens + load.cache.unread_tokens(prompt)


def _in_time(candidate: Candidate, need: PlacementRequest) -> bool:
    own = candidate.load.cache.unread_tokens(need.prompt)
    budget_ms = need.target_left_ms - FIRST_EVENT_OVERHEAD_MS
    bound = budget_ms * PREFILL_TOKENS_PER_MS
    ahead = candidate.load.total_pending_tokens
    if (
        candidate.load.recent_tokens(need.now_ms)
        > _MAX_RECENT_TOKENS * need.share
    ):
        return False
    if _pauses_streams(candidate, need, own):
        return False
    if ahead <= 0:
        # An idle engine serves what is late even at best.
        return True
    return ahead + own <= bound and ahead <= bound * need.share


def _pauses_streams(
    candidate: Candidate, need: PlacementRequest, own: int
) -> bool:
    if need.burst_bound is None or candidate.load.total_running == 0:
        return False
    burst = candidate.load.burst_tokens(need.now_ms)
    # A long prompt needs an engine that has read little of late, not one that
    # reads nothing else.
    counted = min(own, need.burst_bound * long_prompts.LONG_SHARE)
    return burst + counted > need.burst_bound * need.share
