"""Confirm reads: a majority must still follow the leader."""

from baobabwharf_core.ids import VmId

from baobabwharf_decisions.consensus.messages import ReadReady
from baobabwharf_decisions.consensus.replica import PendingRead, Replica


def request_read(replica: Replica, read_id: int) -> bool:
    """Start a read; return false when this replica can't serve it.

    The commit index is the newest one only after an entry of the own term
    is committed, so earlier reads are refused.
    """
    current = replica.log.term_at(replica.commit) == replica.term
    if not replica.is_leader or not current:
        return False
    replica.read_round += 1
    replica.reads.append(
        PendingRead(read_id, replica.commit, replica.read_round)
    )
    return True


def release_confirmed(replica: Replica) -> None:
    """Release the reads whose round a majority has answered."""
    voters = replica.log.membership.voters
    rounds = sorted(
        (_confirmed_round(replica, voter) for voter in voters), reverse=True
    )
    reached = rounds[replica.log.membership.majority - 1]
    waiting = []
    for read in replica.reads:
        if read.read_round <= reached:
            replica.ready_reads.append(ReadReady(read.read_id, read.index))
        else:
            waiting.append(read)
    replica.reads = waiting


def refuse_all(replica: Replica) -> None:
    """Refuse the reads that no majority has confirmed."""
    for read in replica.reads:
        replica.ready_reads.append(ReadReady(read.read_id, None))
    replica.reads = []


def _confirmed_round(replica: Replica, voter: VmId) -> int:
    progress = replica.progress.get(voter)
    return replica.read_round if progress is None else progress.read_round
