"""Check that a replica that was cut off does not depose its leader."""

import msgspec
from baobabwharf_core.ids import VmId
from baobabwharf_decisions.consensus.messages import (
    Membership,
    Options,
    Snapshot,
)

from baobabwharf_testkit.consensus_sim.checks import SafetyChecks
from baobabwharf_testkit.consensus_sim.disk import SimDisk
from baobabwharf_testkit.consensus_sim.event_scheduler import Timeline
from baobabwharf_testkit.consensus_sim.faults import Fault, require
from baobabwharf_testkit.consensus_sim.network import SimNetwork
from baobabwharf_testkit.consensus_sim.node import SimNode

_VOTERS = (VmId('vm-0'), VmId('vm-1'), VmId('vm-2'))
_SETTLE_MS = 8000.0
_CUT_MS = 10_000.0


def run_rejoin(seed: int, fault: Fault) -> None:
    """Cut one follower off for a while; leader and term must stay."""
    timeline = Timeline(seed)
    nodes: dict[VmId, SimNode] = {}
    network = SimNetwork(timeline, lambda vm, sent: nodes[vm].receive(sent))
    checks = SafetyChecks()
    for name in _VOTERS:
        nodes[name] = _make_node(name, timeline, network, checks, fault)
    for replica in nodes.values():
        replica.start()
    timeline.run_until(_SETTLE_MS)
    before = _leaders(nodes)
    following = [node.vm_id for node in nodes.values() if not node.leads]
    _cut_off(network, timeline.random.choice(following))
    timeline.run_until(_SETTLE_MS + _CUT_MS)
    network.heal()
    timeline.run_until(_SETTLE_MS + 2 * _CUT_MS)
    require(
        before == _leaders(nodes),
        'undisturbed leader',
        'A replica that was cut off deposed the leader.',
    )


def _make_node(
    vm_id: VmId,
    timeline: Timeline,
    network: SimNetwork,
    checks: SafetyChecks,
    fault: Fault,
) -> SimNode:
    disk = SimDisk(Snapshot(membership=Membership(_VOTERS)), fault)
    options = msgspec.structs.replace(
        Options(), pre_vote=fault is not Fault.NO_PRE_VOTE
    )
    return SimNode(vm_id, timeline, checks, disk, network.send, options, fault)


def _cut_off(network: SimNetwork, victim: VmId) -> None:
    for other in _VOTERS:
        network.blocked.add((victim, other))
        network.blocked.add((other, victim))


def _leaders(nodes: dict[VmId, SimNode]) -> list[tuple[VmId, int]]:
    return [
        (vm_id, node.core.status.term)
        for vm_id, node in nodes.items()
        if node.core is not None and node.leads
    ]
