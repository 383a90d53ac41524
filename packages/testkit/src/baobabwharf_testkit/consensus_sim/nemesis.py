"""Cause faults at random, within what the design promises to survive."""

from collections.abc import Callable
from typing import final

from baobabwharf_decisions.consensus.messages import MembershipStep

from baobabwharf_testkit.consensus_sim.checks import SafetyChecks
from baobabwharf_testkit.consensus_sim.network import SimNetwork
from baobabwharf_testkit.consensus_sim.node import SimNode
from baobabwharf_testkit.consensus_sim.rebuild import Rebuild
from baobabwharf_testkit.consensus_sim.timeline import Timeline


@final
class Nemesis:
    """Partition, crash, freeze, wipe and change the membership."""

    def __init__(
        self,
        timeline: Timeline,
        network: SimNetwork,
        nodes: list[SimNode],
        checks: SafetyChecks,
    ) -> None:
        self._timeline = timeline
        self._network = network
        self._nodes = nodes
        self._checks = checks
        self._calm = False
        self._rebuild = Rebuild(timeline, nodes)
        self._acts: tuple[Callable[[], None], ...] = (
            self._partition,
            self._isolate_one_way,
            self._isolate_leader,
            self._network.heal,
            self._network.heal,
            self._disturb,
            self._crash,
            self._crash,
            self._crash_all,
            self._freeze,
            self._rebuild.wipe,
            self._change_membership,
            self._change_membership,
            self._transfer,
        )

    def act(self) -> None:
        """Cause one fault, and another one later."""
        if self._calm:
            return
        generator = self._timeline.random
        chosen = generator.choice(self._acts)
        self._timeline.note(chosen.__name__)
        chosen()
        self._timeline.after(100 + generator.random() * 700, self.act)

    def calm(self) -> None:
        """End all faults and start everything that is down."""
        self._calm = True
        self._network.heal()
        for node in self._nodes:
            node.frozen_until_ms = 0.0
            self._restart(node)

    def _pick(self) -> SimNode:
        return self._timeline.random.choice(self._nodes)

    def _leader(self) -> SimNode | None:
        leading = [node for node in self._nodes if node.leads]
        return self._timeline.random.choice(leading) if leading else None

    def _partition(self) -> None:
        inside = {
            node.vm_id for node in self._nodes if self._timeline.chance(50)
        }
        for one in self._nodes:
            for other in self._nodes:
                if (one.vm_id in inside) != (other.vm_id in inside):
                    self._network.blocked.add((one.vm_id, other.vm_id))

    def _isolate_one_way(self) -> None:
        victim = self._pick().vm_id
        sends = self._timeline.chance(50)
        for node in self._nodes:
            pair = (victim, node.vm_id) if sends else (node.vm_id, victim)
            self._network.blocked.add(pair)

    def _isolate_leader(self) -> None:
        leader = self._leader()
        if leader is None:
            return
        for node in self._nodes:
            self._network.blocked.add((leader.vm_id, node.vm_id))
            self._network.blocked.add((node.vm_id, leader.vm_id))

    def _disturb(self) -> None:
        generator = self._timeline.random
        self._network.drop_share = generator.choice((0.0, 0.05, 0.3))
        self._network.repeat_share = generator.choice((0.0, 0.2))
        self._network.delay_ms = generator.choice((1.0, 20.0, 80.0))
        self._network.jitter_ms = generator.choice((1.0, 50.0, 300.0))

    def _crash(self) -> None:
        node = self._leader() if self._timeline.chance(50) else None
        node = node or self._pick()
        if node.core is not None:
            node.crash()
            self._restart_later(node)

    def _crash_all(self) -> None:
        for node in self._nodes:
            if node.core is not None:
                node.crash()
                self._restart_later(node)

    def _restart_later(self, node: SimNode) -> None:
        pause_ms = 20 + self._timeline.random.random() * 1500
        self._timeline.after(pause_ms, lambda: self._restart(node))

    def _restart(self, node: SimNode) -> None:
        if node.core is None and not node.lost:
            node.start()

    def _freeze(self) -> None:
        length_ms = 200 + self._timeline.random.random() * 2500
        self._pick().frozen_until_ms = self._timeline.now_ms + length_ms

    def _change_membership(self) -> None:
        leader = self._leader()
        node = self._pick()
        if leader is None or leader.core is None or node.lost:
            return
        membership = leader.core.status.membership
        if node.vm_id in membership.learners:
            step = MembershipStep.PROMOTE
        elif node.vm_id in membership.voters:
            return
        else:
            step = MembershipStep.ADD_LEARNER
        leader.core.change_membership(step, node.vm_id)
        leader.pump()

    def _transfer(self) -> None:
        leader = self._leader()
        target = self._pick()
        if leader is not None and leader.core is not None:
            leader.core.transfer(target.vm_id)
            leader.pump()
