"""Describe log entries, messages between replicas and the core's output."""

import enum

import msgspec
from baobabwharf_core.ids import LogIndex, Term, VmId


class Membership(msgspec.Struct, frozen=True):
    """Name the voters and the learners of the group."""

    voters: tuple[VmId, ...] = ()
    learners: tuple[VmId, ...] = ()

    @property
    def majority(self) -> int:
        """Return how many voters decide."""
        return len(self.voters) // 2 + 1

    @property
    def members(self) -> tuple[VmId, ...]:
        """Return voters and learners."""
        return self.voters + self.learners


class Entry(msgspec.Struct, frozen=True):
    """Hold one log entry; an empty payload only confirms a term."""

    index: LogIndex
    term: Term
    payload: bytes = b''
    membership: Membership | None = None


class HardState(msgspec.Struct, frozen=True):
    """Hold what a replica must remember before it answers."""

    term: Term = Term(0)
    voted_for: VmId | None = None


class Snapshot(msgspec.Struct, frozen=True):
    """Hold the state machine's state after an index."""

    last_index: LogIndex = LogIndex(0)
    last_term: Term = Term(0)
    membership: Membership = Membership()
    payload: bytes = b''


class _Message(msgspec.Struct, frozen=True, tag=True):
    sender: VmId
    term: Term


class VoteRequest(_Message, frozen=True, tag=True):
    """Ask for a vote; a pre-vote changes no state of the receiver."""

    last_index: LogIndex
    last_term: Term
    pre: bool
    transfer: bool = False


class VoteAnswer(_Message, frozen=True, tag=True):
    """Answer a vote request; term is the requested term when granted."""

    granted: bool
    pre: bool


class Append(_Message, frozen=True, tag=True):
    """Carry entries, the commit index and a heartbeat.

    session identifies the leader's view of the receiver, so that answers
    from before a rebuild of the receiver are not counted.
    """

    previous_index: LogIndex
    previous_term: Term
    entries: tuple[Entry, ...]
    commit: LogIndex
    read_round: int
    session: int


class AppendAnswer(_Message, frozen=True, tag=True):
    """Confirm durable entries up to index, or give a hint where to retry.

    rejected is the previous index that did not match, zero on success.
    """

    success: bool
    index: LogIndex
    read_round: int
    session: int
    rejected: LogIndex = LogIndex(0)


class SnapshotChunk(_Message, frozen=True, tag=True):
    """Carry a part of a snapshot; total_bytes is its whole length."""

    snapshot: Snapshot
    offset: int
    total_bytes: int
    session: int


class SnapshotAnswer(_Message, frozen=True, tag=True):
    """Ask for the next part; installed tells that the snapshot is durable."""

    last_index: LogIndex
    next_offset: int
    installed: bool
    session: int


class TimeoutNow(_Message, frozen=True, tag=True):
    """Ask the receiver to campaign at once."""


Message = (
    VoteRequest
    | VoteAnswer
    | Append
    | AppendAnswer
    | SnapshotChunk
    | SnapshotAnswer
    | TimeoutNow
)


class Send(msgspec.Struct, frozen=True):
    """Pair a message with its receiver."""

    receiver: VmId
    message: Message


class Persist(msgspec.Struct, frozen=True):
    """Ask for records to be synced; entries replace those from their index.

    With a snapshot, entries are the whole log that follows it.
    """

    sequence: int
    hard_state: HardState
    entries: tuple[Entry, ...]
    snapshot: Snapshot | None = None


class ReadReady(msgspec.Struct, frozen=True):
    """Allow a read once the index is applied; index None refuses it."""

    read_id: int
    index: LogIndex | None


class MembershipChange(enum.Enum):
    """Name a change of the membership."""

    ADD_LEARNER = 'add_learner'
    PROMOTE = 'promote'
    REMOVE = 'remove'


class CoreStatus(msgspec.Struct, frozen=True):
    """Describe a replica; role is a state of chart replica_role.

    leader_heard_ms is when it last heard its leader, or led.
    """

    role: str
    is_leader: bool
    leader_id: VmId | None
    term: Term
    commit: LogIndex
    membership: Membership
    leader_heard_ms: int | None


class Output(msgspec.Struct):
    """Hold what the owner of the core must do, in this order."""

    persist: Persist | None
    messages: list[Send]
    restore: Snapshot | None
    committed: list[Entry]
    reads: list[ReadReady]


class Options(msgspec.Struct, frozen=True):
    """Choose times in ms and how entries are replicated.

    The defaults are the plain loop without its waits: batches, several of
    them in flight, sent while the leader's own write runs.
    """

    heartbeat_ms: int = 100
    # Regions are some tens of ms apart, so ten heartbeats may be lost or late.
    election_ms: int = 1000
    resend_ms: int = 300
    pre_vote: bool = True
    max_batch_entries: int = 256
    # Eight fill up within one round trip of 70 ms and raise p99 to 125 ms.
    max_inflight: int = 32
    parallel_append: bool = True
    chunk_bytes: int = 65_536


# One batch of one entry in flight, sent after the leader's own write.
STOP_AND_WAIT = Options(
    max_batch_entries=1, max_inflight=1, parallel_append=False
)
