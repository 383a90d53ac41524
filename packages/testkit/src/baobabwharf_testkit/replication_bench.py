"""Measure the ways to replicate entries on simulated links and disks.

All times are virtual: the core decides, the delays are fixed, and the time
that this machine needs is not counted.
"""

import argparse
import random
import sys
from functools import partial
from typing import final

import msgspec
from baobabwharf_core.ids import LogIndex, VmId
from baobabwharf_decisions.consensus.core import RaftCore
from baobabwharf_decisions.consensus.messages import (
    PLAIN_LOOP,
    HardState,
    Membership,
    Message,
    Options,
    Persist,
    Snapshot,
)

from baobabwharf_testkit.consensus_sim.event_scheduler import EventScheduler

_VOTERS = (VmId('vm-0'), VmId('vm-1'), VmId('vm-2'))
_WARM_UP_MS = 5000.0
_RUN_MS = 10_000.0
_TICK_MS = 20.0
_PAYLOAD = bytes(200)


class Case(msgspec.Struct, frozen=True):
    """Name a way to replicate, a delay one way and a number of callers."""

    name: str
    options: Options
    delay_ms: float
    callers: int


class Figures(msgspec.Struct, frozen=True):
    """Hold commits per second and their latency in ms."""

    per_s: float
    p50_ms: float
    p99_ms: float


@final
class BenchNode:
    """Own a core and a disk that runs one sync at a time."""

    def __init__(self, vm_id: VmId, bench: 'ReplicationBench') -> None:
        self._bench = bench
        self._waiting: list[Persist] = []
        self._busy = False
        self.core = RaftCore(
            vm_id,
            bench.options,
            bench.scheduler.random,
            HardState(),
            Snapshot(membership=Membership(_VOTERS)),
            (),
        )
        self.core.begin(0)
        self._vm_id = vm_id

    def tick(self) -> None:
        """Let time pass, for ever."""
        self.core.tick(int(self._bench.scheduler.now_ms))
        self.pump()
        self._bench.scheduler.call_later(_TICK_MS, self.tick)

    def receive(self, message: Message) -> None:
        """Handle a message."""
        self.core.receive(message, int(self._bench.scheduler.now_ms))
        self.pump()

    def pump(self) -> None:
        """Carry out what the core asks for."""
        output = self.core.take_output()
        if output.persist is not None:
            self._waiting.append(output.persist)
            self._sync()
        for item in output.messages:
            self._bench.carry(item.receiver, item.message)
        if self.core.is_leader:
            for entry in output.committed:
                self._bench.committed(entry.index)

    def _sync(self) -> None:
        if self._busy or not self._waiting:
            return
        self._busy = True
        sequence = self._waiting[-1].sequence
        self._waiting = []
        sync_ms = 1 + self._bench.scheduler.random.random()
        self._bench.scheduler.call_later(
            sync_ms, partial(self._synced, sequence)
        )

    def _synced(self, sequence: int) -> None:
        self._busy = False
        self.core.synced(sequence, int(self._bench.scheduler.now_ms))
        self._sync()
        self.pump()


@final
class ReplicationBench:
    """Let callers propose again as soon as their entry is committed."""

    def __init__(self, case: Case, seed: int) -> None:
        self.scheduler = EventScheduler(seed)
        self.options = case.options
        self._case = case
        self._began: dict[LogIndex, float] = {}
        self._latencies: list[float] = []
        self._nodes = {name: BenchNode(name, self) for name in _VOTERS}

    def run(self) -> Figures:
        """Return the figures after a warm-up."""
        for node in self._nodes.values():
            node.tick()
        self.scheduler.run_until(_WARM_UP_MS)
        for caller in range(self._case.callers):
            self.scheduler.call_later(caller / 1000, self._propose)
        self.scheduler.run_until(2 * _WARM_UP_MS)
        self._latencies.clear()
        self.scheduler.run_until(2 * _WARM_UP_MS + _RUN_MS)
        ordered = sorted(self._latencies)
        return Figures(
            len(ordered) * 1000 / _RUN_MS,
            ordered[len(ordered) // 2],
            ordered[len(ordered) * 99 // 100],
        )

    def carry(self, receiver: VmId, message: Message) -> None:
        """Deliver a message after the delay of the link."""
        node = self._nodes[receiver]
        self.scheduler.call_later(
            self._case.delay_ms, partial(node.receive, message)
        )

    def committed(self, index: LogIndex) -> None:
        """Note a commit at the leader; its caller proposes again."""
        began_ms = self._began.pop(index, None)
        if began_ms is not None:
            self._latencies.append(self.scheduler.now_ms - began_ms)
            self.scheduler.call_later(0, self._propose)

    def _propose(self) -> None:
        leading = [node for node in self._nodes.values() if node.core.is_leader]
        index = leading[0].core.propose(_PAYLOAD)
        if index is not None:
            self._began[index] = self.scheduler.now_ms
            leading[0].pump()


def _ways() -> dict[str, Options]:
    change = msgspec.structs.replace
    return {
        'plain loop': PLAIN_LOOP,
        'batching': change(PLAIN_LOOP, max_batch_entries=256),
        'pipelining': change(PLAIN_LOOP, max_inflight=32),
        'parallel append': change(PLAIN_LOOP, parallel_append=True),
        'batching + pipelining': change(Options(), parallel_append=False),
        'all three': Options(),
    }


def main() -> int:
    """Print one table row for each way, delay and number of callers."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('seed', nargs='?', type=int, default=1)
    seed = parser.parse_args().seed
    random.seed(seed)
    print(f'seed {seed}; sync 1 to 2 ms; three voters; virtual time')
    print('| way | delay one way | callers | commits/s | p50 ms | p99 ms |')
    print('|---|---|---|---|---|---|')
    for delay_ms in (5.0, 35.0):
        for callers in (1, 16, 256):
            for name, options in _ways().items():
                case = Case(name, options, delay_ms, callers)
                found = ReplicationBench(case, seed).run()
                print(
                    f'| {name} | {delay_ms:.0f} ms | {callers} '
                    f'| {found.per_s:.1f} | {found.p50_ms:.1f} '
                    f'| {found.p99_ms:.1f} |'
                )
    return 0


if __name__ == '__main__':
    sys.exit(main())
