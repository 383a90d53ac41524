"""Keep the snapshots and the log of a replica.

The folder holds one `snapshot-N` and one `log-N`, where N is the
generation.  Each sync of the log writes one frame, so only the last frame can
be torn; a fault with a valid frame after it is damage.  A new snapshot begins
a new generation: its files are synced under other names and renamed before
the old ones are deleted.
"""

import os
from collections.abc import Iterable
from pathlib import Path
from typing import final

import msgspec
from baobabwharf_core.codec import decode, encode, frame, read_frame
from baobabwharf_core.ids import LogIndex
from baobabwharf_decisions.consensus.messages import (
    Entry,
    HardState,
    Persist,
    Snapshot,
)
from expression import Error, Ok, Result

from baobabwharf_daemon.durable_files import (
    make_folder,
    replace_file,
    sync_folder,
    write_all,
)

_LOG = 'log-'
_SNAPSHOT = 'snapshot-'
_DIGITS = 16
# Below this, a change is refused before it is written.
_MIN_FREE_BYTES = 4 * 1024 * 1024


class Recovered(msgspec.Struct, frozen=True):
    """Hold what the files say."""

    hard_state: HardState
    snapshot: Snapshot
    entries: tuple[Entry, ...]
    commit: LogIndex


class _Batch(msgspec.Struct, frozen=True):
    """Hold the records of one sync; entries replace those from theirs on."""

    hard_state: HardState
    entries: tuple[Entry, ...]
    commit: LogIndex


