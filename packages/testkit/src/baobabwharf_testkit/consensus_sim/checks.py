"""Check the safety properties of Raft over all replicas at once."""

import zlib
from typing import final

from baobabwharf_core.ids import LogIndex, RequestId, Term, VmId
from baobabwharf_decisions.consensus.core import RaftCore
from baobabwharf_decisions.consensus.messages import Entry

from baobabwharf_testkit.consensus_sim.faults import require


@final
class SafetyChecks:
    """Record what replicas do and compare it."""

    def __init__(self) -> None:
        self._leaders: dict[Term, VmId] = {}
        self._entries: dict[tuple[LogIndex, Term], tuple[int, Term]] = {}
        self._committed: dict[LogIndex, tuple[Term, int]] = {}
        self._commit_terms: dict[LogIndex, Term] = {}
        self._states: dict[LogIndex, int] = {}
        self._accepted: dict[RequestId, LogIndex] = {}
        self._last_committed = LogIndex(0)

    @property
    def last_committed(self) -> LogIndex:
        """Return the highest index that any replica has applied."""
        return self._last_committed

    def on_leader(self, vm_id: VmId, core: RaftCore) -> None:
        """Check a replica that leads in its current term."""
        term = core.status.term
        known = self._leaders.get(term)
        require(
            known in {None, vm_id},
            'election safety',
            f'{known} and {vm_id} lead in term {term}.',
        )
        if known is None:
            self._leaders[term] = vm_id
            self._check_leader_completeness(vm_id, core)

    def on_append(self, previous: Term, entries: tuple[Entry, ...]) -> None:
        """Check entries that a replica appends after an entry of a given term.

        If each pair of index and term has one content and one predecessor, logs
        that agree on an entry agree on all entries before it.
        """
        for entry in entries:
            digest = zlib.crc32(entry.payload + repr(entry.membership).encode())
            seen = self._entries.setdefault(
                (entry.index, entry.term), (digest, previous)
            )
            require(
                seen == (digest, previous),
                'log matching',
                f'Two entries at index {entry.index} in term {entry.term}.',
            )
            previous = entry.term

    def on_applied(
        self, entry: Entry, term: Term, accepted: RequestId | None
    ) -> None:
        """Check an entry that a replica applies in its current term."""
        digest = zlib.crc32(entry.payload)
        known = self._committed.setdefault(entry.index, (entry.term, digest))
        require(
            known == (entry.term, digest),
            'state machine safety',
            f'Replicas apply different entries at index {entry.index}.',
        )
        old = self._commit_terms.get(entry.index, term)
        self._commit_terms[entry.index] = min(old, term)
        self._last_committed = max(self._last_committed, entry.index)
        if accepted is not None:
            first = self._accepted.setdefault(accepted, entry.index)
            require(
                first == entry.index,
                'exactly once',
                f'{accepted} changes the state at {first} and {entry.index}.',
            )

    def on_state(self, index: LogIndex, payload: bytes) -> None:
        """Check that replicas have the same state at an index."""
        digest = zlib.crc32(payload)
        require(
            self._states.setdefault(index, digest) == digest,
            'state machine safety',
            f'States differ at index {index}.',
        )

    def _check_leader_completeness(self, vm_id: VmId, core: RaftCore) -> None:
        # Entries committed in the same or a later term are not covered: a
        # candidate may win after a later term has started.
        base = core.log.snapshot.last_index
        for index, term in self._commit_terms.items():
            if index <= base or term >= core.status.term:
                continue
            require(
                core.log.term_at(index) == self._committed[index][0],
                'leader completeness',
                f'{vm_id} leads without the committed index {index}.',
            )
