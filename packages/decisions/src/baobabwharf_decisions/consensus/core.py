"""Offer the Raft core to the task or the test that owns it."""

import random
from collections.abc import Callable, Iterable
from typing import Any, final

from baobabwharf_core.ids import LogIndex, VmId
from baobabwharf_core.invariants import check_invariant

from baobabwharf_decisions.consensus import (
    elections,
    follower,
    leader,
    membership,
    reads,
    snapshots,
)
from baobabwharf_decisions.consensus.messages import (
    Append,
    AppendAnswer,
    CoreStatus,
    Entry,
    HardState,
    MembershipChange,
    Message,
    Options,
    Output,
    Snapshot,
    SnapshotAnswer,
    SnapshotChunk,
    TimeoutNow,
    VoteAnswer,
    VoteRequest,
)
from baobabwharf_decisions.consensus.raft_log import RaftLog
from baobabwharf_decisions.consensus.replica import (
    NO_INDEX,
    REMOVED,
    Replica,
    confirm_sync,
    reset_election_deadline,
    step_role,
    take_persist,
    update_role_from_membership,
)

_HANDLERS: dict[type, Callable[[Replica, Any], None]] = {
    VoteRequest: elections.on_vote_request,
    VoteAnswer: elections.on_vote_answer,
    TimeoutNow: elections.on_timeout_now,
    Append: follower.on_append,
    SnapshotChunk: follower.on_snapshot_chunk,
}

_MEMBERSHIP_STEPS = {
    MembershipChange.ADD_LEARNER: membership.add_learner,
    MembershipChange.PROMOTE: membership.promote,
    MembershipChange.REMOVE: membership.remove,
}


@final
class RaftCore:
    """Decide for one replica; times are monotonic ms of the owner's clock.

    After each input the owner calls take_output, syncs persist and then calls
    synced, sends the messages and applies the committed entries.
    """

    def __init__(
        self,
        vm_id: VmId,
        options: Options,
        generator: random.Random,
        hard_state: HardState,
        snapshot: Snapshot,
        entries: Iterable[Entry],
        commit: LogIndex = NO_INDEX,
    ) -> None:
        log = RaftLog(snapshot, entries)
        check_invariant(commit <= log.last_index, 'Committed entries lack.')
        replica = Replica(
            vm_id,
            options,
            generator,
            log,
            hard_state,
            max(snapshot.last_index, commit),
            snapshot.last_index,
            durable_index=log.last_index,
        )
        update_role_from_membership(replica)
        self._replica = replica

    @property
    def status(self) -> CoreStatus:
        """Return what the owner may know of this replica."""
        replica = self._replica
        heard = replica.leader_heard_ms
        return CoreStatus(
            replica.role,
            replica.is_leader,
            replica.leader_id,
            replica.term,
            replica.commit,
            replica.log.membership,
            replica.now_ms if replica.is_leader else heard,
        )

    @property
    def is_leader(self) -> bool:
        """Tell whether this replica leads."""
        return self._replica.is_leader

    @property
    def log(self) -> RaftLog:
        """Return the log, for reading."""
        return self._replica.log

    def begin(self, now_ms: int) -> None:
        """Start the election timeout; call once before any input."""
        self._replica.now_ms = now_ms
        reset_election_deadline(self._replica)

    def tick(self, now_ms: int) -> None:
        """Act on the passing of time."""
        replica = self._replica
        replica.now_ms = max(replica.now_ms, now_ms)
        if replica.is_leader and leader.lost_quorum(replica):
            elections.step_down(replica, 'quorum_lost')
            replica.leader_id = None
        elif replica.is_leader:
            leader.on_tick(replica)
        else:
            elections.campaign_when_due(replica)

    def receive(self, message: Message, now_ms: int) -> None:
        """Handle a message from another replica."""
        replica = self._replica
        replica.now_ms = max(replica.now_ms, now_ms)
        if replica.role == REMOVED or message.sender == replica.vm_id:
            return
        handler = _HANDLERS.get(type(message))
        if handler is not None:
            handler(replica, message)
        elif isinstance(message, AppendAnswer | SnapshotAnswer):
            self._receive_answer(message)

    def synced(self, sequence: int, now_ms: int) -> None:
        """Learn that the records of a persist request are durable."""
        replica = self._replica
        replica.now_ms = max(replica.now_ms, now_ms)
        confirm_sync(replica, sequence)
        elections.on_own_vote_synced(replica)
        if replica.is_leader:
            leader.commit_majority(replica)

    def propose(self, payload: bytes) -> LogIndex | None:
        """Append a command; None when this replica can't take it."""
        replica = self._replica
        check_invariant(bool(payload), 'An empty command was proposed.')
        if not replica.is_leader or replica.transfer_target is not None:
            return None
        return leader.add_entry(replica, payload, None)

    def read(self, read_id: int) -> bool:
        """Start a linearisable read, answered through Output.reads."""
        started = reads.request_read(self._replica, read_id)
        if started:
            leader.heartbeat(self._replica)
            reads.release_confirmed(self._replica)
        return started

    def change_membership(
        self, step: MembershipChange, vm_id: VmId
    ) -> LogIndex | None:
        """Begin a membership change; None when it can't begin now."""
        return _MEMBERSHIP_STEPS[step](self._replica, vm_id)

    def transfer(self, target: VmId | None = None) -> bool:
        """Hand leadership to a voter, by default to the one that holds most.

        Takes no commands until the voter leads or an election time passed.
        """
        return leader.begin_transfer(self._replica, target)

    def mark_removed(self) -> None:
        """Take part no more, because this VM was removed for good.

        The log alone does not tell: a learner that was removed and added
        again meets its old removal while it catches up.
        """
        replica = self._replica
        if replica.role != REMOVED and not replica.is_leader:
            step_role(replica, 'removed')

    def should_compact(self, index: LogIndex, threshold: int) -> bool:
        """Tell whether the log should be compacted up to an applied index."""
        behind = index - self._replica.log.snapshot.last_index
        if behind < threshold:
            return False
        return not snapshots.should_defer_compaction(
            self._replica, behind, threshold
        )

    def compact(self, index: LogIndex, payload: bytes) -> None:
        """Replace the log up to an applied index by a snapshot."""
        replica = self._replica
        check_invariant(index <= replica.delivered, 'Not applied yet.')
        term = replica.log.term_at(index)
        if term is None or index <= replica.log.snapshot.last_index:
            return
        voters = replica.log.membership_at(index)
        snapshots.replace_prefix(
            replica, Snapshot(index, term, voters, payload)
        )

    def take_output(self) -> Output:
        """Return what the owner must do now."""
        replica = self._replica
        if replica.is_leader:
            leader.commit_majority(replica)
            leader.replicate(replica)
            leader.announce_commit(replica)
        output = Output(
            take_persist(replica),
            replica.outbox,
            replica.restore,
            self._take_committed(),
            replica.ready_reads,
        )
        replica.outbox = []
        replica.restore = None
        replica.ready_reads = []
        return output

    def _take_committed(self) -> list[Entry]:
        replica = self._replica
        count = replica.commit - replica.delivered
        if count <= 0:
            return []
        first = LogIndex(replica.delivered + 1)
        replica.delivered = replica.commit
        return replica.log.slice(first, count)

    def _receive_answer(self, message: AppendAnswer | SnapshotAnswer) -> None:
        replica = self._replica
        elections.observe_term(replica, message.term)
        if not replica.is_leader or message.term < replica.term:
            return
        if isinstance(message, AppendAnswer):
            leader.on_append_answer(replica, message)
        elif snapshots.on_snapshot_answer(replica, message):
            leader.commit_majority(replica)
