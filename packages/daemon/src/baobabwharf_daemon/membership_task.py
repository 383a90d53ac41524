"""Exchange heartbeats with other VMs and tell which of them are alive."""

import asyncio
import random
from collections.abc import Callable, Coroutine
from typing import Any, final

from baobabwharf_core.clock import Clock
from baobabwharf_core.ids import Incarnation, VmId
from baobabwharf_core.model import VmRecord
from baobabwharf_decisions.membership import (
    Callbacks,
    Exchange,
    ExchangeReply,
    FreezeDetector,
    MembershipCore,
    Probe,
    Summary,
)
from baobabwharf_decisions.membership.table import DEAD

from baobabwharf_daemon.fail_fast import spawn
from baobabwharf_daemon.interfaces import ConfigSource, MembershipView
from baobabwharf_daemon.log import get_logger
from baobabwharf_daemon.rpc import RpcClient, RpcServer
from baobabwharf_daemon.settings import Settings
from baobabwharf_daemon.task import Task
from baobabwharf_daemon.vm_records import own_record, seed_record

EXCHANGE_PATH = '/baobabwharf.Membership/Exchange'
_TICK_S = 0.05
_MAX_CALLS = 64
_LOG = get_logger('peers')


@final
class Listeners:
    """Pass on what other VMs tell."""

    def __init__(self) -> None:
        self._tombstone: list[Callable[[bytes], None]] = []
        self._summary: list[Callable[[Summary], None]] = []
        self._change: list[Callable[[], None]] = []

    def add_tombstone_listener(self, listener: Callable[[bytes], None]) -> None:
        """Call the listener with each digest that other VMs withdraw."""
        self._tombstone.append(listener)

    def add_summary_listener(self, listener: Callable[[Summary], None]) -> None:
        """Call the listener with each newer summary of another VM."""
        self._summary.append(listener)

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call the listener after a VM became alive or stopped being so."""
        self._change.append(listener)

    def tell_tombstone(self, digest: bytes) -> None:
        """Pass on the withdrawal of a key."""
        for listener in self._tombstone:
            listener(digest)

    def tell_summary(self, summary: Summary) -> None:
        """Pass on a summary of another VM."""
        for listener in self._summary:
            listener(summary)

    def tell_change(self) -> None:
        """Pass on that the live VMs changed."""
        for listener in self._change:
            listener()


@final
class MembershipTask(Task, MembershipView):
    """Own the membership core; every call runs on the event loop."""

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        rng: random.Random,
        client: RpcClient,
        source: ConfigSource,
    ) -> None:
        self._clock = clock
        self._client = client
        self._source = source
        self.listeners = Listeners()
        self._running: set[asyncio.Task[Any]] = set()
        self._core = MembershipCore(
            own_record(settings, Incarnation(clock.wall_ms())),
            tuple(seed_record(peer) for peer in settings.peers),
            Callbacks(
                self.listeners.tell_tombstone,
                self.listeners.tell_summary,
                self._members_changed,
            ),
            rng,
            FreezeDetector(clock.now_ms(), clock.wall_ms()),
        )

    @property
    def core(self) -> MembershipCore:
        """Return the membership core, for operators and tests."""
        return self._core

    def register(self, server: RpcServer) -> None:
        """Serve Membership.Exchange."""
        server.register_unary(
            EXCHANGE_PATH, Exchange, ExchangeReply, self._serve
        )

    async def start(self) -> None:
        """Begin to probe other VMs."""
        self._spawn(self._tick_forever())
        self._spawn(self._follow_config())

    async def stop(self) -> None:
        """Stop probing."""
        running = tuple(self._running)
        for job in running:
            job.cancel()
        await asyncio.gather(*running, return_exceptions=True)

    def live_vms(self) -> tuple[VmRecord, ...]:
        """Return VMs that are alive and not stopping, this VM included."""
        return self._core.live()

    def announce_leaving(self) -> None:
        """Tell the others at once that this VM stops."""
        self._send_all(self._core.leave())

    def publish_tombstone(self, digest: bytes) -> None:
        """Spread the withdrawal of a key, ahead of the log."""
        self._core.items.publish_tombstone(digest)

    def publish_summary(self, topic: str, version: int, payload: bytes) -> None:
        """Spread a summary; a topic keeps only its highest version."""
        origin = self._core.own.record.vm_id
        summary = Summary(topic, origin, version, payload)
        self._core.items.publish_summary(summary)

    def summaries(self, topic: str) -> tuple[Summary, ...]:
        """Return the newest summary of each VM."""
        return self._core.items.summaries(topic)

    async def _serve(self, request: Exchange) -> ExchangeReply:
        self._core.absorb(request.sender, request, self._clock.now_ms())
        reached = True
        if request.target is not None:
            reached = await self._reach(request.target)
        return self._core.composer.reply(request, reached)

    async def _reach(self, target: VmId) -> bool:
        probe = self._core.forward(target)
        return probe is not None and await self._send(probe)

    async def _tick_forever(self) -> None:
        while True:
            now_ms = self._clock.now_ms()
            self._send_all(self._core.tick(now_ms, self._clock.wall_ms()))
            await asyncio.sleep(_TICK_S)

    async def _follow_config(self) -> None:
        changes = self._source.subscribe()
        registered = self._source.config.vms
        while True:
            self._core.learn_records(tuple(registered.values()))
            self._core.forget_removed(frozenset(registered))
            registered = (await changes.get()).vms

    def _send_all(self, probes: list[Probe]) -> None:
        for probe in probes:
            if len(self._running) < _MAX_CALLS:
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
            following = self._core.answered(probe.probe_id, reply, now_ms)
        else:
            following = self._core.failed(probe.probe_id, now_ms)
            # A half-open connection to a dead VM never recovers by itself.
            if self._core.state_of(probe.to) == DEAD:
                self._client.reset(probe.address)
        self._send_all(following)
        return outcome.is_ok()

    def _members_changed(self) -> None:
        live = sorted(record.vm_id for record in self._core.live())
        _LOG.info('Live VMs are %s.', ', '.join(live))
        self.listeners.tell_change()

    def _spawn(self, job: Coroutine[Any, Any, Any]) -> None:
        running = spawn(job)
        self._running.add(running)
        running.add_done_callback(self._running.discard)
