"""Drive the limits to their bound, where each deliberate fault shows."""

from typing import Any

from baobabwharf_core.model import Customer

from baobabwharf_testkit.limits_audit import Audit, Cap
from baobabwharf_testkit.limits_fleet import (
    Scheme,
    build_fleet,
    fleet_config,
    vm_regions,
)
from baobabwharf_testkit.limits_node import CUSTOMER, LimitNode, Node
from baobabwharf_testkit.limits_sampler import Sampler
from baobabwharf_testkit.limits_simulation import Network, World
from baobabwharf_testkit.limits_traffic import Planned, Traffic

_S = 1_000_000
_LOW = Customer(CUSTOMER, 10_000, 30_000)
_RESERVED = 300
_FIRST_VMS, _ALL_VMS = 6, 9
# Half the rate at one VM makes it hold chunks while all buckets are full.
_STEADY_US = ((12 * _S, 16 * _S), (28 * _S, 32 * _S))
_DRAINS_US = ((16 * _S, 18 * _S), (40 * _S, 41 * _S))
_RESTART_US = 18 * _S
_FREEZE_US = (32 * _S, 5 * _S)
# New VMs learn of the new table well before the old ones.
_TABLE_US = (41 * _S, 51 * _S)
_END_US = 56 * _S


def run_sharp(seed: int) -> dict[str, Any]:
    """Return the worst overdraft of a run without loss on the network."""
    world = World(seed)
    network = Network(world, vm_regions(_ALL_VMS), 0, 0)
    fleet = build_fleet(
        Scheme.LENDING, _LOW, world, network, vm_regions(_ALL_VMS)
    )
    vms = list(fleet.values())
    _restart_with(vms, fleet_config(_LOW, vm_regions(_FIRST_VMS), 1))
    audit = Audit((Cap(0, _LOW.rate_tokens_per_s, _LOW.burst_tokens),))
    one_vm = Traffic(world, audit, lambda _now: vms[0])
    one_vm.schedule(_steady())
    everywhere = Traffic(
        world, audit, lambda _now: world.rng.choice(vms[:_FIRST_VMS])
    )
    for span_us in _DRAINS_US:
        everywhere.schedule(_flood(span_us))
    _schedule_faults(world, vms)
    sampler = Sampler(world, vms, audit)
    sampler.sample()
    world.run(_END_US)
    return {
        'seed': seed,
        'granted': len(audit.spent),
        'overdraft': audit.worst_overdraft(),
        'spendable_above_bound': sampler.worst,
    }


def _restart_with(vms: list[Node], config: Any) -> None:
    for node in vms:
        if isinstance(node, LimitNode):
            node.config = config
            node.restart()


def _steady() -> list[Planned]:
    gap_us = 2 * _RESERVED * _S // _LOW.rate_tokens_per_s
    return [
        Planned(at_us, _RESERVED, _RESERVED, 100_000)
        for begin_us, end_us in _STEADY_US
        for at_us in range(begin_us, end_us, gap_us)
    ]


def _flood(span_us: tuple[int, int]) -> list[Planned]:
    # Drains the burst at once, then asks for twice the rate.
    return [
        Planned(at_us, _RESERVED, _RESERVED * 2 // 3, 500_000)
        for at_us in range(span_us[0], span_us[1], 15_000)
    ] + [
        Planned(span_us[0] + index, _RESERVED, _RESERVED, 100_000)
        for index in range(200)
    ]


def _schedule_faults(world: World, vms: list[Node]) -> None:
    world.at(_FREEZE_US[0], lambda: vms[0].freeze(_FREEZE_US[1]))
    for victim in vms[1:4]:
        world.at(_RESTART_US, victim.crash)
        world.at(_RESTART_US + 1, victim.restart)
    config = fleet_config(_LOW, vm_regions(_ALL_VMS), 2)
    for index, node in enumerate(vms):
        assert isinstance(node, LimitNode)
        old = index < _FIRST_VMS
        world.at(_TABLE_US[old], _Apply(node, config).run)


class _Apply:
    def __init__(self, node: LimitNode, config: Any) -> None:
        self._node = node
        self._config = config

    def run(self) -> None:
        self._node.config = self._config
        self._node.run(self._node.apply)
