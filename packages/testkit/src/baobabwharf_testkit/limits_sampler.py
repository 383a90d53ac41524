"""Compare what a fleet could hand out at once with what it may."""

from typing import final

from baobabwharf_testkit.limits_audit import Audit
from baobabwharf_testkit.limits_node import LimitNode, Node
from baobabwharf_testkit.limits_simulation import World

_SAMPLE_US = 20_000


@final
class Sampler:
    """Sum up what all VMs could spend, every 20 ms."""

    def __init__(self, world: World, vms: list[Node], audit: Audit) -> None:
        self._world = world
        self._vms = vms
        self._audit = audit
        self.worst = 0

    def sample(self) -> None:
        """Compare once, and again later."""
        spendable = sum(
            node.spendable()
            for node in self._vms
            if isinstance(node, LimitNode)
        )
        excess = spendable - self._audit.level_at(self._world.now_us)
        self.worst = max(self.worst, excess)
        self._world.after(_SAMPLE_US, self.sample)
