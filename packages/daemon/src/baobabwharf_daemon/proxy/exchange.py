"""Serve one request: attempt it until it is answered or refused."""

import asyncio
from typing import final

from baobabwharf_core.deployment import DeployedService
from baobabwharf_core.refusals import Executed, Refusal, RefusalCode
from baobabwharf_decisions.proxying.attempt_outcomes import AttemptEnd
from baobabwharf_decisions.proxying.endpoint_load import EndpointLoad

from baobabwharf_daemon.metrics import ATTEMPTS
from baobabwharf_daemon.proxy.attempt import (
    HEAD,
    RETRY_HEADER,
    Attempt,
    Body,
    Opened,
    ReplyKind,
    read_rest,
)
from baobabwharf_daemon.proxy.call import Call
from baobabwharf_daemon.proxy.messages import Header, ReplyHead, end_to_end
from baobabwharf_daemon.proxy.placer import Avoided, Place
from baobabwharf_daemon.proxy.plan import Plan
from baobabwharf_daemon.proxy.reply_reader import Lost
from baobabwharf_daemon.proxy.tools import Tools

# Answers up to that size are passed on only once they are whole, so that a
# cut one can be repeated or refused; larger ones are relayed as they arrive.
_WHOLE_BYTES = 262_144
_SERVER_ERROR = 500
_INTERNAL_PREFIX = b'baobabwharf-'

_BY_KIND = {
    ReplyKind.NOT_EXECUTED: AttemptEnd.NOT_EXECUTED,
    ReplyKind.MISDIRECTED: AttemptEnd.NOT_EXECUTED,
    ReplyKind.REGION_REFUSED: AttemptEnd.NOT_SENT,
    ReplyKind.UNUSABLE: AttemptEnd.LOST,
}


