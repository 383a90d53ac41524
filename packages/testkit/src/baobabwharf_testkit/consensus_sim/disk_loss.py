"""Wipe a disk and rebuild its replica as a learner."""

from typing import final

from baobabwharf_core.ids import VmId
from baobabwharf_decisions.consensus.messages import MembershipChange

from baobabwharf_testkit.consensus_sim.event_scheduler import EventScheduler
from baobabwharf_testkit.consensus_sim.node import SimNode

_POLL_MS = 200.0


@final
class DiskLossInjector:
    """Lose one disk at a time, which the design must survive."""

    def __init__(self, scheduler: EventScheduler, nodes: list[SimNode]) -> None:
        self._scheduler = scheduler
        self._nodes = nodes
        self._node: SimNode | None = None
        self._added = False

    def wipe(self) -> None:
        """Lose a voter's disk, unless an earlier rebuild is in progress."""
        node = self._scheduler.random.choice(self._nodes)
        if self._node is not None or not self._is_member(node):
            return
        node.crash()
        node.disk.wipe()
        node.disk_lost = True
        self._node = node
        self._added = False
        self._advance()

    def _is_member(self, node: SimNode) -> bool:
        return any(
            leader.core is not None
            and leader.leads
            and leader is not node
            and node.vm_id in leader.core.status.membership.voters
            for leader in self._nodes
        )

    def _advance(self) -> None:
        node = self._node
        if node is None:
            return
        self._scheduler.call_later(_POLL_MS, self._advance)
        for leader in self._nodes:
            if leader.leads:
                self._advance_at(leader, node)

    def _advance_at(self, leader: SimNode, node: SimNode) -> None:
        core = leader.core
        if core is None:
            return
        membership = core.status.membership
        membership_committed = core.log.membership_index <= core.status.commit
        if node.vm_id not in membership.members:
            step = MembershipChange.ADD_LEARNER
            added = core.change_membership(step, node.vm_id)
            self._added = self._added or added is not None
        elif node.disk_lost and not self._added:
            core.change_membership(MembershipChange.REMOVE, node.vm_id)
        elif membership_committed:
            self._advance_learner(leader, node, membership.voters)
        leader.process_output()

    def _advance_learner(
        self, leader: SimNode, node: SimNode, voters: tuple[VmId, ...]
    ) -> None:
        if node.vm_id in voters:
            self._node = None
        elif node.disk_lost:
            node.disk_lost = False
            node.start()
        elif leader.core is not None:
            leader.core.change_membership(MembershipChange.PROMOTE, node.vm_id)
