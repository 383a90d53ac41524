"""Execute non-repeatable calls at most once."""

import asyncio
import hashlib
from collections.abc import Mapping
from typing import final

from baobabwharf_core.ids import VmId
from baobabwharf_core.refusals import Executed, Refusal, RefusalCode
from expression import Error, Result

from baobabwharf_daemon.gateway.calls import (
    ANSWERED,
    Call,
    Progress,
    ResponseWriter,
)
from baobabwharf_daemon.gateway.pipeline import Pipeline
from baobabwharf_daemon.gateway.request_records import RequestRecord
from baobabwharf_daemon.interfaces import ClaimClient, ClaimState
from baobabwharf_daemon.log import get_logger

_log = get_logger('gateway')
_Task = asyncio.Task[Result[None, Refusal]]

REPLAY_HEADER = 'Idempotent-Replay'
MAX_KEY_CHARS = 255
# Larger responses are not stored; a resend is then refused with an unknown
# outcome rather than answered with a truncated response.
MAX_STORED_BYTES = 256 * 1024
_RUNNING_RETRY_MS = 500
_FINISH_ATTEMPTS = 3
_FINISH_BACKOFF_S = 0.2


@final
class _DeferredResponseWriter(ResponseWriter):
    """Hold back a complete response until its claim is finished.

    Streamed responses are passed on at once.
    """

    def __init__(self, writer: ResponseWriter) -> None:
        self._writer = writer
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b''

    @property
    def headers_sent(self) -> bool:
        return self._writer.headers_sent

    async def start_stream(
        self, status: int, headers: Mapping[str, str]
    ) -> None:
        self.status = status
        await self._writer.start_stream(status, headers)

    async def write(self, chunk: bytes) -> None:
        await self._writer.write(chunk)

    async def end_stream(self, chunk: bytes) -> None:
        await self._writer.end_stream(chunk)

    async def send_response(
        self, status: int, headers: Mapping[str, str], body: bytes
    ) -> None:
        self.status = status
        self.headers = dict(headers)
        self.body = body

    def abort(self) -> None:
        self._writer.abort()

    def close_after_response(self) -> None:
        self._writer.close_after_response()


class IdempotencyGuard:
    """Claim the idempotency key of a non-repeatable call while it runs."""

    def __init__(
        self, vm_id: VmId, pipeline: Pipeline, claims: ClaimClient
    ) -> None:
        self._vm_id = vm_id
        self._pipeline = pipeline
        self._claims = claims
        self._tasks: set[_Task] = set()

    async def run(
        self,
        call: Call,
        idempotency_key: str | None,
        writer: ResponseWriter,
        record: RequestRecord,
    ) -> Result[None, Refusal]:
        """Run the call to completion even if the caller disconnects."""
        if idempotency_key is None:
            work = self._pipeline.run(call, writer, record, Progress())
        elif 0 < len(idempotency_key) <= MAX_KEY_CHARS:
            work = self._run_claimed(call, idempotency_key, writer, record)
        else:
            return Error(
                Refusal(
                    RefusalCode.INVALID_REQUEST,
                    detail=f'Idempotency-Key has 1 to {MAX_KEY_CHARS} chars.',
                )
            )
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._task_done)
        return await asyncio.shield(task)

    async def wait_idle(self) -> None:
        """Wait until no call is running."""
        while self._tasks:
            await asyncio.wait(self._tasks)

    def _task_done(self, task: _Task) -> None:
        self._tasks.discard(task)
        error = None if task.cancelled() else task.exception()
        if error is not None:
            _log.info('Non-repeatable call raised an exception: %r', error)

    async def _run_claimed(
        self,
        call: Call,
        key: str,
        writer: ResponseWriter,
        record: RequestRecord,
    ) -> Result[None, Refusal]:
        attributes = call.attributes
        claimed = await self._claims.begin(
            attributes.customer_id,
            key,
            call_digest(call),
            attributes.request_id,
        )
        if claimed.is_error():
            return Error(claimed.error)
        if not claimed.ok.granted:
            return await _answer_resend(
                claimed.ok, writer, attributes.request_id
            )
        deferred = _DeferredResponseWriter(writer)
        progress = Progress()
        try:
            outcome = await self._pipeline.run(call, deferred, record, progress)
        except BaseException:
            state = 'unknown' if progress.sent else 'absent'
            await self._finish(call, key, self._unfinished(state))
            raise
        claim_state = self._final_state(outcome, deferred, progress)
        await self._finish(call, key, claim_state)
        if outcome.is_ok() and not writer.headers_sent:
            await writer.send_response(
                deferred.status, deferred.headers, deferred.body
            )
        return outcome

    def _final_state(
        self,
        outcome: Result[None, Refusal],
        deferred: _DeferredResponseWriter,
        progress: Progress,
    ) -> ClaimState:
        complete = outcome.is_ok() and not deferred.headers_sent
        if complete and len(deferred.body) <= MAX_STORED_BYTES:
            return ClaimState(
                state='finished',
                granted=False,
                owner=self._vm_id,
                status=deferred.status,
                content_type=deferred.headers.get('Content-Type', ''),
                body=deferred.body,
            )
        not_executed = outcome.is_error() and not progress.sent
        return self._unfinished('absent' if not_executed else 'unknown')

    def _unfinished(self, state: str) -> ClaimState:
        return ClaimState(state=state, granted=False, owner=self._vm_id)

    async def _finish(
        self, call: Call, key: str, claim_state: ClaimState
    ) -> None:
        attributes = call.attributes
        for attempt in range(1, _FINISH_ATTEMPTS + 1):
            if await self._claims.finish(
                attributes.customer_id, key, attributes.request_id, claim_state
            ):
                return
            await asyncio.sleep(_FINISH_BACKOFF_S * attempt)


def call_digest(call: Call) -> bytes:
    """Return a digest of the call, to detect a key reused for another."""
    digest = hashlib.sha256()
    for part in (call.attributes.service, call.method, call.path, call.query):
        digest.update(part.encode('utf-8', 'surrogateescape'))
        digest.update(b'\0')
    digest.update(call.body)
    return digest.digest()


async def _answer_resend(
    claim: ClaimState, writer: ResponseWriter, request_id: str
) -> Result[None, Refusal]:
    if claim.state == 'finished':
        headers = {REPLAY_HEADER: 'true', 'X-Request-Id': request_id}
        if claim.content_type:
            headers['Content-Type'] = claim.content_type
        await writer.send_response(claim.status, headers, claim.body)
        return ANSWERED
    if claim.state == 'running':
        return Error(
            Refusal(
                RefusalCode.CLAIM_RUNNING,
                Executed.UNKNOWN,
                retry_after_ms=_RUNNING_RETRY_MS,
            )
        )
    return Error(Refusal(RefusalCode.CLAIM_UNKNOWN, Executed.UNKNOWN))
