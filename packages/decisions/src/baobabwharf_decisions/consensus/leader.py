"""Replicate, commit and confirm leadership as the leader."""

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
)


def become_leader(replica: Replica) -> None:
    """Begin to lead with an entry of the own term."""
    replica.leader_id = replica.vm_id
    replica.leader_since_ms = replica.now_ms
    replica.progress = {}
    replica.transfer_target = None
    track_members(replica, LogIndex(replica.log.last_index + 1))
    add_entry(replica, b'', None)
    heartbeat(replica)


def clear_leader_state(replica: Replica) -> None:
    """Forget what only a leader holds; refuse waiting reads."""
    replica.progress = {}
    replica.transfer_target = None
    reads.refuse_all(replica)


def track_members(replica: Replica, probe: LogIndex) -> None:
    """Track exactly the other members of the newest membership.

    New ones are probed with the entry at an index, which must exist or follow
    at once: a member that nothing is sent to is never found to be behind.
    """
    members = set(replica.log.membership.members) - {replica.vm_id}
    for gone in set(replica.progress) - members:
        replica.progress.pop(gone)
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
    """Append an entry of the own term and send it out."""
    index = LogIndex(replica.log.last_index + 1)
    entry = Entry(index, replica.term, payload, membership)
    append_to_log(replica, [entry])
    if membership is not None:
        track_members(replica, index)
    return index


def replicate(replica: Replica) -> None:
    """Send what the windows of the members allow."""
    for member, progress in replica.progress.items():
        _fill_window(replica, member, progress)


def on_append_answer(replica: Replica, answer: AppendAnswer) -> None:
    """Learn what a member holds."""
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
    """Commit what a majority of the voters has synced."""
    if replica.commit == replica.log.last_index:
        return
    voters = replica.log.membership.voters
    durable_indices = sorted(
        (_durable_index_of(replica, voter) for voter in voters), reverse=True
    )
    index = durable_indices[replica.log.membership.majority - 1]
    # Entries of earlier terms commit only together with one of this term.
    if replica.log.term_at(index) == replica.term:
        advance_commit(replica, index)


def on_tick(replica: Replica) -> None:
    """Send heartbeats, resend what got lost, give up a finished transfer."""
    if replica.now_ms >= replica.transfer_deadline_ms:
        replica.transfer_target = None
    for member, progress in replica.progress.items():
        _resend_when_due(replica, member, progress)
    since = replica.now_ms - replica.heartbeat_sent_ms
    if since >= replica.options.heartbeat_ms:
        heartbeat(replica)
    replicate(replica)


def heartbeat(replica: Replica) -> None:
    """Send an empty append to every member."""
    replica.heartbeat_sent_ms = replica.now_ms
    for member, progress in replica.progress.items():
        _send_empty(replica, member, progress)


def announce_commit(replica: Replica) -> None:
    """Tell idle members of a newer commit index without a wait."""
    if replica.commit <= replica.announced_commit:
        return
    replica.announced_commit = replica.commit
    for member, progress in replica.progress.items():
        if not progress.inflight:
            _send_empty(replica, member, progress)


def begin_transfer(replica: Replica, target: VmId | None) -> bool:
    """Begin to hand leadership over; return false if that can't begin."""
    others = [
        voter
        for voter in replica.log.membership.voters
        if voter in replica.progress and target in {None, voter}
    ]
    if not replica.is_leader or not others:
        return False
    replica.transfer_target = max(
        others, key=lambda voter: replica.progress[voter].match_index
    )
    replica.transfer_deadline_ms = replica.now_ms + replica.options.election_ms
    heartbeat(replica)
    return True


def lost_quorum(replica: Replica) -> bool:
    """Tell whether no majority was heard within an election timeout."""
    oldest_ms = replica.now_ms - replica.options.election_ms
    if replica.leader_since_ms > oldest_ms:
        return False
    heard = 0
    for voter in replica.log.membership.voters:
        progress = replica.progress.get(voter)
        if progress is None or progress.heard_ms >= oldest_ms:
            heard += 1
    return heard < replica.log.membership.majority


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
    while (
        progress.inflight < window
        and progress.next_index <= replica.log.last_index
    ):
        batch = replica.log.slice(
            progress.next_index, replica.options.max_batch_entries
        )
        previous = LogIndex(progress.next_index - 1)
        _send_append(replica, member, progress, previous, tuple(batch))
        progress.next_index = LogIndex(progress.next_index + len(batch))
        progress.inflight += 1
        progress.sent_ms = replica.now_ms


def _send_empty(replica: Replica, member: VmId, progress: Progress) -> None:
    # While a probe is under way, only what was confirmed surely matches; a
    # rejected heartbeat would overrule the probe again and again.
    known = progress.match_index
    previous = known if progress.probing else LogIndex(progress.next_index - 1)
    _send_append(replica, member, progress, previous, ())


def _send_append(
    replica: Replica,
    member: VmId,
    progress: Progress,
    previous: LogIndex,
    entries: tuple[Entry, ...],
) -> None:
    previous_term = replica.log.term_at(previous)
    if previous_term is None:
        # Only a heartbeat comes here: the member needs a snapshot.
        previous = replica.log.snapshot.last_index
        previous_term = replica.log.snapshot.last_term
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
        index <= replica.log.last_index, 'A member confirms unknown entries.'
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
        # Overtaken by a later answer: what was confirmed stays confirmed.
        return
    hinted = min(LogIndex(answer.index + 1), answer.rejected)
    progress.next_index = max(LogIndex(progress.match_index + 1), hinted)
    progress.probing = True
    progress.inflight = 0


def _resend_when_due(
    replica: Replica, member: VmId, progress: Progress
) -> None:
    waited = replica.now_ms - progress.sent_ms
    if progress.inflight and waited >= replica.options.resend_ms:
        progress.inflight = 0
        progress.probing = True
        progress.next_index = LogIndex(progress.match_index + 1)


def _send_timeout_now_when_caught_up(replica: Replica) -> None:
    target = replica.transfer_target
    if target is None or target not in replica.progress:
        return
    if replica.progress[target].match_index == replica.log.last_index:
        send(replica, target, TimeoutNow(replica.vm_id, replica.term))
