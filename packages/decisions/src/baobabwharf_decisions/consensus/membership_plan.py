"""Choose the next change of the members of a Raft group.

A group of an odd size has the same majority as the next smaller one.  So a
missing voter whose successor is ready is removed before the successor is
promoted: the group tolerates as many failures as before while it is smaller by
one, and one more as soon as the successor votes.  The other way round, the
missing voter would raise the majority that the live ones have to form.
"""

from collections.abc import Mapping

import msgspec
from baobabwharf_core.ids import VmId

from baobabwharf_decisions.consensus.messages import (
    Membership,
    MembershipChange,
)

# More voters would only make each commit wait for a larger majority.
MAX_VOTERS = 7
# With this many voters the group tolerates two lost disks.
_MIN_VOTERS = 5
# Three heartbeats.
_SILENCE_MS = 750


class FollowerView(msgspec.Struct, frozen=True):
    """Describe a member from the view of the leader.

    up_to_date means that it holds all committed entries.
    """

    silent_ms: int
    up_to_date: bool


class PlannedChange(msgspec.Struct, frozen=True):
    """Name a change and the member that it concerns."""

    change: MembershipChange
    vm_id: VmId


def plan_next_change(
    membership: Membership,
    followers: Mapping[VmId, FollowerView],
    live: frozenset[VmId],
) -> PlannedChange | None:
    """Return the next change of the leader, None if there is none to make.

    A member is missing if it is dead by gossip and silent towards the leader:
    gossip alone may be late to learn of a VM, and a reply may be late alone.
    """
    missing = [
        vm_id
        for vm_id, follower in sorted(followers.items())
        if vm_id not in live and follower.silent_ms >= _SILENCE_MS
    ]
    ready = [
        vm_id
        for vm_id in membership.learners
        if vm_id not in missing and _is_up_to_date(followers, vm_id)
    ]
    for vm_id in missing:
        if _may_remove(membership, vm_id, successor_ready=bool(ready)):
            return PlannedChange(MembershipChange.REMOVE, vm_id)
    if ready and len(membership.voters) < MAX_VOTERS:
        return PlannedChange(MembershipChange.PROMOTE, ready[0])
    return None


def _is_up_to_date(followers: Mapping[VmId, FollowerView], vm_id: VmId) -> bool:
    follower = followers.get(vm_id)
    return follower is not None and follower.up_to_date


def _may_remove(
    membership: Membership, vm_id: VmId, *, successor_ready: bool
) -> bool:
    if vm_id not in membership.voters:
        return True
    voters = len(membership.voters)
    if successor_ready and voters % 2:
        return True
    return voters > _MIN_VOTERS
