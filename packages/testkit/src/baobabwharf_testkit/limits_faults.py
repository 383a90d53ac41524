"""Put deliberate faults into the limits code, to test the checks."""

import contextlib
from collections.abc import Callable, Iterator
from typing import Any
from unittest import mock

from baobabwharf_decisions.limits import ShareRollout
from baobabwharf_decisions.limits.account import Account
from baobabwharf_decisions.limits.bucket import HolderBucket
from baobabwharf_decisions.membership import FreezeDetector

Patch = tuple[type, str, Callable[..., Any]]


@contextlib.contextmanager
def fault(name: str) -> Iterator[None]:
    """Run with one named fault."""
    with contextlib.ExitStack() as stack:
        for owner, method, replacement in FAULTS[name]:
            patch = mock.patch.object(owner, method, replacement)
            stack.enter_context(patch)
        yield


def _fill_first_share(
    bucket: HolderBucket, rate: int, cap: int, now_ms: int
) -> None:
    fresh = not bucket.cap
    _SET_SHARE(bucket, rate, cap, now_ms)
    if fresh:
        bucket._level = cap


def _lend_unseen(
    bucket: HolderBucket, _chunk_id: int, amount: int, _expires_ms: int
) -> None:
    bucket._level -= amount


def _keep_expired(_account: Account, _now_ms: int) -> list[Any]:
    return []


def _see_no_freeze(
    _detector: FreezeDetector, _now_ms: int, _wall_ms: int
) -> int:
    return 0


def _newest_share(share_rollout: ShareRollout, customer: Any) -> Any:
    return share_rollout.newest.share(share_rollout._vm_id, customer)


_SET_SHARE = HolderBucket.set_share
FAULTS: dict[str, tuple[Patch, ...]] = {
    'bucket refilled at restart': (
        (HolderBucket, 'set_share', _fill_first_share),
    ),
    'lender ignores outstanding chunks': (
        (HolderBucket, 'lend', _lend_unseen),
    ),
    'borrower ignores expiry': (
        (Account, 'drop_expired', _keep_expired),
        (FreezeDetector, 'observe', _see_no_freeze),
    ),
    'new share used before confirmation': (
        (ShareRollout, 'share', _newest_share),
    ),
}
