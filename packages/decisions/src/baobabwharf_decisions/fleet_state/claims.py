"""Keep track of claimed idempotency keys for 24 h."""

from typing import final

import msgspec
from baobabwharf_core.ids import CustomerId, RequestId, VmId
from baobabwharf_core.invariants import check_invariant
from baobabwharf_core.statechart import load_chart

from baobabwharf_decisions.fleet_state.commands import (
    BeginClaim,
    ClaimAnswer,
    FinishClaim,
    LoseOwner,
)

RETENTION_MS = 24 * 3600 * 1000
_CHART = load_chart('booking_claim')
ABSENT = _CHART.initial
RUNNING = _CHART.step(ABSENT, 'begin')
FINISHED = _CHART.step(RUNNING, 'finish')
UNKNOWN = _CHART.step(RUNNING, 'owner_lost')
_EVENT_BY_STATE = {FINISHED: 'finish', ABSENT: 'not_run', UNKNOWN: 'owner_lost'}


class Claim(msgspec.Struct, frozen=True):
    """Hold one claimed idempotency key; begun_ms is the leader's wall time."""

    customer_id: CustomerId
    idempotency_key: str
    body_digest: bytes
    request_id: RequestId
    owner: VmId
    begun_ms: int
    state: str
    status: int = 0
    content_type: str = ''
    body: bytes = b''


@final
class ClaimTable:
    """Hold claims in the order in which they were begun."""

    def __init__(self, claims: tuple[Claim, ...] = ()) -> None:
        self._claims = {
            (claim.customer_id, claim.idempotency_key): claim
            for claim in claims
        }

    @property
    def claims(self) -> tuple[Claim, ...]:
        """Return all claims."""
        return tuple(self._claims.values())

    def running_owners(self) -> frozenset[VmId]:
        """Return the VMs that have running claims."""
        return frozenset(
            claim.owner
            for claim in self._claims.values()
            if claim.state == RUNNING
        )

    def begin(self, command: BeginClaim, now_ms: int) -> ClaimAnswer:
        """Record a claim, or return the existing claim of the key."""
        existing = self._claims.get(
            (command.customer_id, command.idempotency_key)
        )
        if existing is None:
            existing = self._record(command, now_ms)
        if existing.body_digest != command.body_digest:
            return ClaimAnswer(existing.state, existing.owner, mismatch=True)
        # A resend of the request that recorded the claim is granted again.
        same_request = existing.request_id == command.request_id
        granted = same_request and existing.state == RUNNING
        return _answer_for(existing, granted=granted)

    def finish(self, command: FinishClaim) -> ClaimAnswer:
        """Record the outcome of a call; a final outcome is never replaced."""
        key = (command.customer_id, command.idempotency_key)
        existing = self._claims.get(key)
        event = _EVENT_BY_STATE.get(command.state)
        if existing is None or existing.request_id != command.request_id:
            return ClaimAnswer(ABSENT, VmId(''), done=False)
        if event is None or not _CHART.accepts(existing.state, event):
            already_recorded = existing.state == command.state
            return msgspec.structs.replace(
                _answer_for(existing), done=already_recorded
            )
        ended = msgspec.structs.replace(
            existing,
            state=_CHART.step(existing.state, event),
            status=command.status,
            content_type=command.content_type,
            body=command.body,
        )
        if ended.state == ABSENT:
            self._claims.pop(key)
        else:
            self._claims[key] = ended
        return msgspec.structs.replace(_answer_for(ended), done=True)

    def mark_owner_lost(self, command: LoseOwner) -> None:
        """Mark the running claims of a VM as unknown."""
        for key, claim in self._claims.items():
            if claim.owner == command.owner and claim.state == RUNNING:
                lost = _CHART.step(claim.state, 'owner_lost')
                self._claims[key] = msgspec.structs.replace(claim, state=lost)

    def expire(self, now_ms: int) -> None:
        """Remove claims that were begun at least the retention period ago."""
        expired = []
        for key, claim in self._claims.items():
            if now_ms - claim.begun_ms < RETENTION_MS:
                break
            check_invariant(
                _CHART.is_final(_CHART.step(claim.state, 'expire')),
                'The state of an expired claim is not final.',
            )
            expired.append(key)
        for key in expired:
            self._claims.pop(key)

    def _record(self, command: BeginClaim, now_ms: int) -> Claim:
        claim = Claim(
            command.customer_id,
            command.idempotency_key,
            command.body_digest,
            command.request_id,
            command.owner,
            now_ms,
            _CHART.step(ABSENT, 'begin'),
        )
        key = (command.customer_id, command.idempotency_key)
        self._claims[key] = claim
        return claim


def _answer_for(claim: Claim, *, granted: bool = False) -> ClaimAnswer:
    return ClaimAnswer(
        claim.state,
        claim.owner,
        granted=granted,
        status=claim.status,
        content_type=claim.content_type,
        body=claim.body,
    )
