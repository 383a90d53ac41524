"""Compare the routing decisions with baselines in a simulation."""

import argparse
import json
import random
import statistics
from concurrent.futures import ProcessPoolExecutor
from itertools import product
from typing import Any

import msgspec
from baobabwharf_core.ids import RegionId

from baobabwharf_testkit.policy_baselines import (
    HomeLeastOutstanding,
    LeastOutstanding,
    RandomPolicy,
)
from baobabwharf_testkit.policy_environment import Environment, Policy
from baobabwharf_testkit.policy_gateway import GatewayPolicy
from baobabwharf_testkit.policy_load import (
    DURATION_MS,
    EVENT_FROM_MS,
    EVENT_UNTIL_MS,
    ROTAWEN,
    SAMITI,
    Deployment,
    LoadSource,
    Request,
    Scenario,
    announcements,
)
from baobabwharf_testkit.policy_model import (
    EndpointModel,
    LinkModel,
    Simulation,
)

POLICIES: dict[str, type[Policy]] = {
    'ours': GatewayPolicy,
    'random': RandomPolicy,
    'least': LeastOutstanding,
    'home_least': HomeLeastOutstanding,
}
DEPLOYMENTS = {ROTAWEN.name: ROTAWEN, SAMITI.name: SAMITI}
MEASURES = ('cost', 'tail_ms', 'away', 'worst', 'wrongful')
_BYTES_PER_MB = 1_000_000
# Cost of a megabyte between regions in engine milliseconds.
_MB_COST_MS = 50.0
_WARM_UP_MS = 20_000
_PARTITION_DETECTION_MS = 1500
_PROCESSES = 6
# Smaller differences count as ties; 0.001 is one request in a thousand.
_TIE_MARGIN = {
    'cost': 0.0,
    'tail_ms': 5.0,
    'away': 0.001,
    'worst': 0.001,
    'wrongful': 0.001,
}
_MAX_WORSE_FACTOR = 1.05


Row = dict[str, Any]
GroupKey = tuple[str, str, str]


class Run(msgspec.Struct, frozen=True):
    """Identify one run."""

    deployment: str
    scenario: str
    policy: str
    seed: int


def build_environment(deployment: Deployment, seed: int) -> Environment:
    """Return the model of an idle deployment."""
    sim = Simulation()
    rng = random.Random(f'world {seed}')
    endpoints = {
        announcement.endpoint_id: EndpointModel(sim, announcement, rng)
        for announcement in announcements(deployment)
    }
    links = {
        (one, other): LinkModel(
            sim,
            deployment.region_delay_ms,
            deployment.link_mbit_s * 125,
            rng,
        )
        for one, other in product(deployment.regions, repeat=2)
        if one != other
    }
    return Environment(sim, deployment, endpoints, links, rng, set())


