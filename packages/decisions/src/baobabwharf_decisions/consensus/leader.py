"""Replicate and commit entries as the leader, and transfer leadership."""

from baobabwharf_core.ids import LogIndex, VmId
from baobabwharf_core.invariants import check_invariant

from baobabwharf_decisions.consensus import reads, snapshots
from baobabwharf_decisions.consensus.messages import (
    Append,
    AppendAnswer,
    Entry,
    Membership,
    TimeoutNow,
)
from baobabwharf_decisions.consensus.replica import (
    Progress,
    Replica,
    advance_commit,
    append_to_log,
    send,
    unanswered_bytes,
)


def become_leader(replica: Replica) -> None:
    """Start to lead by appending an empty entry of the new term."""
    replica.leader_id = replica.vm_id
    replica.leader_since_ms = replica.now_ms
    replica.progress = {}
    replica.transfer_target = None
    track_members(replica, LogIndex(replica.log.last_index + 1))
    add_entry(replica, b'', None)
    heartbeat(replica)


def clear_leader_state(replica: Replica) -> None:
    """Discard the state that only a leader has, and refuse pending reads."""
    replica.progress = {}
    replica.transfer_target = None
    reads.refuse_all(replica)


def track_members(replica: Replica, probe: LogIndex) -> None:
    """Keep replication progress for the other members of the membership.

    New members are probed with the entry at index probe.  That entry must exist
    or be appended next: a member that is sent no entries is never found to lag
    behind.
    """
    members = set(replica.log.membership.members) - {replica.vm_id}
    for removed in set(replica.progress) - members:
        replica.progress.pop(removed)
    for member in sorted(members - set(replica.progress)):
        replica.last_session += 1
        replica.progress[member] = Progress(
            replica.last_session,
            probe,
            heard_ms=replica.now_ms,
        )


def add_entry(
    replica: Replica, payload: bytes, membership: Membership | None
) -> LogIndex:
    """Append an entry of the current term, to be replicated."""
    index = LogIndex(replica.log.last_index + 1)
    entry = Entry(index, replica.term, payload, membership)
    append_to_log(replica, [entry])
    if membership is not None:
        track_members(replica, index)
    return index


def replicate(replica: Replica) -> None:
    """Send entries as far as each member's in-flight window allows."""
    for member, progress in replica.progress.items():
        _fill_window(replica, member, progress)


def on_append_answer(replica: Replica, answer: AppendAnswer) -> None:
    """Update a member's progress, and commit and release reads if possible."""
    progress = replica.progress.get(answer.sender)
    if progress is None or progress.session != answer.session:
        return
    progress.heard_ms = replica.now_ms
    progress.read_round = max(progress.read_round, answer.read_round)
    if answer.success:
        _record_match(replica, progress, answer.index)
    elif progress.next_index > replica.log.snapshot.last_index:
        _record_conflict(replica, progress, answer)
    commit_majority(replica)
    reads.release_confirmed(replica)
    _send_timeout_now_when_caught_up(replica)
    _fill_window(replica, answer.sender, progress)


def commit_majority(replica: Replica) -> None:
    """Commit the entries that a majority of the voters has synced."""
    if replica.commit == replica.log.last_index:
        return
    voters = replica.log.membership.voters
    durable_indices = sorted(
        (_durable_index_of(replica, voter) for voter in voters), reverse=True
    )
    index = durable_indices[replica.log.membership.majority - 1]
    # Raft commits entries of earlier terms only along with one of this term.
    if replica.log.term_at(index) == replica.term:
        advance_commit(replica, index)


def on_tick(replica: Replica) -> None:
    """Send heartbeats, resend lost messages and end a timed-out transfer."""
    if replica.now_ms >= replica.transfer_deadline_ms:
        replica.transfer_target = None
    for member, progress in replica.progress.items():
        _resend_when_due(replica, member, progress)
    elapsed_ms = replica.now_ms - replica.heartbeat_sent_ms
    if elapsed_ms >= replica.options.heartbeat_ms:
        heartbeat(replica)
    replicate(replica)


def heartbeat(replica: Replica) -> None:
    """Send an append without entries to every member."""
    replica.heartbeat_sent_ms = replica.now_ms
    for member, progress in replica.progress.items():
        _send_empty(replica, member, progress)


def announce_commit(replica: Replica) -> None:
    """Send a newer commit index to idle members before the next heartbeat.

    A member that acknowledges an entry after its commit becomes idle later than
    the others, so what was announced is tracked for each member.
    """
    for member, progress in replica.progress.items():
        newest = min(replica.commit, progress.expected_index)
        if not progress.inflight and newest > progress.announced_commit:
            _send_empty(replica, member, progress)


