"""Run membership cores in a simulated fleet and count cost and errors."""

import random
import time
from typing import Any, final

from baobabwharf_core.codec import encode
from baobabwharf_core.fleet_config import VmRecord
from baobabwharf_core.ids import Incarnation, RegionId, VmId, ZoneId
from baobabwharf_decisions.membership import (
    Callbacks,
    ExchangeReply,
    FreezeDetector,
    MembershipCore,
    Probe,
)

from baobabwharf_testkit.limits_fleet import vm_regions
from baobabwharf_testkit.limits_simulation import Network, Simulation

_US_PER_S = 1_000_000
_TICK_US = 50_000


@final
class MemberNode:
    """Drive one core and count the bytes that it sends."""

    def __init__(self, fleet: 'MemberFleet', record: VmRecord) -> None:
        self._fleet = fleet
        self.vm_id = str(record.vm_id)
        self.alive = True
        self.bytes_sent = 0
        self.tombstones: list[bytes] = []
        seeds = tuple(fleet.records[:3])
        self.core = MembershipCore(
            record,
            tuple(seed for seed in seeds if seed.vm_id != record.vm_id),
            Callbacks(self.tombstones.append, _discard, _discard),
            random.Random(fleet.simulation.rng.random()),
            FreezeDetector(0, 0),
        )

    @property
    def now_ms(self) -> int:
        """Return the time in ms."""
        return self._fleet.simulation.now_us // 1000

    def tick(self) -> None:
        """Send due probes, at every tick until the VM is killed."""
        if self.alive:
            self.send_all(self.core.tick(self.now_ms, self.now_ms))
            self._fleet.simulation.call_later(_TICK_US, self.tick)

    def send_all(self, probes: list[Probe]) -> None:
        """Send probes, each with a timeout."""
        for probe in probes:
            self._call(probe, lambda _reached: None)

    def _call(self, probe: Probe, done: Any) -> None:
        self.bytes_sent += len(encode(probe.message))
        peer = self._fleet.nodes[probe.to]
        _PendingCall(self, probe, done).expire_after(probe.timeout_ms)
        call = self._fleet.last_call
        self._send(peer, lambda: peer.serve(probe, self, call))

    def serve(self, probe: Probe, caller: 'MemberNode', call: Any) -> None:
        """Reply to a probe, after probing its target if it names one."""
        self.core.merge(probe.message.sender, probe.message, self.now_ms)
        target = probe.message.target
        forwarded = None if target is None else self.core.indirect_probe(target)
        if forwarded is None:
            self._answer(probe, caller, call, target is None)
            return
        self._call(
            forwarded,
            lambda reached: self._answer(probe, caller, call, reached),
        )

    def _answer(
        self, probe: Probe, caller: 'MemberNode', call: Any, reached: bool
    ) -> None:
        reply = self.core.message_builder.reply(probe.message, reached)
        self.bytes_sent += len(encode(reply))
        self._send(caller, lambda: call.finish(reply))

    def _send(self, to: 'MemberNode', action: Any) -> None:
        def deliver() -> None:
            if to.alive:
                action()

        self._fleet.network.send(self.vm_id, to.vm_id, deliver)

    def schedule(self, delay_ms: int, action: Any) -> None:
        """Schedule an action after a delay."""
        self._fleet.simulation.call_later(delay_ms * 1000, action)

    def set_last_call(self, call: Any) -> None:
        """Store the call whose probe is sent next."""
        self._fleet.last_call = call


@final
class _PendingCall:
    def __init__(self, node: MemberNode, probe: Probe, done: Any) -> None:
        self._node = node
        self._probe_id = probe.probe_id
        self._done = done
        self._open = True
        node.set_last_call(self)

    def expire_after(self, timeout_ms: int) -> None:
        self._node.schedule(timeout_ms, self._expire)

    def finish(self, reply: ExchangeReply) -> None:
        if self._open:
            self._open = False
            node = self._node
            node.send_all(
                node.core.answered(self._probe_id, reply, node.now_ms)
            )
            self._done(True)

    def _expire(self) -> None:
        if self._open and self._node.alive:
            self._open = False
            node = self._node
            node.send_all(node.core.failed(self._probe_id, node.now_ms))
            self._done(False)


