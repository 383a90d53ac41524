"""Keep leases with increasing fencing tokens.

The replicated fleet state machine in state_machine.py uses this table for its
TakeLease and ReleaseLease commands; leases.py has a separate granter and holder
on the same state chart, which are not replicated.
"""

from typing import final

import msgspec
from baobabwharf_core.ids import FencingToken, VmId
from baobabwharf_core.statechart import load_chart

from baobabwharf_decisions.fleet_state.commands import (
    LeaseAnswer,
    ReleaseLease,
    TakeLease,
)

_CHART = load_chart('lease')
_FREE = _CHART.initial
# A holder's clock may run 1% slow, and the grant reaches the holder late.
_CLOCK_DRIFT_DIVISOR = 100
_GRANT_DELAY_MARGIN_MS = 50


class Lease(msgspec.Struct, frozen=True):
    """Hold one lease; granted_ms is the leader's wall time."""

    holder: VmId
    token: FencingToken
    state: str
    granted_ms: int
    duration_ms: int

    @property
    def ends_ms(self) -> int:
        """Return when the lease ends for a holder with an exact clock."""
        return self.granted_ms + self.duration_ms

    @property
    def worst_case_end_ms(self) -> int:
        """Return when the lease has ended by the slowest tolerated clock."""
        return (
            self.ends_ms
            + self.duration_ms // _CLOCK_DRIFT_DIVISOR
            + _GRANT_DELAY_MARGIN_MS
        )


@final
class LeaseTable:
    """Hold leases by name, and the last fencing token issued."""

    def __init__(self, leases: dict[str, Lease], last_token: int) -> None:
        self._leases = dict(leases)
        self._last_token = last_token

    @property
    def leases(self) -> dict[str, Lease]:
        """Return all leases by name."""
        return dict(self._leases)

    @property
    def last_token(self) -> int:
        """Return the newest fencing token; tokens only increase."""
        return self._last_token

    def take(self, command: TakeLease, now_ms: int) -> LeaseAnswer:
        """Grant a free lease, or renew it for its holder."""
        lease = self._advance(command.name, now_ms)
        if lease is None or _CHART.accepts(lease.state, 'grant'):
            return self._grant(command, now_ms)
        renewable = _CHART.accepts(lease.state, 'renew')
        if lease.holder == command.holder and renewable:
            return self._renew(command, lease, now_ms)
        wait_ms = lease.worst_case_end_ms - now_ms
        return LeaseAnswer(False, lease.holder, lease.token, wait_ms)

    def release(self, command: ReleaseLease) -> None:
        """Free a lease that its holder releases."""
        lease = self._leases.get(command.name)
        if lease is None or lease.token != command.token:
            return
        if _CHART.accepts(lease.state, 'release'):
            free = _CHART.step(lease.state, 'release')
            self._store(command.name, lease, free)

    def _grant(self, command: TakeLease, now_ms: int) -> LeaseAnswer:
        self._last_token += 1
        token = FencingToken(self._last_token)
        self._leases[command.name] = Lease(
            command.holder,
            token,
            _CHART.step(_FREE, 'grant'),
            now_ms,
            command.duration_ms,
        )
        return LeaseAnswer(True, command.holder, token)

    def _renew(
        self, command: TakeLease, lease: Lease, now_ms: int
    ) -> LeaseAnswer:
        self._leases[command.name] = msgspec.structs.replace(
            lease,
            state=_CHART.step(lease.state, 'renew'),
            granted_ms=now_ms,
            duration_ms=command.duration_ms,
        )
        return LeaseAnswer(True, lease.holder, lease.token)

    def _advance(self, name: str, now_ms: int) -> Lease | None:
        lease = self._leases.get(name)
        if lease is None:
            return None
        state = lease.state
        if now_ms >= lease.ends_ms and _CHART.accepts(state, 'expire'):
            state = _CHART.step(state, 'expire')
        ended = now_ms >= lease.worst_case_end_ms
        if ended and _CHART.accepts(state, 'surely_ended'):
            state = _CHART.step(state, 'surely_ended')
        return self._store(name, lease, state)

    def _store(self, name: str, lease: Lease, state: str) -> Lease:
        changed = msgspec.structs.replace(lease, state=state)
        self._leases[name] = changed
        return changed
