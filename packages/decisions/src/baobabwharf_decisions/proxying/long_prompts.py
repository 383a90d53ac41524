"""Keep very long prompts together at a few engines of a region.

Load pattern: where the pause between events is short, one prompt of many
times the usual length makes every stream beside it late.  Spread over all
engines a few such prompts a second reach nearly every stream; kept at one
engine in four they reach few, and find room there at a peak.
"""

import functools
from collections.abc import Sequence

from baobabwharf_core.ids import EndpointId

from baobabwharf_decisions.hashing import hash_names
from baobabwharf_decisions.proxying.endpoint_load import Candidate

# Part of the bound on prompts within a pause above which a prompt is long.
LONG_SHARE = 0.5
# Part of the engines of a region that long prompts get.
ENGINE_SHARE = 1 / 4
# Endpoints whose rank is kept, since it is asked for at each request; several
# times those of the largest region.
_KEPT_RANKS = 4096


def is_long(unread_tokens: int, burst_bound: float) -> bool:
    """Tell whether a prompt holds up the streams beside it."""
    return unread_tokens > burst_bound * LONG_SHARE


def split(
    candidates: Sequence[Candidate],
) -> tuple[list[Candidate], list[Candidate]]:
    """Return the engines for long prompts and the others.

    A region of one or two engines keeps none for them.
    """
    ranked = sorted(candidates, key=lambda one: _rank(one.endpoint_id))
    count = round(len(ranked) * ENGINE_SHARE)
    return ranked[:count], ranked[count:]


@functools.lru_cache(_KEPT_RANKS)
def _rank(endpoint_id: EndpointId) -> bytes:
    return hash_names(endpoint_id)
