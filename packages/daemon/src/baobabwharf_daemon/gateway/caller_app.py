"""Route what callers send to the caller listener."""

from collections.abc import Awaitable

import msgspec
from baobabwharf_core.model import RouteRule
from baobabwharf_core.refusals import Refusal, RefusalCode
from sanic import HTTPResponse, Request, Sanic

from baobabwharf_daemon.gateway.auth import Caller, KeyIndex
from baobabwharf_daemon.gateway.body import BodyReader
from baobabwharf_daemon.gateway.bookings import Bookings
from baobabwharf_daemon.gateway.calls import Call, Progress, Sink
from baobabwharf_daemon.gateway.completions import CompletionCalls
from baobabwharf_daemon.gateway.counts import metrics_page
from baobabwharf_daemon.gateway.drain import Drain
from baobabwharf_daemon.gateway.exchange import Exchange, refuse
from baobabwharf_daemon.gateway.facts import RequestIds, RouteIndex
from baobabwharf_daemon.gateway.listing import entry_vms, model_list
from baobabwharf_daemon.gateway.parse import CHAT_PATH, COMPLETIONS_PATH
from baobabwharf_daemon.gateway.pipeline import Pipeline
from baobabwharf_daemon.gateway.records import RequestRecords
from baobabwharf_daemon.gateway.running import RunningRequests
from baobabwharf_daemon.gateway.services import (
    SERVICES_PREFIX,
    ServiceCalls,
    split_path,
)
from baobabwharf_daemon.gateway.sink import SanicSink, refusal_response
from baobabwharf_daemon.interfaces import (
    ConfigSource,
    MembershipView,
    ModelCatalog,
)
from baobabwharf_daemon.settings import Settings

_METHODS = ('GET', 'POST', 'PUT', 'PATCH', 'DELETE', 'HEAD', 'OPTIONS')
_JSON = 'application/json'


class CallerParts(msgspec.Struct, frozen=True):
    """Hold what the caller listener works with."""

    settings: Settings
    source: ConfigSource
    membership: MembershipView
    catalog: ModelCatalog
    keys: KeyIndex
    routes: RouteIndex
    request_ids: RequestIds
    records: RequestRecords
    pipeline: Pipeline
    bookings: Bookings
    exchange: Exchange
    running: RunningRequests
    drain: Drain


