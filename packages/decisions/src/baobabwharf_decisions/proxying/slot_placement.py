"""Place calls of services without an inference engine by free slots.

A short queue at the endpoint keeps its slots busy; beyond it a call would wait
longer than its target, so it is refused or sent to another region.

The load is bursts of short calls that arrive at a few slots.
"""

from collections.abc import Sequence
from typing import final

from baobabwharf_decisions.proxying.endpoint_load import Candidate

# At some tens of ms per call, this many queued calls per slot are served within
# a target of several hundred ms.
MAX_QUEUED_PER_SLOT = 3


@final
class SlotPlacement:
    """Choose among the endpoints of a service without an engine."""

    def choose(self, candidates: Sequence[Candidate]) -> Candidate | None:
        """Return the least loaded endpoint, None if all queues are full."""
        if not candidates:
            return None
        least_loaded = min(candidates, key=_load_per_slot)
        return (
            least_loaded
            if _load_per_slot(least_loaded) < 1 + MAX_QUEUED_PER_SLOT
            else None
        )


def _load_per_slot(candidate: Candidate) -> float:
    return candidate.load.total_running / max(1, candidate.slots)
