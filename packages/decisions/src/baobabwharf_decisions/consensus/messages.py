"""Define log entries, messages, output and options of the Raft state machine."""

import enum
from typing import Annotated

import msgspec
from baobabwharf_core.ids import LogIndex, Term, VmId
from baobabwharf_core.input_types import EXACT_INTEGER, ExactInteger

# What an entry or a message takes besides its payload, roughly.
_OVERHEAD_BYTES = 128

ReceivedTerm = Annotated[Term, EXACT_INTEGER]
ReceivedIndex = Annotated[LogIndex, EXACT_INTEGER]


class Membership(msgspec.Struct, frozen=True):
    """List the voters and the learners of the Raft group."""

    voters: tuple[VmId, ...] = ()
    learners: tuple[VmId, ...] = ()

    @property
    def majority(self) -> int:
        """Return the number of voters that form a majority."""
        return len(self.voters) // 2 + 1

    @property
    def members(self) -> tuple[VmId, ...]:
        """Return all voters and learners."""
        return self.voters + self.learners


class Entry(msgspec.Struct, frozen=True):
    """Hold one log entry.

    An entry without payload and membership is the one that a new leader
    appends, so that entries of earlier terms can be committed.
    """

    index: ReceivedIndex
    term: ReceivedTerm
    payload: bytes = b''
    membership: Membership | None = None

    @property
    def size_bytes(self) -> int:
        """Return the approximate size in memory and on the wire."""
        return len(self.payload) + _OVERHEAD_BYTES


class HardState(msgspec.Struct, frozen=True):
    """Hold the term and the vote, synced before any message relies on them."""

    term: Term = Term(0)
    voted_for: VmId | None = None


class Snapshot(msgspec.Struct, frozen=True):
    """Hold the state machine's state as of last_index."""

    last_index: ReceivedIndex = LogIndex(0)
    last_term: ReceivedTerm = Term(0)
    membership: Membership = Membership()
    payload: bytes = b''


class _Message(msgspec.Struct, frozen=True, tag=True):
    sender: VmId
    term: ReceivedTerm

    @property
    def size_bytes(self) -> int:
        """Return the approximate size on the wire."""
        return _OVERHEAD_BYTES


class VoteRequest(_Message, frozen=True, tag=True):
    """Request a vote; a pre-vote changes no state of the receiver.

    transfer is true in a campaign that the old leader asked for; receivers
    then vote even if they have heard from that leader recently.
    """

    last_index: ReceivedIndex
    last_term: ReceivedTerm
    pre: bool
    transfer: bool = False


class VoteAnswer(_Message, frozen=True, tag=True):
    """Answer a vote request; a granted answer carries the requested term."""

    granted: bool
    pre: bool


class Append(_Message, frozen=True, tag=True):
    """Replicate entries and the commit index; without entries, a heartbeat.

    session identifies the leader's replication state for the receiver.  An
    answer from before the receiver lost its disk and was added again carries
    an older session and is not counted.
    """

    previous_index: ReceivedIndex
    previous_term: ReceivedTerm
    entries: tuple[Entry, ...]
    commit: ReceivedIndex
    read_round: ExactInteger
    session: ExactInteger

    @property
    def size_bytes(self) -> int:
        """Return the approximate size on the wire."""
        return _OVERHEAD_BYTES + sum(entry.size_bytes for entry in self.entries)


class AppendAnswer(_Message, frozen=True, tag=True):
    """Acknowledge durable entries up to index, or reject an append.

    On rejection, index is a hint where the leader should retry, and rejected
    is the previous index that did not match; it is zero on success.
    """

    success: bool
    index: ReceivedIndex
    read_round: ExactInteger
    session: ExactInteger
    rejected: ReceivedIndex = LogIndex(0)


class SnapshotChunk(_Message, frozen=True, tag=True):
    """Carry a chunk of a snapshot; total_bytes is the whole payload's size."""

    snapshot: Snapshot
    offset: ExactInteger
    total_bytes: ExactInteger
    session: ExactInteger

    @property
    def size_bytes(self) -> int:
        """Return the approximate size on the wire."""
        return _OVERHEAD_BYTES + len(self.snapshot.payload)


class SnapshotAnswer(_Message, frozen=True, tag=True):
    """Request the chunk at next_offset, or report a durable snapshot."""

    last_index: ReceivedIndex
    next_offset: ExactInteger
    installed: bool
    session: ExactInteger


class TimeoutNow(_Message, frozen=True, tag=True):
    """Tell the receiver to start an election at once, to take leadership."""


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
    """Pair an outgoing message with its receiver."""

    receiver: VmId
    message: Message


class Persist(msgspec.Struct, frozen=True):
    """Request a durable write of the hard state and of log entries.

    The entries replace all stored entries from the index of the first one on.
    With a snapshot, they are the whole log that follows it.
    """

    sequence: int
    hard_state: HardState
    entries: tuple[Entry, ...]
    snapshot: Snapshot | None = None


class ReadReady(msgspec.Struct, frozen=True):
    """Allow a read once index is applied; an index of None refuses it."""

    read_id: int
    index: LogIndex | None


class MembershipChange(enum.Enum):
    """Name the kinds of membership changes."""

    ADD_LEARNER = 'add_learner'
    PROMOTE = 'promote'
    REMOVE = 'remove'


class CoreStatus(msgspec.Struct, frozen=True):
    """Describe a replica; role is a state of the chart replica_role.

    leader_heard_ms is the time of the last message from the leader, or the
    current time if the replica leads itself.
    """

    role: str
    is_leader: bool
    leader_id: VmId | None
    term: Term
    commit: LogIndex
    membership: Membership
    leader_heard_ms: int | None


class Output(msgspec.Struct):
    """Hold what the caller of the Raft state machine must do, in field order."""

    persist: Persist | None
    messages: list[Send]
    restore: Snapshot | None
    committed: list[Entry]
    reads: list[ReadReady]


class CompactionThreshold(msgspec.Struct, frozen=True):
    """Set how many applied entries, or bytes of them, the log may hold."""

    entries: int
    size_bytes: int


class Options(msgspec.Struct, frozen=True):
    """Set timeouts and how entries are replicated.

    By default, entries are batched, several batches are in flight to each
    member, and batches are sent while the leader's own write is in progress.
    """

    heartbeat_ms: int = 100
    # Ten heartbeats: regions are some tens of ms apart, so a few late or lost
    # heartbeats must not start an election.
    election_ms: int = 1000
    resend_ms: int = 300
    pre_vote: bool = True
    max_batch_entries: int = 256
    # A message holds one entry at least, whatever its size.
    max_batch_bytes: int = 262_144
    # A limit of 8 is exhausted within one 70 ms round trip, which raises the
    # p99 latency of commits to 125 ms.
    max_inflight: int = 32
    # Unacknowledged bytes to one member, which both ends hold in memory.
    max_inflight_bytes: int = 4_194_304
    parallel_append: bool = True
    chunk_bytes: int = 65_536


# One entry in flight to each member, sent after the leader's own write.
STOP_AND_WAIT = Options(
    max_batch_entries=1, max_inflight=1, parallel_append=False
)
