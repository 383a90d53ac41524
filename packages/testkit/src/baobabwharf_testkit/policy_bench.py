"""Compare the routing decisions with baselines on a small model."""

import argparse
import json
import random
import statistics
from concurrent.futures import ProcessPoolExecutor
from itertools import product
from typing import Any

import msgspec
from baobabwharf_core.ids import RegionId

from baobabwharf_testkit.policies import OurPolicy
from baobabwharf_testkit.policy_baselines import (
    HomeLeastOutstanding,
    LeastOutstanding,
    RandomPolicy,
)
from baobabwharf_testkit.policy_environment import Policy, World
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
    'ours': OurPolicy,
    'random': RandomPolicy,
    'least': LeastOutstanding,
    'home_least': HomeLeastOutstanding,
}
DEPLOYMENTS = {ROTAWEN.name: ROTAWEN, SAMITI.name: SAMITI}
MEASURES = ('cost', 'tail_ms', 'away', 'worst', 'wrongful')
_BYTES_PER_MB = 1_000_000
# Price of a megabyte between regions in engine milliseconds.
_MB_PRICE_MS = 50.0
_WARM_UP_MS = 20_000
_CUT_NOTICE_MS = 1500
_PROCESSES = 6
# Differences below these are counted as equal: one request in a thousand.
_FLOOR = {
    'cost': 0.0,
    'tail_ms': 5.0,
    'away': 0.001,
    'worst': 0.001,
    'wrongful': 0.001,
}
_WORSE = 1.05


Row = dict[str, Any]
Key = tuple[str, str, str]


class Run(msgspec.Struct, frozen=True):
    """Name one run."""

    deployment: str
    scenario: str
    policy: str
    seed: int


def build_world(deployment: Deployment, seed: int) -> World:
    """Return the model of a deployment at rest."""
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
    return World(sim, deployment, endpoints, links, rng, set())


