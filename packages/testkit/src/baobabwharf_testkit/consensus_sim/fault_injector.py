"""Cause faults at random, within what the design promises to survive."""

from collections.abc import Callable
from functools import partial
from typing import final

from baobabwharf_decisions.consensus.messages import MembershipStep

from baobabwharf_testkit.consensus_sim.checks import SafetyChecks
from baobabwharf_testkit.consensus_sim.crash_injector import Crashes
from baobabwharf_testkit.consensus_sim.disk_loss import Rebuild
from baobabwharf_testkit.consensus_sim.event_scheduler import Timeline
from baobabwharf_testkit.consensus_sim.network import SimNetwork
from baobabwharf_testkit.consensus_sim.node import SimNode

# With fewer voters one lost disk would stop the group.
_LEAST_VOTERS = 3
# The bridge restarts so often that a vote and the next request of the same
# term fall into two of its lives.
_BRIDGE_MS = 1500
_BLINK_MS = 60


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
        self._pause_ms = timeline.random.choice((300.0, 1500.0))
        self._rebuild = Rebuild(timeline, nodes)
        self._crashes = Crashes(timeline, nodes)
        self._acts: tuple[Callable[[], None], ...] = (
            self._partition,
            self._isolate_one_way,
            self._isolate_leader,
            self._network.heal,
            self._network.heal,
            self._disturb,
            self._crashes.crash,
            self._crashes.crash,
            self._crashes.crash_all,
            self._crashes.blink,
            self._crashes.slow_disks,
            self._bridge,
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
        self._timeline.after(self._pause_ms * generator.random(), self.act)

    def calm(self) -> None:
        """End all faults and start everything that is down."""
        self._calm = True
        self._network.heal()
        for node in self._nodes:
            node.frozen_until_ms = 0.0
        self._crashes.calm()

    def grow(self) -> None:
        """Add a learner while nobody proposes anything."""
        leader = self._leader()
        if leader is None or leader.core is None:
            return
        members = leader.core.status.membership.members
        spare = [node for node in self._nodes if node.vm_id not in members]
        if spare and not spare[0].lost:
            step = MembershipStep.ADD_LEARNER
            leader.core.change_membership(step, spare[0].vm_id)
            leader.pump()

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

    def _bridge(self) -> None:
        """Let one replica alone hear both sides, and restart it often."""
        bridge = self._pick()
        sides = {node.vm_id: self._timeline.chance(50) for node in self._nodes}
        for one in self._nodes:
            for other in self._nodes:
                apart = sides[one.vm_id] != sides[other.vm_id]
                if apart and bridge not in {one, other}:
                    self._network.blocked.add((one.vm_id, other.vm_id))
        self._network.jitter_ms = 200.0
        self._crashes.blink()
        for step_ms in range(0, _BRIDGE_MS, _BLINK_MS):
            self._timeline.after(
                step_ms, partial(self._crashes.blink_one, bridge)
            )

    def _disturb(self) -> None:
        generator = self._timeline.random
        self._network.drop_share = generator.choice((0.0, 0.05, 0.3))
        self._network.repeat_share = generator.choice((0.0, 0.2))
        self._network.delay_ms = generator.choice((1.0, 20.0, 80.0))
        self._network.jitter_ms = generator.choice((1.0, 50.0, 300.0))

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
            step = MembershipStep.REMOVE
        else:
            step = MembershipStep.ADD_LEARNER
        few = len(membership.voters) <= _LEAST_VOTERS
        if few and step is MembershipStep.REMOVE:
            return
        leader.core.change_membership(step, node.vm_id)
        leader.pump()

    def _transfer(self) -> None:
        leader = self._leader()
        target = self._pick()
        if leader is not None and leader.core is not None:
            leader.core.transfer(target.vm_id)
            leader.pump()
