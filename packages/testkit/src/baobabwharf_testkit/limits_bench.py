"""Compare token lending with two simpler schemes and test the checks."""

import argparse
import itertools
import json
from collections.abc import Iterator
from typing import Any

from baobabwharf_core.invariants import InvariantViolation

from baobabwharf_testkit.limits_boundary import run_boundary_scenario
from baobabwharf_testkit.limits_fault_injection import FAULTS, inject_fault
from baobabwharf_testkit.limits_fleet import Scheme
from baobabwharf_testkit.limits_microbench import measure
from baobabwharf_testkit.limits_scenarios import (
    RATE,
    SCENARIOS,
    run_chaos,
    run_scenario,
)
from baobabwharf_testkit.membership_simulation import run_membership

_BURSTS = (4 * RATE, 10 * RATE)
_CUSTOMER_COUNTS = (100, 1_000, 14_000)
_VM_COUNTS = (9, 50, 350)
_MEMBERSHIP_RUN_S = 5


def main() -> None:
    """Print JSON lines and one table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=int, default=3)
    parser.add_argument('--seconds', type=int, default=60)
    options = parser.parse_args()
    for count in _CUSTOMER_COUNTS:
        _print_row('micro', measure(count))
    for count in _VM_COUNTS:
        _print_row('membership', run_membership(count, 0, 1, _MEMBERSHIP_RUN_S))
    for seed in range(options.seeds):
        _print_row('chaos', run_chaos(seed, options.seconds))
    for name in FAULTS:
        _print_row(
            'fault', {'fault': name, 'caught_by': find_detecting_check(name, 1)}
        )
    _print_table(
        [
            _summarise_case(*case, options.seeds, options.seconds)
            for case in itertools.product(Scheme, SCENARIOS, _BURSTS)
        ]
    )


def find_detecting_check(name: str, seed: int) -> str:
    """Return the check that detects an injected fault, or 'none'."""
    try:
        with inject_fault(name):
            run = run_boundary_scenario(seed)
    except InvariantViolation as violation:
        return f'invariant: {violation}'
    if run['overdraft']:
        return 'handed out above burst + rate x window'
    if run['spendable_above_bound']:
        return 'spendable above what the window allows'
    return 'none'


def _summarise_case(
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
    _print_row('scenario', row)
    return row


def _runs(
    scheme: Scheme, scenario: str, burst: int, seeds: int, seconds: int
) -> Iterator[dict[str, Any]]:
    for seed in range(1, seeds + 1):
        yield run_scenario(scheme, scenario, seed, seconds, burst)


def _print_row(kind: str, row: dict[str, Any]) -> None:
    print(json.dumps({'kind': kind, **row}), flush=True)


def _print_table(rows: list[dict[str, Any]]) -> None:
    columns = list(rows[0])
    print(' | '.join(columns))
    for row in rows:
        print(' | '.join(str(row[column]) for column in columns))


if __name__ == '__main__':
    main()
