"""Drive three consensus cores by hand, message by message."""

import random

from baobabwharf_core.ids import LogIndex, Term, VmId
from baobabwharf_decisions.consensus.core import RaftCore
from baobabwharf_decisions.consensus.messages import (
    HardState,
    Membership,
    Message,
    Options,
    Send,
    Snapshot,
)
from behave import given, then, when
from behave.runner import Context

_LEADER = VmId('a')
_LATE = VmId('c')
_NAMES = (_LEADER, VmId('b'), _LATE)
_MAX_ROUNDS = 50


class CommitSubject:
    """Run three cores; messages wait until the test delivers them."""

    def __init__(self) -> None:
        snapshot = Snapshot(LogIndex(0), Term(0), Membership(_NAMES), b'')
        self.now_ms = 0
        self.cores = {
            name: RaftCore(
                name,
                Options(),
                random.Random(1),
                HardState(),
                snapshot,
                (),
            )
            for name in _NAMES
        }
        self.pending: list[tuple[VmId, Message]] = []
        for core in self.cores.values():
            core.begin(self.now_ms)
        # Past the longest election timeout.
        self.now_ms = 2 * Options().election_ms
        self.cores[_LEADER].tick(self.now_ms)
        self.deliver_all()
        assert self.cores[_LEADER].is_leader

    def take_output(self, name: VmId) -> list[Send]:
        """Return the messages of a core after its writes were synced."""
        core = self.cores[name]
        sent: list[Send] = []
        while True:
            output = core.take_output()
            sent.extend(output.messages)
            if output.persist is None:
                return sent
            core.synced(output.persist.sequence, self.now_ms)

    def collect(self) -> None:
        """Queue what the cores want to send."""
        for name in _NAMES:
            self.pending.extend(
                (send.receiver, send.message) for send in self.take_output(name)
            )

    def deliver(self, *, except_to: VmId | None = None) -> None:
        """Deliver the pending messages, but hold back those to one core."""
        pending, self.pending = self.pending, []
        for receiver, message in pending:
            if receiver == except_to:
                self.pending.append((receiver, message))
            else:
                self.cores[receiver].receive(message, self.now_ms)
        self.collect()

    def deliver_all(self) -> None:
        """Deliver messages until no core sends any more."""
        self.collect()
        for _ in range(_MAX_ROUNDS):
            if not self.pending:
                return
            self.deliver()
        raise AssertionError(f'messages without end: {self.pending}')


@given('a consensus leader with followers b and c')
def leads(context: Context) -> None:
    context.commit = CommitSubject()


@when('the leader commits a command that only follower b has acknowledged')
def commits(context: Context) -> None:
    subject = context.commit
    index = subject.cores[_LEADER].propose(b'withdraw')
    assert index is not None
    context.index = index
    subject.collect()
    # One round to follower b, one back to the leader.
    subject.deliver(except_to=_LATE)
    subject.deliver(except_to=_LATE)
    assert subject.cores[_LEADER].status.commit == index
    assert subject.cores[_LATE].status.commit < index


@when('follower c acknowledges the command')
def acknowledges(context: Context) -> None:
    subject = context.commit
    subject.deliver()
    assert subject.cores[_LATE].log.last_index == context.index
    assert subject.cores[_LATE].status.commit < context.index


@when('all consensus messages are delivered')
def delivered(context: Context) -> None:
    context.commit.deliver_all()


@then('follower c has committed the command without a tick of the leader')
def committed(context: Context) -> None:
    subject = context.commit
    subject.deliver_all()
    commit = subject.cores[_LATE].status.commit
    assert commit == context.index, (commit, context.index)


@then('the leader has nothing more to send')
def silent(context: Context) -> None:
    for name in _NAMES:
        assert not context.commit.take_output(name), name
