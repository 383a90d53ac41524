"""Simulate a disk that forgets unsynced records in a crash."""

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
    """Hold synced records, and requests that are not synced yet."""

    def __init__(self, first: Snapshot, fault: Fault) -> None:
        self._fault = fault
        self._waiting: list[Persist] = []
        self._entries: list[Entry] = []
        self.hard_state = HardState()
        self.snapshot = first

    @property
    def entries(self) -> tuple[Entry, ...]:
        """Return the synced log after the snapshot."""
        return tuple(self._entries)

    @property
    def last_index(self) -> LogIndex:
        """Return the index of the last synced entry."""
        return LogIndex(self.snapshot.last_index + len(self._entries))

    def submit(self, request: Persist) -> None:
        """Take a request; it is durable after complete."""
        self._waiting.append(request)

    def complete(self, sequence: int) -> None:
        """Make all requests up to a sequence number durable."""
        done = [item for item in self._waiting if item.sequence <= sequence]
        self._waiting = self._waiting[len(done) :]
        for request in done:
            self._store(request)

    def crash(self, generator: random.Random) -> None:
        """Lose unsynced requests; some first ones may still have landed.

        A torn request is lost as a whole, since its frame is cut.
        """
        landed = generator.randrange(len(self._waiting) + 1)
        if generator.randrange(2):
            landed = 0
        for request in self._waiting[:landed]:
            self._store(request)
        self._waiting = []

    def wipe(self) -> None:
        """Lose everything."""
        self._waiting = []
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
