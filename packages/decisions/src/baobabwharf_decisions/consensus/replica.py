"""Hold the state of one replica and its pending output."""

import random
from dataclasses import dataclass, field

from baobabwharf_core.ids import LogIndex, Term, VmId
from baobabwharf_core.invariants import check_invariant
from baobabwharf_core.statechart import load_chart

from baobabwharf_decisions.consensus.messages import (
    Append,
    Entry,
    HardState,
    Message,
    Options,
    Persist,
    ReadReady,
    Send,
    Snapshot,
)
from baobabwharf_decisions.consensus.raft_log import RaftLog

NO_INDEX = LogIndex(0)
CHART = load_chart('replica_role')
LEARNER = CHART.initial
FOLLOWER = CHART.step(LEARNER, 'promoted')
PRE_CANDIDATE = CHART.step(FOLLOWER, 'election_timeout')
CANDIDATE = CHART.step(PRE_CANDIDATE, 'pre_vote_won')
LEADER = CHART.step(CANDIDATE, 'vote_won')
REMOVED = CHART.step(LEADER, 'removed')


@dataclass(slots=True)
class Progress:
    """Hold the leader's replication state for one member."""

    session: int
    next_index: LogIndex
    match_index: LogIndex = NO_INDEX
    # The highest commit index that the member was sent and can apply.
    announced_commit: LogIndex = NO_INDEX
    inflight: int = 0
    probing: bool = True
    sent_ms: int = 0
    heard_ms: int = 0
    read_round: int = 0
    # The snapshot in transfer; kept even if the log is compacted meanwhile.
    snapshot: Snapshot | None = None
    snapshot_offset: int = 0

    @property
    def expected_index(self) -> LogIndex:
        """Return the last index that the member's log is expected to match."""
        # While the member is probed, only its match index is sure to match.  A
        # rejected heartbeat would restart the probe again and again.
        if self.probing:
            return self.match_index
        return LogIndex(self.next_index - 1)


@dataclass(slots=True)
class PendingRead:
    """Hold a read until a majority has confirmed the leader."""

    read_id: int
    index: LogIndex
    read_round: int


@dataclass(slots=True)
class Replica:
    """Hold the state of one replica; now_ms is the time of the last input."""

    vm_id: VmId
    options: Options
    random: random.Random
    log: RaftLog
    hard_state: HardState
    commit: LogIndex
    # Index of the last committed entry that was handed to the caller.
    delivered: LogIndex
    role: str = LEARNER
    leader_id: VmId | None = None
    now_ms: int = 0
    election_deadline_ms: int = 0
    leader_heard_ms: int | None = None
    votes: set[VmId] = field(default_factory=set)
    # Used only by a leader.
    progress: dict[VmId, Progress] = field(default_factory=dict)
    last_session: int = 0
    heartbeat_sent_ms: int = 0
    leader_since_ms: int = 0
    read_round: int = 0
    reads: list[PendingRead] = field(default_factory=list)
    transfer_target: VmId | None = None
    transfer_deadline_ms: int = 0
    # Used only while a snapshot is received.
    snapshot_buffer: bytearray = field(default_factory=bytearray)
    snapshot_buffer_index: LogIndex = NO_INDEX
    # Output that waits for the caller or for a sync.  The two sequence numbers
    # are those of the newest persist request and of the newest durable one.
    sequence: int = 0
    synced_sequence: int = 0
    dirty: bool = False
    dirty_from: LogIndex | None = None
    new_snapshot: Snapshot | None = None
    restore: Snapshot | None = None
    # Sequence number and last log index of each persist request under way.
    pending_syncs: list[tuple[int, LogIndex]] = field(default_factory=list)
    durable_index: LogIndex = NO_INDEX
    unsynced_sends: list[tuple[int, Send]] = field(default_factory=list)
    outbox: list[Send] = field(default_factory=list)
    ready_reads: list[ReadReady] = field(default_factory=list)

    @property
    def term(self) -> Term:
        """Return the current term."""
        return self.hard_state.term

    @property
    def is_leader(self) -> bool:
        """Return whether this replica leads."""
        return self.role == LEADER

    @property
    def is_voter(self) -> bool:
        """Return whether this replica votes in the newest membership."""
        return self.vm_id in self.log.membership.voters


def step_role(replica: Replica, event: str) -> None:
    """Apply an event of the chart replica_role."""
    replica.role = CHART.step(replica.role, event)


def mark_dirty(replica: Replica, first: LogIndex | None = None) -> None:
    """Mark the hard state, and entries from an index on, as to be synced."""
    if not replica.dirty:
        replica.dirty = True
        replica.sequence += 1
    if first is None:
        return
    earlier = replica.dirty_from
    replica.dirty_from = first if earlier is None else min(earlier, first)


