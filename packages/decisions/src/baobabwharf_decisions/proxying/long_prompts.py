"""Concentrate very long prompts on a few engines of a region.

Spread over all engines, a few such prompts a second delay nearly every stream;
kept on one engine in four they delay few, and still find capacity there at a
peak.

The load occurs where streams accept only a short pause between events, so that
one prompt of many times the usual length delays every stream on its engine.
"""

import functools
from collections.abc import Sequence

from baobabwharf_core.ids import EndpointId

from baobabwharf_decisions.hashing import hash_names
from baobabwharf_decisions.proxying.endpoint_load import Candidate

# A prompt is long above this fraction of the prompt tokens allowed per pause.
LONG_PROMPT_SHARE = 0.5
# Fraction of a region's engines that take long prompts.
LONG_PROMPT_ENGINE_SHARE = 1 / 4
# Every request looks up ranks, so the cache holds several times the endpoints
# of the largest region.
_MAX_CACHED_RANKS = 4096


def is_long(uncached_tokens: int, burst_bound: float) -> bool:
    """Return whether a prompt is to run on an engine for long prompts."""
    return uncached_tokens > burst_bound * LONG_PROMPT_SHARE


def split_engines(
    candidates: Sequence[Candidate],
    share: float = LONG_PROMPT_ENGINE_SHARE,
) -> tuple[list[Candidate], list[Candidate]]:
    """Return the given share of the engines, for long prompts, and the others.

    A region of one or two engines sets none apart for long prompts by default.
    """
    ranked = sorted(candidates, key=lambda engine: _rank(engine.endpoint_id))
    count = round(len(ranked) * share)
    return ranked[:count], ranked[count:]


@functools.lru_cache(_MAX_CACHED_RANKS)
def _rank(endpoint_id: EndpointId) -> bytes:
    return hash_names(endpoint_id)
