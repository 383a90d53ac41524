"""Estimate how long a request waits for a slot."""

import math

# Above this utilisation the estimate grows without bound.
_MAX_UTILISATION = 0.98


def expected_wait_ms(requests: float, slots: int, service_ms: float) -> float:
    """Return the mean wait of a request that joins a region, in ms.

    This is Sakasegawa's approximation for many servers with one queue.  It
    grows before all slots are taken, so that work moves to another region
    while there is still room for work that may not move.
    """
    if slots <= 0:
        return 0.0
    full = (requests + 1) / slots
    utilisation = min(full, _MAX_UTILISATION)
    power = math.sqrt(2 * (slots + 1)) - 1
    idle = slots * (1 - utilisation)
    wait_ms = service_ms * utilisation**power / idle
    backlog = max(0.0, requests + 1 - slots)
    return max(wait_ms, backlog * service_ms / slots)
