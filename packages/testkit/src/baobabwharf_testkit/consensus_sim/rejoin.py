"""Check that a replica that rejoins does not depose the leader."""

import msgspec
from baobabwharf_core.ids import VmId
from baobabwharf_decisions.consensus.messages import (
    Membership,
    Options,
    Snapshot,
)

from baobabwharf_testkit.consensus_sim.checks import SafetyChecks
from baobabwharf_testkit.consensus_sim.disk import SimDisk
from baobabwharf_testkit.consensus_sim.event_scheduler import EventScheduler
from baobabwharf_testkit.consensus_sim.faults import Fault, require
from baobabwharf_testkit.consensus_sim.network import SimNetwork
from baobabwharf_testkit.consensus_sim.node import SimNode

_VOTERS = (VmId('vm-0'), VmId('vm-1'), VmId('vm-2'))
_SETTLE_MS = 8000.0
_ISOLATION_MS = 10_000.0


def run_rejoin(seed: int, fault: Fault) -> None:
    """Isolate one follower for a while; leader and term must not change."""
    scheduler = EventScheduler(seed)
    nodes: dict[VmId, SimNode] = {}
    network = SimNetwork(
        scheduler, lambda vm, message: nodes[vm].receive(message)
    )
    checks = SafetyChecks()
    for vm_id in _VOTERS:
        nodes[vm_id] = _make_node(vm_id, scheduler, network, checks, fault)
    for replica in nodes.values():
        replica.start()
    scheduler.run_until(_SETTLE_MS)
    before = _leaders(nodes)
    followers = [node.vm_id for node in nodes.values() if not node.leads]
    _isolate(network, scheduler.random.choice(followers))
    scheduler.run_until(_SETTLE_MS + _ISOLATION_MS)
    network.heal()
    scheduler.run_until(_SETTLE_MS + 2 * _ISOLATION_MS)
    require(
        before == _leaders(nodes),
        'undisturbed leader',
        'A replica that rejoined after a partition deposed the leader.',
    )


def _make_node(
    vm_id: VmId,
    scheduler: EventScheduler,
    network: SimNetwork,
    checks: SafetyChecks,
    fault: Fault,
) -> SimNode:
    disk = SimDisk(Snapshot(membership=Membership(_VOTERS)), fault)
    options = msgspec.structs.replace(
        Options(), pre_vote=fault is not Fault.NO_PRE_VOTE
    )
    return SimNode(vm_id, scheduler, checks, disk, network.send, options, fault)


def _isolate(network: SimNetwork, isolated: VmId) -> None:
    for peer in _VOTERS:
        network.blocked.add((isolated, peer))
        network.blocked.add((peer, isolated))


def _leaders(nodes: dict[VmId, SimNode]) -> list[tuple[VmId, int]]:
    return [
        (vm_id, node.core.status.term)
        for vm_id, node in nodes.items()
        if node.core is not None and node.leads
    ]
