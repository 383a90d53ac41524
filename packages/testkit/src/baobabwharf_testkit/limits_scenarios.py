"""Run one scheme through one scenario and measure it."""

import random
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
from baobabwharf_testkit.limits_traffic import (
    Traffic,
    keep_conforming,
    plan_traffic,
)

_US_PER_S = 1_000_000
_WARM_UP_US = 15 * _US_PER_S
_MOVE_INTERVAL_US = 3 * _US_PER_S
SCENARIOS = ('moving', 'partition', 'kill', 'freeze')
RATE = 10_000
_MAX_APPLY_DELAY_US = 2 * _US_PER_S
_MAX_FAULT_US = 6 * _US_PER_S
_CHAOS_CAPS = ((1000, 4000), (5000, 6000), (2000, 30_000))


def run_scenario(
    scheme: Scheme, scenario: str, seed: int, seconds: int, burst: int
) -> dict[str, Any]:
    """Measure traffic at 95% of the rate whose entry VM changes every 3 s."""
    simulation = Simulation(seed)
    network = Network(simulation, vm_regions(9), 0, 0)
    customer = Customer(CUSTOMER_ID, RATE, burst)
    fleet = build_fleet(scheme, customer, simulation, network, vm_regions(9))
    end_us = _WARM_UP_US + seconds * _US_PER_S
    plan = keep_conforming(
        customer, plan_traffic(customer, 0.95, (_WARM_UP_US, end_us), seed)
    )
    audit = Audit((CapPeriod(0, RATE, burst),))
    traffic = Traffic(simulation, audit, _moving_entry_vm(fleet, seed))
    traffic.schedule(plan)
    _schedule_fault(simulation, network, fleet, scenario)
    simulation.run(end_us + 5 * _US_PER_S)
    return _measurements(scheme, scenario, seed, traffic, audit)


def run_chaos(seed: int, seconds: int) -> dict[str, Any]:
    """Overload a faulty fleet and check every window exactly."""
    simulation = Simulation(seed)
    network = Network(simulation, vm_regions(9), 0.05, 0.03)
    low = Customer(CUSTOMER_ID, *_CHAOS_CAPS[seed % len(_CHAOS_CAPS)])
    high = Customer(
        CUSTOMER_ID, low.rate_tokens_per_s * 2, low.burst_tokens * 2
    )
    fleet = build_fleet(Scheme.LENDING, low, simulation, network, vm_regions(9))
    audit = Audit(
        _schedule_config_changes(
            simulation, fleet, low, high, seconds * _US_PER_S
        )
    )
    vms = list(fleet.values())
    Traffic(
        simulation, audit, lambda _now: simulation.rng.choice(vms)
    ).schedule(plan_traffic(high, 2, (_US_PER_S, seconds * _US_PER_S), seed))
    for fault in range(seconds // 4):
        _schedule_random_fault(simulation, network, vms, seed + fault)
    sampler = SpendableSampler(simulation, vms, audit)
    sampler.sample()
    simulation.run(seconds * _US_PER_S)
    return {
        'seed': seed,
        'granted': len(audit.spent),
        'overdraft': audit.max_overdraft(),
        'spendable_above_bound': sampler.max_excess,
    }


def _schedule_config_changes(
    simulation: Simulation,
    fleet: dict[str, Node],
    low: Customer,
    high: Customer,
    end_us: int,
) -> tuple[CapPeriod, ...]:
    raised_us, lowered_us = end_us * 4 // 10, end_us * 7 // 10
    config_changes = (
        (end_us * 3 // 10, fleet_config(low, vm_regions(6), 2)),
        (raised_us, fleet_config(high, vm_regions(6), 3)),
        (end_us // 2, fleet_config(high, vm_regions(9), 4)),
        (lowered_us, fleet_config(low, vm_regions(9), 5)),
    )
    for at_us, config in config_changes:
        for node in fleet.values():
            if isinstance(node, LimitNode):
                _schedule_config(simulation, node, config, at_us)
    rate, burst = low.rate_tokens_per_s, low.burst_tokens
    # A lowered cap applies once all VMs have it and old chunks have expired.
    settled_us = (
        lowered_us + _MAX_APPLY_DELAY_US + _MAX_FAULT_US + 4 * _US_PER_S
    )
    return (
        CapPeriod(0, rate, burst),
        CapPeriod(raised_us, rate * 2, burst * 2),
        CapPeriod(settled_us, rate, burst),
    )


def _moving_entry_vm(fleet: dict[str, Node], seed: int) -> Any:
    vms = list(fleet.values())
    rng = random.Random(seed)
    entry_indexes = [rng.randrange(len(vms)) for _step in range(10_000)]

    def choose(now_us: int) -> Node:
        first = entry_indexes[now_us // _MOVE_INTERVAL_US]
        return next(node for node in (*vms[first:], *vms[:first]) if node.alive)

    return choose


def _schedule_fault(
    simulation: Simulation,
    network: Network,
    fleet: dict[str, Node],
    scenario: str,
) -> None:
    begin_us = _WARM_UP_US + 20 * _US_PER_S
    victim = next(iter(fleet.values()))
    if scenario == 'partition':
        _schedule_partition(
            simulation,
            network,
            frozenset(('region-0',)),
            begin_us,
            20 * _US_PER_S,
        )
    elif scenario == 'kill':
        simulation.call_at(begin_us, victim.crash)
        simulation.call_at(begin_us + 5 * _US_PER_S, victim.restart)
    elif scenario == 'freeze':
        simulation.call_at(begin_us, lambda: victim.freeze(5 * _US_PER_S))


def _schedule_partition(
    simulation: Simulation,
    network: Network,
    regions: frozenset[str],
    at_us: int,
    length_us: int,
) -> None:
    def begin_partition() -> None:
        network.partitioned_regions = regions

    def end_partition() -> None:
        network.partitioned_regions = frozenset()

    simulation.call_at(at_us, begin_partition)
    simulation.call_at(at_us + length_us, end_partition)


def _schedule_random_fault(
    simulation: Simulation, network: Network, vms: list[Node], seed: int
) -> None:
    rng = random.Random(seed * 31 + 5)
    at_us = rng.randrange(60 * _US_PER_S)
    victim = rng.choice(vms)
    length_us = rng.randrange(100_000, _MAX_FAULT_US)
    kind = rng.choice(('restart', 'freeze', 'cut'))
    if kind == 'restart':
        simulation.call_at(at_us, victim.crash)
        simulation.call_at(at_us + length_us // 20, victim.restart)
    elif kind == 'freeze':
        simulation.call_at(at_us, lambda: victim.freeze(length_us))
    else:
        region = frozenset((f'region-{rng.randrange(3)}',))
        _schedule_partition(simulation, network, region, at_us, length_us)


def _schedule_config(
    simulation: Simulation, node: LimitNode, config: Any, at_us: int
) -> None:
    def apply() -> None:
        node.config = config
        node.run(node.apply)

    simulation.call_at(
        at_us + simulation.rng.randrange(_MAX_APPLY_DELAY_US), apply
    )


def _measurements(
    scheme: Scheme,
    scenario: str,
    seed: int,
    traffic: Traffic,
    audit: Audit,
) -> dict[str, Any]:
    waits = sorted(traffic.counts.waits_ms)
    refused = traffic.counts.refused
    return {
        'scheme': scheme.value,
        'scenario': scenario,
        'seed': seed,
        'sent': traffic.counts.sent,
        'refused': refused,
        'wait_p99_ms': waits[len(waits) * 99 // 100],
        'overdraft': audit.max_overdraft(),
        'highest_ratio': audit.highest_ratio(),
    }
