"""Make one attempt to get a call answered by an endpoint."""

import asyncio
import enum

import aiohttp
import msgspec
from baobabwharf_core.announcements import EXECUTED_HEADER, REQUEST_ID_HEADER
from baobabwharf_core.clock import Clock
from baobabwharf_core.refusals import Executed, Refusal, RefusalCode
from baobabwharf_core.requests import AttemptOutcome

from baobabwharf_daemon.forwarding.endpoint_client import (
    Attempt,
    EndpointClient,
    SendFault,
)
from baobabwharf_daemon.forwarding.event_stream_parser import (
    EventStreamParser,
    read_whole,
)
from baobabwharf_daemon.forwarding.response_relay import (
    UPSTREAM_FAULTS,
    Relayed,
    answer_headers,
    is_event_stream,
    length_is_known,
    read_body,
    relay_events,
    relay_large,
)
from baobabwharf_daemon.gateway.calls import Call, Progress, Sink
from baobabwharf_daemon.gateway.records import RequestRecord

_SERVER_ERROR_STATUS = 500
_OK_STATUS = 200
_MS_PER_S = 1000


class Verdict(enum.Enum):
    """Tell how an attempt ended."""

    ANSWERED = 'answered'
    FAILED = 'failed'


class Ended(msgspec.Struct, frozen=True):
    """Hold the end of an attempt and the refusal if it failed."""

    verdict: Verdict
    outcome: AttemptOutcome
    refusal: Refusal | None = None