def schedule(env: Environment, scenario: Scenario) -> None:
    """Schedule the faults of a scenario."""
    region = env.deployment.regions[0]
    if scenario is Scenario.HALF_LOST:
        engines = [
            endpoint
            for endpoint in env.endpoints.values()
            if endpoint.region == region and endpoint.announcement.models
        ]
        for endpoint in engines[: len(engines) // 2]:
            env.sim.call_at(EVENT_FROM_MS, endpoint.fail)
    if scenario is Scenario.PARTITION:
        env.sim.call_at(EVENT_FROM_MS, _set_partition, env, region, True)
        env.sim.call_at(EVENT_UNTIL_MS, _set_partition, env, region, False)


def _set_partition(
    env: Environment, region: RegionId, partitioned: bool
) -> None:
    for pair, link in env.links.items():
        if region in pair:
            link.partitioned = partitioned
    if partitioned:
        env.sim.call_later(
            _PARTITION_DETECTION_MS, env.believed_partitioned.add, region
        )
        return
    env.sim.call_later(
        _PARTITION_DETECTION_MS, env.believed_partitioned.discard, region
    )
    for endpoint in env.endpoints.values():
        if endpoint.region == region:
            endpoint.clear_cache()


def execute(run: Run) -> Row:
    """Run one policy on one scenario and return its measures."""
    deployment = DEPLOYMENTS[run.deployment]
    scenario = next(item for item in Scenario if item.label == run.scenario)
    env = build_environment(deployment, run.seed)
    policy = POLICIES[run.policy](env)
    for endpoint in env.endpoints.values():
        endpoint.start_heartbeats(policy.on_heartbeat)
    schedule(env, scenario)
    requests = LoadSource(deployment, scenario, run.seed).requests()
    for request in requests:
        request.arrival_ms += _WARM_UP_MS
        env.sim.call_at(request.arrival_ms + 1, policy.on_arrival, request)
    env.sim.run(_WARM_UP_MS + DURATION_MS * 2)
    measures = compute_measures(env, requests, scenario)
    return {**msgspec.structs.asdict(run), **measures}


def compute_measures(
    env: Environment, requests: list[Request], scenario: Scenario
) -> dict[str, float]:
    """Return the five measures of one run and its number of requests."""
    answered = [request for request in requests if _in_time(request)]
    inter_region_bytes = sum(link.sent_bytes for link in env.links.values())
    busy_ms = sum(endpoint.active_ms for endpoint in env.endpoints.values())
    cost = busy_ms + inter_region_bytes / _BYTES_PER_MB * _MB_COST_MS
    conforming = [request for request in requests if request.conforming]
    wrongful = sum(not _in_time(request) for request in conforming)
    waits_ms = sorted(
        _first_token_wait_ms(request)
        for request in requests
        if _has_first_token_wait(request)
    )
    away = sum(request.left_region for request in requests)
    return {
        'cost': cost / max(1, len(answered)),
        'tail_ms': waits_ms[len(waits_ms) * 99 // 100],
        'away': away / len(requests),
        'worst': _worst_customer_miss_share(requests, scenario),
        'wrongful': wrongful / len(conforming),
        'requests': len(requests),
    }


def _in_time(request: Request) -> bool:
    done_ms = request.done_ms
    return done_ms is not None and done_ms <= request.deadline_at_ms


def _has_first_token_wait(request: Request) -> bool:
    """Return whether the caller of an interactive request waited."""
    if request.attributes.work_class != 'interactive' or not request.conforming:
        return False
    return request.first_ms is not None or not request.refused


def _first_token_wait_ms(request: Request) -> float:
    if request.first_ms is None:
        return float(request.attributes.deadline_ms)
    waited_ms = request.first_ms - request.arrival_ms
    return min(waited_ms, request.attributes.deadline_ms)


def _worst_customer_miss_share(
    requests: list[Request], scenario: Scenario
) -> float:
    """Return the share of missed targets of the worst-served customer."""
    missed: dict[str, list[bool]] = {}
    for request in requests:
        customer = request.attributes.customer_id
        if scenario is Scenario.SURGE and customer == 'c0':
            continue
        met = _in_time(request) and request.first_ms is not None
        if met:
            met = (
                _first_token_wait_ms(request)
                <= request.attributes.first_token_ms
            )
        missed.setdefault(customer, []).append(not met)
    return max(statistics.mean(misses) for misses in missed.values())


def summarise_runs(run_rows: list[Row]) -> list[Row]:
    """Return mean and standard deviation over the seeds for each policy."""
    groups: dict[GroupKey, list[Row]] = {}
    for row in run_rows:
        groups.setdefault(_group_key(row), []).append(row)
    return [_mean_row(key, group) for key, group in groups.items()]


def _group_key(row: Row) -> GroupKey:
    return (row['deployment'], row['scenario'], row['policy'])


def _mean_row(key: GroupKey, group: list[Row]) -> Row:
    row: Row = {'deployment': key[0], 'scenario': key[1], 'policy': key[2]}
    for name in MEASURES:
        figures = [each[name] for each in group]
        row[name] = statistics.mean(figures)
        row[f'{name}_sd'] = statistics.pstdev(figures)
    return row


def find_shortfalls(rows: list[Row]) -> list[str]:
    """Describe each measure on which the gateway's policy falls short."""
    shortfalls = []
    table = {_group_key(row): row for row in rows}
    for ours, policy, name in product(rows, POLICIES, MEASURES):
        other = table.get((ours['deployment'], ours['scenario'], policy))
        if ours['policy'] != 'ours' or policy == 'ours' or other is None:
            continue
        has_priority = name in DEPLOYMENTS[ours['deployment']].priority_measures
        shortfall = _describe_shortfall(
            name, ours[name], other[name], has_priority
        )
        if shortfall:
            where = f'{ours["deployment"]} {ours["scenario"]} {name}'
            shortfalls.append(f'{where} vs {policy}: {shortfall}')
    return shortfalls


def _describe_shortfall(
    name: str, ours: float, other: float, has_priority: bool
) -> str:
    if ours > other * _MAX_WORSE_FACTOR + _TIE_MARGIN[name]:
        return f'worse: {ours:.4g} against {other:.4g}'
    if has_priority and ours > other + _TIE_MARGIN[name]:
        return f'not ahead: {ours:.4g} against {other:.4g}'
    return ''


def print_table(rows: list[Row]) -> None:
    """Print the results as a Markdown table."""
    print('| deployment | scenario | policy |', ' | '.join(MEASURES), '|')
    print('|---|---|---|', '---|' * len(MEASURES), sep='')
    for row in rows:
        cells = [
            f'{row[name]:.4g} ± {row[f"{name}_sd"]:.2g}' for name in MEASURES
        ]
        head = f'{row["deployment"]} | {row["scenario"]} | {row["policy"]}'
        print(f'| {head} | {" | ".join(cells)} |')


def _requested_runs() -> list[Run]:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=int, default=5)
    parser.add_argument('--first-seed', type=int, default=0)
    parser.add_argument('--scenario', default='')
    parser.add_argument('--deployment', default='')
    parser.add_argument('--policy', default='')
    options = parser.parse_args()
    labels = [item.label for item in Scenario if options.scenario in item.label]
    names = [name for name in DEPLOYMENTS if options.deployment in name]
    policies = [policy for policy in POLICIES if options.policy in policy]
    seeds = range(options.first_seed, options.first_seed + options.seeds)
    return [Run(*each) for each in product(names, labels, policies, seeds)]


def main() -> None:
    """Run all combinations and print JSON lines, a table and shortfalls."""
    with ProcessPoolExecutor(_PROCESSES) as pool:
        run_rows = list(pool.map(execute, _requested_runs()))
    for row in run_rows:
        print(json.dumps(row))
    rows = summarise_runs(run_rows)
    print_table(rows)
    for message in find_shortfalls(rows):
        print(message)


if __name__ == '__main__':
    main()
