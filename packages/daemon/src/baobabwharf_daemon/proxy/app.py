"""Run a VM that passes requests of a deployment to its endpoints.

An entry VM serves callers and keeps nothing; a disk VM keeps the replicated
state, hears endpoints and serves operators, and stands in for the entry VMs
of its region towards other regions.  Both run this program.
"""

import asyncio
import random
from typing import final

from baobabwharf_core.clock import SystemClock
from baobabwharf_core.model import FleetConfig, VmRecord
from baobabwharf_decisions.proxying.routes import RouteTable

from baobabwharf_daemon.address_book import AddressBook
from baobabwharf_daemon.decision_log import DecisionLog
from baobabwharf_daemon.fail_fast import spawn
from baobabwharf_daemon.gateway.http_server import HttpServer
from baobabwharf_daemon.interfaces import MembershipView
from baobabwharf_daemon.metrics import REVISION
from baobabwharf_daemon.proxy.caller_connection import CallerListener
from baobabwharf_daemon.proxy.dialect import Dialect
from baobabwharf_daemon.proxy.endpoint_sync import EndpointSync
from baobabwharf_daemon.proxy.ingress import Ingress
from baobabwharf_daemon.proxy.metrics_listener import metrics_server
from baobabwharf_daemon.proxy.operator_desk import OperatorDesk
from baobabwharf_daemon.proxy.placer import Placer
from baobabwharf_daemon.proxy.region_slots import RegionSlots
from baobabwharf_daemon.proxy.telling import build_telling
from baobabwharf_daemon.proxy.tools import Tools
from baobabwharf_daemon.registration import Registration
from baobabwharf_daemon.settings import Settings
from baobabwharf_daemon.task import Task
from baobabwharf_daemon.vm_components import build_vm_components

_HOUSEKEEPING_S = 0.25
# After a stop request callers still connect with older addresses.
_LINGER_MS = 3000
_STOP_POLL_S = 0.05
# VMs that join before they know endpoints only refuse; a fleet that starts
# for the first time has none yet.
_KNOWLEDGE_MS = 2500
_KNOWLEDGE_POLL_S = 0.02
# An endpoint taken back into use may be cold that much longer than stated.
_COLD_MARGIN_MS = 1000


