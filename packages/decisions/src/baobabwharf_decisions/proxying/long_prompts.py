"""Keep very long prompts together at a few engines of a region.

Load pattern: where the pause between events is short, one prompt of many
times the usual length makes every stream beside it late.  Spread over all
engines a few such prompts a second reach nearly every stream; kept at one
engine in four they reach few, and find room there at a peak.
"""

import hashlib
from collections.abc import Sequence

from baobabwharf_decisions.proxying.endpoint_load import Candidate

# Part of the bound on prompts within a pause above which a prompt is long.
LONG_SHARE = 0.5
# Part of the engines of a region that long prompts get.
ENGINE_SHARE = 1 / 4
_DIGEST_BYTES = 8


def is_long(unread_tokens: int, burst_bound: float) -> bool:
    """Tell whether a prompt holds up the streams beside it."""
    return unread_tokens > burst_bound * LONG_SHARE


def split(
    candidates: Sequence[Candidate],
) -> tuple[list[Candidate], list[Candidate]]:
    """Return the engines for long prompts and the others.

    A region of one or two engines keeps none for them.
    """
    ranked = sorted(candidates, key=_score)
    count = round(len(ranked) * ENGINE_SHARE)
    return ranked[:count], ranked[count:]


def _score(candidate: Candidate) -> bytes:
    return hashlib.blake2b(
        candidate.endpoint_id.encode(), digest_size=_DIGEST_BYTES
    ).digest()
