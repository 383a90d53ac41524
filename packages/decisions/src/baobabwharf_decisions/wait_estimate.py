"""Estimate the queueing delay of a request."""

import math

# Cap on the utilisation; towards 1 the estimate grows without bound.
_MAX_UTILISATION = 0.98
# Factor on the exponent of the formula.  With 1 no room is left for requests
# that may not leave the region; 0.4 moves more requests without shortening the
# tail.
_EXPONENT_FACTOR = 0.7


def expected_wait_ms(requests: float, slots: int, service_ms: float) -> float:
    """Return the mean wait of a request that joins a region, in ms.

    This is Sakasegawa's approximation for one queue with many servers, with a
    smaller exponent.  It grows before all slots are taken, so that requests
    move to another region while there is still room for those that must stay.
    """
    if slots <= 0:
        return 0.0
    full = (requests + 1) / slots
    utilisation = min(full, _MAX_UTILISATION)
    exponent = _EXPONENT_FACTOR * (math.sqrt(2 * (slots + 1)) - 1)
    idle = slots * (1 - utilisation)
    wait_ms = service_ms * utilisation**exponent / idle
    backlog = max(0.0, requests + 1 - slots)
    return max(wait_ms, backlog * service_ms / slots)
