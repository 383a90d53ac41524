"""Compare log replication modes on simulated links and disks.

All times are virtual: the core makes the decisions, link delays are fixed, and
the run time on this machine is not counted.
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
    STOP_AND_WAIT,
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


class BenchCase(msgspec.Struct, frozen=True):
    """Hold a replication mode, a one-way delay and a number of callers."""

    name: str
    options: Options
    delay_ms: float
    callers: int


class CommitStats(msgspec.Struct, frozen=True):
    """Hold commits per second and their latency in ms."""

    per_s: float
    p50_ms: float
    p99_ms: float


@final
class BenchReplica:
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
        """Advance the core's clock periodically."""
        self.core.tick(int(self._bench.scheduler.now_ms))
        self.pump()
        self._bench.scheduler.call_later(_TICK_MS, self.tick)

    def receive(self, message: Message) -> None:
        """Handle a message."""
        self.core.receive(message, int(self._bench.scheduler.now_ms))
        self.pump()

    def pump(self) -> None:
        """Execute the actions that the core asks for."""
        output = self.core.take_output()
        if output.persist is not None:
            self._waiting.append(output.persist)
            self._sync()
        for item in output.messages:
            self._bench.deliver(item.receiver, item.message)
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

    def __init__(self, case: BenchCase, seed: int) -> None:
        self.scheduler = EventScheduler(seed)
        self.options = case.options
        self._case = case
        self._proposed_ms: dict[LogIndex, float] = {}
        self._latencies: list[float] = []
        self._replicas = {name: BenchReplica(name, self) for name in _VOTERS}

    def run(self) -> CommitStats:
        """Warm up, then measure and return the result."""
        for replica in self._replicas.values():
            replica.tick()
        self.scheduler.run_until(_WARM_UP_MS)
        for caller in range(self._case.callers):
            self.scheduler.call_later(caller / 1000, self._propose)
        self.scheduler.run_until(2 * _WARM_UP_MS)
        self._latencies.clear()
        self.scheduler.run_until(2 * _WARM_UP_MS + _RUN_MS)
        ordered = sorted(self._latencies)
        return CommitStats(
            len(ordered) * 1000 / _RUN_MS,
            ordered[len(ordered) // 2],
            ordered[len(ordered) * 99 // 100],
        )

    def deliver(self, receiver: VmId, message: Message) -> None:
        """Deliver a message after the delay of the link."""
        replica = self._replicas[receiver]
        self.scheduler.call_later(
            self._case.delay_ms, partial(replica.receive, message)
        )

    def committed(self, index: LogIndex) -> None:
        """Record a commit at the leader; its caller proposes again."""
        proposed_ms = self._proposed_ms.pop(index, None)
        if proposed_ms is not None:
            self._latencies.append(self.scheduler.now_ms - proposed_ms)
            self.scheduler.call_later(0, self._propose)

    def _propose(self) -> None:
        leaders = [
            replica
            for replica in self._replicas.values()
            if replica.core.is_leader
        ]
        index = leaders[0].core.propose(_PAYLOAD)
        if index is not None:
            self._proposed_ms[index] = self.scheduler.now_ms
            leaders[0].pump()


def _replication_modes() -> dict[str, Options]:
    replace = msgspec.structs.replace
    return {
        'stop and wait': STOP_AND_WAIT,
        'batching': replace(STOP_AND_WAIT, max_batch_entries=256),
        'pipelining': replace(STOP_AND_WAIT, max_inflight=32),
        'parallel append': replace(STOP_AND_WAIT, parallel_append=True),
        'batching + pipelining': replace(Options(), parallel_append=False),
        'all three': Options(),
    }


def main() -> int:
    """Print one table row for each mode, delay and number of callers."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('seed', nargs='?', type=int, default=1)
    seed = parser.parse_args().seed
    random.seed(seed)
    print(f'seed {seed}; sync 1 to 2 ms; three voters; virtual time')
    print('| mode | delay one way | callers | commits/s | p50 ms | p99 ms |')
    print('|---|---|---|---|---|---|')
    for delay_ms in (5.0, 35.0):
        for callers in (1, 16, 256):
            for name, options in _replication_modes().items():
                case = BenchCase(name, options, delay_ms, callers)
                stats = ReplicationBench(case, seed).run()
                print(
                    f'| {name} | {delay_ms:.0f} ms | {callers} '
                    f'| {stats.per_s:.1f} | {stats.p50_ms:.1f} '
                    f'| {stats.p99_ms:.1f} |'
                )
    return 0


if __name__ == '__main__':
    sys.exit(main())
