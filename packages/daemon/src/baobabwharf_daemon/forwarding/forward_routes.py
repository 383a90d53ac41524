"""Handle calls that VMs of other regions forward to this VM."""

import asyncio
import hmac

import msgspec
from baobabwharf_core.clock import Clock
from baobabwharf_core.ids import RegionId
from baobabwharf_core.refusals import Refusal, RefusalCode
from baobabwharf_core.requests import RequestAttributes
from sanic import HTTPResponse, Request, Sanic

from baobabwharf_daemon.forwarding.call_codec import (
    FLEET_SECRET_HEADER,
    FORWARD_PATH,
    REFUSAL_HEADER,
    decode_call,
    encode_refusal,
)
from baobabwharf_daemon.forwarding.local_executor import LocalExecutor
from baobabwharf_daemon.gateway.body_reader import BodyReader
from baobabwharf_daemon.gateway.calls import Call, Progress, ResponseWriter
from baobabwharf_daemon.gateway.current_task import current_task
from baobabwharf_daemon.gateway.drain import Drain
from baobabwharf_daemon.gateway.errors import (
    count_refusal,
    error_body,
    error_event,
    error_headers,
)
from baobabwharf_daemon.gateway.request_records import RequestRecords
from baobabwharf_daemon.gateway.running_requests import (
    RunningRequest,
    RunningRequests,
)
from baobabwharf_daemon.gateway.sanic_response import SanicResponseWriter

_UNAUTHORIZED = 401
# Counts the bodies of forwarded calls until their customer is decoded; no id of
# a customer begins like this.
_FORWARDED = '/forwarded'


class ForwardDependencies(msgspec.Struct, frozen=True):
    """Hold the dependencies of the forward route."""

    region: RegionId
    secret: str
    executor: LocalExecutor
    records: RequestRecords
    running: RunningRequests
    drain: Drain
    clock: Clock
    bodies: BodyReader


class ForwardRoutes:
    """Execute or refuse forwarded calls; never forward them again."""

    def __init__(self, dependencies: ForwardDependencies) -> None:
        self._region = dependencies.region
        self._secret = dependencies.secret.encode()
        self._executor = dependencies.executor
        self._records = dependencies.records
        self._running = dependencies.running
        self._drain = dependencies.drain
        self._clock = dependencies.clock
        self._bodies = dependencies.bodies

    def add_to(self, app: Sanic) -> None:
        """Register the route with the app of the forward listener."""

        # sanic sets an attribute on streaming handlers; bound methods do not
        # allow that.
        async def handle(request: Request) -> HTTPResponse | None:
            # A drain waits for calls whose body is still being read, too.
            self._running.enter()
            try:
                return await self._handle(request)
            finally:
                self._running.leave()

        app.add_route(handle, FORWARD_PATH, methods=['POST'], stream=True)

    async def _handle(self, request: Request) -> HTTPResponse | None:
        secret = request.headers.get(FLEET_SECRET_HEADER, '').encode()
        writer = SanicResponseWriter(request)
        if not hmac.compare_digest(secret, self._secret):
            writer.close_if_unread()
            return HTTPResponse(status=_UNAUTHORIZED)
        with self._bodies.hold(request, _FORWARDED) as holding:
            call = await self._bodies.read(request, holding, _decode)
            if isinstance(call, Refusal):
                await _refuse(call, writer, '', streaming=False)
                writer.close_if_unread()
                return None
            holding.identify(call.attributes.customer_id)
            await self._run(call, writer)
        return None

    async def _run(self, call: Call, writer: ResponseWriter) -> None:
        progress = Progress()
        task = current_task()
        deadline_at_ms = self._clock.now_ms() + call.attributes.deadline_ms
        running = RunningRequest(b'', task, deadline_at_ms, progress)
        self._running.add(running)
        try:
            await self._respond(call, writer, progress)
        except asyncio.CancelledError:
            if running.cancel_refusal is None:
                raise
            task.uncancel()
            await _refuse(
                msgspec.structs.replace(
                    running.cancel_refusal, executed=running.executed
                ),
                writer,
                call.attributes.request_id,
                streaming=call.attributes.streaming,
            )
        finally:
            self._running.remove(running)

    async def _respond(
        self, call: Call, writer: ResponseWriter, progress: Progress
    ) -> None:
        attributes = call.attributes
        refusal = self._check_acceptance(attributes)
        if refusal is None:
            record = self._records.open(attributes.request_id)
            record.note(f'Forwarded by VM {attributes.origin_vm}.')
            for event in ('authenticate', 'reserve', 'queue'):
                record.step(event)
            outcome = await self._executor.execute(
                call, writer, record, progress
            )
            if outcome.is_ok():
                record.end('answered')
                return
            refusal = outcome.error
            record.end('fail' if writer.headers_sent else 'refuse')
        await _refuse(
            refusal,
            writer,
            attributes.request_id,
            streaming=attributes.streaming,
        )

    def _check_acceptance(
        self, attributes: RequestAttributes
    ) -> Refusal | None:
        if self._drain.stopping:
            return Refusal(RefusalCode.VM_STOPPING)
        if attributes.hop != 1:
            return Refusal(RefusalCode.HOP_LIMIT)
        if attributes.residency and self._region not in attributes.residency:
            return Refusal(RefusalCode.RESIDENCY_CONFLICT)
        return None


def _decode(body: bytes) -> Call | Refusal:
    decoded = decode_call(body)
    if decoded.is_error():
        return Refusal(RefusalCode.INVALID_REQUEST, detail=decoded.error)
    return decoded.ok


async def _refuse(
    refusal: Refusal,
    writer: ResponseWriter,
    request_id: str,
    *,
    streaming: bool,
) -> None:
    count_refusal(refusal)
    if refusal.code is RefusalCode.VM_STOPPING:
        writer.close_after_response()
    if not writer.headers_sent:
        headers = error_headers(refusal, request_id)
        headers[REFUSAL_HEADER] = encode_refusal(refusal)
        await writer.send_response(
            refusal.status, headers, error_body(refusal, request_id)
        )
        return
    if streaming:
        await writer.end_stream(error_event(refusal, request_id))
        return
    writer.abort()