@final
class MemberFleet:
    """Hold all cores of one run."""

    def __init__(self, count: int, loss: float, seed: int) -> None:
        self.simulation = Simulation(seed)
        regions = vm_regions(count)
        self.network = Network(self.simulation, regions, loss, 0)
        self.records = [
            _vm_record(vm_id, region) for vm_id, region in regions.items()
        ]
        self.last_call: Any = None
        self.nodes = {
            record.vm_id: MemberNode(self, record) for record in self.records
        }
        for node in self.nodes.values():
            self.simulation.call_later(
                self.simulation.rng.randrange(_TICK_US), node.tick
            )

    def seen_by_all(self, vm_id: VmId) -> bool:
        """Return whether all other live VMs count the VM as alive."""
        return all(self._live_views(vm_id))

    def seen_by_any(self, vm_id: VmId) -> bool:
        """Return whether another live VM counts the VM as alive."""
        return any(self._live_views(vm_id))

    def all_see_all(self) -> bool:
        """Return whether all live VMs count all others as alive."""
        return all(self.seen_by_all(vm_id) for vm_id in self.nodes)

    def _live_views(self, vm_id: VmId) -> list[bool]:
        return [
            node.core.state_of(vm_id) in {'alive', 'suspect'}
            for node in self.nodes.values()
            if node.alive and node.vm_id != vm_id
        ]


def run_membership(
    count: int,
    loss: float,
    seed: int,
    seconds: int,
    join_timeout_s: int = 120,
) -> dict[str, Any]:
    """Return wrongful removals, detection time and cost for each VM."""
    fleet = MemberFleet(count, loss, seed)
    joined_us = _run_until_joined(fleet, join_timeout_s * _US_PER_S)
    before = sum(node.bytes_sent for node in fleet.nodes.values())
    started_s = time.process_time()
    bad_samples = 0
    end_us = joined_us + seconds * _US_PER_S
    for sample_us in range(joined_us, end_us, 100_000):
        fleet.simulation.run(sample_us)
        bad_samples += not fleet.all_see_all() if count < 100 else 0
    cpu_s = time.process_time() - started_s
    sent = sum(node.bytes_sent for node in fleet.nodes.values()) - before
    return {
        'vms': count,
        'loss': loss,
        'seed': seed,
        'joined_ms': joined_us // 1000,
        'moments_with_a_live_vm_missing': bad_samples,
        'killed_gone_ms': _measure_removal_ms(fleet, end_us),
        'bytes_per_s_per_vm': sent // seconds // count,
        'cpu_percent_per_vm': round(100 * cpu_s / seconds / count, 3),
    }


def _run_until_joined(fleet: MemberFleet, timeout_us: int) -> int:
    for sample_us in range(_US_PER_S, timeout_us, _US_PER_S // 2):
        fleet.simulation.run(sample_us)
        if fleet.all_see_all():
            return sample_us
    return timeout_us


def _measure_removal_ms(fleet: MemberFleet, now_us: int) -> int | None:
    victim = list(fleet.nodes)[-1]
    fleet.nodes[victim].alive = False
    for step in range(200):
        fleet.simulation.run(now_us + step * 20_000)
        if not fleet.seen_by_any(victim):
            return step * 20
    return None


def _vm_record(vm_id: str, region: str) -> VmRecord:
    return VmRecord(
        VmId(vm_id),
        RegionId(region),
        ZoneId(region),
        False,
        '127.0.0.1:7000',
        '127.0.0.1:7001',
        'http://127.0.0.1:7002',
        Incarnation(1),
    )


def _discard(*_content: Any) -> None:
    """Ignore a callback that the run does not use."""
