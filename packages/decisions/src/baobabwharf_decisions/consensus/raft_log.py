"""Provide the in-memory log that follows the newest snapshot."""

import bisect
from collections.abc import Iterable
from typing import final

from baobabwharf_core.ids import LogIndex, Term
from baobabwharf_core.invariants import check_invariant

from baobabwharf_decisions.consensus.messages import (
    Entry,
    Membership,
    Snapshot,
)


@final
class RaftLog:
    """Hold a snapshot and the entries after it, without gaps in the indices."""

    def __init__(self, snapshot: Snapshot, entries: Iterable[Entry]) -> None:
        self._snapshot = snapshot
        self._entries: list[Entry] = []
        # For each entry, the size of the log up to and including it.
        self._end_offsets: list[int] = []
        self._memberships = [(snapshot.last_index, snapshot.membership)]
        self.append(entries)

    @property
    def snapshot(self) -> Snapshot:
        """Return the newest snapshot."""
        return self._snapshot

    @property
    def last_index(self) -> LogIndex:
        """Return the index of the last entry."""
        return LogIndex(self._snapshot.last_index + len(self._entries))

    @property
    def last_term(self) -> Term:
        """Return the term of the last entry."""
        if self._entries:
            return self._entries[-1].term
        return self._snapshot.last_term

    @property
    def size_bytes(self) -> int:
        """Return the size of the entries after the snapshot."""
        return self._end_offsets[-1] if self._end_offsets else 0

    @property
    def membership(self) -> Membership:
        """Return the newest membership in the log, committed or not."""
        return self._memberships[-1][1]

    @property
    def membership_index(self) -> LogIndex:
        """Return the index of the newest membership."""
        return self._memberships[-1][0]

    def membership_at(self, index: LogIndex) -> Membership:
        """Return the membership in force at an index."""
        found = self._snapshot.membership
        for position, membership in self._memberships:
            if position <= index:
                found = membership
        return found

    def term_at(self, index: LogIndex) -> Term | None:
        """Return the term of an entry, or None if the log doesn't hold it."""
        if index == self._snapshot.last_index:
            return self._snapshot.last_term
        offset = index - self._snapshot.last_index - 1
        if 0 <= offset < len(self._entries):
            return self._entries[offset].term
        return None

    def size_up_to(self, index: LogIndex) -> int:
        """Return the size of the entries after the snapshot up to an index."""
        count = index - self._snapshot.last_index
        return self._end_offsets[count - 1] if count > 0 else 0

    def slice(self, first: LogIndex, limit: int | None = None) -> list[Entry]:
        """Return at most limit entries, starting at an index."""
        offset = first - self._snapshot.last_index - 1
        check_invariant(offset >= 0, 'A compacted entry was requested.')
        end = None if limit is None else offset + limit
        return self._entries[offset:end]

    def batch(
        self, first: LogIndex, limit: int, max_bytes: int
    ) -> tuple[Entry, ...]:
        """Return the next entries within both limits, at least one."""
        offset = first - self._snapshot.last_index - 1
        check_invariant(offset >= 0, 'A compacted entry was requested.')
        max_offset = self.size_up_to(LogIndex(first - 1)) + max_bytes
        end = bisect.bisect_right(self._end_offsets, max_offset, lo=offset)
        end = min(max(end, offset + 1), offset + limit)
        return tuple(self._entries[offset:end])

    def append(self, entries: Iterable[Entry]) -> None:
        """Add entries at the end."""
        for entry in entries:
            check_invariant(
                entry.index == self.last_index + 1, 'The log has a gap.'
            )
            check_invariant(
                entry.term >= self.last_term, 'A term in the log decreases.'
            )
            self._end_offsets.append(self.size_bytes + entry.size_bytes)
            self._entries.append(entry)
            if entry.membership is not None:
                self._memberships.append((entry.index, entry.membership))

    def truncate(self, first: LogIndex) -> None:
        """Remove the entry at an index and all that follow it."""
        offset = first - self._snapshot.last_index - 1
        check_invariant(offset >= 0, 'A compacted entry was truncated.')
        self._entries = self._entries[:offset]
        self._end_offsets = self._end_offsets[:offset]
        self._memberships = [
            pair for pair in self._memberships if pair[0] < first
        ]

    def replace_prefix(self, snapshot: Snapshot) -> None:
        """Replace entries up to a snapshot; keep later ones that match it."""
        kept: list[Entry] = []
        if self.term_at(snapshot.last_index) == snapshot.last_term:
            kept = self.slice(LogIndex(snapshot.last_index + 1))
        self._snapshot = snapshot
        self._entries = []
        self._end_offsets = []
        self._memberships = [(snapshot.last_index, snapshot.membership)]
        self.append(kept)

    def first_index_of_term(self, index: LogIndex) -> LogIndex:
        """Return the first held index with the term of the entry at index."""
        term = self.term_at(index)
        first = index
        while self.term_at(LogIndex(first - 1)) == term:
            first = LogIndex(first - 1)
        return first