def set_hard_state(replica: Replica, term: Term, vote: VmId | None) -> None:
    """Enter a term or record a vote."""
    old = replica.hard_state
    check_invariant(term >= old.term, 'The term decreases.')
    check_invariant(
        term > old.term or old.voted_for in {None, vote},
        'A replica votes twice in one term.',
    )
    if (old.term, old.voted_for) != (term, vote):
        replica.hard_state = HardState(term, vote)
        mark_dirty(replica)


def append_to_log(replica: Replica, entries: list[Entry]) -> None:
    """Append entries in place of any conflicting ones, and mark them dirty."""
    if not entries:
        return
    first = entries[0].index
    if first <= replica.log.last_index:
        check_invariant(
            first > replica.commit, 'A committed entry is overwritten.'
        )
        _lower_durable_index(replica, first)
        replica.log.truncate(first)
    replica.log.append(entries)
    mark_dirty(replica, first)


def _lower_durable_index(replica: Replica, first: LogIndex) -> None:
    last = LogIndex(first - 1)
    replica.durable_index = min(replica.durable_index, last)
    replica.pending_syncs = [
        (sequence, min(index, last))
        for sequence, index in replica.pending_syncs
    ]


def send(replica: Replica, receiver: VmId, message: Message) -> None:
    """Send a message once all state that it depends on is synced.

    With parallel_append, appends are sent without this wait; the leader counts
    its own copy of an entry towards a majority only once it is durable.
    """
    item = Send(receiver, message)
    early = replica.options.parallel_append and isinstance(message, Append)
    if early or replica.synced_sequence >= replica.sequence:
        replica.outbox.append(item)
    else:
        replica.unsynced_sends.append((replica.sequence, item))


def send_now(replica: Replica, receiver: VmId, message: Message) -> None:
    """Send a message that depends on no unsynced state."""
    replica.outbox.append(Send(receiver, message))


def take_persist(replica: Replica) -> Persist | None:
    """Return the next persist request, or None if nothing is dirty."""
    if not replica.dirty:
        return None
    entries: list[Entry] = []
    if replica.dirty_from is not None:
        first = max(
            replica.dirty_from, LogIndex(replica.log.snapshot.last_index + 1)
        )
        entries = replica.log.slice(first)
    request = Persist(
        replica.sequence,
        replica.hard_state,
        tuple(entries),
        replica.new_snapshot,
    )
    replica.pending_syncs.append((replica.sequence, replica.log.last_index))
    replica.dirty = False
    replica.dirty_from = None
    replica.new_snapshot = None
    return request


def take_committed(replica: Replica) -> list[Entry]:
    """Return the committed entries that the caller was not handed yet."""
    count = replica.commit - replica.delivered
    if count <= 0:
        return []
    first = LogIndex(replica.delivered + 1)
    replica.delivered = replica.commit
    return replica.log.slice(first, count)


def confirm_sync(replica: Replica, sequence: int) -> None:
    """Record that all persist requests up to a sequence number are durable."""
    check_invariant(
        sequence <= replica.sequence,
        'A sync was confirmed that was never requested.',
    )
    replica.synced_sequence = max(replica.synced_sequence, sequence)
    waiting = []
    for pending in replica.pending_syncs:
        if pending[0] > sequence:
            waiting.append(pending)
        else:
            replica.durable_index = max(replica.durable_index, pending[1])
    replica.pending_syncs = waiting
    due = [pair[1] for pair in replica.unsynced_sends if pair[0] <= sequence]
    replica.unsynced_sends = [
        pair for pair in replica.unsynced_sends if pair[0] > sequence
    ]
    # Receivers ignore messages of an earlier term, so those are dropped.
    replica.outbox.extend(
        item for item in due if item.message.term >= replica.term
    )


def unanswered_bytes(replica: Replica, progress: Progress) -> int:
    """Return the size of the entries that a member has not answered yet."""
    if not progress.inflight:
        return 0
    sent = replica.log.size_up_to(LogIndex(progress.next_index - 1))
    return sent - replica.log.size_up_to(progress.match_index)


def advance_commit(replica: Replica, index: LogIndex) -> None:
    """Move the commit index forward."""
    if index <= replica.commit:
        return
    check_invariant(
        index <= replica.log.last_index,
        'An entry that the log does not hold is committed.',
    )
    replica.commit = index


def reset_election_deadline(replica: Replica) -> None:
    """Restart the election timer with one to two times the base timeout."""
    base = replica.options.election_ms
    replica.election_deadline_ms = (
        replica.now_ms + base + replica.random.randrange(base)
    )


def update_role_from_membership(replica: Replica) -> None:
    """Set the role of a follower or learner according to the membership."""
    if replica.role == LEARNER and replica.is_voter:
        step_role(replica, 'promoted')
        reset_election_deadline(replica)
        return
    learners = replica.log.membership.learners
    if replica.role == FOLLOWER and replica.vm_id in learners:
        step_role(replica, 'demoted')
