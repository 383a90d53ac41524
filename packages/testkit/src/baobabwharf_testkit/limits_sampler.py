"""Compare what a fleet could grant at once with what it may grant."""

from typing import final

from baobabwharf_testkit.limits_audit import Audit
from baobabwharf_testkit.limits_node import LimitNode, Node
from baobabwharf_testkit.limits_simulation import Simulation

_SAMPLE_US = 20_000


@final
class SpendableSampler:
    """Sum what all VMs could spend, every 20 ms."""

    def __init__(
        self, simulation: Simulation, vms: list[Node], audit: Audit
    ) -> None:
        self._simulation = simulation
        self._vms = vms
        self._audit = audit
        self.max_excess = 0

    def sample(self) -> None:
        """Take one sample and schedule the next."""
        spendable = sum(
            node.spendable()
            for node in self._vms
            if isinstance(node, LimitNode)
        )
        excess = spendable - self._audit.level_at(self._simulation.now_us)
        self.max_excess = max(self.max_excess, excess)
        self._simulation.call_later(_SAMPLE_US, self.sample)
