"""Hold the state of all members as one VM sees them."""

from collections.abc import Iterator
from typing import final

from baobabwharf_core.fleet_config import VmRecord
from baobabwharf_core.ids import Incarnation, VmId
from baobabwharf_core.statechart import load_chart

from baobabwharf_decisions.membership.messages import (
    MemberStatus,
    MemberUpdate,
)

_CHART = load_chart('vm_membership')
ALIVE = 'alive'
SUSPECT = 'suspect'
DEAD = 'dead'
LEFT = 'left'
JOINING = 'joining'
_STATUS = {
    ALIVE: MemberStatus.ALIVE,
    SUSPECT: MemberStatus.SUSPECT,
    DEAD: MemberStatus.DEAD,
    LEFT: MemberStatus.LEFT,
}
# At an equal incarnation the status with the higher rank wins.
_RANK = {JOINING: -1, ALIVE: 0, SUSPECT: 1, DEAD: 2, LEFT: 3}
_EVENTS = {
    MemberStatus.ALIVE: ('alive_heard',),
    MemberStatus.SUSPECT: ('probe_failed',),
    MemberStatus.DEAD: ('probe_failed', 'suspicion_expired'),
    MemberStatus.LEFT: ('left_heard',),
}


@final
class Member:
    """Hold the state of one other VM."""

    __slots__ = (
        '_index',
        '_record',
        'deadline_ms',
        'incarnation',
        'left_ms',
        'own_failures',
        'state',
        'vm_id',
    )

    def __init__(
        self, vm_id: VmId, record: VmRecord | None, index: '_Index'
    ) -> None:
        self.vm_id = vm_id
        self._record = record
        self.state = _CHART.initial
        self._index = index
        index.add(self)
        self.incarnation = Incarnation(0)
        self.deadline_ms = 0
        # When this VM heard that the other one is stopping.
        self.left_ms = 0
        # Failed probes by this VM since the suspicion began.
        self.own_failures = 0

    @property
    def record(self) -> VmRecord | None:
        """Return the newest record of the VM, None if it is unknown."""
        return self._record

    @record.setter
    def record(self, record: VmRecord | None) -> None:
        if record != self._record:
            self._index.changes += 1
        self._record = record

    def apply_event(self, event: str) -> None:
        """Apply an event of the state chart."""
        state = _CHART.step(self.state, event)
        if state != self.state:
            self._index.remove(self)
            self.state = state
            self._index.add(self)

    def supersedes(self, update: MemberUpdate) -> bool:
        """Return whether the known state is at least as new as the update."""
        if update.incarnation != self.incarnation:
            return update.incarnation < self.incarnation
        return _RANK[update.status.value] <= _RANK[self.state]

    def accept(self, update: MemberUpdate) -> None:
        """Apply a newer update."""
        self.incarnation = update.incarnation
        self.record = update.record or self.record
        for event in _EVENTS[update.status]:
            if _CHART.accepts(self.state, event):
                self.apply_event(event)

    def update(self) -> MemberUpdate:
        """Return the update that this VM gossips about the member."""
        return MemberUpdate(
            self.vm_id, _STATUS[self.state], self.incarnation, self.record
        )


@final
class _Index:
    """Hold the members by state, and count the changes of them."""

    def __init__(self) -> None:
        self.members: dict[str, dict[VmId, Member]] = {
            state: {} for state in _CHART.states
        }
        self.changes = 0

    def add(self, member: Member) -> None:
        self.members[member.state][member.vm_id] = member
        self.changes += 1

    def remove(self, member: Member) -> None:
        del self.members[member.state][member.vm_id]
        self.changes += 1


@final
class MemberTable:
    """Index members by state, so that tick cost is independent of size."""

    def __init__(self) -> None:
        self._index = _Index()
        self._members: dict[VmId, Member] = {}

    def __iter__(self) -> Iterator[Member]:
        return iter(tuple(self._members.values()))

    def __len__(self) -> int:
        return len(self._members)

    @property
    def changes(self) -> int:
        """Return a number that grows with each change of a state or record."""
        return self._index.changes

    def get(self, vm_id: VmId) -> Member | None:
        """Return a member, None if it is unknown."""
        return self._members.get(vm_id)

    def get_or_add(self, vm_id: VmId, record: VmRecord | None = None) -> Member:
        """Return a member; add it in the joining state if it is unknown."""
        member = self._members.get(vm_id)
        if member is None:
            member = Member(vm_id, record, self._index)
            self._members[vm_id] = member
        member.record = record or member.record
        return member

    def forget(self, vm_id: VmId) -> None:
        """Drop a member that is dead or left."""
        member = self._members[vm_id]
        if member.state in {DEAD, LEFT}:
            member.apply_event('forgotten')
            self._index.members[member.state].clear()
            del self._members[vm_id]

    def in_states(self, *states: str) -> list[Member]:
        """Return the members in any of the states, sorted by id."""
        found = [
            member
            for state in states
            for member in self._index.members[state].values()
        ]
        found.sort(key=lambda member: member.vm_id)
        return found
