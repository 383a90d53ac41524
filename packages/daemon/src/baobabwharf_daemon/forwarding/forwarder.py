"""Forward a call to a VM in another region, at most once."""

import asyncio
import ssl
from collections.abc import Mapping

import aiohttp
import msgspec
from baobabwharf_core.announcements import REQUEST_ID_HEADER
from baobabwharf_core.ids import RegionId, VmId
from baobabwharf_core.invariants import check_invariant
from baobabwharf_core.refusals import Executed, Refusal, RefusalCode
from baobabwharf_core.requests import RegionChoice
from expression import Error, Ok, Result

from baobabwharf_daemon.forwarding.call_codec import (
    FLEET_SECRET_HEADER,
    FORWARD_PATH,
    REFUSAL_HEADER,
    decode_refusal,
    encode_call,
)
from baobabwharf_daemon.forwarding.endpoint_client import create_session
from baobabwharf_daemon.forwarding.event_stream_parser import (
    EventStreamParser,
    read_usage,
)
from baobabwharf_daemon.forwarding.response_relay import (
    UPSTREAM_ERRORS,
    caller_visible_headers,
    is_event_stream,
    read_body,
    relay_events,
    relay_large,
)
from baobabwharf_daemon.gateway.calls import (
    ANSWERED,
    Call,
    Progress,
    ResponseWriter,
)
from baobabwharf_daemon.gateway.request_records import RequestRecord
from baobabwharf_daemon.metrics import FORWARDED
from baobabwharf_daemon.task import Task

# The remote VM refuses a call at the deadline; this leaves time for the
# refusal to arrive.
_REFUSAL_GRACE_MS = 1000
_MS_PER_S = 1000
_CONNECT_ERRORS = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)


