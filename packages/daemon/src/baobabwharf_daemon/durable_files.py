"""Write files so that they survive a crash."""

import os
from pathlib import Path

_TEMPORARY = '.new'
_MODE = 0o600


def write_all(descriptor: int, content: bytes) -> None:
    """Write everything; raise OSError on failure."""
    rest = memoryview(content)
    while rest:
        rest = rest[os.write(descriptor, rest) :]


def sync_folder(folder: Path) -> None:
    """Make renames and new names in a folder durable."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def make_folder(folder: Path) -> None:
    """Create a folder and its parents durably."""
    if folder.is_dir():
        return
    make_folder(folder.parent)
    folder.mkdir(exist_ok=True)
    sync_folder(folder.parent)


def replace_file(path: Path, content: bytes) -> None:
    """Replace a file durably: it holds the old or the new content."""
    temporary = path.with_name(f'{path.name}{_TEMPORARY}')
    descriptor = os.open(
        temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, _MODE
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
