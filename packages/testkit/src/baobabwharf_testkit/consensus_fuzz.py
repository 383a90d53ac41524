"""Run randomised schedules of the consensus core and state machine."""

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
_DIRECTED_EVERY = 20


class SeedVerdict(msgspec.Struct, frozen=True):
    """Tell how one seed ended; check names what it broke."""

    seed: int
    summary: RunSummary | None
    check: str = ''
    sentence: str = ''


def run_seed(seed: int, fault: Fault) -> SeedVerdict:
    """Run one seed; equal seeds end equally."""
    try:
        return SeedVerdict(seed, _run_checked(seed, fault))
    except CheckFailed as broken:
        return SeedVerdict(seed, None, broken.check, str(broken))
    except InvariantViolation as broken:
        return SeedVerdict(seed, None, 'invariant', str(broken))


def _run_checked(seed: int, fault: Fault) -> RunSummary:
    if seed % _DIRECTED_EVERY == 0:
        run_rejoin(seed, fault)
        DoubleVote(seed, fault).run()
    return Simulation(seed, fault).run()


def _run_reported(seed: int, fault: Fault) -> SeedVerdict:
    try:
        return run_seed(seed, fault)
    except Exception:
        return SeedVerdict(seed, None, 'exception', traceback.format_exc())


def _parse(arguments: list[str]) -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=int, default=200)
    parser.add_argument('--start', type=int, default=1)
    parser.add_argument('--jobs', type=int, default=1)
    names = [fault.value for fault in Fault]
    parser.add_argument('--fault', choices=names, default=Fault.NONE.value)
    return parser.parse_args(arguments)


def _report(verdicts: list[SeedVerdict], failed: list[SeedVerdict]) -> None:
    for broken in failed:
        print(f'seed {broken.seed}: {broken.sentence}')
    caught = Counter([verdict.check for verdict in failed])
    for check, count in caught.most_common():
        print(f'caught by {check}: {count}')
    passed = [verdict.summary for verdict in verdicts if verdict.summary]
    trace = zlib.crc32(repr([one.trace for one in passed]).encode())
    print(
        f'{len(verdicts)} seeds from {verdicts[0].seed}, {len(failed)} failed, '
        f'{sum(one.committed for one in passed)} entries committed, '
        f'{sum(one.reads for one in passed)} reads, trace {trace:08x}'
    )


def main() -> int:
    """Run the seeds; return 1 if any broke a check."""
    options = _parse(sys.argv[1:])
    seeds = range(options.start, options.start + options.seeds)
    run = partial(_run_reported, fault=Fault(options.fault))
    began = time.monotonic()
    with ProcessPoolExecutor(options.jobs) as pool:
        verdicts = list(pool.map(run, seeds, chunksize=10))
    failed = [verdict for verdict in verdicts if verdict.summary is None]
    _report(verdicts, failed)
    print(f'{time.monotonic() - began:.0f} s')
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main())
