"""Drive the limits to their bound, where each injected fault shows."""

from typing import Any

from baobabwharf_core.fleet_config import Customer

from baobabwharf_testkit.limits_audit import Audit, CapPeriod
from baobabwharf_testkit.limits_fleet import (
    Scheme,
    build_fleet,
    fleet_config,
    vm_regions,
)
from baobabwharf_testkit.limits_node import CUSTOMER_ID, LimitNode, Node
from baobabwharf_testkit.limits_sampler import SpendableSampler
from baobabwharf_testkit.limits_simulation import Network, Simulation
from baobabwharf_testkit.limits_traffic import PlannedRequest, Traffic

_US_PER_S = 1_000_000
_LIMITED_CUSTOMER = Customer(CUSTOMER_ID, 10_000, 30_000)
_RESERVED_TOKENS = 300
_INITIAL_VMS, _ALL_VMS = 6, 9
# Half the rate at one VM makes it borrow chunks while all buckets are full.
_STEADY_SPANS_US = (
    (12 * _US_PER_S, 16 * _US_PER_S),
    (28 * _US_PER_S, 32 * _US_PER_S),
)
_DRAIN_SPANS_US = (
    (16 * _US_PER_S, 18 * _US_PER_S),
    (40 * _US_PER_S, 41 * _US_PER_S),
)
_RESTART_US = 18 * _US_PER_S
_FREEZE_US = (32 * _US_PER_S, 5 * _US_PER_S)
# New VMs receive the new share table well before the initial ones.
_CONFIG_CHANGE_US = (41 * _US_PER_S, 51 * _US_PER_S)
_END_US = 56 * _US_PER_S


def run_boundary_scenario(seed: int) -> dict[str, Any]:
    """Run without network loss and return the largest overdraft."""
    simulation = Simulation(seed)
    network = Network(simulation, vm_regions(_ALL_VMS), 0, 0)
    fleet = build_fleet(
        Scheme.LENDING,
        _LIMITED_CUSTOMER,
        simulation,
        network,
        vm_regions(_ALL_VMS),
    )
    vms = list(fleet.values())
    _restart_with_config(
        vms, fleet_config(_LIMITED_CUSTOMER, vm_regions(_INITIAL_VMS), 1)
    )
    audit = Audit(
        (
            CapPeriod(
                0,
                _LIMITED_CUSTOMER.rate_tokens_per_s,
                _LIMITED_CUSTOMER.burst_tokens,
            ),
        )
    )
    single_vm_traffic = Traffic(simulation, audit, lambda _now: vms[0])
    single_vm_traffic.schedule(_steady_requests())
    fleet_traffic = Traffic(
        simulation,
        audit,
        lambda _now: simulation.rng.choice(vms[:_INITIAL_VMS]),
    )
    for span_us in _DRAIN_SPANS_US:
        fleet_traffic.schedule(_drain_requests(span_us))
    _schedule_faults(simulation, vms)
    sampler = SpendableSampler(simulation, vms, audit)
    sampler.sample()
    simulation.run(_END_US)
    return {
        'seed': seed,
        'granted': len(audit.spent),
        'overdraft': audit.max_overdraft(),
        'spendable_above_bound': sampler.max_excess,
    }


def _restart_with_config(vms: list[Node], config: Any) -> None:
    for node in vms:
        if isinstance(node, LimitNode):
            node.config = config
            node.restart()


def _steady_requests() -> list[PlannedRequest]:
    gap_us = (
        2 * _RESERVED_TOKENS * _US_PER_S // _LIMITED_CUSTOMER.rate_tokens_per_s
    )
    return [
        PlannedRequest(at_us, _RESERVED_TOKENS, _RESERVED_TOKENS, 100_000)
        for begin_us, end_us in _STEADY_SPANS_US
        for at_us in range(begin_us, end_us, gap_us)
    ]


def _drain_requests(span_us: tuple[int, int]) -> list[PlannedRequest]:
    # Drains the burst at once, then requests twice the rate.
    return [
        PlannedRequest(
            at_us, _RESERVED_TOKENS, _RESERVED_TOKENS * 2 // 3, 500_000
        )
        for at_us in range(span_us[0], span_us[1], 15_000)
    ] + [
        PlannedRequest(
            span_us[0] + index, _RESERVED_TOKENS, _RESERVED_TOKENS, 100_000
        )
        for index in range(200)
    ]


def _schedule_faults(simulation: Simulation, vms: list[Node]) -> None:
    simulation.call_at(_FREEZE_US[0], lambda: vms[0].freeze(_FREEZE_US[1]))
    for victim in vms[1:4]:
        simulation.call_at(_RESTART_US, victim.crash)
        simulation.call_at(_RESTART_US + 1, victim.restart)
    config = fleet_config(_LIMITED_CUSTOMER, vm_regions(_ALL_VMS), 2)
    for index, node in enumerate(vms):
        assert isinstance(node, LimitNode)
        is_initial_vm = index < _INITIAL_VMS
        simulation.call_at(
            _CONFIG_CHANGE_US[is_initial_vm], _ConfigUpdate(node, config).run
        )


class _ConfigUpdate:
    def __init__(self, node: LimitNode, config: Any) -> None:
        self._node = node
        self._config = config

    def run(self) -> None:
        self._node.config = self._config
        self._node.run(self._node.apply)
