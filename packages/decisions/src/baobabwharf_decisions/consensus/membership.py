"""Change the membership by one voter or learner at a time.

Why one at a time is safe: any majority of the old voters and any majority of
the new voters share a voter when the sets differ by one, so no two leaders can
be elected in one term by different memberships.  That argument needs the
previous change to be committed before the next begins, and the leader to have
committed an entry of its own term, so that a change left by an earlier leader
can't commit later beside it.  A learner has no vote and never counts for a
majority, so adding or removing one changes no majority.  A replica that lost
its disk is first removed (the remaining voters then hold every committed entry
by themselves) and then added as a learner; its former acknowledgements carry
another session and are not counted again.
"""

from baobabwharf_core.ids import LogIndex, VmId

from baobabwharf_decisions.consensus import leader
from baobabwharf_decisions.consensus.messages import Membership
from baobabwharf_decisions.consensus.replica import Replica


def may_change(replica: Replica) -> bool:
    """Tell whether the next change may begin."""
    if not replica.is_leader or replica.transfer_target is not None:
        return False
    committed = replica.log.membership_index <= replica.commit
    return committed and replica.log.term_at(replica.commit) == replica.term


def add_learner(replica: Replica, vm_id: VmId) -> LogIndex | None:
    """Add a learner; None when the change can't begin."""
    old = replica.log.membership
    if not may_change(replica) or vm_id in old.members:
        return None
    new = Membership(old.voters, (*old.learners, vm_id))
    return leader.add_entry(replica, b'', new)


def promote(replica: Replica, vm_id: VmId) -> LogIndex | None:
    """Make a learner that holds the committed log a voter."""
    old = replica.log.membership
    progress = replica.progress.get(vm_id)
    if not may_change(replica) or vm_id not in old.learners:
        return None
    if progress is None or progress.match_index < replica.commit:
        return None
    learners = tuple(name for name in old.learners if name != vm_id)
    new = Membership((*old.voters, vm_id), learners)
    return leader.add_entry(replica, b'', new)


def remove(replica: Replica, vm_id: VmId) -> LogIndex | None:
    """Remove a member other than the leader, which must hand over first."""
    old = replica.log.membership
    if not may_change(replica) or vm_id not in old.members:
        return None
    if vm_id == replica.vm_id:
        return None
    voters = tuple(name for name in old.voters if name != vm_id)
    learners = tuple(name for name in old.learners if name != vm_id)
    return leader.add_entry(replica, b'', Membership(voters, learners))
