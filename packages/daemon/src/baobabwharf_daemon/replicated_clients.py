"""Offer changes and claims to the other tasks of this VM."""

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
_CLEAN_UP_TIMEOUT_MS = 60_000
_RETRY_S = 0.5


@final
class ReplicatedChangeClient(ChangeClient):
    """Submit changes to the leader; resends are safe by request id."""

    def __init__(self, leader: LeaderClient, source: ConfigSource) -> None:
        self._leader = leader
        self._source = source

    async def propose(self, request: ChangeRequest) -> ChangeOutcome:
        """Return the outcome; NOT_ACCEPTED is final, UNKNOWN may be asked."""
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
        """Return the first answer, UNKNOWN while no leader can be asked."""
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
        revision: Revision = self._source.config.revision
        return ChangeOutcome(request_id, code, revision, sentence)


@final
class ReplicatedClaimClient(ClaimClient, Task):
    """Record claims; those of an earlier life of this VM become unknown."""

    def __init__(self, leader: LeaderClient, own: VmId) -> None:
        self._leader = leader
        self._own = own
        self._cleaned = asyncio.Event()
        self._background: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Begin to mark the running claims of an earlier life."""
        self._spawn(self._lose_earlier_life())

    async def stop(self) -> None:
        """Cancel what is under way."""
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
        """Claim a key before the call is sent, or learn who did."""
        operation = BeginClaim(
            customer_id, idempotency_key, body_digest, request_id, self._own
        )
        if not await self._await_cleaned():
            return Error(Refusal(RefusalCode.CLAIM_UNAVAILABLE))
        reply = await self._leader.submit(operation, _BEGIN_TIMEOUT_MS)
        answer = reply.answer
        if not isinstance(answer, ClaimAnswer):
            if reply.kind is ReplyKind.UNKNOWN:
                self._spawn(self._free(operation))
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
        """Record the answer; state "absent" frees a claim that never ran."""
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

    async def _free(self, operation: BeginClaim) -> None:
        # The caller was told that nothing ran, so a claim that is committed
        # late must not block the key for the retention time.
        begun = await self._leader.submit(operation, _CLEAN_UP_TIMEOUT_MS)
        if isinstance(begun.answer, ClaimAnswer) and begun.answer.granted:
            free = FinishClaim(
                operation.customer_id,
                operation.idempotency_key,
                operation.request_id,
                ABSENT,
            )
            await self._leader.submit(free, _CLEAN_UP_TIMEOUT_MS)

    async def _await_cleaned(self) -> bool:
        try:
            async with asyncio.timeout(_BEGIN_TIMEOUT_MS / 1000):
                await self._cleaned.wait()
        except TimeoutError:
            return False
        return True

    async def _lose_earlier_life(self) -> None:
        operation: Operation = LoseOwner(self._own)
        reply = await self._leader.submit(operation, _FINISH_TIMEOUT_MS)
        while reply.kind is not ReplyKind.ANSWERED:
            await asyncio.sleep(_RETRY_S)
            reply = await self._leader.submit(operation, _FINISH_TIMEOUT_MS)
        self._cleaned.set()

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
