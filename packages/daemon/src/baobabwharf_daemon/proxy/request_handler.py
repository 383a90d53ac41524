"""Run one request, with retries, until it is answered or refused."""

import asyncio
from typing import final

from baobabwharf_core.deployment import DeployedService
from baobabwharf_core.refusals import Executed, Refusal, RefusalCode
from baobabwharf_decisions.proxying.attempt_outcomes import AttemptEnd
from baobabwharf_decisions.proxying.crash_blame import Verdict, VerdictAction
from baobabwharf_decisions.proxying.endpoint_load import EndpointLoad
from expression import Error

from baobabwharf_daemon.metrics import ATTEMPTS
from baobabwharf_daemon.proxy.attempt import (
    HEAD,
    REASON_HEADER,
    RETRY_HEADER,
    Attempt,
    OpenedResponse,
    ResponseBody,
    ResponseKind,
    read_body,
)
from baobabwharf_daemon.proxy.attempt_records import (
    end_attempt,
    note_region_report,
    note_statements,
    response_headers,
)
from baobabwharf_daemon.proxy.http_call import HttpCall
from baobabwharf_daemon.proxy.http_messages import (
    ResponseHead,
    parse_number,
)
from baobabwharf_daemon.proxy.proxy_context import ProxyContext
from baobabwharf_daemon.proxy.request_plan import RequestPlan
from baobabwharf_daemon.proxy.response_reader import ResponseLoss
from baobabwharf_daemon.proxy.selection import (
    AttemptTarget,
    Exclusions,
    Selection,
)

_SERVER_ERROR = 500
_MS_PER_S = 1000

_UNSENT_ENDS = frozenset((AttemptEnd.NOT_SENT, AttemptEnd.NOT_EXECUTED))
_VM_STOPPING = RefusalCode.VM_STOPPING.value.encode()
_REQUEST_QUARANTINED = RefusalCode.REQUEST_QUARANTINED.value.encode()

_END_BY_KIND = {
    ResponseKind.NOT_EXECUTED: AttemptEnd.NOT_EXECUTED,
    ResponseKind.MISDIRECTED: AttemptEnd.NOT_EXECUTED,
    ResponseKind.REGION_REFUSED: AttemptEnd.NOT_SENT,
    ResponseKind.UNUSABLE: AttemptEnd.LOST,
}


