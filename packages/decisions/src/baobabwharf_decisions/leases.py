"""Grant and hold leases so that clock drift never causes two holders.

Only features/unit/leases.feature uses these classes; the replicated leases of
the fleet are in fleet_state/lease_table.py, which follows the same state chart.
"""

from typing import final

import msgspec
from baobabwharf_core.ids import FencingToken, VmId
from baobabwharf_core.invariants import check_invariant
from baobabwharf_core.statechart import load_chart
from expression import Error, Ok, Result

_CHART = load_chart('lease')
_FREE = 'free'
_HELD = 'held'
_WAITING = 'waiting'


def worst_case_lifetime_ms(lifetime_ms: int) -> int:
    """Return how long after a grant the lease has ended for any holder.

    The time is on the clock of the granter.  The clock of the holder may be 1%
    slow and that of the granter 1% fast; 1.01 / 0.99 is below 1.03.  The 2 ms
    cover the rounding of both clocks to whole ms.
    """
    return lifetime_ms * 103 // 100 + 2


class LeaseGrant(msgspec.Struct, frozen=True):
    """Describe a granted lease with its fencing token and lifetime in ms."""

    holder: VmId
    token: FencingToken
    lifetime_ms: int


class LeaseBusy(msgspec.Struct, frozen=True):
    """Report that another VM holds the lease and when to ask again."""

    holder: VmId
    retry_after_ms: int


@final
class LeaseGranter:
    """Grant one lease; each new holder gets a higher fencing token."""

    def __init__(
        self,
        lifetime_ms: int,
        last_token: FencingToken,
        start_ms: int,
        previous_holder: VmId | None,
    ) -> None:
        self._lifetime_ms = lifetime_ms
        self._token = last_token
        self._holder = previous_holder
        self._state = _CHART.initial
        self._expires_ms = start_ms
        self._worst_case_end_ms = start_ms
        if previous_holder is not None:
            # A restarted granter does not know when the lease was last
            # renewed, so it assumes a renewal at its start.
            self._state = _CHART.step(self._state, 'grant')
            self._extend(start_ms)

    @property
    def state(self) -> str:
        """Return the state of the lease."""
        return self._state

    def advance(self, now_ms: int) -> None:
        """Expire the lease, and free it once it has ended for any holder."""
        if self._state == _HELD and now_ms >= self._expires_ms:
            self._state = _CHART.step(self._state, 'expire')
        if self._state == _WAITING and now_ms >= self._worst_case_end_ms:
            self._state = _CHART.step(self._state, 'surely_ended')
            self._holder = None

    def acquire(
        self, vm_id: VmId, now_ms: int
    ) -> Result[LeaseGrant, LeaseBusy]:
        """Grant or renew the lease unless another VM may still hold it."""
        self.advance(now_ms)
        if self._state == _HELD and self._holder == vm_id:
            self._state = _CHART.step(self._state, 'renew')
            return self._grant(now_ms)
        if self._state != _FREE:
            assert self._holder is not None
            return Error(
                LeaseBusy(self._holder, self._worst_case_end_ms - now_ms)
            )
        self._state = _CHART.step(self._state, 'grant')
        self._holder = vm_id
        self._token = FencingToken(self._token + 1)
        return self._grant(now_ms)

    def release(self, vm_id: VmId, token: FencingToken) -> bool:
        """Free the lease if the VM and the token match the holder."""
        is_holder = self._holder == vm_id and self._token == token
        if is_holder and self._state != _FREE:
            self._state = _CHART.step(self._state, 'release')
            self._holder = None
        return is_holder

    def _grant(self, now_ms: int) -> Result[LeaseGrant, LeaseBusy]:
        assert self._holder is not None
        self._extend(now_ms)
        return Ok(LeaseGrant(self._holder, self._token, self._lifetime_ms))

    def _extend(self, now_ms: int) -> None:
        self._expires_ms = now_ms + self._lifetime_ms
        self._worst_case_end_ms = now_ms + worst_case_lifetime_ms(
            self._lifetime_ms
        )


@final
class LeaseHolder:
    """Hold a lease; its lifetime counts from when it was requested."""

    def __init__(self, vm_id: VmId) -> None:
        self._vm_id = vm_id
        self._token: FencingToken | None = None
        self._until_ms = 0
        self._relinquished_ms: int | None = None

    def granted(self, grant: LeaseGrant, sent_ms: int) -> None:
        """Apply a grant that was requested at sent_ms."""
        check_invariant(
            grant.holder == self._vm_id, 'A grant to another VM was applied.'
        )
        if self._token is not None and grant.token < self._token:
            return
        # A late reply must not revive a lease that was relinquished.
        if (
            self._relinquished_ms is not None
            and sent_ms <= self._relinquished_ms
        ):
            return
        until_ms = sent_ms + grant.lifetime_ms
        if grant.token == self._token:
            until_ms = max(until_ms, self._until_ms)
        self._token = grant.token
        self._until_ms = until_ms

    def valid_token(
        self, now_ms: int, action_bound_ms: int
    ) -> FencingToken | None:
        """Return the token if the lease outlasts an action of this length.

        Call it right before each command with a fresh clock reading, so that
        a pause of the process is noticed.
        """
        if self._token is None or now_ms + action_bound_ms >= self._until_ms:
            return None
        return self._token

    def relinquish(self, now_ms: int) -> None:
        """Relinquish the lease, on release or after a clock jump."""
        self._until_ms = 0
        self._relinquished_ms = now_ms


def may_take_over(
    checks_fencing: bool, granted_ms: int, now_ms: int, lifetime_ms: int
) -> bool:
    """Return whether a new owner may send commands to an endpoint.

    An endpoint that ignores fencing tokens would also obey the old owner, so
    the old lease must have ended even on the slowest clock.
    """
    if checks_fencing:
        return True
    return now_ms >= granted_ms + worst_case_lifetime_ms(lifetime_ms)
