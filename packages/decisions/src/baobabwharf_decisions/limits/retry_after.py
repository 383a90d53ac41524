"""Estimate when a refused request can have its tokens."""

from baobabwharf_decisions.limits.bucket import HolderBucket
from baobabwharf_decisions.limits.units import CHUNK_LIFETIME_MS

# Covers the round trip to the holders and one tick.
_MARGIN_MS = 250


def retry_after_ms(
    amount: int,
    borrowed: int,
    bucket: HolderBucket | None,
    expected_supply: tuple[int, int, int],
) -> int:
    """Return ms until refill covers the amount if nothing else is spent.

    expected_supply is what the holders may lend: level, refill per ms and cap.
    An amount that they cannot cover even when full depends on VMs that do not
    reply; it may be requested again after one chunk lifetime.
    """
    level, rate, cap = expected_supply
    own = 0 if bucket is None else bucket.level
    if bucket is not None:
        rate += bucket.rate
        cap += bucket.cap
    missing = amount - own - borrowed - level
    if not rate or amount > cap + borrowed:
        return CHUNK_LIFETIME_MS
    # Allow for slow clocks, here and at the holders, within the drift bound.
    wait_ms = -(-max(missing, 0) * 102 // (rate * 100))
    return wait_ms + _MARGIN_MS
