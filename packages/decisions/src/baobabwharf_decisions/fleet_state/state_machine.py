"""Apply committed commands to the replicated state."""

import hashlib
from collections.abc import Callable
from typing import Any, final

import msgspec
from baobabwharf_core.changes import (
    Change,
    ChangeCode,
    ChangeOutcome,
    ChangeRequest,
    RegisterVm,
    RemoveVm,
)
from baobabwharf_core.codec import decode, encode
from baobabwharf_core.fleet_config import FleetConfig
from baobabwharf_core.ids import RequestId, Revision, VmId
from baobabwharf_core.invariants import check_invariant
from expression import Error

from baobabwharf_decisions.fleet_state.change_result import (
    ChangeError,
    ChangeResult,
)
from baobabwharf_decisions.fleet_state.claims import Claim, ClaimTable
from baobabwharf_decisions.fleet_state.commands import (
    Answer,
    ApplyChange,
    BeginClaim,
    ChangeAnswer,
    Command,
    Done,
    FinishClaim,
    LoseOwner,
    ReleaseLease,
    TakeLease,
)
from baobabwharf_decisions.fleet_state.configuration import apply_change
from baobabwharf_decisions.fleet_state.lease_table import Lease, LeaseTable

# The first outcomes of the last 20,000 request ids are kept, which is more than
# six days at 3,000 changes a day.  A resend after that counts as a new request.
MAX_FIRST_OUTCOMES = 20_000
_DIGEST_BYTES = 16


class _FirstOutcome(msgspec.Struct, frozen=True):
    digest: bytes
    outcome: ChangeOutcome


class FleetSnapshot(msgspec.Struct, frozen=True):
    """Hold the whole replicated state in encodable form."""

    config: FleetConfig
    clock_ms: int
    answers: dict[RequestId, _FirstOutcome]
    removed_vms: tuple[VmId, ...]
    leases: dict[str, Lease]
    last_token: int
    claims: tuple[Claim, ...]


class AppliedChange(msgspec.Struct, frozen=True):
    """Pair an accepted change with the revision that it made."""

    revision: Revision
    change: Change


