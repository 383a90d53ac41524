"""Build the HTTP gateway of the daemon from settings and interfaces."""

from collections.abc import Callable

import msgspec
from baobabwharf_core.clock import Clock
from baobabwharf_core.ids import RegionId, VmId

from baobabwharf_daemon.forwarding.call_codec import MAX_CALL_HEAD_BYTES
from baobabwharf_daemon.forwarding.endpoint_client import EndpointClient
from baobabwharf_daemon.forwarding.forward_routes import ForwardRoutes
from baobabwharf_daemon.forwarding.forwarder import Forwarder
from baobabwharf_daemon.forwarding.local_executor import LocalExecutor
from baobabwharf_daemon.gateway.announcement_routes import AnnouncementRoutes
from baobabwharf_daemon.gateway.auth import KeyIndex
from baobabwharf_daemon.gateway.call_runner import CallRunner
from baobabwharf_daemon.gateway.caller_app import (
    CallerDependencies,
    CallerRoutes,
)
from baobabwharf_daemon.gateway.certificates import TlsContexts
from baobabwharf_daemon.gateway.drain import Drain
from baobabwharf_daemon.gateway.http_server import (
    MAX_BODY_BYTES,
    create_app,
)
from baobabwharf_daemon.gateway.idempotency import IdempotencyGuard
from baobabwharf_daemon.gateway.lifecycle import (
    BackgroundJob,
    BackgroundTasks,
    Gateway,
    Listener,
)
from baobabwharf_daemon.gateway.pipeline import Pipeline
from baobabwharf_daemon.gateway.request_facts import RequestIds, RouteIndex
from baobabwharf_daemon.gateway.request_records import RequestRecords
from baobabwharf_daemon.gateway.running_requests import RunningRequests
from baobabwharf_daemon.interfaces import (
    ChangeClient,
    ClaimClient,
    ConfigSource,
    EndpointRegistry,
    LimitClient,
    MembershipView,
    ModelCatalog,
    Router,
    StatusSource,
)
from baobabwharf_daemon.operator.change_service import ChangeService
from baobabwharf_daemon.operator.event_log import EventLog
from baobabwharf_daemon.operator.routes import (
    OperatorDependencies,
    OperatorRoutes,
)
from baobabwharf_daemon.rpc import read_secret
from baobabwharf_daemon.settings import Settings

__all__ = ('Gateway', 'GatewayInputs', 'build_gateway')


class GatewayInputs(msgspec.Struct, frozen=True):
    """Hold what the HTTP gateway needs from the rest of the daemon.

    tombstone propagates the digest of a withdrawn key to the other VMs before
    the replicated log delivers the withdrawal.
    """

    settings: Settings
    clock: Clock
    source: ConfigSource
    changes: ChangeClient
    claims: ClaimClient
    limits: LimitClient
    membership: MembershipView
    router: Router
    registry: EndpointRegistry
    catalog: ModelCatalog
    status: StatusSource
    tombstone: Callable[[bytes], None]
    events: EventLog


class _GatewayBuilder:
    def __init__(self, inputs: GatewayInputs) -> None:
        settings = inputs.settings
        self._inputs = inputs
        self._host = settings.listen.host
        self._secret = read_secret(settings.fleet_secret_file)
        self._region = RegionId(settings.region)
        self._vm_id = VmId(settings.vm_id)
        self._contexts = TlsContexts(settings.tls)
        self._keys = KeyIndex(inputs.source)
        self._records = RequestRecords(inputs.clock)
        self._running = RunningRequests(inputs.source, self._keys)
        self._client = EndpointClient()

    def build(self) -> Gateway:
        inputs = self._inputs
        serving = LocalExecutor(
            self._region, inputs.router, self._client, inputs.clock
        )
        forwarder = Forwarder(
            self._vm_id,
            self._region,
            self._secret,
            self._contexts.client,
            inputs.settings.address_overrides,
        )
        pipeline = Pipeline(
            inputs.router, inputs.limits, serving, forwarder, inputs.clock
        )
        idempotency_guard = IdempotencyGuard(
            self._vm_id, pipeline, inputs.claims
        )
        drain = Drain(
            inputs.membership,
            (self._running, idempotency_guard),
            inputs.settings.drain_deadline_ms,
        )
        watchers: list[BackgroundJob] = [self._running.watch]
        if self._contexts.reloader is not None:
            watchers.append(self._contexts.reloader.watch)
        return Gateway(
            drain,
            (
                self._client,
                forwarder,
                BackgroundTasks(*watchers),
                self._forward_listener(serving, drain),
                self._operator_listener(),
                self._caller_listener(pipeline, idempotency_guard, drain),
            ),
        )

    def _caller_listener(
        self,
        pipeline: Pipeline,
        idempotency_guard: IdempotencyGuard,
        drain: Drain,
    ) -> Listener:
        inputs = self._inputs
        app = create_app('caller')
        parts = CallerDependencies(
            settings=inputs.settings,
            source=inputs.source,
            membership=inputs.membership,
            catalog=inputs.catalog,
            keys=self._keys,
            routes=RouteIndex(),
            request_ids=RequestIds(),
            records=self._records,
            pipeline=pipeline,
            idempotency_guard=idempotency_guard,
            call_runner=CallRunner(self._running),
            running=self._running,
            drain=drain,
        )
        CallerRoutes(parts).add_to(app)
        AnnouncementRoutes(
            inputs.settings.region, self._keys, inputs.registry
        ).add_to(app)
        port = inputs.settings.listen.caller_port
        return Listener(app, self._host, port, self._contexts.caller)

    def _forward_listener(
        self, serving: LocalExecutor, drain: Drain
    ) -> Listener:
        app = create_app('forward')
        app.config.REQUEST_MAX_SIZE = MAX_BODY_BYTES + MAX_CALL_HEAD_BYTES
        ForwardRoutes(
            self._region,
            self._secret,
            serving,
            self._records,
            self._running,
            drain,
        ).add_to(app)
        port = self._inputs.settings.listen.forward_port
        return Listener(app, self._host, port, self._contexts.server)

    def _operator_listener(self) -> Listener:
        inputs = self._inputs
        changes = ChangeService(
            inputs.changes,
            inputs.source,
            inputs.status,
            inputs.tombstone,
            inputs.events,
            inputs.clock,
        )
        app = create_app('operator')
        OperatorRoutes(
            OperatorDependencies(
                inputs.settings.operator_token_digests,
                changes,
                inputs.changes,
                inputs.source,
                inputs.status,
                inputs.router,
                self._records,
                inputs.events,
            )
        ).add_to(app)
        port = inputs.settings.listen.operator_port
        return Listener(app, self._host, port, self._contexts.caller)


def build_gateway(inputs: GatewayInputs) -> Gateway:
    """Return the HTTP gateway of a VM; no socket is opened before start."""
    return _GatewayBuilder(inputs).build()
