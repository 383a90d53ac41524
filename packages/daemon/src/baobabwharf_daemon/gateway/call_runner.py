"""Run one call and make sure that the caller gets a response."""

import asyncio
from collections.abc import Awaitable, Callable

import msgspec
from baobabwharf_core.clock import Clock
from baobabwharf_core.refusals import Refusal
from expression import Error, Result

from baobabwharf_daemon.gateway.calls import (
    Call,
    Progress,
    ResponseWriter,
)
from baobabwharf_daemon.gateway.current_task import current_task
from baobabwharf_daemon.gateway.errors import (
    count_refusal,
    error_body,
    error_event,
    error_headers,
)
from baobabwharf_daemon.gateway.request_counter import count_request
from baobabwharf_daemon.gateway.request_records import RequestRecord
from baobabwharf_daemon.gateway.running_requests import (
    RunningRequest,
    RunningRequests,
)

CallHandler = Callable[[], Awaitable[Result[None, Refusal]]]
# If the caller does not read the error event within this time, the connection
# is aborted without it.
_LAST_EVENT_TIMEOUT_S = 0.2


async def refuse(
    refusal: Refusal,
    writer: ResponseWriter,
    request_id: str,
    *,
    streaming: bool,
) -> None:
    """Send a refusal to the caller, also in the middle of a stream."""
    count_refusal(refusal)
    if not writer.headers_sent:
        headers = error_headers(refusal, request_id)
        await writer.send_response(
            refusal.status, headers, error_body(refusal, request_id)
        )
        return
    if streaming:
        await writer.end_stream(error_event(refusal, request_id))
        return
    writer.abort()


class CallRunner:
    """Run calls so that they can be cancelled when a key is withdrawn."""

    def __init__(self, running: RunningRequests, clock: Clock) -> None:
        self._running = running
        self._clock = clock

    async def run(
        self,
        call: Call,
        digest: bytes,
        writer: ResponseWriter,
        record: RequestRecord,
        handle: CallHandler,
        progress: Progress | None = None,
    ) -> None:
        """Run the handler of a call and respond to the caller.

        The progress is None if the call goes on after a cancellation.
        """
        task = current_task()
        deadline_at_ms = self._clock.now_ms() + call.attributes.deadline_ms
        running = RunningRequest(digest, task, deadline_at_ms, progress)
        self._running.add(running)
        try:
            await self._run_handler(call, digest, writer, record, handle)
        except asyncio.CancelledError:
            if call.attributes.repeatable:
                # A call that is not repeatable goes on without its caller.
                record.end('caller_gone')
                record.end('refuse')
            if running.cancel_refusal is None:
                _count(call, 'caller_gone')
                raise
            task.uncancel()
            refusal = msgspec.structs.replace(
                running.cancel_refusal, executed=running.executed
            )
            await _refuse_cancelled(refusal, writer, call, record)
        finally:
            self._running.remove(running)

    async def _run_handler(
        self,
        call: Call,
        digest: bytes,
        writer: ResponseWriter,
        record: RequestRecord,
        handle: CallHandler,
    ) -> None:
        # The key may have been withdrawn while the body was read.
        withdrawn = self._running.key_refusal(digest)
        outcome = await handle() if withdrawn is None else Error(withdrawn)
        if outcome.is_ok():
            record.end('answered')
            _count(call, 'answered')
            return
        refusal = outcome.error
        record.note(f'Refused: {refusal.code.value}. {refusal.detail}')
        record.end('fail' if writer.headers_sent else 'refuse')
        _count(call, 'failed' if writer.headers_sent else 'refused')
        await refuse(
            refusal,
            writer,
            call.attributes.request_id,
            streaming=call.attributes.streaming,
        )


async def _refuse_cancelled(
    refusal: Refusal, writer: ResponseWriter, call: Call, record: RequestRecord
) -> None:
    record.note(f'Cut off: {refusal.code.value}.')
    writer.close_after_response()
    try:
        async with asyncio.timeout(_LAST_EVENT_TIMEOUT_S):
            await refuse(
                refusal,
                writer,
                call.attributes.request_id,
                streaming=call.attributes.streaming,
            )
    except TimeoutError:
        writer.abort()


def _count(call: Call, outcome: str) -> None:
    count_request('completion' if call.completion else 'service', outcome)
