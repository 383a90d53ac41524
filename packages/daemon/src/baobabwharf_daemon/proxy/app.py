"""Run a VM that proxies the requests of a deployment to its endpoints.

An entry VM serves callers and stores nothing on disk.  A disk VM stores the
replicated state, receives the heartbeats of endpoints, serves operators and
accepts forwarded requests if its region has no entry VM.  Both run this
program.
"""

import asyncio
import random
from typing import final

from baobabwharf_core.clock import SystemClock
from baobabwharf_core.fleet_config import FleetConfig, VmRecord
from baobabwharf_core.ids import RegionId
from baobabwharf_decisions.proxying.drain_window import STALE_ADDRESS_MS
from baobabwharf_decisions.proxying.routes import RouteTable

from baobabwharf_daemon.address_book import AddressBook
from baobabwharf_daemon.decision_log import DecisionLog
from baobabwharf_daemon.fail_fast import spawn
from baobabwharf_daemon.gateway.http_server import HttpServer
from baobabwharf_daemon.interfaces import MembershipView
from baobabwharf_daemon.metrics import REVISION
from baobabwharf_daemon.proxy.adaptive_selector import build_selector
from baobabwharf_daemon.proxy.crash_watch import CrashExchange, CrashWatch
from baobabwharf_daemon.proxy.dialect import Dialect
from baobabwharf_daemon.proxy.endpoint_sync import EndpointSync
from baobabwharf_daemon.proxy.ingress import Ingress
from baobabwharf_daemon.proxy.listeners import build_listeners
from baobabwharf_daemon.proxy.metrics_listener import metrics_server
from baobabwharf_daemon.proxy.operator_service import OperatorService
from baobabwharf_daemon.proxy.peer_exchange import build_peer_exchange
from baobabwharf_daemon.proxy.proxy_context import ProxyContext
from baobabwharf_daemon.proxy.region_slots import RegionSlots
from baobabwharf_daemon.proxy.vm_directory import entry_addresses
from baobabwharf_daemon.settings import Settings
from baobabwharf_daemon.task import Task
from baobabwharf_daemon.vm_components import build_vm_components
from baobabwharf_daemon.vm_registration import VmRegistration

_HOUSEKEEPING_S = 0.25
_STOP_POLL_S = 0.05
# An entry VM that joins before it knows any endpoint would refuse all requests.
# The wait is bounded because a new fleet has no endpoints yet.
_STARTUP_WAIT_MS = 2500
_STARTUP_POLL_S = 0.02
# Endpoints of a zone whose evacuation has ended count as cold for this much
# longer than the configured time.
_COLD_MARGIN_MS = 1000


