"""Serve the routes of the caller listener."""

from collections.abc import Awaitable

import msgspec
from baobabwharf_core.fleet_config import RouteRule
from baobabwharf_core.refusals import Refusal, RefusalCode
from sanic import HTTPResponse, Request, Sanic

from baobabwharf_daemon.gateway.auth import Caller, KeyIndex
from baobabwharf_daemon.gateway.body_parser import CHAT_PATH, COMPLETIONS_PATH
from baobabwharf_daemon.gateway.body_reader import BodyReader
from baobabwharf_daemon.gateway.call_runner import CallRunner, refuse
from baobabwharf_daemon.gateway.calls import Call, Progress, ResponseWriter
from baobabwharf_daemon.gateway.completions import CompletionCalls
from baobabwharf_daemon.gateway.discovery import list_entry_vms, model_list
from baobabwharf_daemon.gateway.drain import Drain
from baobabwharf_daemon.gateway.idempotency import IdempotencyGuard
from baobabwharf_daemon.gateway.intake import Intake
from baobabwharf_daemon.gateway.pipeline import Pipeline
from baobabwharf_daemon.gateway.request_attributes import RequestIds, RouteIndex
from baobabwharf_daemon.gateway.request_counter import metrics_page
from baobabwharf_daemon.gateway.request_records import RequestRecords
from baobabwharf_daemon.gateway.running_requests import RunningRequests
from baobabwharf_daemon.gateway.sanic_response import (
    SanicResponseWriter,
    refusal_response,
)
from baobabwharf_daemon.gateway.services import (
    SERVICES_PREFIX,
    ServiceCalls,
    split_service_path,
)
from baobabwharf_daemon.interfaces import (
    ConfigSource,
    MembershipView,
    ModelCatalog,
)
from baobabwharf_daemon.settings import Settings

_METHODS = ('GET', 'POST', 'PUT', 'PATCH', 'DELETE', 'HEAD', 'OPTIONS')
_JSON = 'application/json'


class CallerDependencies(msgspec.Struct, frozen=True):
    """Hold the dependencies of the caller routes."""

    settings: Settings
    config_source: ConfigSource
    membership: MembershipView
    catalog: ModelCatalog
    keys: KeyIndex
    routes: RouteIndex
    request_ids: RequestIds
    records: RequestRecords
    pipeline: Pipeline
    idempotency_guard: IdempotencyGuard
    call_runner: CallRunner
    running: RunningRequests
    drain: Drain
    intake: Intake


