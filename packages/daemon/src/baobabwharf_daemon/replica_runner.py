"""Connect the Raft core and the state machine to files and network links."""

import random
from collections.abc import Callable, Iterable
from typing import final

from baobabwharf_core.clock import Clock
from baobabwharf_core.codec import decode
from baobabwharf_core.fleet_config import FleetConfig
from baobabwharf_core.ids import LogIndex, VmId
from baobabwharf_decisions.consensus.core import RaftCore
from baobabwharf_decisions.consensus.messages import (
    CompactionThreshold,
    CoreStatus,
    Entry,
    Message,
    Options,
    Snapshot,
)
from baobabwharf_decisions.fleet_state.commands import Answer, Command
from baobabwharf_decisions.fleet_state.state_machine import (
    AppliedChange,
    FleetStateMachine,
)
from expression import Error, Ok, Result

from baobabwharf_daemon.fail_fast import abort_on_invariant_violation
from baobabwharf_daemon.log import get_logger
from baobabwharf_daemon.metrics import (
    REPLICA_LEADS,
    REPLICA_LOG_BYTES,
    REPLICA_VOTERS,
)
from baobabwharf_daemon.replica_files import RecoveredState
from baobabwharf_daemon.replica_links import ReplicaLinks
from baobabwharf_daemon.replica_waiters import ReplicaWaiters
from baobabwharf_daemon.replica_writer import ReplicaWriter

# The log grows to one of these, and to eight times as much while a replica
# catches up.  A restart replays it, and each replica holds it in memory.
_COMPACTION_THRESHOLD = CompactionThreshold(
    entries=1000, size_bytes=4 * 1024 * 1024
)

ApplyListener = Callable[[FleetConfig, AppliedChange | None], None]

_log = get_logger('consensus')


@final
class ReplicaRunner:
    """Own the Raft core and the state machine of this replica."""

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        writer: ReplicaWriter,
        links: ReplicaLinks,
        listener: ApplyListener,
        options: Options,
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._writer = writer
        self._links = links
        self._listener = listener
        self._options = options
        self._core: RaftCore | None = None
        self._machine = FleetStateMachine()
        self._applied = LogIndex(0)
        self._waiters = ReplicaWaiters()

    @property
    def core(self) -> RaftCore | None:
        """Return the core, None while it is stopped.

        After a call that changes the core, process_output must be called.
        """
        return self._core

    @property
    def status(self) -> CoreStatus | None:
        """Return the status of the core, None while it is stopped."""
        return None if self._core is None else self._core.status

    @property
    def machine(self) -> FleetStateMachine:
        """Return the applied state; callers must not modify it."""
        return self._machine

    @property
    def waiters(self) -> ReplicaWaiters:
        """Return the callers that wait for results from the core."""
        return self._waiters

    async def load(self, vm_id: VmId) -> Result[None, str]:
        """Start the core from the files, or return how they are damaged."""
        recovered = await self._writer.run_in_thread(self._writer.files.recover)
        if recovered.is_error():
            return Error(recovered.error)
        self._start_core(vm_id, recovered.ok)
        return Ok(None)

    def tick(self) -> None:
        """Advance the core to the current time."""
        if self._core is None:
            return
        with abort_on_invariant_violation():
            self._core.tick(self._clock.now_ms())
            self.process_output()

    def receive(self, messages: Iterable[Message]) -> None:
        """Handle messages from another replica."""
        if self._core is None:
            return
        with abort_on_invariant_violation():
            self._receive_all(self._core, messages)
            self.process_output()

    def process_output(self) -> None:
        """Process the output of the core: persist, send, apply, answer reads."""
        core = self._core
        if core is None:
            return
        if core.should_compact(self._applied, _COMPACTION_THRESHOLD):
            core.compact(self._applied, self._machine.snapshot())
        _publish(core)
        output = core.take_output()
        if output.persist is not None:
            self._writer.enqueue(output.persist)
        for item in output.messages:
            self._links.send(item.receiver, item.message)
        if output.restore is not None:
            self._restore(output.restore)
        for entry in output.committed:
            self._apply(entry)
        # The committed entries are applied now, so the state includes the
        # index of each read.
        for read in output.reads:
            self._waiters.resolve_read(read.read_id, read.index is not None)

    async def write_forever(self) -> None:
        """Write and sync the records of the core until cancelled."""
        await self._writer.run_forever(
            self._commit_index, self._handle_write_result
        )

    def stop_core(self) -> None:
        """Drop the core; unanswered operations end as UNKNOWN."""
        self._core = None
        self._writer.discard_pending()
        self._waiters.fail_all()

    def _receive_all(self, core: RaftCore, messages: Iterable[Message]) -> None:
        for message in messages:
            core.receive(message, self._clock.now_ms())

    def _start_core(self, vm_id: VmId, found: RecoveredState) -> None:
        self._machine.restore(found.snapshot.payload)
        self._applied = found.snapshot.last_index
        self._core = RaftCore(
            vm_id,
            self._options,
            self._rng,
            found.hard_state,
            found.snapshot,
            found.entries,
            found.commit,
        )
        self._core.begin(self._clock.now_ms())
        if found.snapshot.payload:
            self._listener(self._machine.config, None)
        _log.info(
            'Replica started in term %s with %s entries after index %s.',
            found.hard_state.term,
            len(found.entries),
            found.snapshot.last_index,
        )
        self.process_output()

    def _commit_index(self) -> LogIndex | None:
        return None if self._core is None else self._core.status.commit

    def _handle_write_result(self, result: Result[int, str]) -> None:
        if self._core is None:
            return
        if result.is_error():
            _log.error('Replica stopped, write failed: %s', result.error)
            self.stop_core()
            return
        with abort_on_invariant_violation():
            self._core.synced(result.ok, self._clock.now_ms())
            self.process_output()

    def _restore(self, snapshot: Snapshot) -> None:
        self._machine.restore(snapshot.payload)
        self._applied = snapshot.last_index
        self._waiters.skip_to(snapshot.last_index)
        self._listener(self._machine.config, None)
        _log.info('Restored snapshot at index %s.', snapshot.last_index)

    def _apply(self, entry: Entry) -> None:
        answer: Answer | None = None
        if entry.payload:
            answer = self._machine.apply(decode(entry.payload, Command))
            change = self._machine.last_change
        else:
            # The empty first entry of a term publishes the configuration even
            # when the fleet is new and has no changes yet.
            change = None
        if change is not None or not entry.payload:
            self._listener(self._machine.config, change)
        self._applied = entry.index
        self._waiters.resolve(entry.index, entry.term, answer)


def _publish(core: RaftCore) -> None:
    REPLICA_LOG_BYTES.set({}, core.log.size_bytes)
    REPLICA_LEADS.set({}, int(core.is_leader))
    REPLICA_VOTERS.set({}, len(core.log.membership.voters))
