"""Change the membership by one voter or learner at a time.

Single-server changes are safe because any majority of the old voters and any
majority of the new voters share a voter when the sets differ by one, so
different memberships can't elect two leaders in one term.  This requires that
the previous change is committed before the next one starts, and that the leader
has committed an entry of its own term, so that an uncommitted change of an
earlier leader can't be committed concurrently.  A learner has no vote and never
counts towards a majority, so adding or removing one changes no majority.  A
replica that lost its disk is first removed (the remaining voters then hold
every committed entry by themselves) and then added as a learner; its former
acknowledgements carry another session and are not counted again.
"""

from baobabwharf_core.ids import LogIndex, VmId

from baobabwharf_decisions.consensus import leader
from baobabwharf_decisions.consensus.messages import Membership
from baobabwharf_decisions.consensus.replica import Replica


def may_change(replica: Replica) -> bool:
    """Return whether a membership change may start now."""
    if not replica.is_leader or replica.transfer_target is not None:
        return False
    committed = replica.log.membership_index <= replica.commit
    return committed and replica.log.term_at(replica.commit) == replica.term


def add_learner(replica: Replica, vm_id: VmId) -> LogIndex | None:
    """Add a learner; return None if the change can't start now."""
    old = replica.log.membership
    if not may_change(replica) or vm_id in old.members:
        return None
    new = Membership(old.voters, (*old.learners, vm_id))
    return leader.add_entry(replica, b'', new)


def promote(replica: Replica, vm_id: VmId) -> LogIndex | None:
    """Make a learner a voter once it holds all committed entries."""
    old = replica.log.membership
    progress = replica.progress.get(vm_id)
    if not may_change(replica) or vm_id not in old.learners:
        return None
    if progress is None or progress.match_index < replica.commit:
        return None
    learners = tuple(member for member in old.learners if member != vm_id)
    new = Membership((*old.voters, vm_id), learners)
    return leader.add_entry(replica, b'', new)


def remove(replica: Replica, vm_id: VmId) -> LogIndex | None:
    """Remove a member; a leader must transfer its leadership first."""
    old = replica.log.membership
    if not may_change(replica) or vm_id not in old.members:
        return None
    if vm_id == replica.vm_id:
        return None
    voters = tuple(member for member in old.voters if member != vm_id)
    learners = tuple(member for member in old.learners if member != vm_id)
    return leader.add_entry(replica, b'', Membership(voters, learners))