@final
class ReplicaFiles:
    """Read and write the files; every method may block on the disk."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._generation = 0
        self._descriptor = -1
        self._good_bytes = 0
        self._distrusted: tuple[int, int] | None = None
        self._hard_state = HardState()

    def reset(self, snapshot: Snapshot) -> None:
        """Begin an empty log after a snapshot; raise OSError on failure."""
        make_folder(self._folder)
        self._generation = max(self._generations(), default=0)
        self._begin_generation(
            snapshot, _Batch(HardState(), (), snapshot.last_index)
        )

    def recover(self) -> Result[Recovered, str]:
        """Read snapshot and log, cutting a torn tail; tell of damage."""
        generations = self._generations()
        if not generations:
            return Error(f'{self._folder} holds no log.')
        self._generation = max(generations)
        snapshot = self._read_snapshot()
        if snapshot.is_error():
            return Error(snapshot.error)
        path = self._path(_LOG)
        content = self._read_log()
        batches: list[_Batch] = []
        offset = 0
        while offset < len(content):
            part = read_frame(content, offset)
            if part.is_error():
                break
            batches.append(decode(part.ok.payload, _Batch))
            offset = part.ok.next_offset
        if not batches or _holds_frame(content, offset + 1):
            return Error(f'{path} is damaged at byte {offset}.')
        self._open_log(offset)
        self._hard_state = batches[-1].hard_state
        return Ok(_merge(snapshot.ok, batches))

    def write(
        self, requests: Iterable[Persist], commit: LogIndex
    ) -> Result[int, str]:
        """Sync persist requests; return their last sequence number.

        Without requests only the commit index is recorded.
        After a fault the files hold what they held before, or more, and
        recover must be called before the next write.
        """
        try:
            return Ok(self._write(list(requests), commit))
        except OSError as error:
            # A failed sync may leave records that only the cache holds.
            self._distrusted = (self._generation, self._good_bytes)
            return Error(f'{self._folder}: {error.strerror}')

    def check_free_space(self) -> Result[None, str]:
        """Tell whether the disk can take further records."""
        try:
            status = os.statvfs(self._folder)
        except OSError as error:
            return Error(f'{self._folder}: {error.strerror}')
        if status.f_flag & os.ST_RDONLY:
            return Error(f'{self._folder} is read-only.')
        if status.f_bavail * status.f_frsize < _MIN_FREE_BYTES:
            return Error(f'{self._folder} is full.')
        return Ok(None)

    def close(self) -> None:
        """Close the log."""
        if self._descriptor >= 0:
            os.close(self._descriptor)
            self._descriptor = -1

    def rename_damaged_log(self) -> None:
        """Rename damaged files so that they can be inspected."""
        self.close()
        for path in sorted(self._folder.glob(f'{_LOG}*')):
            path.rename(path.with_name(f'damaged-{path.name}'))
        sync_folder(self._folder)

    def _write(self, requests: list[Persist], commit: LogIndex) -> int:
        if not requests:
            self._append(_Batch(self._hard_state, (), commit))
            return 0
        last = requests[-1]
        newest = [
            position
            for position, request in enumerate(requests)
            if request.snapshot is not None
        ]
        begin = newest[-1] if newest else 0
        entries = _overlay(request.entries for request in requests[begin:])
        self._hard_state = last.hard_state
        batch = _Batch(last.hard_state, entries, commit)
        snapshot = requests[begin].snapshot
        if snapshot is None:
            self._append(batch)
        else:
            self._begin_generation(snapshot, batch)
        return last.sequence

    def _append(self, batch: _Batch) -> None:
        write_all(self._descriptor, frame(encode(batch)))
        os.fsync(self._descriptor)
        self._good_bytes = os.lseek(self._descriptor, 0, os.SEEK_CUR)

    def _begin_generation(self, snapshot: Snapshot, batch: _Batch) -> None:
        old = self._generations()
        self._generation += 1
        replace_file(self._path(_SNAPSHOT), frame(encode(snapshot)))
        replace_file(self._path(_LOG), frame(encode(batch)))
        self._open_log(self._path(_LOG).stat().st_size)
        for generation in old:
            self._delete(_LOG, generation)
            self._delete(_SNAPSHOT, generation)

    def _delete(self, prefix: str, generation: int) -> None:
        name = f'{prefix}{generation:0{_DIGITS}}'
        (self._folder / name).unlink(missing_ok=True)

    def _open_log(self, good_bytes: int) -> None:
        self.close()
        self._descriptor = os.open(self._path(_LOG), os.O_RDWR)
        os.ftruncate(self._descriptor, good_bytes)
        os.lseek(self._descriptor, 0, os.SEEK_END)
        os.fsync(self._descriptor)
        self._good_bytes = good_bytes

    def _read_log(self) -> bytes:
        content = self._path(_LOG).read_bytes()
        if self._distrusted is None:
            return content
        generation, good_bytes = self._distrusted
        self._distrusted = None
        return (
            content[:good_bytes] if generation == self._generation else content
        )

    def _read_snapshot(self) -> Result[Snapshot, str]:
        path = self._path(_SNAPSHOT)
        if not path.exists():
            return Error(f'{path} is missing.')
        content = read_frame(path.read_bytes(), 0)
        if content.is_error():
            return Error(f'{path} is damaged: {content.error.sentence}')
        return Ok(decode(content.ok.payload, Snapshot))

    def _generations(self) -> list[int]:
        if not self._folder.exists():
            return []
        return [
            int(path.name.removeprefix(_LOG))
            for path in self._folder.glob(f'{_LOG}{"[0-9]" * _DIGITS}')
        ]

    def _path(self, prefix: str) -> Path:
        return self._folder / f'{prefix}{self._generation:0{_DIGITS}}'


def _holds_frame(content: bytes, start: int) -> bool:
    return any(
        read_frame(content, offset).is_ok()
        for offset in range(start, len(content))
    )


def _overlay(parts: Iterable[tuple[Entry, ...]]) -> tuple[Entry, ...]:
    merged: list[Entry] = []
    for part in parts:
        if part and merged:
            keep = part[0].index - merged[0].index
            merged = merged[: max(0, keep)]
        merged.extend(part)
    return tuple(merged)


def _merge(snapshot: Snapshot, batches: list[_Batch]) -> Recovered:
    entries = _overlay(batch.entries for batch in batches)
    commit = max(batch.commit for batch in batches)
    last = entries[-1].index if entries else snapshot.last_index
    return Recovered(
        batches[-1].hard_state,
        snapshot,
        entries,
        max(snapshot.last_index, min(commit, last)),
    )