@final
class RequestHandler:
    """Run the attempts of one request and write the response."""

    def __init__(
        self,
        context: ProxyContext,
        call: HttpCall,
        plan: RequestPlan,
        service: DeployedService,
    ) -> None:
        self._context = context
        self._call = call
        self._plan = plan
        self._service = service
        self._exclusions = Exclusions()
        self._retry_after_ms: int | None = None
        # This VM may hear of a quarantine later than the one it forwards to.
        self._quarantined = False
        self._verdict = Verdict(VerdictAction.ALLOW)

    async def run(self) -> Refusal | None:
        """Run the attempts; return a refusal unless a response was begun."""
        end_ms = min(self._plan.deadline_ms, self._context.drain.last_answer_ms)
        left_ms = max(0, end_ms - self._context.clock.now_ms())
        timeout = asyncio.timeout(left_ms / _MS_PER_S)
        self._context.timeouts.add(timeout)
        try:
            async with timeout:
                return await self._attempt_until_done()
        except TimeoutError:
            return self._handle_timeout()
        finally:
            self._context.timeouts.discard(timeout)

    def _handle_timeout(self) -> Refusal | None:
        # A timer may fire a moment before the deadline without any drain.
        drained = (
            self._context.drain.stopping
            and self._context.clock.now_ms() < self._plan.deadline_ms
        )
        reason = 'drain_ended' if drained else 'deadline_reached'
        self._log(reason, started=self._call.started)
        if self._call.started:
            self._plan.abort_reason = reason
            self._call.abort()
            return None
        if self._plan.attempts.may_have_run:
            return Refusal(RefusalCode.ENDPOINT_TIMEOUT, Executed.UNKNOWN)
        if drained:
            return Refusal(RefusalCode.VM_STOPPING)
        return Refusal(RefusalCode.DEADLINE_UNREACHABLE)

    async def _attempt_until_done(self) -> Refusal | None:
        while True:
            selected = await self._select()
            if selected.is_error() and self._plan.attempts.may_have_run:
                return Refusal(RefusalCode.ENDPOINT_FAILED, Executed.UNKNOWN)
            if selected.is_error():
                return selected.error
            ended = await self._attempt(selected.ok)
            if ended is None:
                return None
            self._plan.attempts.note_end(ended)
            if self._quarantined and not self._plan.attempts.may_have_run:
                return Refusal(
                    RefusalCode.REQUEST_QUARANTINED,
                    retry_after_ms=self._retry_after_ms,
                    detail='refused by the VM that it was forwarded to',
                )
            if not self._may_retry(ended):
                return self._plan.attempts.refusal(ended, self._retry_after_ms)

    async def _select(self) -> Selection:
        """Return the next destination unless the request crashes endpoints."""
        judged = self._context.crashes.judge(self._plan.metadata.traits)
        if judged.is_error():
            return Error(judged.error)
        self._verdict = judged.ok
        adaptive = self._context.selector.adaptive
        if adaptive is not None and adaptive.applies_to(self._service):
            return await adaptive.select(
                self._plan, self._service, self._exclusions
            )
        return self._context.selector.select(
            self._plan, self._service, self._exclusions
        )

    def _may_retry(self, ended: AttemptEnd) -> bool:
        if not self._plan.attempts.may_retry(ended):
            return False
        if ended is AttemptEnd.NOT_SENT:
            return True
        granted = self._context.retry_budget.take(self._service.name)
        self._log('repeat', ended=ended.value, granted=granted)
        return granted

    async def _attempt(self, destination: AttemptTarget) -> AttemptEnd | None:
        load = self._context.selector.load_of(destination)
        self._log_destination(destination, load)
        if destination.record is not None:
            self._context.selector.endpoints.note_sent(destination.record)
            self._context.crashes.note_sent(self._verdict)
        adaptive = self._context.selector.adaptive
        attempt = Attempt(
            self._context.pool,
            self._context.dialect,
            self._context.clock,
            destination,
            load,
            None if adaptive is None else adaptive.reports,
        )
        # If the deadline cancels this attempt, the request may have run.
        may_have_run = self._plan.attempts.may_have_run
        self._plan.attempts.may_have_run = True
        try:
            opened = await attempt.open(self._call.request, self._plan)
            if isinstance(opened, OpenedResponse):
                ended = await self._handle_response(attempt, opened)
            else:
                ended = opened
        finally:
            end_attempt(self._context, self._plan, attempt)
        self._plan.attempts.may_have_run = may_have_run
        self._record_outcome(destination, load, ended, attempt)
        return ended

    def _log_destination(
        self, destination: AttemptTarget, load: EndpointLoad | None
    ) -> None:
        now_ms = self._context.clock.now_ms()
        self._log(
            'placed',
            region=destination.region,
            address=destination.address,
            forwarded=self._plan.forwarded,
            unread_tokens=None if load is None else load.total_pending_tokens,
            running=None if load is None else load.total_running,
            late=self._plan.late or None,
            told_age_ms=None
            if load is None
            else load.oldest_report_age_ms(now_ms),
            reported=None if load is None else load.reported.describe(now_ms),
            expected_ms=None
            if destination.expectation is None
            else round(destination.expectation.first_event_ms),
            left_ms=self._plan.deadline_ms - now_ms,
        )

    def _record_outcome(
        self,
        destination: AttemptTarget,
        load: EndpointLoad | None,
        ended: AttemptEnd | None,
        attempt: Attempt,
    ) -> None:
        now_ms = self._context.clock.now_ms()
        failed = ended in {
            AttemptEnd.NOT_SENT,
            AttemptEnd.LOST,
            AttemptEnd.FAILED,
        }
        if load is not None and ended is not AttemptEnd.NOT_EXECUTED:
            load.note_outcome(failed)
        if ended is not None:
            self._exclude(destination, attempt)
            ATTEMPTS.inc({'ended': ended.value})
            self._log(
                'attempt_ended',
                ended=ended.value,
                address=destination.address,
                region=destination.region,
                reused=attempt.reused,
                took_ms=attempt.took_ms,
                parts=self._plan.metadata.part_ids,
            )
        if ended in _UNSENT_ENDS and destination.record is not None:
            self._context.crashes.note_unsent(self._verdict)
        if ended is AttemptEnd.NOT_SENT and load is not None:
            load.availability.back_off(now_ms)
            self._context.pool.drop(destination.address)

    def _exclude(self, destination: AttemptTarget, attempt: Attempt) -> None:
        regions = self._context.selector.regions
        unreachable = (
            attempt.sent_ms is None or attempt.refusal_reason == _VM_STOPPING
        )
        if destination.vm_id is not None and unreachable:
            regions.note_unreachable(destination.vm_id)
        elif destination.record is None:
            refused = self._exclusions.regions | {destination.region}
            self._exclusions = Exclusions(self._exclusions.endpoints, refused)
            if not self._quarantined:
                regions.note_refusal(self._plan, destination.region)
        else:
            endpoints = self._exclusions.endpoints | {
                destination.record.endpoint_id
            }
            self._exclusions = Exclusions(endpoints, self._exclusions.regions)

    async def _handle_response(
        self, attempt: Attempt, opened: OpenedResponse
    ) -> AttemptEnd | None:
        self._plan.headers_received_ms = self._context.clock.now_ms()
        self._plan.framing = opened.head.framing
        note_statements(self._context, attempt, opened.metadata)
        note_region_report(self._context, self._plan, attempt, opened.head)
        if opened.kind is ResponseKind.RESULT:
            return await self._handle_result(attempt, opened)
        if opened.kind is ResponseKind.FAILURE:
            return await self._handle_failure(attempt, opened)
        if (
            opened.kind is ResponseKind.MISDIRECTED
            and attempt.destination.record
        ):
            self._context.endpoint_sync.drop_endpoint(
                attempt.destination.record.endpoint_id, 'misdirected'
            )
        if opened.kind is ResponseKind.REGION_REFUSED:
            reason = opened.head.header(REASON_HEADER.lower())
            attempt.refusal_reason = reason or b''
            self._quarantined = reason == _REQUEST_QUARANTINED
            value = opened.head.header(RETRY_HEADER.lower())
            self._retry_after_ms = parse_number(value)
        body = await read_body(opened, self._context.pool.buffers)
        if isinstance(body, ResponseBody) and body.complete:
            attempt.mark_complete()
        return _END_BY_KIND[opened.kind]

    async def _handle_result(
        self, attempt: Attempt, opened: OpenedResponse
    ) -> AttemptEnd | None:
        if self._plan.metadata.streaming:
            await self._stream_response(attempt, opened, b'')
            return None
        body = await read_body(opened, self._context.pool.buffers)
        attempt.mark_prefilled()
        if isinstance(body, ResponseLoss):
            attempt.loss = body
            return AttemptEnd.LOST
        self._context.crashes.note_answer(attempt, self._plan.metadata.traits)
        await self._send_response(attempt, opened, body)
        return None

    async def _handle_failure(
        self, attempt: Attempt, opened: OpenedResponse
    ) -> AttemptEnd | None:
        body = await read_body(opened, self._context.pool.buffers)
        if isinstance(body, ResponseLoss):
            attempt.loss = body
            return AttemptEnd.LOST
        if body.complete and self._may_retry_failure(opened.head):
            self._plan.attempts.sent += 1
            self._log('repeat_failure', status=opened.head.status)
            retry_ended = await self._attempt_again()
            if retry_ended is None:
                attempt.mark_complete()
                return None
        await self._send_response(attempt, opened, body)
        return None

    async def _send_response(
        self, attempt: Attempt, opened: OpenedResponse, body: ResponseBody
    ) -> None:
        """Send a complete body, or stream on after the part already read."""
        if body.complete:
            attempt.mark_complete()
            head = opened.head
            length = len(body.content)
            if self._call.request.method == HEAD:
                length = head.length or 0
            self._call.start(
                head.status,
                head.reason,
                response_headers(self._context, self._plan, head),
                length,
            )
            self._call.write(body.content)
            self._call.finish()
        else:
            await self._stream_response(attempt, opened, body.content)

    def _may_retry_failure(self, head: ResponseHead) -> bool:
        """Return whether to retry after a server error of the endpoint."""
        attempts = self._plan.attempts
        attempts_left = attempts.sent + 1 < attempts.max_attempts
        if head.status < _SERVER_ERROR or not (
            attempts.repeatable and attempts_left
        ):
            return False
        if self._plan.forwarded:
            return False
        return self._context.retry_budget.take(self._service.name)

    async def _attempt_again(self) -> AttemptEnd | None:
        selected = await self._select()
        if selected.is_error():
            return AttemptEnd.FAILED
        return await self._attempt(selected.ok)

    async def _stream_response(
        self, attempt: Attempt, opened: OpenedResponse, first: bytes
    ) -> None:
        """Stream the body; reset the caller's connection if it ends early."""
        head = opened.head
        self._call.start(
            head.status,
            head.reason,
            response_headers(self._context, self._plan, head),
            head.length,
        )
        self._call.write(first)
        received_bytes = len(first)
        while True:
            block = await opened.connection.read_block()
            if isinstance(block, ResponseLoss):
                attempt.loss = block
                self._log(
                    'stream_broken',
                    reason=block.value,
                    framing=head.framing.value,
                    address=attempt.destination.address,
                    received_bytes=received_bytes,
                    took_ms=attempt.took_ms,
                    parts=self._plan.metadata.part_ids,
                )
                self._plan.abort_reason = 'stream_broken'
                self._call.abort()
                return
            attempt.mark_prefilled()
            if not block:
                break
            received_bytes += len(block)
            if opened.connection.event_ended:
                # An endpoint that crashes on a prompt may send a part of the
                # first event.
                self._context.crashes.note_answer(
                    attempt, self._plan.metadata.traits
                )
            self._call.write(block)
            await self._call.drain()
        if received_bytes:
            self._context.crashes.note_answer(
                attempt, self._plan.metadata.traits
            )
        attempt.mark_complete()
        self._call.finish()

    def _log(self, event: str, **fields: object) -> None:
        self._context.log.record(
            event, request=self._plan.metadata.request_id, **fields
        )
