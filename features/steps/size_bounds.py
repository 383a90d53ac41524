"""Steps that test bounds in bytes with contents much larger than usual."""

import asyncio
import gc
import tracemalloc
from collections import deque
from pathlib import Path

from baobabwharf_core.changes import InstallDeployment
from baobabwharf_core.clock import SystemClock
from baobabwharf_core.codec import encode
from baobabwharf_core.deployment import Deployment
from baobabwharf_core.ids import LogIndex, Term, VmId
from baobabwharf_daemon.config_feed import ConfigFeed
from baobabwharf_daemon.replica_files import ReplicaFiles
from baobabwharf_daemon.replica_links import ReplicaLink
from baobabwharf_daemon.replica_messages import (
    ConfigDelta,
    Delivery,
    ProposeReply,
    ReplyKind,
    WatchReply,
    WatchRequest,
)
from baobabwharf_daemon.replica_operations import ReplicaOperations
from baobabwharf_daemon.replica_waiters import ReplicaWaiters
from baobabwharf_decisions.config_replication import ConfigCopy
from baobabwharf_decisions.consensus.messages import (
    Append,
    CompactionThreshold,
    Entry,
    HardState,
    Membership,
    Persist,
    Snapshot,
)
from baobabwharf_decisions.fleet_state.commands import TakeLease
from baobabwharf_decisions.fleet_state.configuration import apply_change
from behave import given, then, when
from behave.runner import Context
from consensus_commit import CommitSubject
from expression import Error, Ok

_LEADER = VmId('a')
_FAR_BEHIND = VmId('c')
_MAX_ROUNDS = 2000


class FeedSubject:
    """Hold a feed and the copy of the configuration that it sends."""

    def __init__(self) -> None:
        self.copy = ConfigCopy()
        self.feed = ConfigFeed(self.copy, lambda: 0)

    def add(self, version: int, size: int) -> None:
        """Install a deployment as a follower of the configuration does."""
        document = b'%08d' % version + bytes(size - 8)
        change = InstallDeployment(Deployment(version, document=document))
        config = apply_change(self.copy.config, change).ok
        assert self.copy.offer(config)
        self.feed.add_change(config.revision, change)

    def reply(self, revision: int) -> WatchReply:
        """Return the first reply to a watcher at a revision."""

        async def first() -> WatchReply:
            replies = self.feed.watch(WatchRequest(VmId('b'), revision))
            try:
                return await anext(replies)
            finally:
                await replies.aclose()

        return asyncio.run(first())

    def deltas(self, revision: int) -> list[ConfigDelta]:
        """Return the deltas in the first reply to a watcher."""
        items = self.reply(revision).items
        return [item for item in items if isinstance(item, ConfigDelta)]


@given(
    'a configuration feed that has seen {count:d} versions of {size:d} bytes'
)
def feed_with_history(context: Context, count: int, size: int) -> None:
    tracemalloc.start()
    context.feed = FeedSubject()
    for version in range(1, count + 1):
        context.feed.add(version, size)
    gc.collect()
    context.held_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()


@then('a watcher at revision {revision:d} is sent at most {limit:d} bytes')
def sent_at_most(context: Context, revision: int, limit: int) -> None:
    size = len(encode(context.feed.reply(revision)))
    assert size <= limit, size


@then('a watcher at revision {revision:d} is sent one delta')
def sent_one_delta(context: Context, revision: int) -> None:
    revisions = [delta.revision for delta in context.feed.deltas(revision)]
    assert revisions == [revision + 1], revisions


@then('a watcher at revision {revision:d} is sent {count:d} deltas')
def sent_deltas(context: Context, revision: int, count: int) -> None:
    assert len(context.feed.deltas(revision)) == count


@then('the feed holds at most {limit:d} bytes')
def feed_holds(context: Context, limit: int) -> None:
    assert context.held_bytes <= limit, context.held_bytes


class LargeEntries(CommitSubject):
    """Commit large entries; record what replica c is sent."""

    def __init__(self) -> None:
        super().__init__()
        self.sizes: list[int] = []
        self.most_unanswered = 0

    def commit(self, size: int, *, cut_off: VmId | None = None) -> LogIndex:
        """Commit one entry; the messages to a replica that is cut off are lost."""
        index = self.cores[_LEADER].propose(bytes(size))
        assert index is not None
        for _round in range(4):
            self.collect()
            self.pending = [pair for pair in self.pending if pair[0] != cut_off]
            self.deliver()
        assert self.cores[_LEADER].status.commit == index
        return index

    def deliver_to_far_behind(self) -> None:
        """Deliver everything, in turns that show what is unanswered."""
        core = self.cores[_FAR_BEHIND]
        # What was sent before is lost; the leader notices after this time.
        self.now_ms += 400
        self.cores[_LEADER].tick(self.now_ms)
        for _round in range(_MAX_ROUNDS):
            self.collect()
            appends = [
                len(encode(message))
                for receiver, message in self.pending
                if receiver == _FAR_BEHIND
                and isinstance(message, Append)
                and message.entries
            ]
            self.sizes.extend(appends)
            self.most_unanswered = max(self.most_unanswered, sum(appends))
            self.deliver()
            if core.status.commit == self.cores[_LEADER].status.commit:
                return
        raise AssertionError(f'replica c stays at {core.status.commit}')


@given('a leading core with 3 replicas')
def leading_core(context: Context) -> None:
    context.core = LargeEntries()


@when(
    'it commits {count:d} entries of {size:d} bytes, compacting beyond {limit:d} bytes'
)
def commits_and_compacts(
    context: Context, count: int, size: int, limit: int
) -> None:
    subject = context.core
    threshold = CompactionThreshold(1000, limit)
    for _number in range(count):
        index = subject.commit(size)
        core = subject.cores[_LEADER]
        if core.should_compact(index, threshold):
            core.compact(index, b'state')