class AttemptRun:
    """Send one call to one endpoint and pass its answer on."""

    def __init__(
        self,
        client: EndpointClient,
        clock: Clock,
        call: Call,
        attempt: Attempt,
        progress: Progress,
    ) -> None:
        self._client = client
        self._clock = clock
        self._call = call
        self._attempt = attempt
        self._progress = progress
        self._first_ms: int | None = None
        self._start_ms = clock.now_ms()
        self._tokens_before = progress.tokens

    async def run(self, sink: Sink, record: RequestRecord) -> Ended:
        """Run the attempt; a cancelled one stops the engine."""
        before = self._progress.sent
        self._progress.sent = True
        try:
            return await self._exchange(sink, record, before)
        except asyncio.CancelledError:
            self._client.cancel(self._attempt)
            raise

    async def _exchange(
        self, sink: Sink, record: RequestRecord, sent_before: bool
    ) -> Ended:
        sent = await self._client.send(self._call, self._attempt)
        if isinstance(sent, SendFault):
            self._progress.sent = sent_before or sent.sent
            return self._fault(sent)
        response = sent
        try:
            return await self._receive(response, sink, record, sent_before)
        finally:
            # A connection whose answer was not read to its end is dropped.
            response.close()

    def outcome(self, succeeded: bool, sent: bool = True) -> AttemptOutcome:
        """Return what the router learns from the attempt."""
        return AttemptOutcome(
            endpoint_id=self._attempt.choice.endpoint_id,
            succeeded=succeeded,
            sent=sent,
            first_token_ms=self._first_ms,
            total_ms=self._clock.now_ms() - self._start_ms,
            output_tokens=self._progress.tokens - self._tokens_before,
        )

    def _fault(self, fault: SendFault) -> Ended:
        if fault.code is RefusalCode.ENDPOINT_TIMEOUT:
            self._client.cancel(self._attempt)
        return self._failed(fault.code, fault.detail, fault.sent)

    def _failed(
        self, code: RefusalCode, detail: str, sent: bool = True
    ) -> Ended:
        executed = Executed.UNKNOWN if sent else Executed.NO
        return Ended(
            Verdict.FAILED,
            self.outcome(False, sent),
            Refusal(code, executed, detail=detail),
        )

    def _answered(self) -> Ended:
        self._progress.complete = True
        return Ended(Verdict.ANSWERED, self.outcome(True))

    async def _receive(
        self,
        response: aiohttp.ClientResponse,
        sink: Sink,
        record: RequestRecord,
        sent_before: bool,
    ) -> Ended:
        headers = response.headers
        if headers.get(REQUEST_ID_HEADER) != self._attempt.attempt_id:
            return self._failed(RefusalCode.ANSWER_MISMATCH, '')
        not_run = headers.get(EXECUTED_HEADER, '').lower() == 'no'
        if not_run and response.status >= 400:
            self._progress.sent = sent_before
            return self._failed(
                RefusalCode.ENDPOINT_FAILED, 'It did not run the call.', False
            )
        if response.status >= _SERVER_ERROR_STATUS and (
            self._call.facts.repeatable
        ):
            detail = f'It answered with status {response.status}.'
            return self._failed(RefusalCode.ENDPOINT_FAILED, detail)
        if response.status == _OK_STATUS and self._streams(response):
            return await self._stream(response, sink, record)
        return await self._whole(response, sink)

    def _streams(self, response: aiohttp.ClientResponse) -> bool:
        return self._call.completion and is_event_stream(response)

    async def _stream(
        self,
        response: aiohttp.ClientResponse,
        sink: Sink,
        record: RequestRecord,
    ) -> Ended:
        if not sink.began:
            await sink.begin(response.status, self._headers(response))
        record.step('first_token')
        self._first_ms = self._clock.now_ms() - self._start_ms
        events = EventStreamParser(
            self._attempt.attempt_id, self._call.facts.request_id
        )
        relayed = await relay_events(
            response, events, sink, self._progress, self._left_s()
        )
        if events.usage is not None:
            self._progress.prompt_tokens = events.usage.prompt_tokens
        if relayed.complete:
            return self._answered()
        self._client.cancel(self._attempt)
        return self._broken(relayed)

    def _broken(self, relayed: Relayed) -> Ended:
        if relayed.mismatch:
            return self._failed(RefusalCode.ANSWER_MISMATCH, '')
        if relayed.timed_out:
            return self._failed(RefusalCode.ENDPOINT_TIMEOUT, relayed.detail)
        return self._failed(RefusalCode.ENDPOINT_FAILED, relayed.detail)

    async def _whole(
        self, response: aiohttp.ClientResponse, sink: Sink
    ) -> Ended:
        if not length_is_known(response):
            return self._failed(
                RefusalCode.ENDPOINT_FAILED, 'The length is not stated.'
            )
        headers = self._headers(response)
        if is_event_stream(response):
            return await self._large(response, b'', headers, sink)
        try:
            body = await read_body(response, self._left_s())
        except TimeoutError:
            self._client.cancel(self._attempt)
            return self._failed(RefusalCode.ENDPOINT_TIMEOUT, '')
        except UPSTREAM_FAULTS as fault:
            return self._failed(
                RefusalCode.ENDPOINT_FAILED, type(fault).__name__
            )
        if not body.complete:
            return await self._large(response, body.content, headers, sink)
        if self._call.completion and not self._counted(body.content):
            return self._failed(RefusalCode.ANSWER_MISMATCH, '')
        await sink.answer(response.status, headers, body.content)
        return self._answered()

    async def _large(
        self,
        response: aiohttp.ClientResponse,
        head: bytes,
        headers: dict[str, str],
        sink: Sink,
    ) -> Ended:
        relayed = await relay_large(response, head, headers, sink)
        if relayed.complete:
            return self._answered()
        return self._broken(relayed)

    def _left_s(self) -> float:
        elapsed_ms = self._clock.now_ms() - self._start_ms
        return max(0, self._attempt.time_left_ms - elapsed_ms) / _MS_PER_S

    def _counted(self, body: bytes) -> bool:
        usage = read_whole(body, self._attempt.attempt_id)
        if usage is None:
            return False
        self._progress.tokens = usage.completion_tokens
        self._progress.prompt_tokens = usage.prompt_tokens
        return True

    def _headers(self, response: aiohttp.ClientResponse) -> dict[str, str]:
        request_id = self._call.facts.request_id
        if self._call.completion:
            content_type = response.headers.get('Content-Type', '')
            headers = {'Content-Type': content_type}
        else:
            headers = answer_headers(response.headers)
        headers[REQUEST_ID_HEADER] = request_id
        return headers
