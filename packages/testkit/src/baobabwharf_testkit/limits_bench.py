"""Compare the limits with two simpler schemes and test their checks."""

import argparse
import itertools
import json
from collections.abc import Iterator
from typing import Any

from baobabwharf_core.invariants import InvariantViolation

from baobabwharf_testkit.limits_boundary import run_sharp
from baobabwharf_testkit.limits_faults import FAULTS, fault
from baobabwharf_testkit.limits_fleet import Scheme
from baobabwharf_testkit.limits_microbench import measure
from baobabwharf_testkit.limits_scenarios import (
    RATE,
    SCENARIOS,
    run_chaos,
    run_scenario,
)
from baobabwharf_testkit.membership_runs import run_membership

_BURSTS = (4 * RATE, 10 * RATE)
_CUSTOMERS = (100, 1_000, 14_000)
_FLEETS = (9, 50, 350)
_COST_S = 5


def main() -> None:
    """Print JSON lines and one table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=int, default=3)
    parser.add_argument('--seconds', type=int, default=60)
    chosen = parser.parse_args()
    for count in _CUSTOMERS:
        _print('micro', measure(count))
    for count in _FLEETS:
        _print('membership', run_membership(count, 0, 1, _COST_S))
    for seed in range(chosen.seeds):
        _print('chaos', run_chaos(seed, chosen.seconds))
    for name in FAULTS:
        _print('fault', {'fault': name, 'caught_by': catch(name, 1)})
    _print_table(
        [
            _add_up(*case, chosen.seeds, chosen.seconds)
            for case in itertools.product(Scheme, SCENARIOS, _BURSTS)
        ]
    )


def catch(name: str, seed: int) -> str:
    """Return the check that sees a deliberate fault, or 'none'."""
    try:
        with fault(name):
            run = run_sharp(seed)
    except InvariantViolation as violation:
        return f'invariant: {violation}'
    if run['overdraft']:
        return 'handed out above burst + rate x window'
    if run['spendable_above_bound']:
        return 'spendable above what the window allows'
    return 'none'


def _add_up(
    scheme: Scheme, scenario: str, burst: int, seeds: int, seconds: int
) -> dict[str, Any]:
    runs = list(_runs(scheme, scenario, burst, seeds, seconds))
    sent = sum(run['sent'] for run in runs)
    refused = sum(run['refused'] for run in runs)
    row = {
        'scheme': scheme.value,
        'scenario': scenario,
        'burst_s': burst // RATE,
        'sent': sent,
        'refused_percent': round(100 * refused / sent, 2),
        'highest_ratio': round(max(run['highest_ratio'] for run in runs), 3),
        'wait_p99_ms': max(run['wait_p99_ms'] for run in runs),
    }
    _print('scenario', row)
    return row


def _runs(
    scheme: Scheme, scenario: str, burst: int, seeds: int, seconds: int
) -> Iterator[dict[str, Any]]:
    for seed in range(1, seeds + 1):
        yield run_scenario(scheme, scenario, seed, seconds, burst)


def _print(kind: str, row: dict[str, Any]) -> None:
    print(json.dumps({'kind': kind, **row}), flush=True)


def _print_table(rows: list[dict[str, Any]]) -> None:
    columns = list(rows[0])
    print(' | '.join(columns))
    for row in rows:
        print(' | '.join(str(row[column]) for column in columns))


if __name__ == '__main__':
    main()
