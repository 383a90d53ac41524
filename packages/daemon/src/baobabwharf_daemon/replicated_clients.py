"""Let other tasks of this VM submit changes and claims to the leader."""

import asyncio
from collections.abc import Coroutine
from typing import Any, final

from baobabwharf_core.changes import ChangeCode, ChangeOutcome, ChangeRequest
from baobabwharf_core.ids import CustomerId, RequestId, Revision, VmId
from baobabwharf_core.refusals import Refusal, RefusalCode
from baobabwharf_decisions.fleet_state.claims import ABSENT
from baobabwharf_decisions.fleet_state.commands import (
    ApplyChange,
    BeginClaim,
    ChangeAnswer,
    ClaimAnswer,
    FinishClaim,
    LoseOwner,
    Operation,
)
from expression import Error, Ok, Result

from baobabwharf_daemon.interfaces import (
    ChangeClient,
    ClaimClient,
    ClaimState,
    ConfigSource,
)
from baobabwharf_daemon.leader_client import LeaderClient
from baobabwharf_daemon.replica_messages import OutcomeRequest, ReplyKind
from baobabwharf_daemon.task import Task

_CHANGE_TIMEOUT_MS = 6000
_OUTCOME_TIMEOUT_MS = 4000
_BEGIN_TIMEOUT_MS = 4000
_FINISH_TIMEOUT_MS = 10_000
_RELEASE_TIMEOUT_MS = 60_000
_RETRY_PAUSE_S = 0.5


@final
class ReplicatedChangeClient(ChangeClient):
    """Submit changes to the leader; the request id makes resending safe."""

    def __init__(
        self, leader: LeaderClient, config_source: ConfigSource
    ) -> None:
        self._leader = leader
        self._config_source = config_source

    async def propose(self, request: ChangeRequest) -> ChangeOutcome:
        """Return the outcome of a change.

        NOT_ACCEPTED is final.  After UNKNOWN the caller may ask with outcome.
        """
        reply = await self._leader.submit(
            ApplyChange(request), _CHANGE_TIMEOUT_MS
        )
        if isinstance(reply.answer, ChangeAnswer):
            return reply.answer.outcome
        code = ChangeCode.NOT_ACCEPTED
        if reply.kind is ReplyKind.UNKNOWN:
            code = ChangeCode.UNKNOWN
        return self._outcome(request.request_id, code, reply.sentence)

    async def outcome(self, request_id: RequestId) -> ChangeOutcome | None:
        """Return the first answer, UNKNOWN if no leader can be reached."""
        reply = await self._leader.read_outcome(
            OutcomeRequest(request_id), _OUTCOME_TIMEOUT_MS
        )
        if reply.kind is ReplyKind.ANSWERED:
            return reply.outcome
        sentence = 'No leader with a majority can be reached.'
        return self._outcome(request_id, ChangeCode.UNKNOWN, sentence)

    def _outcome(
        self, request_id: RequestId, code: ChangeCode, sentence: str
    ) -> ChangeOutcome:
        revision: Revision = self._config_source.config.revision
        return ChangeOutcome(request_id, code, revision, sentence)


@final
class ReplicatedClaimClient(ClaimClient, Task):
    """Record claims; those from before a restart of this VM become unknown."""

    def __init__(self, leader: LeaderClient, own_vm_id: VmId) -> None:
        self._leader = leader
        self._own_vm_id = own_vm_id
        self._earlier_claims_marked = asyncio.Event()
        self._background: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Start to mark claims still running from before a restart."""
        self._spawn(self._mark_earlier_claims())

    async def stop(self) -> None:
        """Cancel the background work."""
        for work in self._background:
            work.cancel()
        await asyncio.gather(*self._background, return_exceptions=True)

    async def begin(
        self,
        customer_id: CustomerId,
        idempotency_key: str,
        body_digest: bytes,
        request_id: RequestId,
    ) -> Result[ClaimState, Refusal]:
        """Claim a key before the call is sent, or return the existing claim."""
        operation = BeginClaim(
            customer_id,
            idempotency_key,
            body_digest,
            request_id,
            self._own_vm_id,
        )
        if not await self._wait_until_marked():
            return Error(Refusal(RefusalCode.CLAIM_UNAVAILABLE))
        reply = await self._leader.submit(operation, _BEGIN_TIMEOUT_MS)
        answer = reply.answer
        if not isinstance(answer, ClaimAnswer):
            if reply.kind is ReplyKind.UNKNOWN:
                self._spawn(self._release_late_claim(operation))
            return Error(
                Refusal(RefusalCode.CLAIM_UNAVAILABLE, detail=reply.sentence)
            )
        if answer.mismatch:
            return Error(Refusal(RefusalCode.IDEMPOTENCY_MISMATCH))
        return Ok(_claim_state(answer))

    async def finish(
        self,
        customer_id: CustomerId,
        idempotency_key: str,
        request_id: RequestId,
        answer: ClaimState,
    ) -> bool:
        """Record the answer; state "absent" releases a claim that never ran."""
        operation = FinishClaim(
            customer_id,
            idempotency_key,
            request_id,
            answer.state,
            answer.status,
            answer.content_type,
            answer.body,
        )
        reply = await self._leader.submit(operation, _FINISH_TIMEOUT_MS)
        return isinstance(reply.answer, ClaimAnswer) and reply.answer.done

    async def _release_late_claim(self, operation: BeginClaim) -> None:
        # The caller was told that nothing was executed, so a claim that is
        # committed late must not block the key for the retention period.
        begun = await self._leader.submit(operation, _RELEASE_TIMEOUT_MS)
        if isinstance(begun.answer, ClaimAnswer) and begun.answer.granted:
            release = FinishClaim(
                operation.customer_id,
                operation.idempotency_key,
                operation.request_id,
                ABSENT,
            )
            await self._leader.submit(release, _RELEASE_TIMEOUT_MS)

    async def _wait_until_marked(self) -> bool:
        try:
            async with asyncio.timeout(_BEGIN_TIMEOUT_MS / 1000):
                await self._earlier_claims_marked.wait()
        except TimeoutError:
            return False
        return True

    async def _mark_earlier_claims(self) -> None:
        operation: Operation = LoseOwner(self._own_vm_id)
        reply = await self._leader.submit(operation, _FINISH_TIMEOUT_MS)
        while reply.kind is not ReplyKind.ANSWERED:
            await asyncio.sleep(_RETRY_PAUSE_S)
            reply = await self._leader.submit(operation, _FINISH_TIMEOUT_MS)
        self._earlier_claims_marked.set()

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._background.add(task)
        task.add_done_callback(self._background.discard)


def _claim_state(answer: ClaimAnswer) -> ClaimState:
    return ClaimState(
        answer.state,
        answer.granted,
        answer.owner,
        answer.status,
        answer.content_type,
        answer.body,
    )