class Forwarder(Task):
    """Send calls to the forward listeners of other VMs over HTTP."""

    def __init__(
        self,
        vm_id: VmId,
        region: RegionId,
        secret: str,
        tls_context: ssl.SSLContext | None,
        overrides: Mapping[str, str] | None = None,
    ) -> None:
        self._overrides = overrides or {}
        self._vm_id = vm_id
        self._region = region
        self._secret = secret
        self._tls_context = tls_context
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Open the connection pool."""
        context = self._tls_context
        self._session = create_session(True if context is None else context)

    async def stop(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()

    async def forward(
        self,
        call: Call,
        choice: RegionChoice,
        writer: ResponseWriter,
        record: RequestRecord,
        progress: Progress,
    ) -> Result[None, Refusal]:
        """Forward the call and relay its response, or return a refusal."""
        check_invariant(call.attributes.hop == 0, 'A call is forwarded twice.')
        FORWARDED.inc({'region': choice.region})
        record.note(f'Forwarded to VM {choice.vm_id}: {choice.reason}')
        progress.sent = True
        send_result = await self._send(call, choice)
        if send_result.is_error():
            progress.sent = send_result.error.executed is Executed.UNKNOWN
            return Error(send_result.error)
        response = send_result.ok
        try:
            return await _ForwardedResponse(
                call, response, writer, progress
            ).receive(record)
        finally:
            response.close()

    async def _send(
        self, call: Call, choice: RegionChoice
    ) -> Result[aiohttp.ClientResponse, Refusal]:
        assert self._session is not None
        scheme = 'https' if self._tls_context else 'http'
        registered = choice.forward_address or ''
        address = self._overrides.get(registered, registered)
        url = f'{scheme}://{address}{FORWARD_PATH}'
        try:
            async with asyncio.timeout(_timeout_s(call)):
                response = await self._session.post(
                    url,
                    data=encode_call(self._with_origin(call)),
                    headers={
                        FLEET_SECRET_HEADER: self._secret,
                        REQUEST_ID_HEADER: call.attributes.request_id,
                    },
                )
        except _CONNECT_ERRORS as error:
            return _unreachable(Executed.NO, error)
        except UPSTREAM_ERRORS as error:
            return _unreachable(Executed.UNKNOWN, error)
        return Ok(response)

    def _with_origin(self, call: Call) -> Call:
        attributes = msgspec.structs.replace(
            call.attributes,
            hop=1,
            origin_vm=self._vm_id,
            origin_region=self._region,
        )
        return msgspec.structs.replace(call, attributes=attributes)


class _ForwardedResponse:
    def __init__(
        self,
        call: Call,
        response: aiohttp.ClientResponse,
        writer: ResponseWriter,
        progress: Progress,
    ) -> None:
        self._call = call
        self._response = response
        self._writer = writer
        self._progress = progress

    async def receive(self, record: RequestRecord) -> Result[None, Refusal]:
        headers = self._response.headers
        refusal_header = headers.get(REFUSAL_HEADER)
        if refusal_header is not None:
            return self._read_refusal(refusal_header)
        if headers.get(REQUEST_ID_HEADER) != self._call.attributes.request_id:
            return _failure(RefusalCode.ANSWER_MISMATCH, '')
        if self._call.completion and is_event_stream(self._response):
            return await self._relay_stream(record)
        return await self._relay_whole()

    def _read_refusal(self, header: str) -> Result[None, Refusal]:
        refusal = decode_refusal(header)
        if refusal is None:
            return _failure(RefusalCode.REGION_UNREACHABLE, 'Bad refusal.')
        self._progress.sent = refusal.executed is Executed.UNKNOWN
        return Error(refusal)

    async def _relay_stream(
        self, record: RequestRecord
    ) -> Result[None, Refusal]:
        await self._writer.start_stream(
            self._response.status, self._caller_headers()
        )
        record.step('first_token')
        events = EventStreamParser(self._call.attributes.request_id)
        result = await relay_events(
            self._response,
            events,
            self._writer,
            self._progress,
            _timeout_s(self._call),
        )
        if events.usage is not None:
            self._progress.prompt_tokens = events.usage.prompt_tokens
        if not result.complete:
            return _failure(RefusalCode.STREAM_BROKEN, result.detail)
        self._progress.complete = True
        return ANSWERED

    async def _relay_whole(self) -> Result[None, Refusal]:
        headers = self._caller_headers()
        if is_event_stream(self._response):
            return await self._relay_large(b'', headers)
        try:
            body = await read_body(self._response, _timeout_s(self._call))
        except UPSTREAM_ERRORS as error:
            return _failure(
                RefusalCode.REGION_UNREACHABLE, type(error).__name__
            )
        if not body.complete:
            return await self._relay_large(body.content, headers)
        self._record_usage(body.content)
        await self._writer.send_response(
            self._response.status, headers, body.content
        )
        self._progress.complete = True
        return ANSWERED

    async def _relay_large(
        self, head: bytes, headers: dict[str, str]
    ) -> Result[None, Refusal]:
        result = await relay_large(self._response, head, headers, self._writer)
        self._progress.complete = result.complete
        if result.complete:
            return ANSWERED
        return _failure(RefusalCode.STREAM_BROKEN, result.detail)

    def _record_usage(self, body: bytes) -> None:
        if self._call.completion:
            usage = read_usage(body, '')
            assert usage is not None
            self._progress.tokens = usage.completion_tokens
            self._progress.prompt_tokens = usage.prompt_tokens

    def _caller_headers(self) -> dict[str, str]:
        headers = caller_visible_headers(self._response.headers)
        headers[REQUEST_ID_HEADER] = self._call.attributes.request_id
        return headers


def _timeout_s(call: Call) -> float:
    return (call.attributes.deadline_ms + _REFUSAL_GRACE_MS) / _MS_PER_S


def _unreachable(
    executed: Executed, error: BaseException
) -> Result[aiohttp.ClientResponse, Refusal]:
    code = RefusalCode.REGION_UNREACHABLE
    if executed is Executed.UNKNOWN and isinstance(error, asyncio.TimeoutError):
        code = RefusalCode.ENDPOINT_TIMEOUT
    return Error(Refusal(code, executed, detail=type(error).__name__))


def _failure(code: RefusalCode, detail: str) -> Result[None, Refusal]:
    return Error(Refusal(code, Executed.UNKNOWN, detail=detail))
