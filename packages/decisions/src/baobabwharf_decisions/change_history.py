"""Keep the newest changes, so that a VM that is slightly behind gets deltas."""

from collections import deque
from typing import final

import msgspec
from baobabwharf_core.changes import Change
from baobabwharf_core.codec import encode
from baobabwharf_core.ids import Revision

_MAX_CHANGES = 512


class RecordedChange(msgspec.Struct, frozen=True):
    """Hold a change, the revision that it produced and its encoded size."""

    revision: Revision
    change: Change
    size_bytes: int


@final
class ChangeHistory:
    """Hold consecutive changes, bounded in number and in bytes.

    The newest change is kept whatever its size: the configuration shares its
    content.  Older versions of a large configuration are not worth keeping,
    since a snapshot holds one of them and a series of deltas all.
    """

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._changes: deque[RecordedChange] = deque()
        self._size_bytes = 0

    @property
    def size_bytes(self) -> int:
        """Return the encoded size of all changes."""
        return self._size_bytes

    def add(self, revision: Revision, change: Change) -> None:
        """Add a change; drop the older ones if a revision is missing."""
        if self._changes and self._changes[-1].revision + 1 != revision:
            self._changes.clear()
            self._size_bytes = 0
        size_bytes = len(encode(change))
        self._changes.append(RecordedChange(revision, change, size_bytes))
        self._size_bytes += size_bytes
        while len(self._changes) > 1 and self._exceeds_bounds():
            self._size_bytes -= self._changes.popleft().size_bytes

    def after(self, revision: int) -> list[RecordedChange]:
        """Return all changes after a revision, empty if one is not held."""
        newer = [held for held in self._changes if held.revision > revision]
        contiguous = newer and newer[0].revision == revision + 1
        return newer if contiguous else []

    def _exceeds_bounds(self) -> bool:
        return (
            len(self._changes) > _MAX_CHANGES
            or self._size_bytes > self._max_bytes
        )