def schedule(world: World, scenario: Scenario) -> None:
    """Schedule what happens in a scenario."""
    region = world.deployment.regions[0]
    if scenario is Scenario.HALF_LOST:
        engines = [
            endpoint
            for endpoint in world.endpoints.values()
            if endpoint.region == region and endpoint.announcement.models
        ]
        for endpoint in engines[: len(engines) // 2]:
            world.sim.at(EVENT_FROM_MS, endpoint.die)
    if scenario is Scenario.PARTITION:
        world.sim.at(EVENT_FROM_MS, _cut, world, region, True)
        world.sim.at(EVENT_UNTIL_MS, _cut, world, region, False)


def _cut(world: World, region: RegionId, cut: bool) -> None:
    for pair, link in world.links.items():
        if region in pair:
            link.cut = cut
    if cut:
        world.sim.after(_CUT_NOTICE_MS, world.believed_cut.add, region)
        return
    world.sim.after(_CUT_NOTICE_MS, world.believed_cut.discard, region)
    for endpoint in world.endpoints.values():
        if endpoint.region == region:
            endpoint.chill()


def execute(run: Run) -> Row:
    """Run one policy on one scenario and return its measures."""
    deployment = DEPLOYMENTS[run.deployment]
    scenario = next(item for item in Scenario if item.label == run.scenario)
    world = build_world(deployment, run.seed)
    policy = POLICIES[run.policy](world)
    for endpoint in world.endpoints.values():
        endpoint.beat(policy.on_beat)
    schedule(world, scenario)
    requests = LoadSource(deployment, scenario, run.seed).requests()
    for request in requests:
        request.arrival_ms += _WARM_UP_MS
        world.sim.at(request.arrival_ms + 1, policy.arrive, request)
    world.sim.run(_WARM_UP_MS + DURATION_MS * 2)
    figures = measure(world, requests, scenario)
    return {**msgspec.structs.asdict(run), **figures}


def measure(
    world: World, requests: list[Request], scenario: Scenario
) -> dict[str, float]:
    """Return the five measures of one run."""
    answered = [request for request in requests if _in_time(request)]
    wide = sum(link.sent_bytes for link in world.links.values())
    busy_ms = sum(endpoint.active_ms for endpoint in world.endpoints.values())
    cost = busy_ms + wide / _BYTES_PER_MB * _MB_PRICE_MS
    inside = [request for request in requests if request.inside]
    wrongful = sum(not _in_time(request) for request in inside)
    waits = sorted(_wait(request) for request in requests if _counts(request))
    away = sum(request.crossed for request in requests)
    return {
        'cost': cost / max(1, len(answered)),
        'tail_ms': waits[len(waits) * 99 // 100],
        'away': away / len(requests),
        'worst': _worst(requests, scenario),
        'wrongful': wrongful / len(inside),
        'requests': len(requests),
    }


def _in_time(request: Request) -> bool:
    done_ms = request.done_ms
    return done_ms is not None and done_ms <= request.deadline_at_ms


def _counts(request: Request) -> bool:
    """Tell whether the caller of an interactive request waited."""
    if request.facts.work_class != 'interactive' or not request.inside:
        return False
    return request.first_ms is not None or not request.refused


def _wait(request: Request) -> float:
    if request.first_ms is None:
        return float(request.facts.deadline_ms)
    waited_ms = request.first_ms - request.arrival_ms
    return min(waited_ms, request.facts.deadline_ms)


def _worst(requests: list[Request], scenario: Scenario) -> float:
    """Return the share of missed targets of the worst-served customer."""
    missed: dict[str, list[bool]] = {}
    for request in requests:
        customer = request.facts.customer_id
        if scenario is Scenario.SURGE and customer == 'c0':
            continue
        met = _in_time(request) and request.first_ms is not None
        if met:
            met = _wait(request) <= request.facts.first_token_ms
        missed.setdefault(customer, []).append(not met)
    return max(statistics.mean(misses) for misses in missed.values())


def summarise_runs(lines: list[Row]) -> list[Row]:
    """Return mean and spread over the seeds for each policy."""
    groups: dict[Key, list[Row]] = {}
    for line in lines:
        groups.setdefault(_key(line), []).append(line)
    return [_mean_row(key, group) for key, group in groups.items()]


def _key(row: Row) -> Key:
    return (row['deployment'], row['scenario'], row['policy'])


def _mean_row(key: Key, group: list[Row]) -> Row:
    row: Row = {'deployment': key[0], 'scenario': key[1], 'policy': key[2]}
    for name in MEASURES:
        figures = [each[name] for each in group]
        row[name] = statistics.mean(figures)
        row[f'{name}_sd'] = statistics.pstdev(figures)
    return row


def verdicts(rows: list[Row]) -> list[str]:
    """Return a sentence for each measure on which ours is not ahead."""
    faults = []
    table = {_key(row): row for row in rows}
    for ours, policy, name in product(rows, POLICIES, MEASURES):
        other = table.get((ours['deployment'], ours['scenario'], policy))
        if ours['policy'] != 'ours' or policy == 'ours' or other is None:
            continue
        weighed = name in DEPLOYMENTS[ours['deployment']].weighs
        fault = _fault(name, ours[name], other[name], weighed)
        if fault:
            where = f'{ours["deployment"]} {ours["scenario"]} {name}'
            faults.append(f'{where} vs {policy}: {fault}')
    return faults


def _fault(name: str, ours: float, other: float, weighed: bool) -> str:
    if ours > other * _WORSE + _FLOOR[name]:
        return f'worse: {ours:.4g} against {other:.4g}'
    if weighed and ours > other + _FLOOR[name]:
        return f'not ahead: {ours:.4g} against {other:.4g}'
    return ''


def print_table(rows: list[Row]) -> None:
    """Print the table for people."""
    print('| deployment | scenario | policy |', ' | '.join(MEASURES), '|')
    print('|---|---|---|', '---|' * len(MEASURES), sep='')
    for row in rows:
        cells = [
            f'{row[name]:.4g} ± {row[f"{name}_sd"]:.2g}' for name in MEASURES
        ]
        head = f'{row["deployment"]} | {row["scenario"]} | {row["policy"]}'
        print(f'| {head} | {" | ".join(cells)} |')


def _wanted_runs() -> list[Run]:
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
    """Run all combinations and print JSON lines, a table and faults."""
    with ProcessPoolExecutor(_PROCESSES) as pool:
        lines = list(pool.map(execute, _wanted_runs()))
    for line in lines:
        print(json.dumps(line))
    rows = summarise_runs(lines)
    print_table(rows)
    for sentence in verdicts(rows):
        print(sentence)


if __name__ == '__main__':
    main()
