"""Fuzz the consensus core and state machine with random schedules."""

import argparse
import sys
import time
import traceback
import zlib
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from functools import partial

import msgspec
from baobabwharf_core.invariants import InvariantViolation

from baobabwharf_testkit.consensus_sim.double_vote import DoubleVote
from baobabwharf_testkit.consensus_sim.faults import CheckFailed, Fault
from baobabwharf_testkit.consensus_sim.rejoin import run_rejoin
from baobabwharf_testkit.consensus_sim.simulation import RunSummary, Simulation

# The directed schedules have few random choices, so only some seeds run them.
_DIRECTED_SEED_INTERVAL = 20


class SeedResult(msgspec.Struct, frozen=True):
    """Hold the result of one seed; check names the check that failed."""

    seed: int
    summary: RunSummary | None
    check: str = ''
    message: str = ''


def run_seed(seed: int, fault: Fault) -> SeedResult:
    """Run one seed; the same seed always gives the same result."""
    try:
        return SeedResult(seed, _run_checked(seed, fault))
    except CheckFailed as failure:
        return SeedResult(seed, None, failure.check, str(failure))
    except InvariantViolation as failure:
        return SeedResult(seed, None, 'invariant', str(failure))


def _run_checked(seed: int, fault: Fault) -> RunSummary:
    if seed % _DIRECTED_SEED_INTERVAL == 0:
        run_rejoin(seed, fault)
        DoubleVote(seed, fault).run()
    return Simulation(seed, fault).run()


def _run_capturing_exceptions(seed: int, fault: Fault) -> SeedResult:
    try:
        return run_seed(seed, fault)
    except Exception:
        return SeedResult(seed, None, 'exception', traceback.format_exc())


def _parse_arguments(arguments: list[str]) -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=int, default=200)
    parser.add_argument('--start', type=int, default=1)
    parser.add_argument('--jobs', type=int, default=1)
    names = [fault.value for fault in Fault]
    parser.add_argument('--fault', choices=names, default=Fault.NONE.value)
    return parser.parse_args(arguments)


def _report(results: list[SeedResult], failed: list[SeedResult]) -> None:
    for failure in failed:
        print(f'seed {failure.seed}: {failure.message}')
    failures_by_check = Counter([result.check for result in failed])
    for check, count in failures_by_check.most_common():
        print(f'caught by {check}: {count}')
    passed = [result.summary for result in results if result.summary]
    trace = zlib.crc32(repr([summary.trace for summary in passed]).encode())
    print(
        f'{len(results)} seeds from {results[0].seed}, {len(failed)} failed, '
        f'{sum(summary.committed for summary in passed)} entries committed, '
        f'{sum(summary.reads for summary in passed)} reads, trace {trace:08x}'
    )


def main() -> int:
    """Run the seeds; return 1 if a check failed for any of them."""
    options = _parse_arguments(sys.argv[1:])
    seeds = range(options.start, options.start + options.seeds)
    run = partial(_run_capturing_exceptions, fault=Fault(options.fault))
    started_s = time.monotonic()
    with ProcessPoolExecutor(options.jobs) as pool:
        results = list(pool.map(run, seeds, chunksize=10))
    failed = [result for result in results if result.summary is None]
    _report(results, failed)
    print(f'{time.monotonic() - started_s:.0f} s')
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main())