@final
class FleetStateMachine:
    """Hold the replicated state; equal commands give equal states."""

    def __init__(self) -> None:
        self._config = FleetConfig()
        self._clock_ms = 0
        self._first_outcomes: dict[RequestId, _FirstOutcome] = {}
        self._removed_vms: dict[VmId, None] = {}
        self._leases = LeaseTable({}, 0)
        self._claims = ClaimTable()
        self._last_change: AppliedChange | None = None
        self._handlers: dict[type, Callable[[Any], Answer]] = {
            ApplyChange: self._apply_change,
            TakeLease: self._take_lease,
            ReleaseLease: self._release_lease,
            BeginClaim: self._begin_claim,
            FinishClaim: lambda operation: self._claims.finish(operation),
            LoseOwner: self._lose_owner,
        }

    @property
    def config(self) -> FleetConfig:
        """Return the configuration."""
        return self._config

    @property
    def removed_vms(self) -> frozenset[VmId]:
        """Return the VMs that were removed permanently."""
        return frozenset(self._removed_vms)

    @property
    def claims(self) -> ClaimTable:
        """Return the claims; callers must not change them."""
        return self._claims

    @property
    def last_change(self) -> AppliedChange | None:
        """Return the change that the last command made, if any."""
        return self._last_change

    def first_outcome(self, request_id: RequestId) -> ChangeOutcome | None:
        """Return the first outcome of a request id, if it is still kept."""
        existing = self._first_outcomes.get(request_id)
        return None if existing is None else existing.outcome

    def apply(self, command: Command) -> Answer:
        """Apply the next command of the log."""
        # A new leader's clock may be behind the old leader's; the clock of the
        # state must never go backwards.
        self._clock_ms = max(self._clock_ms, command.at_ms)
        self._claims.expire(self._clock_ms)
        self._last_change = None
        return self._handlers[type(command.operation)](command.operation)

    def snapshot(self) -> bytes:
        """Encode the whole state."""
        state = FleetSnapshot(
            self._config,
            self._clock_ms,
            self._first_outcomes,
            tuple(self._removed_vms),
            self._leases.leases,
            self._leases.last_token,
            self._claims.claims,
        )
        return encode(state)

    def restore(self, payload: bytes) -> None:
        """Replace the whole state; an empty payload gives the initial state."""
        state = FleetSnapshot(FleetConfig(), 0, {}, (), {}, 0, ())
        if payload:
            state = decode(payload, FleetSnapshot)
        self._config = state.config
        self._clock_ms = state.clock_ms
        self._first_outcomes = dict(state.answers)
        self._removed_vms = dict.fromkeys(state.removed_vms)
        self._leases = LeaseTable(state.leases, state.last_token)
        self._claims = ClaimTable(state.claims)
        self._last_change = None

    def _apply_change(self, operation: ApplyChange) -> Answer:
        request = operation.request
        digest = _request_digest(request)
        existing = self._first_outcomes.get(request.request_id)
        if existing is None:
            outcome = self._execute_change(request)
            self._store_first_outcome(digest, outcome)
        elif existing.digest == digest:
            outcome = existing.outcome
        else:
            outcome = self._outcome(
                request,
                ChangeCode.REQUEST_ID_REUSED,
                'The request id belongs to another change.',
            )
        return ChangeAnswer(outcome)

    def _execute_change(self, request: ChangeRequest) -> ChangeOutcome:
        expected = request.expected_revision
        if expected is not None and expected != self._config.revision:
            return self._outcome(
                request,
                ChangeCode.REVISION_CONFLICT,
                f'The revision is {self._config.revision}.',
            )
        result = self._apply_to_config(request.change)
        if result.is_error():
            error = result.error
            return self._outcome(request, error.code, error.message)
        check_invariant(
            result.ok.revision == self._config.revision + 1,
            'There is a gap in the revisions.',
        )
        self._config = result.ok
        self._last_change = AppliedChange(self._config.revision, request.change)
        return self._outcome(request, ChangeCode.ACCEPTED, '')

    def _apply_to_config(self, change: Change) -> ChangeResult:
        registered = change.vm.vm_id if isinstance(change, RegisterVm) else None
        if registered in self._removed_vms:
            message = 'The VM was removed for good; use another id.'
            return Error(ChangeError(ChangeCode.INVALID, message))
        result = apply_change(self._config, change)
        if isinstance(change, RemoveVm) and result.is_ok():
            self._removed_vms[change.vm_id] = None
        return result

    def _outcome(
        self, request: ChangeRequest, code: ChangeCode, sentence: str
    ) -> ChangeOutcome:
        return ChangeOutcome(
            request.request_id, code, self._config.revision, sentence
        )

    def _store_first_outcome(
        self, digest: bytes, outcome: ChangeOutcome
    ) -> None:
        self._first_outcomes[outcome.request_id] = _FirstOutcome(
            digest, outcome
        )
        while len(self._first_outcomes) > MAX_FIRST_OUTCOMES:
            self._first_outcomes.pop(next(iter(self._first_outcomes)))

    def _take_lease(self, operation: TakeLease) -> Answer:
        return self._leases.take(operation, self._clock_ms)

    def _release_lease(self, operation: ReleaseLease) -> Answer:
        self._leases.release(operation)
        return Done()

    def _begin_claim(self, operation: BeginClaim) -> Answer:
        return self._claims.begin(operation, self._clock_ms)

    def _lose_owner(self, operation: LoseOwner) -> Answer:
        self._claims.mark_owner_lost(operation)
        return Done()


def _request_digest(request: ChangeRequest) -> bytes:
    return hashlib.blake2b(
        encode((request.change, request.expected_revision)),
        digest_size=_DIGEST_BYTES,
    ).digest()
