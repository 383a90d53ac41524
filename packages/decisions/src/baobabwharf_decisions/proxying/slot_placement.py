"""Place calls of plain services by free slots.

Load pattern: bursts of short calls meet a few slots.  A short queue at the
endpoint keeps its slots busy; beyond it a call waits longer than its target
and is refused or sent to another region.
"""

from collections.abc import Sequence
from typing import final

from baobabwharf_decisions.proxying.endpoint_load import Candidate

# Calls that may queue at an endpoint for each of its slots: at some tens of
# ms a call they are served within a target of several hundred ms.
MAX_QUEUED_PER_SLOT = 3


@final
class SlotPlacement:
    """Choose among the endpoints of a plain service."""

    def choose(self, candidates: Sequence[Candidate]) -> Candidate | None:
        """Return the least loaded endpoint, None if all are full."""
        if not candidates:
            return None
        best = min(candidates, key=_fill)
        return best if _fill(best) < 1 + MAX_QUEUED_PER_SLOT else None


def _fill(candidate: Candidate) -> float:
    return candidate.load.total_running / max(1, candidate.slots)