@final
class ProxyDaemon:
    """Hold the tasks of one VM."""

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
        parts = build_vm_components(settings, clock, self._random)
        self._record = parts.record
        self._server = parts.server
        self._client = parts.client
        self._consensus = parts.consensus
        self._limits = parts.limits
        book = AddressBook(settings, lambda: self._limits.peers.live_vms())
        self.endpoints = EndpointSync(
            book, self._client, clock, log, settings.data_folder
        )
        self.endpoints.register(self._server)
        self._placer = Placer(
            self._record,
            clock,
            self.endpoints.book,
            self._limits.peers,
            self._random,
        )
        self._tools = Tools(clock, dialect, self._placer, self.endpoints, log)
        self._table: RouteTable | None = None
        telling = build_telling(
            settings,
            self._record,
            clock,
            self._placer.loads,
            self._limits,
            self._consensus.follower,
            log,
        )
        self._telling = telling.tasks
        self._ingress = Ingress(
            self._tools, telling.limits, lambda: self._table
        )
        limits = self._ingress.ingress_limits
        self._callers = CallerListener(self._ingress.serve_caller, limits)
        self._forwards = CallerListener(self._ingress.serve_forwarded, limits)
        self.desk = OperatorDesk(
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
        self._slots = RegionSlots(
            clock, self._record, self._placer, self._limits.peers
        )

    @property
    def record(self) -> VmRecord:
        """Return the record of this VM."""
        return self._record

    @property
    def is_entry(self) -> bool:
        """Tell whether this VM serves callers."""
        return self._settings.data_folder is None

    @property
    def ready(self) -> bool:
        """Tell whether callers should connect to this VM."""
        return self._table is not None and not self._stop_requested.is_set()

    @property
    def members(self) -> MembershipView:
        """Return who knows the other VMs."""
        return self._limits.peers

    async def start(self) -> None:
        """Start every task; callers are served last."""
        listen = self._settings.listen
        await self._server.start(listen.host, listen.peer_port)
        registration = Registration(
            self._record,
            self._consensus.follower,
            self._consensus.changes,
            self._random,
        )
        await self._start_all((*self._consensus.tasks, self.endpoints))
        self._loops = [spawn(self._follow()), spawn(self._keep_house())]
        if self.is_entry:
            await self._await_knowledge()
        await self._start_all(
            (self._limits.peers, *self._telling, registration)
        )
        await self._serve_metrics()
        await self._forwards.start(listen.host, listen.forward_port)
        if self.is_entry:
            await self._callers.start(listen.host, listen.caller_port)
        self._log.record(
            'vm_started',
            region=self._record.region,
            zone=self._record.zone,
            entry=self.is_entry,
            incarnation=self._record.incarnation,
        )

    def request_stop(self) -> None:
        """Begin a graceful stop; a second request changes nothing."""
        if self._stop_requested.is_set():
            return
        self._log.record('vm_stopping', connections=self._callers.connections)
        self._stop_requested.set()
        self._limits.peers.announce_leaving()

    async def run_until_stopped(self) -> None:
        """Wait for a stop request, finish running requests, release all."""
        await self._stop_requested.wait()
        await self._drain()
        for loop in self._loops:
            loop.cancel()
        while self._started:
            await self._started.pop().stop()
        self._tools.pool.close()
        self._client.close()
        await self._server.stop()
        if self._metrics is not None:
            await self._metrics.stop()
        self._log.record('vm_stopped')

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

    async def _await_knowledge(self) -> None:
        """Join the fleet once requests can be served, or after a while."""
        deadline_ms = self._clock.now_ms() + _KNOWLEDGE_MS
        while self._clock.now_ms() < deadline_ms:
            if self._table is not None and self.endpoints.book.entries:
                return
            await asyncio.sleep(_KNOWLEDGE_POLL_S)

    async def _drain(self) -> None:
        begun_ms = self._clock.now_ms()
        deadline_ms = begun_ms + self._settings.drain_deadline_ms
        while self._clock.now_ms() < deadline_ms:
            self._callers.stop_idle()
            lingered = self._clock.now_ms() - begun_ms >= _LINGER_MS
            if (lingered or not self.is_entry) and not self._open_connections():
                break
            await asyncio.sleep(_STOP_POLL_S)
        self._callers.close()
        self._forwards.close()
        self._log.record(
            'drain_ended',
            took_ms=self._clock.now_ms() - begun_ms,
            cut=self._open_connections(),
        )

    def _open_connections(self) -> int:
        self._forwards.stop_idle()
        return self._callers.connections + self._forwards.connections

    async def _follow(self) -> None:
        changes = self._consensus.follower.subscribe()
        while True:
            self._take_config(await changes.get())

    def _take_config(self, config: FleetConfig) -> None:
        self._tools.follow(config)
        deployment = config.deployment
        if deployment is None:
            return
        known = self._table
        cold_ms = max(
            (service.cold_ms for service in deployment.services), default=0
        )
        self._placer.evacuate(config.evacuated, cold_ms + _COLD_MARGIN_MS)
        if known is not None and known.deployment == deployment:
            return
        self._table = RouteTable(deployment)
        self._placer.configure(self._table)
        REVISION.set({}, config.revision)
        self._log.record(
            'deployment_in_force',
            version=deployment.version,
            revision=config.revision,
            routes=len(deployment.routes),
        )

    async def _keep_house(self) -> None:
        while True:
            self._tools.pool.sweep()
            self._slots.publish()
            await asyncio.sleep(_HOUSEKEEPING_S)