@then('its log holds at most {limit:d} bytes')
def log_holds(context: Context, limit: int) -> None:
    log = context.core.cores[_LEADER].log
    first = LogIndex(log.snapshot.last_index + 1)
    size = sum(len(entry.payload) for entry in log.slice(first))
    assert size <= limit, size


@when('it commits {count:d} entries of {size:d} bytes without replica c')
def commits_without(context: Context, count: int, size: int) -> None:
    for _number in range(count):
        context.core.commit(size, cut_off=_FAR_BEHIND)


@when('replica c has the entries that it is sent')
def catches_up(context: Context) -> None:
    context.core.deliver_to_far_behind()


@then('no message to replica c exceeded {limit:d} bytes')
def message_bound(context: Context, limit: int) -> None:
    assert max(context.core.sizes) <= limit, max(context.core.sizes)


@then('at most {limit:d} bytes to replica c were without an answer')
def unanswered_bound(context: Context, limit: int) -> None:
    found = context.core.most_unanswered
    assert found <= limit, found


class SilentReplica:
    """Take calls and answer none of them."""

    def __init__(self) -> None:
        self.calls: list[int] = []

    async def call(self, address: str, path: str, request: Delivery, *rest):
        self.calls.append(len(encode(request)))
        await asyncio.sleep(30)
        return Error(None)


@given('a link to a replica that answers nothing')
def silent_link(context: Context) -> None:
    context.replica = SilentReplica()
    context.link = ReplicaLink(
        VmId('b'), context.replica, lambda vm_id: 'address'
    )


@when('{count:d} messages of {size:d} bytes are sent on it')
def sent_on_link(context: Context, count: int, size: int) -> None:
    entry = Entry(LogIndex(1), Term(1), bytes(size))
    append = Append(
        VmId('a'), Term(1), LogIndex(0), Term(0), (entry,), LogIndex(0), 0, 0
    )

    async def send() -> None:
        for _number in range(count):
            context.link.enqueue(append)
        await asyncio.sleep(0.2)
        context.link.close()

    asyncio.run(send())


@then('no call on it holds more than {limit:d} bytes')
def call_bound(context: Context, limit: int) -> None:
    assert max(context.replica.calls) <= limit, max(context.replica.calls)


@then('it holds at most {limit:d} bytes in all')
def link_bound(context: Context, limit: int) -> None:
    assert sum(context.replica.calls) <= limit, sum(context.replica.calls)


class FilesSubject:
    """Write large entries to the files of a replica."""

    def __init__(self, folder: Path) -> None:
        self.files = ReplicaFiles(folder / 'raft')
        self.files.reset(Snapshot(membership=Membership((VmId('a'),))))
        self.sequence = 0
        self.entries: deque[Entry] = deque()

    def write(self, count: int, size: int, snapshot: Snapshot | None) -> None:
        """Queue one request for each entry and write all of them at once."""
        first = 1 if snapshot is None else snapshot.last_index + 1
        self.entries = deque(
            Entry(LogIndex(first + number), Term(1), bytes(size))
            for number in range(count)
        )
        requests = []
        for position, entry in enumerate(self.entries):
            self.sequence += 1
            requests.append(
                Persist(
                    self.sequence,
                    HardState(Term(1)),
                    (entry,),
                    snapshot if position == 0 else None,
                )
            )
        written = self.files.write(requests, LogIndex(0))
        assert written == Ok(self.sequence), written


@given('replica files without entries')
def empty_files(context: Context) -> None:
    context.replica_files = FilesSubject(context.path)


@when('{count:d} entries of {size:d} bytes are written in one go')
def written_at_once(context: Context, count: int, size: int) -> None:
    context.replica_files.write(count, size, None)


@when('a snapshot is written along with {count:d} entries of {size:d} bytes')
def written_with_snapshot(context: Context, count: int, size: int) -> None:
    snapshot = Snapshot(
        LogIndex(100), Term(1), Membership((VmId('a'),)), b'state'
    )
    context.replica_files.write(count, size, snapshot)


@then('all of them are read back')
def read_back(context: Context) -> None:
    subject = context.replica_files
    recovered = subject.files.recover()
    assert recovered.is_ok(), recovered
    assert recovered.ok.entries == tuple(subject.entries)


class CutOffLeader:
    """Ask the operations of a leader whose followers answer nothing."""

    def __init__(self, subject: LargeEntries) -> None:
        self.core = subject.cores[_LEADER]
        self.waiters = ReplicaWaiters()
        self.status = self.core.status
        self.operations = ReplicaOperations(
            self, SystemClock(), lambda: Ok(None)
        )

    def process_output(self) -> None:
        """Send nothing."""

    async def ask(self, count: int, size: int) -> list[ProposeReply]:
        """Submit operations one after the other."""
        holder = VmId('x' * size)
        return [
            await self.operations.submit(
                TakeLease(f'{number}', holder, 1000), 0.001
            )
            for number in range(count)
        ]


@when(
    'it is asked for {count:d} operations of {size:d} bytes that nobody acknowledges'
)
def asked_without_majority(context: Context, count: int, size: int) -> None:
    leader = CutOffLeader(context.core)
    context.replies = asyncio.run(leader.ask(count, size))
    context.waiting = sum(
        len(entry.payload) for entry in leader.core.log.slice(LogIndex(1))
    )


@then('at most {limit:d} bytes of them wait and the others are refused')
def operations_refused(context: Context, limit: int) -> None:
    assert context.waiting <= limit, context.waiting
    assert context.replies[0].kind is ReplyKind.UNKNOWN
    assert context.replies[-1].kind is ReplyKind.REFUSED