@final
class ProxyDaemon:
    """Build, start and stop the tasks of one VM."""

    def __init__(
        self,
        settings: Settings,
        dialect: Dialect,
        clock: SystemClock,
        log: DecisionLog,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._log = log
        self._random = random.Random()
        components = build_vm_components(settings, clock, self._random)
        self._record = components.record
        self._server = components.server
        self._client = components.client
        self._consensus = components.consensus
        self._limits = components.limits
        address_book = AddressBook(
            settings, lambda: self._limits.membership.live_vms()
        )
        self.endpoint_sync = EndpointSync(
            address_book, self._client, clock, log, settings.data_folder
        )
        self.endpoint_sync.register(self._server)
        selection = build_selector(
            settings,
            self._record,
            clock,
            self.endpoint_sync.endpoint_table,
            self._limits.membership,
            self._random,
        )
        self._selector = selection.selector
        crashes = CrashWatch(self._record.vm_id, clock, log)
        self._context = ProxyContext(
            clock, dialect, self._selector, self.endpoint_sync, log, crashes
        )
        self._route_table: RouteTable | None = None
        peer_exchange = build_peer_exchange(
            settings,
            self._record,
            clock,
            self._selector.loads,
            self._limits,
            self._consensus.follower,
            log,
        )
        self._exchange_tasks = (
            *peer_exchange.tasks,
            *self._crash_exchange(crashes),
            *selection.tasks,
        )
        self._ingress = Ingress(
            self._context, peer_exchange.limits, lambda: self._route_table
        )
        listeners = build_listeners(
            self._ingress,
            dialect,
            lambda: self._route_table,
            settings.memory_mb,
        )
        self._intake = listeners.intake
        self._caller_listener = listeners.callers
        self._forward_listener = listeners.forwards
        self.operator_service = OperatorService(
            self._record.vm_id,
            self._consensus.changes,
            self._consensus.leader,
            self._random,
            log,
        )
        self._stop_requested = asyncio.Event()
        self._loops: list[asyncio.Task[None]] = []
        self._started: list[Task] = []
        self._metrics: HttpServer | None = None
        self._region_slots = RegionSlots(
            clock, self._record, self._selector, self._limits.membership
        )

    @property
    def record(self) -> VmRecord:
        """Return the record of this VM."""
        return self._record

    @property
    def is_entry(self) -> bool:
        """Return whether this VM serves callers."""
        return self._settings.data_folder is None

    @property
    def ready(self) -> bool:
        """Return whether this VM can serve callers and is not stopping."""
        return (
            self._route_table is not None and not self._stop_requested.is_set()
        )

    @property
    def members(self) -> MembershipView:
        """Return the view of the live VMs."""
        return self._limits.membership

    def entry_addresses(self, host: str, region: RegionId) -> tuple[str, ...]:
        """Return where a caller of a host in a region should connect."""
        table = self._route_table
        homes = frozenset() if table is None else table.home_regions(host)
        membership = self._limits.membership
        # They take requests for this time, and live VMs go before them.
        stopping = membership.core.stopping(
            self._clock.now_ms(), STALE_ADDRESS_MS
        )
        return entry_addresses(membership.live_vms(), stopping, region, homes)

    async def start(self) -> None:
        """Start all tasks; the caller listener comes last."""
        listen = self._settings.listen
        await self._server.start(listen.host, listen.peer_port)
        registration = VmRegistration(
            self._record,
            self._consensus.follower,
            self._consensus.changes,
            self._random,
        )
        await self._start_all((*self._consensus.tasks, self.endpoint_sync))
        self._loops = [
            spawn(self._follow_config()),
            spawn(self._run_housekeeping()),
        ]
        if self.is_entry:
            await self._wait_for_endpoints()
        await self._start_all(
            (self._limits.membership, *self._exchange_tasks, registration)
        )
        await self._serve_metrics()
        await self._forward_listener.start(listen.host, listen.forward_port)
        if self.is_entry:
            await self._caller_listener.start(listen.host, listen.caller_port)
        self._log.record(
            'vm_started',
            region=self._record.region,
            zone=self._record.zone,
            entry=self.is_entry,
            incarnation=self._record.incarnation,
        )

    def request_stop(self) -> None:
        """Begin a graceful shutdown; repeated calls have no effect."""
        if self._stop_requested.is_set():
            return
        self._log.record(
            'vm_stopping', connections=self._caller_listener.connections
        )
        self._stop_requested.set()
        self._context.begin_drain(self._settings.drain_deadline_ms)
        self._limits.membership.announce_leaving()

    async def run_until_stopped(self) -> None:
        """Wait for a stop request, drain connections and stop all tasks."""
        await self._stop_requested.wait()
        await self._drain()
        for loop in self._loops:
            loop.cancel()
        while self._started:
            await self._started.pop().stop()
        self._context.pool.close()
        self._client.close()
        await self._server.stop()
        if self._metrics is not None:
            await self._metrics.stop()
        self._log.record('vm_stopped')

    def _crash_exchange(self, crashes: CrashWatch) -> tuple[Task, ...]:
        port = self._settings.listen.crash_port
        if port is None:
            return ()
        return (
            CrashExchange(
                self._record,
                port,
                self._clock,
                self._limits.membership,
                crashes.blame,
            ),
        )

    async def _serve_metrics(self) -> None:
        listen = self._settings.listen
        if listen.metrics_port is not None:
            server = metrics_server(listen.host, listen.metrics_port)
            await server.start()
            self._metrics = server

    async def _start_all(self, tasks: tuple[Task, ...]) -> None:
        for task in tasks:
            await task.start()
            self._started.append(task)

    async def _wait_for_endpoints(self) -> None:
        """Wait until routes and endpoints are known, up to a time limit."""
        deadline_ms = self._clock.now_ms() + _STARTUP_WAIT_MS
        while self._clock.now_ms() < deadline_ms:
            if (
                self._route_table is not None
                and self.endpoint_sync.endpoint_table.entries
            ):
                return
            await asyncio.sleep(_STARTUP_POLL_S)

    async def _drain(self) -> None:
        begun_ms = self._clock.now_ms()
        deadline_ms = begun_ms + self._settings.drain_deadline_ms
        while self._clock.now_ms() < deadline_ms:
            self._caller_listener.stop_idle()
            min_time_over = self._clock.now_ms() - begun_ms >= STALE_ADDRESS_MS
            if (
                min_time_over or not self.is_entry
            ) and not self._open_connections():
                break
            await asyncio.sleep(_STOP_POLL_S)
        self._caller_listener.close()
        self._forward_listener.close()
        self._log.record(
            'drain_ended',
            took_ms=self._clock.now_ms() - begun_ms,
            cut=self._open_connections(),
        )

    def _open_connections(self) -> int:
        self._forward_listener.stop_idle()
        return (
            self._caller_listener.connections
            + self._forward_listener.connections
        )

    async def _follow_config(self) -> None:
        changes = self._consensus.follower.subscribe()
        while True:
            self._apply_config(await changes.get())

    def _apply_config(self, config: FleetConfig) -> None:
        self._context.apply_config(config)
        deployment = config.deployment
        if deployment is None:
            return
        known = self._route_table
        cold_ms = max(
            (service.cold_ms for service in deployment.services), default=0
        )
        self._selector.endpoints.evacuate(
            config.evacuated, cold_ms + _COLD_MARGIN_MS
        )
        if known is not None and known.deployment == deployment:
            return
        self._route_table = RouteTable(deployment)
        self._selector.configure(self._route_table)
        self.endpoint_sync.endpoint_table.services = frozenset(
            service.name for service in deployment.services
        )
        REVISION.set({}, config.revision)
        self._log.record(
            'deployment_in_force',
            version=deployment.version,
            revision=config.revision,
            routes=len(deployment.routes),
        )

    async def _run_housekeeping(self) -> None:
        while True:
            self._context.pool.close_expired()
            self._region_slots.publish()
            self._intake.publish()
            await asyncio.sleep(_HOUSEKEEPING_S)