class CallerRoutes:
    """Handle the requests of callers."""

    def __init__(self, dependencies: CallerDependencies) -> None:
        self._dependencies = dependencies
        self._bodies = BodyReader(dependencies.intake)
        self._completions = CompletionCalls(
            dependencies.config_source,
            dependencies.catalog,
            dependencies.routes,
            dependencies.request_ids,
        )
        self._services = ServiceCalls(
            dependencies.config_source, dependencies.request_ids
        )

    def add_to(self, app: Sanic) -> None:
        """Add the routes to the caller listener."""

        # sanic sets an attribute on streaming handlers; bound methods do not
        # allow that.
        async def complete(request: Request) -> None:
            await self._track_running(self._complete(request))

        async def call_service(request: Request, target: str) -> None:
            await self._track_running(self._call_service(request))

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
        # A body that these routes don't expect is not kept.
        app.add_route(self._models, '/v1/models', ignore_body=True)
        app.add_route(self._model, '/v1/models/<model:path>', ignore_body=True)
        app.add_route(self._entry_vms, '/v1/entry-vms', ignore_body=True)
        app.add_route(self._metrics, '/metrics', ignore_body=True)
        app.add_route(self._health, '/health', ignore_body=True)

    async def _track_running(self, work: Awaitable[None]) -> None:
        """Count a request as running from the first read of its body on.

        A drain waits for such requests, too.
        """
        self._dependencies.running.enter()
        try:
            await work
        finally:
            self._dependencies.running.leave()

    async def _complete(self, request: Request) -> None:
        writer = SanicResponseWriter(request)
        caller = self._admit(request)
        if isinstance(caller, Refusal):
            await self._refuse(caller, writer)
            return
        owner = caller.customer.customer_id
        with self._bodies.hold(request, owner) as holding:
            call = await self._bodies.read(
                request,
                holding,
                lambda body: self._completions.build(
                    request, request.path, body, caller
                ),
            )
            if isinstance(call, Refusal):
                await self._refuse(call, writer)
                return
            await self._run(call, caller.digest, writer)

    async def _call_service(self, request: Request) -> None:
        writer = SanicResponseWriter(request)
        checked = self._service_rule(request)
        if isinstance(checked, Refusal):
            await self._refuse(checked, writer)
            return
        rule, caller = checked
        owner = caller.customer.customer_id if caller else None
        with self._bodies.hold(request, owner) as holding:
            call = await self._bodies.read(
                request,
                holding,
                lambda body: self._services.build(request, rule, body, caller),
            )
            if isinstance(call, Refusal):
                await self._refuse(call, writer)
                return
            digest = caller.digest if caller else b''
            key = request.headers.get('idempotency-key')
            await self._run(call, digest, writer, key)

    def _service_rule(
        self, request: Request
    ) -> tuple[RouteRule, Caller | None] | Refusal:
        refusal = self._ready()
        if refusal is not None:
            return refusal
        service, path = split_service_path(request)
        rule = self._dependencies.routes.find(
            self._dependencies.config_source.config, service, path
        )
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
        return self._dependencies.keys.authenticate(
            request.headers.get('authorization')
        )

    async def _run(
        self,
        call: Call,
        digest: bytes,
        writer: ResponseWriter,
        idempotency_key: str | None = None,
    ) -> None:
        # The drain may have begun while the body was read.
        refusal = self._dependencies.drain.check_start(
            call.attributes.deadline_ms
        )
        if refusal is not None:
            await self._refuse(refusal, writer)
            return
        if self._dependencies.drain.stopping:
            writer.close_after_response()
        await self._execute(call, digest, writer, idempotency_key)

    async def _execute(
        self, call: Call, digest: bytes, writer: ResponseWriter, key: str | None
    ) -> None:
        dependencies = self._dependencies
        record = dependencies.records.open(call.attributes.request_id)
        record.step('authenticate')
        if not call.attributes.repeatable:
            await dependencies.call_runner.run(
                call,
                digest,
                writer,
                record,
                lambda: dependencies.idempotency_guard.run(
                    call, key, writer, record
                ),
            )
            return
        progress = Progress()
        await dependencies.call_runner.run(
            call,
            digest,
            writer,
            record,
            lambda: dependencies.pipeline.run(call, writer, record, progress),
            progress,
        )

    def _admit(self, request: Request) -> Caller | Refusal:
        refusal = self._ready()
        if refusal is not None:
            return refusal
        return self._dependencies.keys.authenticate(
            request.headers.get('authorization')
        )

    def _ready(self) -> Refusal | None:
        if self._dependencies.drain.stopping:
            return Refusal(RefusalCode.VM_STOPPING, retry_after_ms=0)
        if not self._dependencies.config_source.ready:
            return Refusal(RefusalCode.VM_NOT_READY, retry_after_ms=1000)
        return None

    async def _refuse(self, refusal: Refusal, writer: ResponseWriter) -> None:
        if refusal.status in {401, 408, 413, 503}:
            # A body that was not read would be parsed as the next request.
            writer.close_after_response()
        request_id = self._dependencies.request_ids.next_id()
        await refuse(refusal, writer, request_id, streaming=False)
        if isinstance(writer, SanicResponseWriter):
            writer.close_if_unread()

    async def _models(self, request: Request) -> HTTPResponse:
        _close_if_stopping(self._dependencies.drain, request)
        caller = self._admit(request)
        if isinstance(caller, Refusal):
            return self._plain_refusal(caller)
        return _json(model_list(self._dependencies.catalog))

    async def _model(self, request: Request, model: str) -> HTTPResponse:
        _close_if_stopping(self._dependencies.drain, request)
        caller = self._admit(request)
        if isinstance(caller, Refusal):
            return self._plain_refusal(caller)
        for entry in model_list(self._dependencies.catalog)['data']:
            if entry['id'] == model:
                return _json(entry)
        return self._plain_refusal(Refusal(RefusalCode.MODEL_UNKNOWN))

    def _plain_refusal(self, refusal: Refusal) -> HTTPResponse:
        return refusal_response(
            refusal, self._dependencies.request_ids.next_id()
        )

    async def _entry_vms(self, request: Request) -> HTTPResponse:
        _close_if_stopping(self._dependencies.drain, request)
        dependencies = self._dependencies
        return _json(
            list_entry_vms(
                dependencies.settings,
                dependencies.membership,
                stopping=dependencies.drain.stopping,
            )
        )

    async def _metrics(self, request: Request) -> HTTPResponse:
        page, headers = metrics_page(request.headers.get('accept', ''))
        return HTTPResponse(
            page,
            content_type=headers.get('Content-Type', 'text/plain'),
        )

    async def _health(self, request: Request) -> HTTPResponse:
        _close_if_stopping(self._dependencies.drain, request)
        refusal = self._ready()
        if refusal is None:
            return _json({'ready': True})
        return HTTPResponse(
            msgspec.json.encode({'ready': False, 'code': refusal.code.value}),
            status=refusal.status,
            content_type=_JSON,
        )


def _close_if_stopping(drain: Drain, request: Request) -> None:
    """Announce the end of the connection while this VM drains."""
    if drain.stopping:
        SanicResponseWriter(request).close_after_response()


def _json(content: object) -> HTTPResponse:
    return HTTPResponse(msgspec.json.encode(content), content_type=_JSON)