class CallerRoutes:
    """Answer the requests of callers."""

    def __init__(self, parts: CallerParts) -> None:
        self._parts = parts
        self._bodies = BodyReader()
        self._completions = CompletionCalls(
            parts.source, parts.catalog, parts.routes, parts.request_ids
        )
        self._services = ServiceCalls(parts.source, parts.request_ids)

    def add_to(self, app: Sanic) -> None:
        """Add the routes to the caller listener."""

        # sanic marks streaming handlers, which bound methods do not allow.
        async def complete(request: Request) -> None:
            await self._tracked(self._complete(request))

        async def call_service(request: Request, target: str) -> None:
            await self._tracked(self._call_service(request))

        for path in (CHAT_PATH, COMPLETIONS_PATH):
            name = path.strip('/').replace('/', '_')
            app.add_route(
                complete, path, methods=['POST'], stream=True, name=name
            )
        app.add_route(
            call_service,
            f'{SERVICES_PREFIX}<target:path>',
            methods=list(_METHODS),
            stream=True,
        )
        app.add_route(self._models, '/v1/models')
        app.add_route(self._model, '/v1/models/<model:path>')
        app.add_route(self._entry_vms, '/v1/entry-vms')
        app.add_route(self._metrics, '/metrics')
        app.add_route(self._health, '/health')

    async def _tracked(self, work: Awaitable[None]) -> None:
        """Let a drain wait for requests that are still being read."""
        self._parts.running.enter()
        try:
            await work
        finally:
            self._parts.running.leave()

    async def _complete(self, request: Request) -> None:
        sink = SanicSink(request)
        caller = self._admit(request)
        if isinstance(caller, Refusal):
            await self._refuse(caller, sink)
            return
        body = await self._bodies.read(request)
        if isinstance(body, Refusal):
            await self._refuse(body, sink)
            sink.close_soon()
            return
        call = self._completions.build(request, request.path, body, caller)
        if isinstance(call, Refusal):
            await self._refuse(call, sink)
            return
        await self._run(call, caller.digest, sink)

    async def _call_service(self, request: Request) -> None:
        sink = SanicSink(request)
        checked = self._service_rule(request)
        if isinstance(checked, Refusal):
            await self._refuse(checked, sink)
            return
        rule, caller = checked
        body = await self._bodies.read(request)
        if isinstance(body, Refusal):
            await self._refuse(body, sink)
            sink.close_soon()
            return
        call = self._services.build(request, rule, body, caller)
        if isinstance(call, Refusal):
            await self._refuse(call, sink)
            return
        digest = caller.digest if caller else b''
        key = request.headers.get('idempotency-key')
        await self._run(call, digest, sink, key)

    def _service_rule(
        self, request: Request
    ) -> tuple[RouteRule, Caller | None] | Refusal:
        refusal = self._ready()
        if refusal is not None:
            return refusal
        service, path = split_path(request)
        rule = self._parts.routes.find(self._parts.source.config, service, path)
        if rule is None:
            return Refusal(RefusalCode.SERVICE_UNKNOWN)
        caller = self._service_caller(request, rule.open_to_all)
        if isinstance(caller, Refusal):
            return caller
        return rule, caller

    def _service_caller(
        self, request: Request, open_to_all: bool
    ) -> Caller | Refusal | None:
        if open_to_all:
            return None
        return self._parts.keys.authenticate(
            request.headers.get('authorization')
        )

    async def _run(
        self,
        call: Call,
        digest: bytes,
        sink: Sink,
        idempotency_key: str | None = None,
    ) -> None:
        self._bodies.hold(len(call.body))
        try:
            await self._exchange(call, digest, sink, idempotency_key)
        finally:
            self._bodies.release(len(call.body))

    async def _exchange(
        self, call: Call, digest: bytes, sink: Sink, key: str | None
    ) -> None:
        parts = self._parts
        record = parts.records.open(call.facts.request_id)
        record.step('authenticate')
        if not call.facts.repeatable:
            await parts.exchange.run(
                call,
                digest,
                sink,
                record,
                lambda: parts.bookings.run(call, key, sink, record),
            )
            return
        await parts.exchange.run(
            call,
            digest,
            sink,
            record,
            lambda: parts.pipeline.run(call, sink, record, Progress()),
        )

    def _admit(self, request: Request) -> Caller | Refusal:
        refusal = self._ready()
        if refusal is not None:
            return refusal
        return self._parts.keys.authenticate(
            request.headers.get('authorization')
        )

    def _ready(self) -> Refusal | None:
        if self._parts.drain.stopping:
            return Refusal(RefusalCode.VM_STOPPING, retry_after_ms=0)
        if not self._parts.source.ready:
            return Refusal(RefusalCode.VM_NOT_READY, retry_after_ms=1000)
        return None

    async def _refuse(self, refusal: Refusal, sink: Sink) -> None:
        if refusal.status in {401, 408, 413, 503}:
            # A body that was not read cannot be told from the next request.
            sink.close_after_answer()
        request_id = self._parts.request_ids.next_id()
        await refuse(refusal, sink, request_id, streaming=False)

    async def _models(self, request: Request) -> HTTPResponse:
        caller = self._admit(request)
        if isinstance(caller, Refusal):
            return self._plain_refusal(caller)
        return _json(model_list(self._parts.catalog))

    async def _model(self, request: Request, model: str) -> HTTPResponse:
        caller = self._admit(request)
        if isinstance(caller, Refusal):
            return self._plain_refusal(caller)
        for entry in model_list(self._parts.catalog)['data']:
            if entry['id'] == model:
                return _json(entry)
        return self._plain_refusal(Refusal(RefusalCode.MODEL_UNKNOWN))

    def _plain_refusal(self, refusal: Refusal) -> HTTPResponse:
        return refusal_response(refusal, self._parts.request_ids.next_id())

    async def _entry_vms(self, request: Request) -> HTTPResponse:
        parts = self._parts
        return _json(
            entry_vms(
                parts.settings,
                parts.membership,
                stopping=parts.drain.stopping,
            )
        )

    async def _metrics(self, request: Request) -> HTTPResponse:
        page, headers = metrics_page(request.headers.get('accept', ''))
        return HTTPResponse(
            page,
            content_type=headers.get('Content-Type', 'text/plain'),
        )

    async def _health(self, request: Request) -> HTTPResponse:
        refusal = self._ready()
        if refusal is None:
            return _json({'ready': True})
        return HTTPResponse(
            msgspec.json.encode({'ready': False, 'code': refusal.code.value}),
            status=refusal.status,
            content_type=_JSON,
        )


def _json(content: object) -> HTTPResponse:
    return HTTPResponse(msgspec.json.encode(content), content_type=_JSON)
