"""Handle the leader's messages as a follower or a learner."""

from baobabwharf_core.ids import LogIndex
from baobabwharf_core.invariants import check_invariant

from baobabwharf_decisions.consensus.elections import observe_term, step_down
from baobabwharf_decisions.consensus.messages import (
    Append,
    AppendAnswer,
    Entry,
    SnapshotChunk,
)
from baobabwharf_decisions.consensus.replica import (
    CANDIDATE,
    LEADER,
    PRE_CANDIDATE,
    Replica,
    advance_commit,
    append_to_log,
    reset_election_deadline,
    send,
    update_role_from_membership,
)
from baobabwharf_decisions.consensus.snapshots import collect_chunk


def on_append(replica: Replica, message: Append) -> None:
    """Append matching entries, and acknowledge them once they are synced."""
    if message.term < replica.term:
        _answer(replica, message, False, replica.log.last_index)
        return
    _accept_leader(replica, message)
    base = replica.log.snapshot.last_index
    held_term = replica.log.term_at(message.previous_index)
    if message.previous_index >= base and held_term != message.previous_term:
        hint = _conflict_hint(replica, message.previous_index)
        _answer(replica, message, False, hint)
        return
    entries = [entry for entry in message.entries if entry.index > base]
    append_to_log(replica, _new_entries(replica, entries))
    last = LogIndex(message.previous_index + len(message.entries))
    update_role_from_membership(replica)
    advance_commit(replica, min(message.commit, last))
    _answer(replica, message, True, last)


def on_snapshot_chunk(replica: Replica, chunk: SnapshotChunk) -> None:
    """Store a snapshot chunk from the leader."""
    if chunk.term < replica.term:
        return
    _accept_leader(replica, chunk)
    collect_chunk(replica, chunk)
    update_role_from_membership(replica)


def _accept_leader(replica: Replica, message: Append | SnapshotChunk) -> None:
    observe_term(replica, message.term)
    check_invariant(
        replica.role != LEADER, 'There are two leaders in one term.'
    )
    if replica.role in {CANDIDATE, PRE_CANDIDATE}:
        step_down(replica, 'leader_seen')
    same_leader = replica.leader_id in {None, message.sender}
    check_invariant(same_leader, 'The leader of a term has changed.')
    replica.leader_id = message.sender
    replica.leader_heard_ms = replica.now_ms
    reset_election_deadline(replica)


def _conflict_hint(replica: Replica, previous: LogIndex) -> LogIndex:
    last = replica.log.last_index
    if previous > last:
        return last
    first = replica.log.first_index_of_term(previous)
    # Every leader's log holds all committed entries, so skip back no further.
    return max(replica.commit, LogIndex(first - 1))


def _new_entries(replica: Replica, entries: list[Entry]) -> list[Entry]:
    for position, entry in enumerate(entries):
        if replica.log.term_at(entry.index) != entry.term:
            return entries[position:]
    return []


def _answer(
    replica: Replica, message: Append, success: bool, index: LogIndex
) -> None:
    answer = AppendAnswer(
        replica.vm_id,
        replica.term,
        success,
        index,
        message.read_round,
        message.session,
        LogIndex(0) if success else message.previous_index,
    )
    send(replica, message.sender, answer)
