"""Probe other VMs, exchange gossip and track which are alive."""

import asyncio
import random
from collections.abc import Callable, Coroutine
from typing import Any, final

from baobabwharf_core.clock import Clock
from baobabwharf_core.fleet_config import VmRecord
from baobabwharf_core.ids import Incarnation, VmId
from baobabwharf_decisions.membership import (
    Callbacks,
    Exchange,
    ExchangeReply,
    FreezeDetector,
    MembershipCore,
    Probe,
    Summary,
)
from baobabwharf_decisions.membership.member_table import DEAD

from baobabwharf_daemon.fail_fast import spawn
from baobabwharf_daemon.interfaces import ConfigSource, MembershipView
from baobabwharf_daemon.log import get_logger
from baobabwharf_daemon.rpc import RpcClient, RpcServer
from baobabwharf_daemon.settings import Settings
from baobabwharf_daemon.task import Task
from baobabwharf_daemon.vm_records import own_record, seed_record

EXCHANGE_PATH = '/baobabwharf.Membership/Exchange'
_TICK_S = 0.05
_MAX_PENDING_CALLS = 64
_log = get_logger('peers')


@final
class GossipListeners:
    """Notify other tasks of what arrives by gossip."""

    def __init__(self) -> None:
        self._tombstone_listeners: list[Callable[[bytes], None]] = []
        self._summary_listeners: list[Callable[[Summary], None]] = []
        self._change_listeners: list[Callable[[], None]] = []

    def add_tombstone_listener(self, listener: Callable[[bytes], None]) -> None:
        """Call the listener with each key digest that other VMs withdraw."""
        self._tombstone_listeners.append(listener)

    def add_summary_listener(self, listener: Callable[[Summary], None]) -> None:
        """Call the listener with each newer summary of another VM."""
        self._summary_listeners.append(listener)

    def add_change_listener(self, listener: Callable[[], None]) -> None:
        """Call the listener whenever the set of live VMs changes."""
        self._change_listeners.append(listener)

    def notify_tombstone(self, digest: bytes) -> None:
        """Notify of the withdrawal of a key."""
        for listener in self._tombstone_listeners:
            listener(digest)

    def notify_summary(self, summary: Summary) -> None:
        """Notify of a newer summary of another VM."""
        for listener in self._summary_listeners:
            listener(summary)

    def notify_change(self) -> None:
        """Notify of a change in the set of live VMs."""
        for listener in self._change_listeners:
            listener()


@final
class MembershipTask(Task, MembershipView):
    """Track the live VMs and exchange gossip with them."""

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        rng: random.Random,
        client: RpcClient,
        config_source: ConfigSource,
    ) -> None:
        self._clock = clock
        self._client = client
        self._config_source = config_source
        self.listeners = GossipListeners()
        self._tasks: set[asyncio.Task[Any]] = set()
        self._core = MembershipCore(
            own_record(settings, Incarnation(clock.wall_ms())),
            tuple(seed_record(peer) for peer in settings.peers),
            Callbacks(
                self.listeners.notify_tombstone,
                self.listeners.notify_summary,
                self._on_members_changed,
            ),
            rng,
            FreezeDetector(clock.now_ms(), clock.wall_ms()),
            prefer_region=settings.overload_control,
        )

    @property
    def core(self) -> MembershipCore:
        """Return the membership core, to ask for more than the live VMs."""
        return self._core

    def register(self, server: RpcServer) -> None:
        """Serve Membership.Exchange."""
        server.register_unary(
            EXCHANGE_PATH, Exchange, ExchangeReply, self._serve
        )

    async def start(self) -> None:
        """Start probing other VMs."""
        self._spawn(self._tick_forever())
        self._spawn(self._follow_config())

    async def stop(self) -> None:
        """Stop probing."""
        tasks = tuple(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def live_vms(self) -> tuple[VmRecord, ...]:
        """Return VMs that are alive and not stopping, this VM included."""
        return self._core.live()

    def announce_leaving(self) -> None:
        """Announce at once to the other VMs that this VM is stopping."""
        self._send_all(self._core.leave())

    def publish_tombstone(self, digest: bytes) -> None:
        """Gossip the withdrawal of a key, ahead of the replicated log."""
        self._core.gossip_store.publish_tombstone(digest)

    def publish_summary(self, topic: str, version: int, payload: bytes) -> None:
        """Gossip a summary; only the highest version of a topic is kept."""
        origin = self._core.own.record.vm_id
        summary = Summary(topic, origin, version, payload)
        self._core.gossip_store.publish_summary(summary)

    def summaries(self, topic: str) -> tuple[Summary, ...]:
        """Return the newest summary of each VM on a topic."""
        return self._core.gossip_store.summaries(topic)

    async def _serve(self, request: Exchange) -> ExchangeReply:
        self._core.merge(request.sender, request, self._clock.now_ms())
        reached = True
        if request.target is not None:
            reached = await self._forward_probe(request.target)
        return self._core.message_builder.reply(request, reached)

    async def _forward_probe(self, target: VmId) -> bool:
        probe = self._core.indirect_probe(target)
        return probe is not None and await self._send(probe)

    async def _tick_forever(self) -> None:
        while True:
            now_ms = self._clock.now_ms()
            self._send_all(self._core.tick(now_ms, self._clock.wall_ms()))
            await asyncio.sleep(_TICK_S)

    async def _follow_config(self) -> None:
        changes = self._config_source.subscribe()
        registered = self._config_source.config.vms
        while True:
            self._core.add_records(tuple(registered.values()))
            self._core.forget_removed(frozenset(registered))
            registered = (await changes.get()).vms

    def _send_all(self, probes: list[Probe]) -> None:
        for probe in probes:
            if len(self._tasks) < _MAX_PENDING_CALLS:
                self._spawn(self._send(probe))

    async def _send(self, probe: Probe) -> bool:
        outcome = await self._client.call(
            probe.address,
            EXCHANGE_PATH,
            probe.message,
            ExchangeReply,
            probe.timeout_ms,
        )
        now_ms = self._clock.now_ms()
        if outcome.is_ok():
            reply: ExchangeReply = outcome.ok
            next_probes = self._core.answered(probe.probe_id, reply, now_ms)
        else:
            next_probes = self._core.failed(probe.probe_id, now_ms)
            # A half-open connection to a dead VM never recovers by itself.
            if self._core.state_of(probe.to) == DEAD:
                self._client.reset(probe.address)
        self._send_all(next_probes)
        return outcome.is_ok()

    def _on_members_changed(self) -> None:
        live = sorted(record.vm_id for record in self._core.live())
        _log.info('Live VMs: %s.', ', '.join(live))
        self.listeners.notify_change()

    def _spawn(self, coroutine: Coroutine[Any, Any, Any]) -> None:
        task = spawn(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
