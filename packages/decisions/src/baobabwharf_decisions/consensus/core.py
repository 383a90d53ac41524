"""Provide the Raft core, driven by inputs and free of I/O."""

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
from baobabwharf_decisions.consensus.membership_plan import FollowerView
from baobabwharf_decisions.consensus.messages import (
    Append,
    AppendAnswer,
    CompactionThreshold,
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
    take_committed,
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

_MEMBERSHIP_CHANGES = {
    MembershipChange.ADD_LEARNER: membership.add_learner,
    MembershipChange.PROMOTE: membership.promote,
    MembershipChange.REMOVE: membership.remove,
}


@final
class RaftCore:
    """Run Raft for one replica; times are ms of the caller's monotonic clock.

    After each input, the caller calls take_output, writes its persist request
    and calls synced once that is durable, sends the messages and applies the
    committed entries.
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
        check_invariant(
            commit <= log.last_index,
            'Committed entries are missing from the log.',
        )
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
        """Return a description of this replica."""
        replica = self._replica
        heard_ms = replica.leader_heard_ms
        return CoreStatus(
            replica.role,
            replica.is_leader,
            replica.leader_id,
            replica.term,
            replica.commit,
            replica.log.membership,
            replica.now_ms if replica.is_leader else heard_ms,
        )

    @property
    def is_leader(self) -> bool:
        """Return whether this replica leads."""
        return self._replica.is_leader

    @property
    def followers(self) -> dict[VmId, FollowerView]:
        """Return what a leader knows of the other members."""
        replica = self._replica
        return {
            vm_id: FollowerView(
                replica.now_ms - progress.heard_ms,
                progress.match_index >= replica.commit,
            )
            for vm_id, progress in replica.progress.items()
        }

    @property
    def log(self) -> RaftLog:
        """Return the log; callers must not change it."""
        return self._replica.log

    def begin(self, now_ms: int) -> None:
        """Start the election timer; call once before any other input."""
        self._replica.now_ms = now_ms
        reset_election_deadline(self._replica)

    def tick(self, now_ms: int) -> None:
        """Run what is due at this time: elections, heartbeats and resends."""
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
        """Record that all persist requests up to sequence are durable."""
        replica = self._replica
        replica.now_ms = max(replica.now_ms, now_ms)
        confirm_sync(replica, sequence)
        elections.on_own_vote_synced(replica)
        if replica.is_leader:
            leader.commit_majority(replica)

    def propose(self, payload: bytes) -> LogIndex | None:
        """Append a command; return None if this replica can't accept it."""
        replica = self._replica
        check_invariant(bool(payload), 'An empty command was proposed.')
        if not replica.is_leader or replica.transfer_target is not None:
            return None
        return leader.add_entry(replica, payload, None)

    def read(self, read_id: int) -> bool:
        """Start a linearizable read; its result comes in Output.reads."""
        started = reads.request_read(self._replica, read_id)
        if started:
            leader.heartbeat(self._replica)
            reads.release_confirmed(self._replica)
        return started

    def change_membership(
        self, change: MembershipChange, vm_id: VmId
    ) -> LogIndex | None:
        """Start a membership change; return None if it can't start now."""
        return _MEMBERSHIP_CHANGES[change](self._replica, vm_id)

    def transfer(self, target: VmId | None = None) -> bool:
        """Transfer leadership, by default to the most up-to-date voter.

        No commands are accepted until the transfer succeeds or an election
        timeout has passed.
        """
        return leader.begin_transfer(self._replica, target)

    def mark_removed(self) -> None:
        """Stop taking part in consensus, because this VM was removed permanently.

        The caller decides, because the log is not conclusive: a learner that
        was removed and added again replays its old removal while it catches
        up.
        """
        replica = self._replica
        if replica.role != REMOVED and not replica.is_leader:
            step_role(replica, 'removed')

    def should_compact(
        self, index: LogIndex, threshold: CompactionThreshold
    ) -> bool:
        """Return whether to compact the log up to an applied index now."""
        replica = self._replica
        if not snapshots.exceeds_threshold(replica, index, threshold):
            return False
        return not snapshots.should_defer_compaction(replica, index, threshold)

    def compact(self, index: LogIndex, payload: bytes) -> None:
        """Replace the log up to an applied index by a snapshot."""
        replica = self._replica
        check_invariant(
            index <= replica.delivered,
            'Entries that are not applied yet are compacted.',
        )
        term = replica.log.term_at(index)
        if term is None or index <= replica.log.snapshot.last_index:
            return
        members = replica.log.membership_at(index)
        snapshots.replace_prefix(
            replica, Snapshot(index, term, members, payload)
        )

    def take_output(self) -> Output:
        """Return what the caller must do now."""
        replica = self._replica
        if replica.is_leader:
            leader.commit_majority(replica)
            leader.replicate(replica)
            leader.announce_commit(replica)
        output = Output(
            take_persist(replica),
            replica.outbox,
            replica.restore,
            take_committed(replica),
            replica.ready_reads,
        )
        replica.outbox = []
        replica.restore = None
        replica.ready_reads = []
        return output

    def _receive_answer(self, message: AppendAnswer | SnapshotAnswer) -> None:
        replica = self._replica
        elections.observe_term(replica, message.term)
        if not replica.is_leader or message.term < replica.term:
            return
        if isinstance(message, AppendAnswer):
            leader.on_append_answer(replica, message)
        elif snapshots.on_snapshot_answer(replica, message):
            leader.commit_majority(replica)