@final
class Exchange:
    """Serve one planned request; the outcome is None once answered."""

    def __init__(
        self, tools: Tools, call: Call, plan: Plan, service: DeployedService
    ) -> None:
        self._tools = tools
        self._call = call
        self._plan = plan
        self._service = service
        self._avoided = Avoided()
        self._retry_after_ms: int | None = None

    async def run(self) -> Refusal | None:
        """Return None when the caller has its answer, else a refusal."""
        left_ms = self._plan.deadline_ms - self._tools.clock.now_ms()
        try:
            async with asyncio.timeout(max(0, left_ms) / 1000):
                return await self._attempt_all()
        except TimeoutError:
            return self._timed_out()

    def _timed_out(self) -> Refusal | None:
        self._log('deadline_reached', started=self._call.started)
        if self._call.started:
            self._plan.cut = 'deadline_reached'
            self._call.abort()
            return None
        if self._plan.sends.may_have_run:
            return Refusal(RefusalCode.ENDPOINT_TIMEOUT, Executed.UNKNOWN)
        return Refusal(RefusalCode.DEADLINE_UNREACHABLE)

    async def _attempt_all(self) -> Refusal | None:
        while True:
            placed = self._tools.placer.place(
                self._plan, self._service, self._avoided
            )
            if placed.is_error() and self._plan.sends.may_have_run:
                return Refusal(RefusalCode.ENDPOINT_FAILED, Executed.UNKNOWN)
            if placed.is_error():
                return placed.error
            ended = await self._attempt(placed.ok)
            if ended is None:
                return None
            self._plan.sends.note(ended)
            if not self._may_repeat(ended):
                return self._plan.sends.refusal(ended, self._retry_after_ms)

    def _may_repeat(self, ended: AttemptEnd) -> bool:
        if not self._plan.sends.may_retry(ended):
            return False
        if ended is AttemptEnd.NOT_SENT:
            return True
        granted = self._tools.retries.take(self._service.name)
        self._log('repeat', ended=ended.value, granted=granted)
        return granted

    async def _attempt(self, place: Place) -> AttemptEnd | None:
        load = self._load_of(place)
        self._log_place(place, load)
        if place.record is not None:
            self._tools.placer.note_sent(place.record)
        attempt = Attempt(
            self._tools.pool,
            self._tools.dialect,
            self._tools.clock,
            place,
            load,
        )
        # An attempt that is cut short by the deadline may have run.
        before = self._plan.sends.may_have_run
        self._plan.sends.may_have_run = True
        try:
            opened = await attempt.open(self._call.request, self._plan)
            if isinstance(opened, Opened):
                ended = await self._take_reply(attempt, opened)
            else:
                ended = opened
        finally:
            attempt.close()
        self._plan.sends.may_have_run = before
        self._learn(place, load, ended, attempt)
        return ended

    def _log_place(self, place: Place, load: EndpointLoad | None) -> None:
        now_ms = self._tools.clock.now_ms()
        self._log(
            'placed',
            region=place.region,
            address=place.address,
            forwarded=self._plan.forwarded,
            unread_tokens=None if load is None else load.total_pending_tokens,
            running=None if load is None else load.total_running,
            told_age_ms=None if load is None else load.told_age_ms(now_ms),
            reported=None if load is None else load.reported(now_ms),
            left_ms=self._plan.deadline_ms - now_ms,
        )

    def _load_of(self, place: Place) -> EndpointLoad | None:
        if place.record is None:
            return None
        return self._tools.placer.loads.load(place.record)

    def _learn(
        self,
        place: Place,
        load: EndpointLoad | None,
        ended: AttemptEnd | None,
        attempt: Attempt,
    ) -> None:
        now_ms = self._tools.clock.now_ms()
        failed = ended in {
            AttemptEnd.NOT_SENT,
            AttemptEnd.LOST,
            AttemptEnd.FAILED,
        }
        if load is not None and ended is not AttemptEnd.NOT_EXECUTED:
            load.note_outcome(failed)
        if ended is not None:
            self._exclude(place, attempt)
            ATTEMPTS.inc({'ended': ended.value})
            self._log(
                'attempt_ended',
                ended=ended.value,
                address=place.address,
                region=place.region,
                reused=attempt.reused,
                took_ms=now_ms - (attempt.sent_ms or now_ms),
            )
        if ended is AttemptEnd.NOT_SENT and load is not None:
            load.rest(now_ms)
            self._tools.pool.drop(place.address)

    def _exclude(self, place: Place, attempt: Attempt) -> None:
        regions = self._tools.placer.regions
        if place.vm_id is not None and attempt.sent_ms is None:
            regions.note_unreachable(place.vm_id)
        elif place.record is None:
            refused = self._avoided.regions | {place.region}
            self._avoided = Avoided(self._avoided.endpoints, refused)
            regions.note_refusal(self._plan, place.region)
        else:
            endpoints = self._avoided.endpoints | {place.record.endpoint_id}
            self._avoided = Avoided(endpoints, self._avoided.regions)

    async def _take_reply(
        self, attempt: Attempt, opened: Opened
    ) -> AttemptEnd | None:
        self._plan.first_ms = self._tools.clock.now_ms()
        load = self._load_of(attempt.place)
        if load is not None and opened.facts.load is not None:
            load.note_sample(opened.facts.load, self._tools.clock.now_ms())
        if opened.kind is ReplyKind.RESULT:
            return await self._take_result(attempt, opened)
        if opened.kind is ReplyKind.FAILURE:
            return await self._take_failure(attempt, opened)
        if opened.kind is ReplyKind.MISDIRECTED and attempt.place.record:
            self._tools.sync.forget(
                attempt.place.record.endpoint_id, 'misdirected'
            )
        if opened.kind is ReplyKind.REGION_REFUSED:
            stated = opened.head.header(RETRY_HEADER.lower())
            self._retry_after_ms = int(stated) if stated else None
        rest = await read_rest(opened, _WHOLE_BYTES)
        if isinstance(rest, Body) and rest.whole:
            attempt.whole()
        return _BY_KIND[opened.kind]

    async def _take_result(
        self, attempt: Attempt, opened: Opened
    ) -> AttemptEnd | None:
        if self._plan.facts.streaming:
            await self._relay(attempt, opened, b'')
            return None
        body = await read_rest(opened, _WHOLE_BYTES)
        attempt.prompt_read()
        if isinstance(body, Lost):
            return AttemptEnd.LOST
        await self._pass_on(attempt, opened, body)
        return None

    async def _take_failure(
        self, attempt: Attempt, opened: Opened
    ) -> AttemptEnd | None:
        body = await read_rest(opened, _WHOLE_BYTES)
        if isinstance(body, Lost):
            return AttemptEnd.LOST
        if body.whole and self._may_repeat_failure(opened.head):
            self._plan.sends.sent += 1
            self._log('repeat_failure', status=opened.head.status)
            second = await self._attempt_second()
            if second is None:
                attempt.whole()
                return None
        await self._pass_on(attempt, opened, body)
        return None

    async def _pass_on(
        self, attempt: Attempt, opened: Opened, body: Body
    ) -> None:
        """Answer with a whole body, or begin with what was read of it."""
        if body.whole:
            attempt.whole()
            head = opened.head
            length = len(body.content)
            if self._call.request.method == HEAD:
                length = head.length or 0
            self._call.start(head.status, head.reason, _passed_on(head), length)
            self._call.write(body.content)
            self._call.finish()
        else:
            await self._relay(attempt, opened, body.content)

    def _may_repeat_failure(self, head: ReplyHead) -> bool:
        """Tell whether the endpoint's failure may be replaced by a result."""
        sends = self._plan.sends
        left = sends.sent + 1 < sends.max_attempts
        if head.status < _SERVER_ERROR or not (sends.repeatable and left):
            return False
        if self._plan.forwarded:
            return False
        return self._tools.retries.take(self._service.name)

    async def _attempt_second(self) -> AttemptEnd | None:
        placed = self._tools.placer.place(
            self._plan, self._service, self._avoided
        )
        if placed.is_error():
            return AttemptEnd.FAILED
        return await self._attempt(placed.ok)

    async def _relay(
        self, attempt: Attempt, opened: Opened, first: bytes
    ) -> None:
        """Pass blocks on as they arrive; a cut reply is cut for the caller."""
        head = opened.head
        self._call.start(
            head.status, head.reason, _passed_on(head), head.length
        )
        self._call.write(first)
        while True:
            block = await opened.connection.block()
            attempt.prompt_read()
            if isinstance(block, Lost):
                self._log('stream_broken', reason=block.value)
                self._plan.cut = 'stream_broken'
                self._call.abort()
                return
            if not block:
                break
            self._call.write(block)
            await self._call.drain()
        attempt.whole()
        self._call.finish()

    def _log(self, event: str, **fields: object) -> None:
        self._tools.log.record(
            event, request=self._plan.facts.request_id, **fields
        )


def _passed_on(head: ReplyHead) -> list[Header]:
    return [
        pair
        for pair in end_to_end(head.headers)
        if not pair[0].lower().startswith(_INTERNAL_PREFIX)
    ]
