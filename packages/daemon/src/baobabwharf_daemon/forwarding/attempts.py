"""Run a single attempt of a call against one endpoint."""

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
    SendFailure,
)
from baobabwharf_daemon.forwarding.event_stream_parser import (
    EventStreamParser,
    read_usage,
)
from baobabwharf_daemon.forwarding.response_relay import (
    UPSTREAM_ERRORS,
    RelayResult,
    caller_visible_headers,
    can_detect_truncation,
    is_event_stream,
    read_body,
    relay_events,
    relay_large,
)
from baobabwharf_daemon.gateway.calls import Call, Progress, ResponseWriter
from baobabwharf_daemon.gateway.request_records import RequestRecord

_SERVER_ERROR_STATUS = 500
_OK_STATUS = 200
_MS_PER_S = 1000


class AttemptStatus(enum.Enum):
    """Report whether an attempt produced a response for the caller."""

    ANSWERED = 'answered'
    FAILED = 'failed'


class AttemptResult(msgspec.Struct, frozen=True):
    """Describe the result of an attempt, with the refusal if it failed."""

    status: AttemptStatus
    outcome: AttemptOutcome
    refusal: Refusal | None = None


class AttemptRunner:
    """Send a call to an endpoint and relay the response to the caller."""

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

    async def run(
        self, writer: ResponseWriter, record: RequestRecord
    ) -> AttemptResult:
        """Run the attempt; on cancellation, cancel it at the engine too."""
        sent_before = self._progress.sent
        self._progress.sent = True
        try:
            return await self._exchange(writer, record, sent_before)
        except asyncio.CancelledError:
            self._client.cancel(self._attempt)
            raise

    async def _exchange(
        self, writer: ResponseWriter, record: RequestRecord, sent_before: bool
    ) -> AttemptResult:
        send_result = await self._client.send(self._call, self._attempt)
        if isinstance(send_result, SendFailure):
            self._progress.sent = sent_before or send_result.sent
            return self._from_send_failure(send_result)
        response = send_result
        try:
            return await self._receive(response, writer, record, sent_before)
        finally:
            # Closes the connection unless the response was read to its end.
            response.close()

    def outcome(self, succeeded: bool, sent: bool = True) -> AttemptOutcome:
        """Return the outcome of the attempt for the router."""
        return AttemptOutcome(
            endpoint_id=self._attempt.choice.endpoint_id,
            succeeded=succeeded,
            sent=sent,
            first_token_ms=self._first_ms,
            total_ms=self._clock.now_ms() - self._start_ms,
            output_tokens=self._progress.tokens - self._tokens_before,
        )

    def _from_send_failure(self, failure: SendFailure) -> AttemptResult:
        if failure.code is RefusalCode.ENDPOINT_TIMEOUT:
            self._client.cancel(self._attempt)
        return self._failure(failure.code, failure.detail, failure.sent)

    def _failure(
        self, code: RefusalCode, detail: str, sent: bool = True
    ) -> AttemptResult:
        executed = Executed.UNKNOWN if sent else Executed.NO
        return AttemptResult(
            AttemptStatus.FAILED,
            self.outcome(False, sent),
            Refusal(code, executed, detail=detail),
        )

    def _success(self) -> AttemptResult:
        self._progress.complete = True
        return AttemptResult(AttemptStatus.ANSWERED, self.outcome(True))

    async def _receive(
        self,
        response: aiohttp.ClientResponse,
        writer: ResponseWriter,
        record: RequestRecord,
        sent_before: bool,
    ) -> AttemptResult:
        headers = response.headers
        if headers.get(REQUEST_ID_HEADER) != self._attempt.attempt_id:
            return self._failure(RefusalCode.ANSWER_MISMATCH, '')
        not_executed = headers.get(EXECUTED_HEADER, '').lower() == 'no'
        if not_executed and response.status >= 400:
            self._progress.sent = sent_before
            return self._failure(
                RefusalCode.ENDPOINT_FAILED, 'It did not run the call.', False
            )
        if response.status >= _SERVER_ERROR_STATUS and (
            self._call.attributes.repeatable
        ):
            detail = f'It answered with status {response.status}.'
            return self._failure(RefusalCode.ENDPOINT_FAILED, detail)
        if response.status == _OK_STATUS and self._is_streamed_completion(
            response
        ):
            return await self._relay_stream(response, writer, record)
        if writer.headers_sent:
            # Only a stream can continue the one that an earlier attempt began.
            detail = f'It did not resume the stream: {response.status}.'
            return self._failure(RefusalCode.ENDPOINT_FAILED, detail)
        return await self._relay_whole(response, writer)

    def _is_streamed_completion(self, response: aiohttp.ClientResponse) -> bool:
        return self._call.completion and is_event_stream(response)

    async def _relay_stream(
        self,
        response: aiohttp.ClientResponse,
        writer: ResponseWriter,
        record: RequestRecord,
    ) -> AttemptResult:
        if not writer.headers_sent:
            await writer.start_stream(
                response.status, self._caller_headers(response)
            )
        record.step('first_token')
        self._first_ms = self._clock.now_ms() - self._start_ms
        events = EventStreamParser(
            self._attempt.attempt_id, self._call.attributes.request_id
        )
        result = await relay_events(
            response, events, writer, self._progress, self._time_left_s()
        )
        if events.usage is not None:
            self._progress.prompt_tokens = events.usage.prompt_tokens
        if result.complete:
            return self._success()
        self._client.cancel(self._attempt)
        return self._relay_failure(result)

    def _relay_failure(self, result: RelayResult) -> AttemptResult:
        if result.mismatch:
            return self._failure(RefusalCode.ANSWER_MISMATCH, '')
        if result.timed_out:
            return self._failure(RefusalCode.ENDPOINT_TIMEOUT, result.detail)
        return self._failure(RefusalCode.ENDPOINT_FAILED, result.detail)

    async def _relay_whole(
        self, response: aiohttp.ClientResponse, writer: ResponseWriter
    ) -> AttemptResult:
        if not can_detect_truncation(response):
            return self._failure(
                RefusalCode.ENDPOINT_FAILED, 'The length is not stated.'
            )
        headers = self._caller_headers(response)
        if is_event_stream(response):
            return await self._relay_large(response, b'', headers, writer)
        try:
            body = await read_body(response, self._time_left_s())
        except TimeoutError:
            self._client.cancel(self._attempt)
            return self._failure(RefusalCode.ENDPOINT_TIMEOUT, '')
        except UPSTREAM_ERRORS as error:
            return self._failure(
                RefusalCode.ENDPOINT_FAILED, type(error).__name__
            )
        if not body.complete:
            return await self._relay_large(
                response, body.content, headers, writer
            )
        if self._call.completion and not self._record_usage(body.content):
            return self._failure(RefusalCode.ANSWER_MISMATCH, '')
        await writer.send_response(response.status, headers, body.content)
        return self._success()

    async def _relay_large(
        self,
        response: aiohttp.ClientResponse,
        head: bytes,
        headers: dict[str, str],
        writer: ResponseWriter,
    ) -> AttemptResult:
        result = await relay_large(response, head, headers, writer)
        if result.complete:
            return self._success()
        return self._relay_failure(result)

    def _time_left_s(self) -> float:
        elapsed_ms = self._clock.now_ms() - self._start_ms
        return max(0, self._attempt.time_left_ms - elapsed_ms) / _MS_PER_S

    def _record_usage(self, body: bytes) -> bool:
        usage = read_usage(body, self._attempt.attempt_id)
        if usage is None:
            return False
        self._progress.tokens = usage.completion_tokens
        self._progress.prompt_tokens = usage.prompt_tokens
        return True

    def _caller_headers(
        self, response: aiohttp.ClientResponse
    ) -> dict[str, str]:
        request_id = self._call.attributes.request_id
        if self._call.completion:
            content_type = response.headers.get('Content-Type', '')
            headers = {'Content-Type': content_type}
        else:
            headers = caller_visible_headers(response.headers)
        headers[REQUEST_ID_HEADER] = request_id
        return headers
