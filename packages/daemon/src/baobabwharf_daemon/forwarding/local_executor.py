"""Serve a call at an endpoint of this VM's region."""

import asyncio

import msgspec
from baobabwharf_core.clock import Clock
from baobabwharf_core.ids import EndpointId, RegionId
from baobabwharf_core.invariants import check_invariant
from baobabwharf_core.refusals import Executed, Refusal, RefusalCode
from baobabwharf_core.requests import EndpointChoice, RequestFacts
from expression import Error, Result

from baobabwharf_daemon.forwarding.attempts import (
    AttemptRun,
    Ended,
)
from baobabwharf_daemon.forwarding.endpoint_client import (
    Attempt,
    EndpointClient,
)
from baobabwharf_daemon.gateway.calls import (
    ANSWERED,
    Call,
    Progress,
    Sink,
)
from baobabwharf_daemon.gateway.records import RequestRecord
from baobabwharf_daemon.interfaces import Router
from baobabwharf_daemon.metrics import RETRIES

MAX_ATTEMPTS = 4
_MS_PER_S = 1000


class LocalExecutor:
    """Admit a call, send it, and repeat it where that is allowed."""

    def __init__(
        self,
        region: RegionId,
        router: Router,
        client: EndpointClient,
        clock: Clock,
    ) -> None:
        self._region = region
        self._router = router
        self._client = client
        self._clock = clock

    async def execute(
        self,
        call: Call,
        sink: Sink,
        record: RequestRecord,
        progress: Progress,
    ) -> Result[None, Refusal]:
        """Pass the whole answer to the sink or return a refusal."""
        loop = _ServingLoop(
            self._region, self._router, self._client, self._clock, call
        )
        return await loop.run(sink, record, progress)


class _ServingLoop:
    def __init__(
        self,
        region: RegionId,
        router: Router,
        client: EndpointClient,
        clock: Clock,
        call: Call,
    ) -> None:
        self._region = region
        self._router = router
        self._client = client
        self._clock = clock
        self._call = call
        self._refusal: Refusal | None = None
        self._excluded: frozenset[EndpointId] = frozenset()
        self._end_ms = clock.now_ms() + call.facts.deadline_ms

    async def run(
        self, sink: Sink, record: RequestRecord, progress: Progress
    ) -> Result[None, Refusal]:
        for number in range(1, MAX_ATTEMPTS + 1):
            if await self._turn(number, sink, record, progress):
                break
        refusal = self._refusal
        if refusal is None:
            return ANSWERED
        record.note(f'No endpoint answered: {refusal.code.value}.')
        return Error(_last(refusal, progress))

    async def _turn(
        self,
        number: int,
        sink: Sink,
        record: RequestRecord,
        progress: Progress,
    ) -> bool:
        """Make one attempt and tell whether it is the last."""
        admitted = await self._admit()
        if admitted.is_error():
            self._refusal = self._refusal or admitted.error
            return True
        choice = admitted.ok
        if progress.tokens and not choice.can_resume:
            self._router.attempt_cancelled(self._call.facts, choice.endpoint_id)
            return True
        ended = await self._attempt(choice, number, sink, record, progress)
        self._refusal = ended.refusal
        if ended.refusal is None:
            return True
        if not await self._may_repeat(ended, number, sink):
            return True
        self._note_repeat(choice, ended.refusal, record)
        return False

    def _note_repeat(
        self, choice: EndpointChoice, refusal: Refusal, record: RequestRecord
    ) -> None:
        record.note(f'Endpoint {choice.endpoint_id}: {refusal.code.value}.')
        record.step('resume' if record.state == 'streaming' else 'retry')
        self._excluded |= {choice.endpoint_id}

    async def _admit(self) -> Result[EndpointChoice, Refusal]:
        return await self._router.admit(self._facts(), self._excluded)

    def _facts(self) -> RequestFacts:
        facts = self._call.facts
        if not self._excluded:
            return facts
        left = max(0, self._end_ms - self._clock.now_ms())
        return msgspec.structs.replace(facts, deadline_ms=left)

    async def _attempt(
        self,
        choice: EndpointChoice,
        number: int,
        sink: Sink,
        record: RequestRecord,
        progress: Progress,
    ) -> Ended:
        facts = self._call.facts
        check_invariant(
            not facts.residency or self._region in facts.residency,
            f'Region {self._region} is outside the residency.',
        )
        if record.state == 'queued':
            record.step('send')
        record.note(f'Sent to endpoint {choice.endpoint_id}: {choice.reason}')
        run = AttemptRun(
            self._client,
            self._clock,
            self._call,
            Attempt(
                attempt_id=_attempt_id(facts, number),
                choice=choice,
                time_left_ms=max(0, self._end_ms - self._clock.now_ms()),
                resume_from=progress.tokens,
            ),
            progress,
        )
        try:
            ended = await run.run(sink, record)
        except BaseException:
            # A caller that goes away is no failure of the endpoint: counted
            # as one, five of them in a row would eject it.
            self._router.attempt_cancelled(facts, choice.endpoint_id)
            raise
        self._router.attempt_ended(facts, ended.outcome)
        return ended

    async def _may_repeat(self, ended: Ended, attempt: int, sink: Sink) -> bool:
        assert ended.refusal is not None
        facts = self._call.facts
        maybe_ran = ended.refusal.executed is Executed.UNKNOWN
        if maybe_ran and not facts.repeatable:
            return False
        if sink.began and not self._can_continue():
            return False
        allowed = self._router.may_retry(facts, ended.outcome, attempt)
        if allowed.is_error():
            return False
        if self._clock.now_ms() + allowed.ok >= self._end_ms:
            return False
        RETRIES.inc({'reason': ended.refusal.code.value})
        await asyncio.sleep(allowed.ok / _MS_PER_S)
        return True

    def _can_continue(self) -> bool:
        call = self._call
        return call.completion and call.facts.streaming and call.choices == 1


def _attempt_id(facts: RequestFacts, number: int) -> str:
    # A late answer to an earlier attempt must not pass for this one.
    if number == 1:
        return facts.request_id
    return f'{facts.request_id}-{number}'


def _last(refusal: Refusal, progress: Progress) -> Refusal:
    if progress.tokens:
        return Refusal(
            RefusalCode.STREAM_BROKEN,
            Executed.UNKNOWN,
            detail=refusal.detail,
        )
    if progress.sent and refusal.executed is Executed.NO:
        return msgspec.structs.replace(refusal, executed=Executed.UNKNOWN)
    return refusal
