"""Run one call and make sure that the caller gets an answer."""

import asyncio
from collections.abc import Awaitable, Callable

from baobabwharf_core.refusals import Executed, Refusal
from expression import Result

from baobabwharf_daemon.gateway.calls import Call, Sink
from baobabwharf_daemon.gateway.counts import count_request
from baobabwharf_daemon.gateway.errors import (
    count_refusal,
    error_body,
    error_event,
    error_headers,
)
from baobabwharf_daemon.gateway.records import RequestRecord
from baobabwharf_daemon.gateway.running import Running, RunningRequests
from baobabwharf_daemon.gateway.tasks import this_task

Work = Callable[[], Awaitable[Result[None, Refusal]]]
# A caller that does not take the last event is cut off without it.
_LAST_EVENT_S = 0.2


async def refuse(
    refusal: Refusal, sink: Sink, request_id: str, *, streaming: bool
) -> None:
    """Tell the caller about a refusal, also in the middle of a stream."""
    count_refusal(refusal)
    if not sink.began:
        headers = error_headers(refusal, request_id)
        await sink.answer(
            refusal.status, headers, error_body(refusal, request_id)
        )
        return
    if streaming:
        await sink.finish(error_event(refusal, request_id))
        return
    sink.abort()


class Exchange:
    """Run calls as tasks that can be cut off."""

    def __init__(self, running: RunningRequests) -> None:
        self._running = running

    async def run(
        self,
        call: Call,
        digest: bytes,
        sink: Sink,
        record: RequestRecord,
        work: Work,
    ) -> None:
        """Run the work of a call and answer the caller."""
        task = this_task()
        running = Running(digest, task)
        self._running.add(running)
        try:
            await self._answer(call, sink, record, work)
        except asyncio.CancelledError:
            if call.facts.repeatable:
                # A booking runs on without its caller.
                record.end('caller_gone')
                record.end('refuse')
            if running.cut is None:
                _count(call, 'caller_gone')
                raise
            task.uncancel()
            await _cut(running.cut, sink, call, record)
        finally:
            self._running.remove(running)

    async def _answer(
        self, call: Call, sink: Sink, record: RequestRecord, work: Work
    ) -> None:
        outcome = await work()
        if outcome.is_ok():
            record.end('answered')
            _count(call, 'answered')
            return
        refusal = outcome.error
        record.note(f'Refused: {refusal.code.value}. {refusal.detail}')
        record.end('fail' if sink.began else 'refuse')
        _count(call, 'failed' if sink.began else 'refused')
        await refuse(
            refusal,
            sink,
            call.facts.request_id,
            streaming=call.facts.streaming,
        )


async def _cut(
    refusal: Refusal, sink: Sink, call: Call, record: RequestRecord
) -> None:
    record.note(f'Cut off: {refusal.code.value}.')
    executed = Executed.UNKNOWN
    told = Refusal(refusal.code, executed)
    try:
        async with asyncio.timeout(_LAST_EVENT_S):
            await refuse(
                told,
                sink,
                call.facts.request_id,
                streaming=call.facts.streaming,
            )
    except TimeoutError:
        sink.abort()
    sink.close_after_answer()


def _count(call: Call, outcome: str) -> None:
    count_request('completion' if call.completion else 'service', outcome)
