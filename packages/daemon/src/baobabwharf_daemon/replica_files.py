"""Store the snapshot and the log of a replica on disk.

The folder holds one `snapshot-N` and one `log-N`, where N is the generation.
Each frame of the log is synced before the next one is written, so only the last
frame can be torn: an invalid frame that is followed by a valid one means
damage.  A new snapshot starts a new generation, whose files are written and
synced under temporary names and renamed before the files of the old generation
are deleted.
"""

import os
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import TypeVar, final

import msgspec
from baobabwharf_core.codec import decode, encode, encode_frame, read_frame
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

_LOG_PREFIX = 'log-'
_SNAPSHOT_PREFIX = 'snapshot-'
_GENERATION_DIGITS = 16
# With less free space than this, a change is refused before it is written.
_MIN_FREE_BYTES = 4 * 1024 * 1024
# Far below the size from which on a frame can't be read.  A frame holds one
# entry at least, whatever its size.
_MAX_FRAME_BYTES = 8 * 1024 * 1024

_RecordT = TypeVar('_RecordT')


class RecoveredState(msgspec.Struct, frozen=True):
    """Hold the state that was read from the files."""

    hard_state: HardState
    snapshot: Snapshot
    entries: tuple[Entry, ...]
    commit: LogIndex


class _Batch(msgspec.Struct, frozen=True):
    """Hold the records of one sync.

    The entries replace earlier ones from the index of the first on.
    """

    hard_state: HardState
    entries: tuple[Entry, ...]
    commit: LogIndex


