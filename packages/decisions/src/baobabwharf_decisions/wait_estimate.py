"""Estimate how long a request waits for a slot."""

import math

# Above this utilisation the estimate grows without bound.
_MAX_UTILISATION = 0.98
# The plain formula leaves no room for work that may not move; 0.4 moves more
# work without a shorter tail.
_EXPONENT_FACTOR = 0.7


def expected_wait_ms(requests: float, slots: int, service_ms: float) -> float:
    """Return the mean wait of a request that joins a region, in ms.

    This is Sakasegawa's approximation for many servers with one queue, with
    a smaller exponent.  It grows before all slots are taken, so that work
    moves to another region while there is still room for bound work.
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
