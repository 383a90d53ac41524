"""Steps that apply the planned membership changes one after the other."""

import itertools

from baobabwharf_decisions.consensus.membership_plan import (
    FollowerView,
    PlannedChange,
    plan_next_change,
)
from baobabwharf_decisions.consensus.messages import (
    Membership,
    MembershipChange,
)
from behave import given, then, when
from behave.runner import Context

_LEADER = 'a'
_NAMES = 'abcdefghij'
_LONG_MS = 10_000
_MAX_CHANGES = 20


class PlannedGroup:
    """Hold a group from the view of its leader and apply its plans."""

    def __init__(
        self, voters: tuple[str, ...], learners: tuple[str, ...]
    ) -> None:
        self.membership = Membership(voters, learners)
        self.dead_by_gossip: set[str] = set()
        self.silent: set[str] = set()
        self.behind: set[str] = set()
        self.changes: list[PlannedChange] = []
        self.tolerances: list[int] = []
        self.majorities: list[int] = []

    @property
    def missing_voters(self) -> set[str]:
        """Return the voters that are dead."""
        return self.silent & set(self.membership.voters)

    @property
    def ready_learners(self) -> set[str]:
        """Return the learners that could vote."""
        return set(self.membership.learners) - self.silent - self.behind

    def make_changes(self) -> None:
        """Apply plans until there is none."""
        for _number in range(_MAX_CHANGES):
            self._note()
            planned = self.plan()
            if planned is None:
                return
            self._apply(planned)
            self.changes.append(planned)
        raise AssertionError(f'changes without end: {self.changes}')

    def plan(self) -> PlannedChange | None:
        """Return what the leader plans now."""
        members = [vm for vm in self.membership.members if vm != _LEADER]
        followers = {
            vm: FollowerView(
                _LONG_MS if vm in self.silent else 0,
                vm not in self.silent and vm not in self.behind,
            )
            for vm in members
        }
        live = frozenset((_LEADER, *members)) - self.dead_by_gossip
        return plan_next_change(self.membership, followers, live)

    def _note(self) -> None:
        live = len(self.membership.voters) - len(self.missing_voters)
        self.tolerances.append(live - self.membership.majority)
        self.majorities.append(self.membership.majority)

    def _apply(self, planned: PlannedChange) -> None:
        voters = [vm for vm in self.membership.voters if vm != planned.vm_id]
        learners = [
            vm for vm in self.membership.learners if vm != planned.vm_id
        ]
        if planned.change is MembershipChange.PROMOTE:
            voters.append(planned.vm_id)
        self.membership = Membership(tuple(voters), tuple(learners))


def _names(text: str) -> tuple[str, ...]:
    return () if text == '-' else tuple(text.split(','))


@given('a group with the voters {voters} and the learners {learners}')
def group(context: Context, voters: str, learners: str) -> None:
    context.group = PlannedGroup(_names(voters), _names(learners))


@given('of them {names} are missing')
def some_missing(context: Context, names: str) -> None:
    context.group.silent = set(_names(names))
    context.group.dead_by_gossip = set(_names(names))


@given('the learners are behind')
def learners_behind(context: Context) -> None:
    context.group.behind = set(context.group.membership.learners)


@given('voter {name} is missing by {evidence} alone')
def missing_by(context: Context, name: str, evidence: str) -> None:
    group = context.group
    (group.silent if evidence == 'silence' else group.dead_by_gossip).add(name)


@when('the leader makes all changes that it plans')
def makes_changes(context: Context) -> None:
    context.group.make_changes()


@then('it made {changes}')
def made(context: Context, changes: str) -> None:
    found = ', '.join(
        f'{planned.change.value} {planned.vm_id}'
        for planned in context.group.changes
    )
    assert (found or 'nothing') == changes, found


@then('the group tolerated at least as many further failures at each step')
def tolerated(context: Context) -> None:
    found = context.group.tolerances
    assert found == sorted(found), found


@when(
    'the plans of all groups of {least:d} to {most:d} voters and up to {learners:d} learners are made'
)
def all_groups(context: Context, least: int, most: int, learners: int) -> None:
    context.groups = []
    for size, count in itertools.product(
        range(least, most + 1), range(learners + 1)
    ):
        members = _NAMES[: size + count]
        for missing in _subsets(members[1:]):
            planned = PlannedGroup(tuple(members[:size]), tuple(members[size:]))
            planned.silent = planned.dead_by_gossip = set(missing)
            planned.make_changes()
            context.groups.append(planned)
    print(f'{len(context.groups)} groups')


def _subsets(names: str) -> itertools.chain:
    return itertools.chain.from_iterable(
        itertools.combinations(names, count) for count in range(len(names) + 1)
    )


@then('no step lowered the tolerance of a group or its majority below 3')
def none_lowered(context: Context) -> None:
    for planned in context.groups:
        assert planned.tolerances == sorted(planned.tolerances), vars(planned)
        lowest = min(planned.majorities)
        assert lowest >= min(3, planned.majorities[0]), vars(planned)


@then('no group kept a missing voter beside its ready successor')
def none_kept(context: Context) -> None:
    for planned in context.groups:
        if planned.ready_learners:
            assert not planned.missing_voters, vars(planned)