@final
class ReplicaFiles:
    """Read and write the files; every method may block on disk I/O."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._generation = 0
        self._descriptor = -1
        self._synced_bytes = 0
        self._failed_write_position: tuple[int, int] | None = None
        self._hard_state = HardState()

    def reset(self, snapshot: Snapshot) -> None:
        """Start an empty log after a snapshot; raise OSError on failure."""
        make_folder(self._folder)
        self._generation = max(self._generations(), default=0)
        self._begin_generation(
            snapshot, _Batch(HardState(), (), snapshot.last_index)
        )

    def recover(self) -> Result[RecoveredState, str]:
        """Read snapshot and log, truncating a torn last frame.

        Return an error if the files are missing or damaged.
        """
        generations = self._generations()
        if not generations:
            return Error(f'{self._folder} holds no log.')
        self._generation = max(generations)
        snapshot = self._read_snapshot()
        if snapshot.is_error():
            return Error(snapshot.error)
        path = self._path(_LOG_PREFIX)
        content = self._read_log()
        batches: list[_Batch] = []
        offset = 0
        while offset < len(content):
            parsed = read_frame(content, offset)
            if parsed.is_error():
                break
            batch = _decode_payload(parsed.ok.payload, _Batch)
            if batch.is_error():
                return Error(f'{path}, byte {offset}: {batch.error}')
            batches.append(batch.ok)
            offset = parsed.ok.next_offset
        if not batches or _contains_frame(content, offset + 1):
            return Error(f'{path} is damaged at byte {offset}.')
        self._open_log(offset)
        self._hard_state = batches[-1].hard_state
        return Ok(_merge_batches(snapshot.ok, batches))

    def write(
        self, requests: Iterable[Persist], commit: LogIndex
    ) -> Result[int, str]:
        """Write and sync requests; return the last sequence number.

        Without requests, only the commit index is recorded.
        After an error the files hold at least what they held before, and
        recover must be called before the next write.
        """
        try:
            return Ok(self._write_requests(list(requests), commit))
        except OSError as error:
            # After a failed sync, records may be in the page cache only.
            self._failed_write_position = (self._generation, self._synced_bytes)
            return Error(f'{self._folder}: {error.strerror}')

    def check_free_space(self) -> Result[None, str]:
        """Return an error if the disk cannot take further records."""
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
        """Close the log file."""
        if self._descriptor >= 0:
            os.close(self._descriptor)
            self._descriptor = -1

    def rename_damaged_log(self) -> None:
        """Rename damaged logs, to keep them for inspection."""
        self.close()
        for path in sorted(self._folder.glob(f'{_LOG_PREFIX}*')):
            path.rename(path.with_name(f'damaged-{path.name}'))
        sync_folder(self._folder)

    def _write_requests(self, requests: list[Persist], commit: LogIndex) -> int:
        if not requests:
            self._append(_Batch(self._hard_state, (), commit))
            return 0
        last = requests[-1]
        with_snapshot = [
            position
            for position, request in enumerate(requests)
            if request.snapshot is not None
        ]
        start = with_snapshot[-1] if with_snapshot else 0
        entries = _merge_entries(
            request.entries for request in requests[start:]
        )
        self._hard_state = last.hard_state
        batches = [
            _Batch(last.hard_state, part, commit)
            for part in _split_entries(entries)
        ]
        snapshot = requests[start].snapshot
        if snapshot is not None:
            self._begin_generation(snapshot, batches.pop(0))
        for batch in batches:
            self._append(batch)
        return last.sequence

    def _append(self, batch: _Batch) -> None:
        write_all(self._descriptor, encode_frame(encode(batch)))
        os.fsync(self._descriptor)
        self._synced_bytes = os.lseek(self._descriptor, 0, os.SEEK_CUR)

    def _begin_generation(self, snapshot: Snapshot, batch: _Batch) -> None:
        old_generations = self._generations()
        self._generation += 1
        replace_file(
            self._path(_SNAPSHOT_PREFIX), encode_frame(encode(snapshot))
        )
        replace_file(self._path(_LOG_PREFIX), encode_frame(encode(batch)))
        self._open_log(self._path(_LOG_PREFIX).stat().st_size)
        for generation in old_generations:
            self._delete(_LOG_PREFIX, generation)
            self._delete(_SNAPSHOT_PREFIX, generation)

    def _delete(self, prefix: str, generation: int) -> None:
        name = f'{prefix}{generation:0{_GENERATION_DIGITS}}'
        (self._folder / name).unlink(missing_ok=True)

    def _open_log(self, synced_bytes: int) -> None:
        self.close()
        self._descriptor = os.open(self._path(_LOG_PREFIX), os.O_RDWR)
        os.ftruncate(self._descriptor, synced_bytes)
        os.lseek(self._descriptor, 0, os.SEEK_END)
        os.fsync(self._descriptor)
        self._synced_bytes = synced_bytes

    def _read_log(self) -> bytes:
        content = self._path(_LOG_PREFIX).read_bytes()
        if self._failed_write_position is None:
            return content
        generation, synced_bytes = self._failed_write_position
        self._failed_write_position = None
        return (
            content[:synced_bytes]
            if generation == self._generation
            else content
        )

    def _read_snapshot(self) -> Result[Snapshot, str]:
        path = self._path(_SNAPSHOT_PREFIX)
        if not path.exists():
            return Error(f'{path} is missing.')
        content = read_frame(path.read_bytes(), 0)
        if content.is_error():
            return Error(f'{path} is damaged: {content.error.message}')
        return _decode_payload(content.ok.payload, Snapshot).map_error(
            lambda reason: f'{path}: {reason}'
        )

    def _generations(self) -> list[int]:
        if not self._folder.exists():
            return []
        return [
            int(path.name.removeprefix(_LOG_PREFIX))
            for path in self._folder.glob(
                f'{_LOG_PREFIX}{"[0-9]" * _GENERATION_DIGITS}'
            )
        ]

    def _path(self, prefix: str) -> Path:
        return (
            self._folder / f'{prefix}{self._generation:0{_GENERATION_DIGITS}}'
        )


def _decode_payload(
    payload: bytes, kind: type[_RecordT]
) -> Result[_RecordT, str]:
    """Decode a payload whose checksum is valid; another version wrote it."""
    try:
        return Ok(decode(payload, kind))
    except msgspec.DecodeError as error:
        return Error(f'The record can not be decoded: {error}')


def _contains_frame(content: bytes, start: int) -> bool:
    return any(
        read_frame(content, offset).is_ok()
        for offset in range(start, len(content))
    )


def _merge_entries(parts: Iterable[tuple[Entry, ...]]) -> tuple[Entry, ...]:
    merged: list[Entry] = []
    for part in parts:
        if part and merged:
            kept_count = part[0].index - merged[0].index
            merged = merged[: max(0, kept_count)]
        merged.extend(part)
    return tuple(merged)


def _split_entries(
    entries: tuple[Entry, ...],
) -> Iterator[tuple[Entry, ...]]:
    """Split entries into the parts that one frame each takes, at least one."""
    part: list[Entry] = []
    size_bytes = 0
    for entry in entries:
        size_bytes += entry.size_bytes
        if part and size_bytes > _MAX_FRAME_BYTES:
            yield tuple(part)
            part = []
            size_bytes = entry.size_bytes
        part.append(entry)
    yield tuple(part)


def _merge_batches(snapshot: Snapshot, batches: list[_Batch]) -> RecoveredState:
    entries = _merge_entries(batch.entries for batch in batches)
    commit = max(batch.commit for batch in batches)
    last = entries[-1].index if entries else snapshot.last_index
    return RecoveredState(
        batches[-1].hard_state,
        snapshot,
        entries,
        max(snapshot.last_index, min(commit, last)),
    )
