"""Simulate a replica that runs a Raft core."""

from collections.abc import Callable
from typing import final

from baobabwharf_core.codec import decode
from baobabwharf_core.ids import LogIndex, VmId
from baobabwharf_decisions.consensus.core import RaftCore
from baobabwharf_decisions.consensus.messages import (
    CompactionThreshold,
    Entry,
    Message,
    Options,
    Output,
    Persist,
    Snapshot,
)
from baobabwharf_decisions.fleet_state.commands import (
    Answer,
    ApplyChange,
    ChangeAnswer,
    Command,
)
from baobabwharf_decisions.fleet_state.state_machine import FleetStateMachine

from baobabwharf_testkit.consensus_sim.checks import SafetyChecks
from baobabwharf_testkit.consensus_sim.disk import SimDisk
from baobabwharf_testkit.consensus_sim.event_scheduler import EventScheduler
from baobabwharf_testkit.consensus_sim.faults import Fault

SendMessage = Callable[[VmId, VmId, Message], None]
AnswerListener = Callable[[LogIndex, int, Answer], None]
ReadListener = Callable[[bool], None]
_TICK_MS = 100.0


@final
class SimNode:
    """Run a core and a state machine on a simulated disk and clock."""

    def __init__(
        self,
        vm_id: VmId,
        scheduler: EventScheduler,
        checks: SafetyChecks,
        disk: SimDisk,
        send: SendMessage,
        options: Options,
        fault: Fault,
    ) -> None:
        self.vm_id = vm_id
        self.disk = disk
        self.core: RaftCore | None = None
        self.machine = FleetStateMachine()
        self.disk_lost = False
        self.clock_rate = 1.0
        self.frozen_until_ms = 0.0
        # A disk sync takes 0.5 ms plus a random time up to this one.
        self.max_sync_ms = 3.0
        self.compact_after = CompactionThreshold(25, 100_000)
        self._scheduler = scheduler
        self._checks = checks
        self._send = send
        self._options = options
        self._fault = fault
        self._generation = 0
        self._applied = LogIndex(0)
        self._pending_answers: dict[LogIndex, tuple[int, AnswerListener]] = {}
        self._pending_reads: dict[int, ReadListener] = {}
        self._last_read = 0

    @property
    def now_ms(self) -> int:
        """Return the time of this node's clock, which drifts."""
        return int(self._scheduler.now_ms * self.clock_rate) + 1000

    @property
    def leads(self) -> bool:
        """Tell whether the core considers itself the leader."""
        return self.core is not None and self.core.is_leader

    def start(self) -> None:
        """Start a new core from the state on disk."""
        self._generation += 1
        self.machine.restore(self.disk.snapshot.payload)
        self._applied = self.disk.snapshot.last_index
        self.core = RaftCore(
            self.vm_id,
            self._options,
            self._scheduler.random,
            self.disk.hard_state,
            self.disk.snapshot,
            self.disk.entries,
        )
        self.core.begin(self.now_ms)
        self._tick(self._generation)

    def crash(self) -> None:
        """Stop the core and drop unsynced disk requests."""
        self._generation += 1
        self.core = None
        self._pending_answers.clear()
        self._pending_reads.clear()
        self.disk.crash(self._scheduler.random)

    def receive(self, message: Message) -> None:
        """Handle a message, or defer it until the node is no longer frozen."""
        wait_ms = self.frozen_until_ms - self._scheduler.now_ms
        if wait_ms > 0:
            self._scheduler.call_later(wait_ms, lambda: self.receive(message))
        elif self.core is not None:
            self.core.receive(message, self.now_ms)
            self.process_output()

    def propose(self, payload: bytes, listener: AnswerListener) -> bool:
        """Propose a command; the listener gets its answer."""
        if self.core is None:
            return False
        index = self.core.propose(payload)
        if index is not None:
            self._pending_answers[index] = (self.core.status.term, listener)
            self.process_output()
        return index is not None

    def read(self, listener: ReadListener) -> bool:
        """Start a linearisable read; the listener gets its result."""
        if self.core is None:
            return False
        if self._fault is Fault.STALE_READ and self.leads:
            listener(True)
            return True
        self._last_read += 1
        started = self.core.read(self._last_read)
        if started:
            self._pending_reads[self._last_read] = listener
            self.process_output()
        return started

    def process_output(self) -> None:
        """Persist, send and apply the output of the core."""
        core = self.core
        if core is None:
            return
        if core.is_leader:
            self._checks.on_leader(self.vm_id, core)
        output = core.take_output()
        if output.persist is not None:
            self._persist(core, output.persist)
        for item in output.messages:
            self._send(self.vm_id, item.receiver, item.message)
        self._apply_all(core, output)
        if self.core is core:
            self._compact_when_due(core)

    def _tick(self, generation: int) -> None:
        if generation != self._generation:
            return
        if self.core is not None and not self._is_frozen():
            self.core.tick(self.now_ms)
            self.process_output()
        self._scheduler.call_later(_TICK_MS, lambda: self._tick(generation))

    def _is_frozen(self) -> bool:
        return self.frozen_until_ms > self._scheduler.now_ms

    def _persist(self, core: RaftCore, request: Persist) -> None:
        if request.entries:
            before = LogIndex(request.entries[0].index - 1)
            previous = core.log.term_at(before)
            if previous is not None:
                self._checks.on_append(previous, request.entries)
        self.disk.submit(request)
        generation = self._generation
        sync_ms = 0.5 + self._scheduler.random.random() * self.max_sync_ms
        self._scheduler.call_later(
            sync_ms, lambda: self._synced(generation, request.sequence)
        )
        if self._fault is Fault.ACK_BEFORE_SYNC:
            core.synced(request.sequence, self.now_ms)
            self._scheduler.call_later(0.0, self.process_output)

    def _synced(self, generation: int, sequence: int) -> None:
        if generation != self._generation or self.core is None:
            return
        self.disk.complete(sequence)
        if self._fault is not Fault.ACK_BEFORE_SYNC:
            self.core.synced(sequence, self.now_ms)
            self.process_output()

    def _apply_all(self, core: RaftCore, output: Output) -> None:
        if output.restore is not None:
            self._restore(output.restore)
        for entry in output.committed:
            self._apply(core, entry)
        for read in output.reads:
            listener = self._pending_reads.pop(read.read_id)
            listener(read.index is not None)

    def _restore(self, snapshot: Snapshot) -> None:
        self.machine.restore(snapshot.payload)
        self._applied = snapshot.last_index
        self._checks.on_state(snapshot.last_index, snapshot.payload)

    def _apply(self, core: RaftCore, entry: Entry) -> None:
        answer: Answer | None = None
        accepted = None
        if entry.payload:
            command = decode(entry.payload, Command)
            answer = self.machine.apply(command)
            changed = self.machine.last_change is not None
            if changed and isinstance(command.operation, ApplyChange):
                accepted = command.operation.request.request_id
        self._applied = entry.index
        self._checks.on_applied(entry, core.status.term, accepted)
        term, listener = self._pending_answers.pop(entry.index, (0, None))
        if listener is not None and term == entry.term:
            assert isinstance(answer, ChangeAnswer)
            listener(entry.index, entry.term, answer)

    def _compact_when_due(self, core: RaftCore) -> None:
        if core.should_compact(self._applied, self.compact_after):
            payload = self.machine.snapshot()
            self._checks.on_state(self._applied, payload)
            core.compact(self._applied, payload)
