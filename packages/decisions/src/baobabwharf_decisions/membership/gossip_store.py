"""Store and gossip tombstones and summaries."""

from collections import OrderedDict
from collections.abc import Callable, Sized
from typing import final

from baobabwharf_core.ids import VmId

from baobabwharf_decisions.membership.messages import Piggyback, Summary
from baobabwharf_decisions.membership.piggyback import (
    GossipItem,
    PiggybackQueue,
)

# Older withdrawals reach a VM that missed them with the configuration.
_MAX_TOMBSTONES = 256
# Own summaries are sent again at this interval for VMs that missed them.
_REFRESH_MS = 5000


@final
class GossipStore:
    """Hold recent tombstones and the newest summaries; queue new ones."""

    def __init__(
        self,
        queue: PiggybackQueue,
        on_tombstone: Callable[[bytes], None],
        on_summary: Callable[[Summary], None],
        members: Sized,
    ) -> None:
        self._queue = queue
        self._on_tombstone = on_tombstone
        self._on_summary = on_summary
        self._members = members
        self._tombstones: OrderedDict[bytes, None] = OrderedDict()
        self._summaries: dict[tuple[str, VmId], Summary] = {}
        self._own: dict[str, Summary] = {}
        self._refreshed_ms = 0

    def publish_tombstone(self, digest: bytes) -> None:
        """Gossip the withdrawal of a key."""
        self._add_tombstone(digest)

    def publish_summary(self, summary: Summary) -> None:
        """Gossip a summary of this VM."""
        self._own[summary.topic] = summary
        self._summaries[(summary.topic, summary.origin)] = summary
        self._queue.add(summary, len(self._members))

    def summaries(self, topic: str) -> tuple[Summary, ...]:
        """Return the newest summary of a topic from each origin."""
        return tuple(
            summary
            for summary in self._summaries.values()
            if summary.topic == topic
        )

    def merge(self, piggyback: Piggyback) -> None:
        """Store received items that are new and gossip them further."""
        for digest in piggyback.tombstones:
            if self._add_tombstone(digest):
                self._on_tombstone(digest)
        for summary in piggyback.summaries:
            self._store_summary(summary)

    def refresh(self, now_ms: int) -> None:
        """Queue own summaries again at a fixed interval."""
        if now_ms - self._refreshed_ms < _REFRESH_MS:
            return
        self._refreshed_ms = now_ms
        for summary in self._own.values():
            self._queue.add(summary, 1)

    def resend_tombstones(self) -> None:
        """Queue the stored tombstones again for a VM that returned."""
        for digest in self._tombstones:
            self._queue.add(digest, len(self._members))

    def all_items(self) -> list[GossipItem]:
        """Return all stored items for a VM that joins."""
        return [*self._tombstones, *self._summaries.values()]

    def _add_tombstone(self, digest: bytes) -> bool:
        if digest in self._tombstones:
            return False
        self._tombstones[digest] = None
        if len(self._tombstones) > _MAX_TOMBSTONES:
            self._tombstones.popitem(last=False)
        self._queue.add(digest, len(self._members))
        return True

    def _store_summary(self, summary: Summary) -> None:
        key = (summary.topic, summary.origin)
        known = self._summaries.get(key)
        if known is not None and known.version >= summary.version:
            return
        self._summaries[key] = summary
        self._queue.add(summary, len(self._members))
        self._on_summary(summary)
