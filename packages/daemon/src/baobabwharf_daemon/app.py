"""Build all tasks of a daemon, start them and stop them in reverse order."""

import asyncio
import random
import signal
from typing import final

from baobabwharf_core.clock import SystemClock
from baobabwharf_core.invariants import InvariantViolation, on_violation
from baobabwharf_decisions.membership.gossip_store import Summary

from baobabwharf_daemon.fail_fast import abort_process
from baobabwharf_daemon.fleet_status import FleetStatus
from baobabwharf_daemon.gateway_builder import (
    Gateway,
    GatewayDependencies,
    build_gateway,
)
from baobabwharf_daemon.log import get_logger
from baobabwharf_daemon.operator.event_log import EventLog
from baobabwharf_daemon.routing_task import RoutingTask, build_routing
from baobabwharf_daemon.settings import Settings
from baobabwharf_daemon.task import Task
from baobabwharf_daemon.vm_components import build_vm_components
from baobabwharf_daemon.vm_registration import VmRegistration

_REGION_TOPIC = 'region'
_STATUS_TOPIC = 'status'

_log = get_logger('daemon')


@final
class Daemon:
    """Own the tasks of one VM and their start and stop order."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._clock = SystemClock()
        self._rng = random.Random()
        components = build_vm_components(settings, self._clock, self._rng)
        self._record = components.record
        self._server = components.server
        self._client = components.client
        self._consensus = components.consensus
        self._limits = components.limits
        self._events = EventLog(self._clock)
        self._summary_version = 0
        self._routing = self._build_routing()
        self._status = self._build_status()
        self._gateway = self._build_gateway()
        self._connect_gossip()
        self._started: list[Task] = []

    async def start(self) -> None:
        """Start every task; the caller listener opens last."""
        listen = self._settings.listen
        await self._server.start(listen.host, listen.peer_port)
        registration = VmRegistration(
            self._record,
            self._consensus.follower,
            self._consensus.changes,
            self._rng,
        )
        tasks: tuple[Task, ...] = (
            *self._consensus.tasks,
            self._limits.membership,
            self._limits.lending,
            self._routing,
            self._status,
            registration,
            self._gateway,
        )
        for task in tasks:
            await task.start()
            self._started.append(task)
        _log.info('VM %s is running.', self._settings.vm_id)

    def request_stop(self) -> None:
        """Begin a graceful stop; a second call ends the drain at once."""
        _log.info('Graceful stop requested.')
        self._gateway.drain.request_stop()

    async def run_until_stopped(self) -> None:
        """Wait for the drain, then stop the tasks and close the connections."""
        await self._gateway.drain.wait()
        while self._started:
            await self._started.pop().stop()
        self._client.close()
        await self._server.stop()
        self._gateway.drain.mark_released()
        _log.info('VM %s has stopped.', self._settings.vm_id)

    def _build_routing(self) -> RoutingTask:
        return build_routing(
            self._settings,
            self._clock,
            self._rng,
            self._server,
            self._client,
            self._consensus.follower,
            self._limits.membership,
        )

    def _build_status(self) -> FleetStatus:
        status = FleetStatus(
            self._record,
            self._clock,
            self._consensus.follower,
            self._limits.membership,
            self._replica_role,
            lambda payload: self._publish(_STATUS_TOPIC, payload),
            self._client,
        )
        status.register(self._server)
        return status

    def _replica_role(self) -> str:
        consensus = self._consensus.consensus
        return 'follower only' if consensus is None else consensus.role

    def _publish(self, topic: str, payload: bytes) -> None:
        # Wall-clock time keeps versions increasing across restarts of the VM.
        self._summary_version = max(
            self._summary_version + 1, self._clock.wall_ms()
        )
        self._limits.membership.publish_summary(
            topic, self._summary_version, payload
        )

    def _connect_gossip(self) -> None:
        follower = self._consensus.follower
        membership = self._limits.membership
        membership.listeners.add_tombstone_listener(
            lambda digest: follower.accept_withdrawals((digest,))
        )
        membership.listeners.add_summary_listener(self._on_summary)
        follower.add_withdrawal_listener(self._publish_withdrawals)
        self._routing.attach_publisher(
            lambda payload: self._publish(_REGION_TOPIC, payload)
        )

    def _on_summary(self, summary: Summary) -> None:
        if summary.topic == _REGION_TOPIC:
            self._routing.on_summary(summary.origin, summary.payload)
        elif summary.topic == _STATUS_TOPIC:
            self._status.on_report(summary.origin, summary.payload)

    def _publish_withdrawals(self, digests: frozenset[bytes]) -> None:
        for digest in digests:
            self._limits.membership.publish_tombstone(digest)

    def _build_gateway(self) -> Gateway:
        consensus = self._consensus
        return build_gateway(
            GatewayDependencies(
                settings=self._settings,
                clock=self._clock,
                config_source=consensus.follower,
                changes=consensus.changes,
                claims=consensus.claims,
                limits=self._limits.lending,
                membership=self._limits.membership,
                router=self._routing.router,
                registry=self._routing.registry,
                catalog=self._routing,
                status=self._status,
                publish_tombstone=lambda digest: (
                    consensus.follower.accept_withdrawals((digest,))
                ),
                events=self._events,
            )
        )


async def run_daemon(settings: Settings) -> int:
    """Run a daemon until SIGTERM or SIGINT; return the exit code."""
    on_violation(lambda sentence: abort_process(InvariantViolation(sentence)))
    daemon = Daemon(settings)
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, daemon.request_stop)
    await daemon.start()
    await daemon.run_until_stopped()
    return 0
