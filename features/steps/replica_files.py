"""Steps that test the files of a replica in a real folder."""

import random
import resource
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from baobabwharf_core.codec import read_frame
from baobabwharf_core.ids import LogIndex, Term, VmId
from baobabwharf_daemon.replica_files import RecoveredState, ReplicaFiles
from baobabwharf_decisions.consensus.messages import (
    Entry,
    HardState,
    Membership,
    Persist,
    Snapshot,
)
from behave import given, then, when
from behave.runner import Context


class FilesSubject:
    """Write random records and keep the expected state after each frame."""

    def __init__(self, folder: Path, syncs: int, seed: int) -> None:
        print(f'seed {seed}')
        self.random = random.Random(seed)
        self.folder = folder / 'raft'
        self.files = ReplicaFiles(self.folder)
        self.first = Snapshot(membership=Membership((VmId('a'),)))
        self.files.reset(self.first)
        self.entries: list[Entry] = []
        self.states = [(HardState(), ())]
        for number in range(1, syncs + 1):
            self.sync(number)

    @property
    def log(self) -> Path:
        return sorted(self.folder.glob('log-*'))[-1]

    def request(self, number: int) -> Persist:
        keep = self.random.randrange(
            max(0, len(self.entries) - 2), len(self.entries) + 1
        )
        new_entries = [
            Entry(
                LogIndex(keep + 1 + step),
                Term(number),
                self.random.randbytes(self.random.randrange(1, 60)),
            )
            for step in range(self.random.randrange(4))
        ]
        if new_entries:
            self.entries = [*self.entries[:keep], *new_entries]
        return Persist(number, HardState(Term(number)), tuple(new_entries))

    def sync(self, number: int) -> None:
        request = self.request(number)
        assert self.files.write([request], LogIndex(0)).is_ok()
        self.states.append((request.hard_state, tuple(self.entries)))

    def frame_boundaries(self, content: bytes) -> list[int]:
        found = [0]
        while found[-1] < len(content):
            found.append(read_frame(content, found[-1]).ok.next_offset)
        return found

    def recover(self) -> RecoveredState | None:
        result = ReplicaFiles(self.folder).recover()
        return result.ok if result.is_ok() else None

    @contextmanager
    def full_disk(self) -> Iterator[None]:
        """Set a file size limit, so that the kernel refuses to extend files."""
        limits = resource.getrlimit(resource.RLIMIT_FSIZE)
        size = self.log.stat().st_size
        resource.setrlimit(resource.RLIMIT_FSIZE, (size + 5, limits[1]))
        try:
            yield
        finally:
            resource.setrlimit(resource.RLIMIT_FSIZE, limits)


@given('replica files with {syncs:d} random syncs from seed {seed:d}')
def make_files(context: Context, syncs: int, seed: int) -> None:
    context.files = FilesSubject(context.path, syncs, seed)


@when(
    'the replica log is truncated at every frame boundary and within every frame'
)
def truncate_everywhere(context: Context) -> None:
    subject = context.files
    content = subject.log.read_bytes()
    frame_boundaries = subject.frame_boundaries(content)
    context.recovered_by_frame = []
    for number, start in enumerate(frame_boundaries[1:], start=1):
        offset_in_frame = subject.random.randrange(1, 9)
        for length in (start, min(start + offset_in_frame, len(content))):
            subject.log.write_bytes(content[:length])
            context.recovered_by_frame.append((number - 1, subject.recover()))


@then('each truncated replica log holds what was synced before that point')
def truncated_logs_hold(context: Context) -> None:
    for number, found in context.recovered_by_frame:
        expected = context.files.states[number]
        assert found is not None
        assert (found.hard_state, found.entries) == expected


@when('any bit before the last frame of the replica log is flipped')
def flip_bits(context: Context) -> None:
    subject = context.files
    content = subject.log.read_bytes()
    last = subject.frame_boundaries(content)[-2]
    context.recovered = []
    for offset in range(0, last, 3):
        changed = bytearray(content)
        changed[offset] ^= 1 << subject.random.randrange(8)
        subject.log.write_bytes(changed)
        context.recovered.append(subject.recover())


@then('reading the replica log reports damage')
def all_damaged(context: Context) -> None:
    assert len(context.recovered) > 100
    assert all(found is None for found in context.recovered)


@when('the replica files take a snapshot at their commit index')
def take_snapshot(context: Context) -> None:
    subject = context.files
    index = LogIndex(len(subject.entries) // 2)
    entries_after = tuple(subject.entries[index:])
    term = subject.entries[index - 1].term
    snapshot = Snapshot(index, term, subject.first.membership, b'state')
    request = Persist(99, HardState(Term(99)), entries_after, snapshot)
    assert subject.files.write([request], index).ok == 99
    context.expected = (snapshot, entries_after, index)


@then('the replica files hold the snapshot and the entries after it')
def snapshot_stored(context: Context) -> None:
    found = context.files.recover()
    assert found is not None
    stored = (found.snapshot, found.entries, found.commit)
    assert stored == context.expected
    assert len(list(context.files.folder.glob('log-*'))) == 1
    assert len(list(context.files.folder.glob('snapshot-*'))) == 1


@when('the replica files cannot grow and another sync is written')
def fail_sync(context: Context) -> None:
    subject = context.files
    entry = Entry(LogIndex(len(subject.entries) + 1), Term(50), b'x' * 100)
    request = Persist(50, HardState(Term(50)), (entry,))
    with subject.full_disk():
        context.written = subject.files.write([request], LogIndex(0))


@then('the sync of the replica files fails and leaves the log as it was')
def sync_failed(context: Context) -> None:
    subject = context.files
    assert context.written.is_error()
    found = subject.files.recover().ok
    assert (found.hard_state, found.entries) == subject.states[-1]
    subject.sync(51)
    again = subject.recover()
    assert again is not None
    assert (again.hard_state, again.entries) == subject.states[-1]
