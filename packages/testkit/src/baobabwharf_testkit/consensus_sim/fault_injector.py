"""Inject random faults that the design must survive."""

from collections.abc import Callable
from functools import partial
from typing import final

from baobabwharf_decisions.consensus.messages import MembershipChange

from baobabwharf_testkit.consensus_sim.checks import SafetyChecks
from baobabwharf_testkit.consensus_sim.crash_injector import CrashInjector
from baobabwharf_testkit.consensus_sim.disk_loss import DiskLossInjector
from baobabwharf_testkit.consensus_sim.event_scheduler import EventScheduler
from baobabwharf_testkit.consensus_sim.network import SimNetwork
from baobabwharf_testkit.consensus_sim.node import SimNode

# With fewer voters the loss of one disk would stop the group.
_MIN_VOTERS = 3
# The bridge node restarts so often that a restart falls between its vote and
# the next vote request of the same term.
_BRIDGE_DURATION_MS = 1500
_RESTART_INTERVAL_MS = 60


@final
class FaultInjector:
    """Partition the network, disturb replicas and change the membership."""

    def __init__(
        self,
        scheduler: EventScheduler,
        network: SimNetwork,
        nodes: list[SimNode],
        checks: SafetyChecks,
    ) -> None:
        self._scheduler = scheduler
        self._network = network
        self._nodes = nodes
        self._checks = checks
        self._stopped = False
        self._pause_ms = scheduler.random.choice((300.0, 1500.0))
        self._disk_loss = DiskLossInjector(scheduler, nodes)
        self._crash_injector = CrashInjector(scheduler, nodes)
        self._faults: tuple[Callable[[], None], ...] = (
            self._partition,
            self._isolate_one_way,
            self._isolate_leader,
            self._network.heal,
            self._network.heal,
            self._degrade_network,
            self._crash_injector.crash,
            self._crash_injector.crash,
            self._crash_injector.crash_all,
            self._crash_injector.restart_all,
            self._crash_injector.slow_disks,
            self._bridge,
            self._freeze,
            self._disk_loss.wipe,
            self._change_membership,
            self._change_membership,
            self._transfer_leadership,
        )

    def inject_next(self) -> None:
        """Inject one fault and schedule the next."""
        if self._stopped:
            return
        generator = self._scheduler.random
        chosen = generator.choice(self._faults)
        self._scheduler.add_to_trace(chosen.__name__)
        chosen()
        self._scheduler.call_later(
            self._pause_ms * generator.random(), self.inject_next
        )

    def stop_faults(self) -> None:
        """End all faults and restart all replicas that are down."""
        self._stopped = True
        self._network.heal()
        for node in self._nodes:
            node.frozen_until_ms = 0.0
        self._crash_injector.stop_faults()

    def add_learner(self) -> None:
        """Add a learner while no client proposes changes."""
        leader = self._leader()
        if leader is None or leader.core is None:
            return
        members = leader.core.status.membership.members
        outsiders = [node for node in self._nodes if node.vm_id not in members]
        if outsiders and not outsiders[0].disk_lost:
            step = MembershipChange.ADD_LEARNER
            leader.core.change_membership(step, outsiders[0].vm_id)
            leader.process_output()

    def _choose_node(self) -> SimNode:
        return self._scheduler.random.choice(self._nodes)

    def _leader(self) -> SimNode | None:
        leaders = [node for node in self._nodes if node.leads]
        return self._scheduler.random.choice(leaders) if leaders else None

    def _partition(self) -> None:
        first_side = {
            node.vm_id for node in self._nodes if self._scheduler.chance(50)
        }
        for sender in self._nodes:
            for receiver in self._nodes:
                if (sender.vm_id in first_side) != (
                    receiver.vm_id in first_side
                ):
                    self._network.blocked.add((sender.vm_id, receiver.vm_id))

    def _isolate_one_way(self) -> None:
        isolated = self._choose_node().vm_id
        outgoing = self._scheduler.chance(50)
        for node in self._nodes:
            link = (
                (isolated, node.vm_id) if outgoing else (node.vm_id, isolated)
            )
            self._network.blocked.add(link)

    def _isolate_leader(self) -> None:
        leader = self._leader()
        if leader is None:
            return
        for node in self._nodes:
            self._network.blocked.add((leader.vm_id, node.vm_id))
            self._network.blocked.add((node.vm_id, leader.vm_id))

    def _bridge(self) -> None:
        """Partition all nodes but one, and restart that one often."""
        bridge = self._choose_node()
        sides = {node.vm_id: self._scheduler.chance(50) for node in self._nodes}
        for sender in self._nodes:
            for receiver in self._nodes:
                separated = sides[sender.vm_id] != sides[receiver.vm_id]
                if separated and bridge not in {sender, receiver}:
                    self._network.blocked.add((sender.vm_id, receiver.vm_id))
        self._network.jitter_ms = 200.0
        self._crash_injector.restart_all()
        for step_ms in range(0, _BRIDGE_DURATION_MS, _RESTART_INTERVAL_MS):
            self._scheduler.call_later(
                step_ms, partial(self._crash_injector.restart_one, bridge)
            )

    def _degrade_network(self) -> None:
        generator = self._scheduler.random
        self._network.drop_rate = generator.choice((0.0, 0.05, 0.3))
        self._network.duplicate_rate = generator.choice((0.0, 0.2))
        self._network.delay_ms = generator.choice((1.0, 20.0, 80.0))
        self._network.jitter_ms = generator.choice((1.0, 50.0, 300.0))

    def _freeze(self) -> None:
        duration_ms = 200 + self._scheduler.random.random() * 2500
        self._choose_node().frozen_until_ms = (
            self._scheduler.now_ms + duration_ms
        )

    def _change_membership(self) -> None:
        leader = self._leader()
        node = self._choose_node()
        if leader is None or leader.core is None or node.disk_lost:
            return
        membership = leader.core.status.membership
        if node.vm_id in membership.learners:
            step = MembershipChange.PROMOTE
        elif node.vm_id in membership.voters:
            step = MembershipChange.REMOVE
        else:
            step = MembershipChange.ADD_LEARNER
        at_minimum = len(membership.voters) <= _MIN_VOTERS
        if at_minimum and step is MembershipChange.REMOVE:
            return
        leader.core.change_membership(step, node.vm_id)
        leader.process_output()

    def _transfer_leadership(self) -> None:
        leader = self._leader()
        target = self._choose_node()
        if leader is not None and leader.core is not None:
            leader.core.transfer(target.vm_id)
            leader.process_output()
