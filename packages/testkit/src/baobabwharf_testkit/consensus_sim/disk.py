"""Simulate a disk that loses unsynced requests in a crash."""

import random
from typing import final

import msgspec
from baobabwharf_core.ids import LogIndex
from baobabwharf_decisions.consensus.messages import (
    Entry,
    HardState,
    Persist,
    Snapshot,
)

from baobabwharf_testkit.consensus_sim.faults import Fault


@final
class SimDisk:
    """Store the synced state and the requests that are not synced yet."""

    def __init__(self, initial_snapshot: Snapshot, fault: Fault) -> None:
        self._fault = fault
        self._unsynced: list[Persist] = []
        self._entries: list[Entry] = []
        self.hard_state = HardState()
        self.snapshot = initial_snapshot

    @property
    def entries(self) -> tuple[Entry, ...]:
        """Return the synced log after the snapshot."""
        return tuple(self._entries)

    @property
    def last_index(self) -> LogIndex:
        """Return the index of the last synced entry."""
        return LogIndex(self.snapshot.last_index + len(self._entries))

    def submit(self, request: Persist) -> None:
        """Accept a request; it becomes durable with complete()."""
        self._unsynced.append(request)

    def complete(self, sequence: int) -> None:
        """Make all requests up to a sequence number durable."""
        done = [item for item in self._unsynced if item.sequence <= sequence]
        self._unsynced = self._unsynced[len(done) :]
        for request in done:
            self._store(request)

    def crash(self, generator: random.Random) -> None:
        """Lose unsynced requests; a prefix of them may still be persisted.

        A torn write loses its whole request, since the frame is incomplete.
        """
        persisted_count = generator.randrange(len(self._unsynced) + 1)
        if generator.randrange(2):
            persisted_count = 0
        for request in self._unsynced[:persisted_count]:
            self._store(request)
        self._unsynced = []

    def wipe(self) -> None:
        """Lose all data."""
        self._unsynced = []
        self._entries = []
        self.hard_state = HardState()
        self.snapshot = Snapshot()

    def _store(self, request: Persist) -> None:
        self.hard_state = request.hard_state
        if self._fault is Fault.VOTE_NOT_PERSISTED:
            self.hard_state = msgspec.structs.replace(
                request.hard_state, voted_for=None
            )
        if request.snapshot is not None:
            self.snapshot = request.snapshot
            self._entries = list(request.entries)
        elif request.entries:
            keep = request.entries[0].index - self.snapshot.last_index - 1
            self._entries = [*self._entries[:keep], *request.entries]