def begin_transfer(replica: Replica, target: VmId | None) -> bool:
    """Start a leadership transfer; return false if that isn't possible."""
    candidates = [
        voter
        for voter in replica.log.membership.voters
        if voter in replica.progress and target in {None, voter}
    ]
    if not replica.is_leader or not candidates:
        return False
    replica.transfer_target = max(
        candidates, key=lambda voter: replica.progress[voter].match_index
    )
    replica.transfer_deadline_ms = replica.now_ms + replica.options.election_ms
    heartbeat(replica)
    return True


def lost_quorum(replica: Replica) -> bool:
    """Return whether no majority was heard from within an election timeout."""
    oldest_ms = replica.now_ms - replica.options.election_ms
    if replica.leader_since_ms > oldest_ms:
        return False
    reachable = 0
    for voter in replica.log.membership.voters:
        progress = replica.progress.get(voter)
        if progress is None or progress.heard_ms >= oldest_ms:
            reachable += 1
    return reachable < replica.log.membership.majority


def _durable_index_of(replica: Replica, voter: VmId) -> LogIndex:
    if voter == replica.vm_id:
        return replica.durable_index
    progress = replica.progress.get(voter)
    return LogIndex(0) if progress is None else progress.match_index


def _fill_window(replica: Replica, member: VmId, progress: Progress) -> None:
    if progress.next_index <= replica.log.snapshot.last_index:
        snapshots.send_chunk_when_idle(replica, member, progress)
        return
    window = 1 if progress.probing else replica.options.max_inflight
    max_bytes = replica.options.max_inflight_bytes
    while (
        progress.inflight < window
        and progress.next_index <= replica.log.last_index
        and unanswered_bytes(replica, progress) < max_bytes
    ):
        batch = replica.log.batch(
            progress.next_index,
            replica.options.max_batch_entries,
            replica.options.max_batch_bytes,
        )
        previous = LogIndex(progress.next_index - 1)
        _send_append(replica, member, progress, previous, batch)
        progress.next_index = LogIndex(progress.next_index + len(batch))
        progress.inflight += 1
        progress.sent_ms = replica.now_ms


def _send_empty(replica: Replica, member: VmId, progress: Progress) -> None:
    _send_append(replica, member, progress, progress.expected_index, ())


def _send_append(
    replica: Replica,
    member: VmId,
    progress: Progress,
    previous: LogIndex,
    entries: tuple[Entry, ...],
) -> None:
    previous_term = replica.log.term_at(previous)
    if previous_term is None:
        # Only a heartbeat can get here: the entry is compacted, and the member
        # needs a snapshot.
        previous = replica.log.snapshot.last_index
        previous_term = replica.log.snapshot.last_term
    # A member commits no entry after those that the message covers.
    covered = LogIndex(previous + len(entries))
    progress.announced_commit = max(
        progress.announced_commit, min(replica.commit, covered)
    )
    message = Append(
        replica.vm_id,
        replica.term,
        previous,
        previous_term,
        entries,
        replica.commit,
        replica.read_round,
        progress.session,
    )
    send(replica, member, message)


def _record_match(
    replica: Replica, progress: Progress, index: LogIndex
) -> None:
    check_invariant(
        index <= replica.log.last_index,
        'A member has acknowledged entries that the leader does not hold.',
    )
    if index > progress.match_index:
        progress.match_index = index
        progress.probing = False
        progress.inflight = max(0, progress.inflight - 1)
        progress.sent_ms = replica.now_ms
    progress.next_index = max(progress.next_index, LogIndex(index + 1))
    if progress.match_index == progress.next_index - 1:
        progress.inflight = 0
        progress.probing = False


def _record_conflict(
    replica: Replica, progress: Progress, answer: AppendAnswer
) -> None:
    if answer.rejected <= progress.match_index:
        # Out of order: a later answer has already acknowledged these entries.
        return
    hinted = min(LogIndex(answer.index + 1), answer.rejected)
    progress.next_index = max(LogIndex(progress.match_index + 1), hinted)
    progress.probing = True
    progress.inflight = 0


def _resend_when_due(
    replica: Replica, member: VmId, progress: Progress
) -> None:
    waited_ms = replica.now_ms - progress.sent_ms
    if progress.inflight and waited_ms >= replica.options.resend_ms:
        progress.inflight = 0
        progress.probing = True
        progress.next_index = LogIndex(progress.match_index + 1)


def _send_timeout_now_when_caught_up(replica: Replica) -> None:
    target = replica.transfer_target
    if target is None or target not in replica.progress:
        return
    if replica.progress[target].match_index == replica.log.last_index:
        send(replica, target, TimeoutNow(replica.vm_id, replica.term))
