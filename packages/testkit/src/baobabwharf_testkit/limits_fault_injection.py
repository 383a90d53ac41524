"""Inject faults into the limits code to test the checks."""

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
def inject_fault(name: str) -> Iterator[None]:
    """Run the block with one named fault injected."""
    with contextlib.ExitStack() as stack:
        for owner, method, replacement in FAULTS[name]:
            patch = mock.patch.object(owner, method, replacement)
            stack.enter_context(patch)
        yield


def _set_first_share_full(
    bucket: HolderBucket, rate: int, cap: int, now_ms: int
) -> None:
    is_first_share = not bucket.cap
    _ORIGINAL_SET_SHARE(bucket, rate, cap, now_ms)
    if is_first_share:
        bucket._level = cap


def _lend_without_tracking(
    bucket: HolderBucket, _chunk_id: int, amount: int, _expires_ms: int
) -> None:
    bucket._level -= amount


def _keep_expired(_account: Account, _now_ms: int) -> list[Any]:
    return []


def _ignore_freeze(
    _detector: FreezeDetector, _now_ms: int, _wall_ms: int
) -> int:
    return 0


def _unconfirmed_share(share_rollout: ShareRollout, customer: Any) -> Any:
    return share_rollout.newest.share(share_rollout._vm_id, customer)


_ORIGINAL_SET_SHARE = HolderBucket.set_share
FAULTS: dict[str, tuple[Patch, ...]] = {
    'bucket refilled at restart': (
        (HolderBucket, 'set_share', _set_first_share_full),
    ),
    'lender ignores outstanding chunks': (
        (HolderBucket, 'lend', _lend_without_tracking),
    ),
    'borrower ignores expiry': (
        (Account, 'drop_expired', _keep_expired),
        (FreezeDetector, 'observe', _ignore_freeze),
    ),
    'new share used before confirmation': (
        (ShareRollout, 'share', _unconfirmed_share),
    ),
}
