"""Run the Raft core and the state machine on files and links."""

import random
from collections.abc import Callable, Iterable
from typing import final

from baobabwharf_core.clock import Clock
from baobabwharf_core.codec import decode
from baobabwharf_core.ids import LogIndex, VmId
from baobabwharf_core.model import FleetConfig
from baobabwharf_decisions.consensus.core import RaftCore
from baobabwharf_decisions.consensus.messages import (
    CoreStatus,
    Entry,
    Message,
    Options,
    Snapshot,
)
from baobabwharf_decisions.fleet_state.commands import Answer, Command
from baobabwharf_decisions.fleet_state.machine import (
    AppliedChange,
    FleetMachine,
)
from expression import Error, Ok, Result

from baobabwharf_daemon.fail_fast import abort_on_invariant_violation
from baobabwharf_daemon.log import get_logger
from baobabwharf_daemon.replica_files import Recovered
from baobabwharf_daemon.replica_links import ReplicaLinks
from baobabwharf_daemon.replica_waiters import Waiters
from baobabwharf_daemon.replica_writer import ReplicaWriter

# A restart replays about as many entries; eight times as many at most.
_ENTRIES_BETWEEN_SNAPSHOTS = 1000

ApplyListener = Callable[[FleetConfig, AppliedChange | None], None]

_log = get_logger('consensus')


@final
class ReplicaEngine:
    """Own the core and the state machine of this replica."""

    def __init__(
        self,
        clock: Clock,
        generator: random.Random,
        writer: ReplicaWriter,
        links: ReplicaLinks,
        listener: ApplyListener,
        options: Options,
    ) -> None:
        self._clock = clock
        self._random = generator
        self._writer = writer
        self._links = links
        self._listener = listener
        self._options = options
        self._core: RaftCore | None = None
        self._machine = FleetMachine()
        self._applied = LogIndex(0)
        self._waiters = Waiters()

    @property
    def core(self) -> RaftCore | None:
        """Return the core, None while it is stopped; pump after its use."""
        return self._core

    @property
    def status(self) -> CoreStatus | None:
        """Return the status of the core, None while it is stopped."""
        return None if self._core is None else self._core.status

    @property
    def machine(self) -> FleetMachine:
        """Return the applied state, for reading."""
        return self._machine

    @property
    def waiters(self) -> Waiters:
        """Return those that wait for the core."""
        return self._waiters

    async def load(self, vm_id: VmId) -> Result[None, str]:
        """Start from the files; an error says how they are damaged."""
        recovered = await self._writer.on_disk(self._writer.files.recover)
        if recovered.is_error():
            return Error(recovered.error)
        self._start_core(vm_id, recovered.ok)
        return Ok(None)

    def tick(self) -> None:
        """Let time pass."""
        if self._core is None:
            return
        with abort_on_invariant_violation():
            self._core.tick(self._clock.now_ms())
            self.pump()

    def receive(self, messages: Iterable[Message]) -> None:
        """Handle messages of another replica."""
        if self._core is None:
            return
        with abort_on_invariant_violation():
            self._receive_all(self._core, messages)
            self.pump()

    def pump(self) -> None:
        """Carry out what the core asks for."""
        core = self._core
        if core is None:
            return
        if core.wants_compaction(self._applied, _ENTRIES_BETWEEN_SNAPSHOTS):
            core.compact(self._applied, self._machine.snapshot())
        output = core.take_output()
        if output.persist is not None:
            self._writer.offer(output.persist)
        for item in output.messages:
            self._links.send(item.receiver, item.message)
        if output.restore is not None:
            self._restore(output.restore)
        for entry in output.committed:
            self._apply(entry)
        # Committed entries are applied, so each read's index is reached.
        for read in output.reads:
            self._waiters.resolve_read(read.read_id, read.index is not None)

    async def write_forever(self) -> None:
        """Sync what the core asks for until cancelled."""
        await self._writer.run_forever(self._commit, self._written)

    def suspend(self) -> None:
        """Forget the core; unanswered operations become unknown."""
        self._core = None
        self._writer.forget()
        self._waiters.fail_all()

    def _receive_all(self, core: RaftCore, messages: Iterable[Message]) -> None:
        for message in messages:
            core.receive(message, self._clock.now_ms())

    def _start_core(self, vm_id: VmId, found: Recovered) -> None:
        self._machine.restore(found.snapshot.payload)
        self._applied = found.snapshot.last_index
        self._core = RaftCore(
            vm_id,
            self._options,
            self._random,
            found.hard_state,
            found.snapshot,
            found.entries,
            found.commit,
        )
        self._core.begin(self._clock.now_ms())
        if found.snapshot.payload:
            self._listener(self._machine.config, None)
        _log.info(
            'Replica starts in term %s with %s entries after index %s.',
            found.hard_state.term,
            len(found.entries),
            found.snapshot.last_index,
        )
        self.pump()

    def _commit(self) -> LogIndex | None:
        return None if self._core is None else self._core.status.commit

    def _written(self, written: Result[int, str]) -> None:
        if self._core is None:
            return
        if written.is_error():
            _log.error('Replica stops: %s', written.error)
            self.suspend()
            return
        with abort_on_invariant_violation():
            self._core.synced(written.ok, self._clock.now_ms())
            self.pump()

    def _restore(self, snapshot: Snapshot) -> None:
        self._machine.restore(snapshot.payload)
        self._applied = snapshot.last_index
        self._waiters.skip_to(snapshot.last_index)
        self._listener(self._machine.config, None)
        _log.info('Restored a snapshot at index %s.', snapshot.last_index)

    def _apply(self, entry: Entry) -> None:
        answer: Answer | None = None
        if entry.payload:
            answer = self._machine.apply(decode(entry.payload, Command))
            change = self._machine.last_change
        else:
            # The first entry of a term shows even a new fleet its revision.
            change = None
        if change is not None or not entry.payload:
            self._listener(self._machine.config, change)
        self._applied = entry.index
        self._waiters.resolve(entry.index, entry.term, answer)
