"""Execute calls on endpoints of this VM's region, with retries."""

import asyncio

import msgspec
from baobabwharf_core.clock import Clock
from baobabwharf_core.ids import EndpointId, RegionId
from baobabwharf_core.invariants import check_invariant
from baobabwharf_core.refusals import Executed, Refusal, RefusalCode
from baobabwharf_core.requests import EndpointChoice, RequestAttributes
from expression import Error, Result

from baobabwharf_daemon.forwarding.attempts import (
    AttemptResult,
    AttemptRunner,
)
from baobabwharf_daemon.forwarding.endpoint_client import (
    Attempt,
    EndpointClient,
)
from baobabwharf_daemon.gateway.calls import (
    ANSWERED,
    Call,
    Progress,
    ResponseWriter,
)
from baobabwharf_daemon.gateway.request_records import RequestRecord
from baobabwharf_daemon.interfaces import Router
from baobabwharf_daemon.metrics import RETRIES

MAX_ATTEMPTS = 4
_MS_PER_S = 1000


class LocalExecutor:
    """Admit a call, send it to an endpoint and retry where permitted."""

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
        writer: ResponseWriter,
        record: RequestRecord,
        progress: Progress,
    ) -> Result[None, Refusal]:
        """Execute the call and relay its response, or return a refusal."""
        loop = _RetryLoop(
            self._region, self._router, self._client, self._clock, call
        )
        return await loop.run(writer, record, progress)


class _RetryLoop:
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
        self._deadline_at_ms = clock.now_ms() + call.attributes.deadline_ms

    async def run(
        self, writer: ResponseWriter, record: RequestRecord, progress: Progress
    ) -> Result[None, Refusal]:
        for number in range(1, MAX_ATTEMPTS + 1):
            if await self._try_once(number, writer, record, progress):
                break
        refusal = self._refusal
        if refusal is None:
            return ANSWERED
        record.note(f'No endpoint answered: {refusal.code.value}.')
        return Error(_final_refusal(refusal, progress))

    async def _try_once(
        self,
        number: int,
        writer: ResponseWriter,
        record: RequestRecord,
        progress: Progress,
    ) -> bool:
        """Make one attempt; return True if no other may follow."""
        admitted = await self._admit()
        if admitted.is_error():
            self._refusal = self._refusal or admitted.error
            return True
        choice = admitted.ok
        if progress.tokens and not choice.supports_resume:
            self._router.attempt_cancelled(
                self._call.attributes, choice.endpoint_id
            )
            return True
        result = await self._attempt(choice, number, writer, record, progress)
        self._refusal = result.refusal
        if result.refusal is None:
            return True
        if not await self._wait_before_retry(result, number, writer):
            return True
        self._prepare_retry(choice, result.refusal, record)
        return False

    def _prepare_retry(
        self, choice: EndpointChoice, refusal: Refusal, record: RequestRecord
    ) -> None:
        record.note(f'Endpoint {choice.endpoint_id}: {refusal.code.value}.')
        record.step('resume' if record.state == 'streaming' else 'retry')
        self._excluded |= {choice.endpoint_id}

    async def _admit(self) -> Result[EndpointChoice, Refusal]:
        return await self._router.admit(
            self._current_attributes(), self._excluded
        )

    def _current_attributes(self) -> RequestAttributes:
        attributes = self._call.attributes
        if not self._excluded:
            return attributes
        time_left_ms = max(0, self._deadline_at_ms - self._clock.now_ms())
        return msgspec.structs.replace(attributes, deadline_ms=time_left_ms)

    async def _attempt(
        self,
        choice: EndpointChoice,
        number: int,
        writer: ResponseWriter,
        record: RequestRecord,
        progress: Progress,
    ) -> AttemptResult:
        attributes = self._call.attributes
        check_invariant(
            not attributes.residency or self._region in attributes.residency,
            f'region {self._region} is not in the residency of the customer',
        )
        if record.state == 'queued':
            record.step('send')
        record.note(f'Sent to endpoint {choice.endpoint_id}: {choice.reason}')
        runner = AttemptRunner(
            self._client,
            self._clock,
            self._call,
            Attempt(
                attempt_id=_attempt_id(attributes, number),
                choice=choice,
                time_left_ms=max(
                    0, self._deadline_at_ms - self._clock.now_ms()
                ),
                resume_from=progress.tokens,
            ),
            progress,
        )
        try:
            result = await runner.run(writer, record)
        except BaseException:
            # A disconnected caller is not an endpoint failure; if it counted
            # as one, five in a row would eject the endpoint.
            self._router.attempt_cancelled(attributes, choice.endpoint_id)
            raise
        self._router.attempt_ended(attributes, result.outcome)
        return result

    async def _wait_before_retry(
        self, result: AttemptResult, attempt: int, writer: ResponseWriter
    ) -> bool:
        """Wait for the backoff; return False if no retry is allowed."""
        assert result.refusal is not None
        attributes = self._call.attributes
        may_have_executed = result.refusal.executed is Executed.UNKNOWN
        if may_have_executed and not attributes.repeatable:
            return False
        if writer.headers_sent and not self._can_resume():
            return False
        backoff = self._router.may_retry(attributes, result.outcome, attempt)
        if backoff.is_error():
            return False
        if self._clock.now_ms() + backoff.ok >= self._deadline_at_ms:
            return False
        RETRIES.inc({'reason': result.refusal.code.value})
        await asyncio.sleep(backoff.ok / _MS_PER_S)
        return True

    def _can_resume(self) -> bool:
        call = self._call
        return (
            call.completion and call.attributes.streaming and call.choices == 1
        )


def _attempt_id(attributes: RequestAttributes, number: int) -> str:
    # The id differs for each attempt, so that a late response to an earlier
    # attempt is not accepted for this one.
    if number == 1:
        return attributes.request_id
    return f'{attributes.request_id}-{number}'


def _final_refusal(refusal: Refusal, progress: Progress) -> Refusal:
    if progress.tokens:
        return Refusal(
            RefusalCode.STREAM_BROKEN,
            Executed.UNKNOWN,
            detail=refusal.detail,
        )
    if progress.sent and refusal.executed is Executed.NO:
        return msgspec.structs.replace(refusal, executed=Executed.UNKNOWN)
    return refusal
