"""Write files and folders so that they survive a crash."""

import os
from pathlib import Path

_TEMPORARY_SUFFIX = '.new'
_FILE_MODE = 0o600


def write_all(descriptor: int, content: bytes) -> None:
    """Write all bytes, also after short writes; raise OSError on failure."""
    remaining = memoryview(content)
    while remaining:
        remaining = remaining[os.write(descriptor, remaining) :]


def sync_folder(folder: Path) -> None:
    """Sync a folder, so that new and renamed entries in it are durable."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def make_folder(folder: Path) -> None:
    """Create a folder and its missing parents durably."""
    if folder.is_dir():
        return
    make_folder(folder.parent)
    folder.mkdir(exist_ok=True)
    sync_folder(folder.parent)


def replace_file(path: Path, content: bytes) -> None:
    """Replace a file atomically and durably.

    After a crash it holds either the old or the new content.
    """
    temporary = path.with_name(f'{path.name}{_TEMPORARY_SUFFIX}')
    descriptor = os.open(
        temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, _FILE_MODE
    )
    try:
        _write_and_sync(descriptor, content)
    finally:
        os.close(descriptor)
    temporary.rename(path)
    sync_folder(path.parent)


def _write_and_sync(descriptor: int, content: bytes) -> None:
    write_all(descriptor, content)
    os.fsync(descriptor)
