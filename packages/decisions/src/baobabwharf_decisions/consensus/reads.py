"""Serve linearizable reads by confirming leadership with a majority."""

from baobabwharf_core.ids import VmId

from baobabwharf_decisions.consensus.messages import ReadReady
from baobabwharf_decisions.consensus.replica import PendingRead, Replica


def request_read(replica: Replica, read_id: int) -> bool:
    """Queue a read; return false if this replica can't serve it.

    A new leader refuses reads until it has committed an entry of its own
    term, because its commit index may be out of date until then.
    """
    commit_is_current = replica.log.term_at(replica.commit) == replica.term
    if not replica.is_leader or not commit_is_current:
        return False
    replica.read_round += 1
    replica.reads.append(
        PendingRead(read_id, replica.commit, replica.read_round)
    )
    return True


def release_confirmed(replica: Replica) -> None:
    """Release the reads whose round a majority has acknowledged."""
    voters = replica.log.membership.voters
    rounds = sorted(
        (_confirmed_round(replica, voter) for voter in voters), reverse=True
    )
    majority_round = rounds[replica.log.membership.majority - 1]
    waiting = []
    for read in replica.reads:
        if read.read_round <= majority_round:
            replica.ready_reads.append(ReadReady(read.read_id, read.index))
        else:
            waiting.append(read)
    replica.reads = waiting


def refuse_all(replica: Replica) -> None:
    """Refuse all reads that no majority has confirmed yet."""
    for read in replica.reads:
        replica.ready_reads.append(ReadReady(read.read_id, None))
    replica.reads = []


def _confirmed_round(replica: Replica, voter: VmId) -> int:
    progress = replica.progress.get(voter)
    return replica.read_round if progress is None else progress.read_round
