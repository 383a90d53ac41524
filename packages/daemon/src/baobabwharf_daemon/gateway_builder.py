"""Build the HTTP gateway of the daemon from settings and interfaces."""

from collections.abc import Callable

import msgspec
from baobabwharf_core.clock import Clock
from baobabwharf_core.ids import RegionId, VmId

from baobabwharf_daemon.forwarding.call_codec import MAX_CALL_HEAD_BYTES
from baobabwharf_daemon.forwarding.endpoint_client import EndpointClient
from baobabwharf_daemon.forwarding.forward_routes import (
    ForwardDependencies,
    ForwardRoutes,
)
from baobabwharf_daemon.forwarding.forwarder import Forwarder
from baobabwharf_daemon.forwarding.local_executor import LocalExecutor
from baobabwharf_daemon.gateway.announcement_routes import AnnouncementRoutes
from baobabwharf_daemon.gateway.auth import KeyIndex
from baobabwharf_daemon.gateway.body_reader import BodyReader
from baobabwharf_daemon.gateway.call_runner import CallRunner
from baobabwharf_daemon.gateway.caller_app import (
    CallerDependencies,
    CallerRoutes,
)
from baobabwharf_daemon.gateway.certificates import TlsContexts
from baobabwharf_daemon.gateway.drain import Drain
from baobabwharf_daemon.gateway.http_server import (
    CALLER_RECEIVE_BYTES,
    MAX_BODY_BYTES,
    create_app,
)
from baobabwharf_daemon.gateway.idempotency import IdempotencyGuard
from baobabwharf_daemon.gateway.intake import Intake
from baobabwharf_daemon.gateway.lifecycle import (
    BackgroundJob,
    BackgroundTasks,
    Gateway,
    Listener,
)
from baobabwharf_daemon.gateway.pipeline import Pipeline
from baobabwharf_daemon.gateway.request_attributes import RequestIds, RouteIndex
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

__all__ = ('Gateway', 'GatewayDependencies', 'build_gateway')


class GatewayDependencies(msgspec.Struct, frozen=True):
    """Hold what the HTTP gateway needs from the rest of the daemon.

    publish_tombstone sends the digest of a withdrawn key to the other VMs before
    the replicated log delivers the withdrawal.
    """

    settings: Settings
    clock: Clock
    config_source: ConfigSource
    changes: ChangeClient
    claims: ClaimClient
    limits: LimitClient
    membership: MembershipView
    router: Router
    registry: EndpointRegistry
    catalog: ModelCatalog
    status: StatusSource
    publish_tombstone: Callable[[bytes], None]
    events: EventLog


class _GatewayBuilder:
    def __init__(self, dependencies: GatewayDependencies) -> None:
        settings = dependencies.settings
        self._dependencies = dependencies
        self._host = settings.listen.host
        self._secret = read_secret(settings.fleet_secret_file)
        self._region = RegionId(settings.region)
        self._vm_id = VmId(settings.vm_id)
        self._contexts = TlsContexts(settings.tls)
        self._keys = KeyIndex(dependencies.config_source)
        self._records = RequestRecords(dependencies.clock)
        self._running = RunningRequests(dependencies.config_source, self._keys)
        self._intake = Intake(settings.memory_mb, dependencies.clock)
        self._client = EndpointClient()

    def build(self) -> Gateway:
        dependencies = self._dependencies
        executor = LocalExecutor(
            self._region, dependencies.router, self._client, dependencies.clock
        )
        forwarder = Forwarder(
            self._vm_id,
            self._region,
            self._secret,
            self._contexts.client,
            dependencies.settings.address_overrides,
        )
        pipeline = Pipeline(
            dependencies.router,
            dependencies.limits,
            executor,
            forwarder,
            dependencies.clock,
        )
        idempotency_guard = IdempotencyGuard(
            self._vm_id, pipeline, dependencies.claims
        )
        drain = Drain(
            dependencies.membership,
            self._running,
            (idempotency_guard,),
            dependencies.settings.drain_deadline_ms,
            dependencies.clock,
        )
        background_jobs: list[BackgroundJob] = [
            self._running.check_keys_forever,
            self._intake.relieve_forever,
        ]
        if self._contexts.reloader is not None:
            background_jobs.append(self._contexts.reloader.reload_forever)
        return Gateway(
            drain,
            (
                self._client,
                forwarder,
                BackgroundTasks(*background_jobs),
                self._forward_listener(executor, drain),
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
        dependencies = self._dependencies
        app = create_app('caller')
        caller_dependencies = CallerDependencies(
            settings=dependencies.settings,
            config_source=dependencies.config_source,
            membership=dependencies.membership,
            catalog=dependencies.catalog,
            keys=self._keys,
            routes=RouteIndex(),
            request_ids=RequestIds(),
            records=self._records,
            pipeline=pipeline,
            idempotency_guard=idempotency_guard,
            call_runner=CallRunner(self._running, dependencies.clock),
            running=self._running,
            drain=drain,
            intake=self._intake,
        )
        CallerRoutes(caller_dependencies).add_to(app)
        AnnouncementRoutes(
            dependencies.settings.region,
            self._keys,
            dependencies.registry,
            BodyReader(self._intake),
        ).add_to(app)
        return Listener(
            app,
            self._host,
            dependencies.settings.listen.caller_port,
            self._contexts.caller,
            CALLER_RECEIVE_BYTES,
        )

    def _forward_listener(
        self, executor: LocalExecutor, drain: Drain
    ) -> Listener:
        app = create_app('forward')
        max_bytes = MAX_BODY_BYTES + MAX_CALL_HEAD_BYTES
        app.config.REQUEST_MAX_SIZE = max_bytes
        ForwardRoutes(
            ForwardDependencies(
                self._region,
                self._secret,
                executor,
                self._records,
                self._running,
                drain,
                self._dependencies.clock,
                BodyReader(self._intake, max_bytes),
            )
        ).add_to(app)
        port = self._dependencies.settings.listen.forward_port
        return Listener(app, self._host, port, self._contexts.server)

    def _operator_listener(self) -> Listener:
        dependencies = self._dependencies
        changes = ChangeService(
            dependencies.changes,
            dependencies.config_source,
            dependencies.status,
            dependencies.publish_tombstone,
            dependencies.events,
            dependencies.clock,
        )
        app = create_app('operator')
        OperatorRoutes(
            OperatorDependencies(
                dependencies.settings.operator_token_digests,
                changes,
                dependencies.changes,
                dependencies.config_source,
                dependencies.status,
                dependencies.router,
                self._records,
                dependencies.events,
                BodyReader(self._intake),
            )
        ).add_to(app)
        port = dependencies.settings.listen.operator_port
        return Listener(app, self._host, port, self._contexts.caller)


def build_gateway(dependencies: GatewayDependencies) -> Gateway:
    """Return the HTTP gateway of a VM; no socket is opened before start."""
    return _GatewayBuilder(dependencies).build()
