"""Serve this VM's configuration to other VMs."""

import asyncio
import weakref
from collections import deque
from collections.abc import AsyncIterator, Callable
from typing import final

from baobabwharf_core.changes import Change
from baobabwharf_core.ids import Revision
from baobabwharf_decisions.follow import ConfigCopy

from baobabwharf_daemon.replica_messages import (
    ConfigDelta,
    ConfigSnapshot,
    Confirmation,
    FetchReply,
    WatchItem,
    WatchReply,
    WatchRequest,
    Withdrawals,
)

_KEPT_CHANGES = 512
_BEAT_S = 1.0


@final
class ConfigFeed:
    """Send snapshots, deltas, withdrawals and confirmations to watchers."""

    def __init__(self, copy: ConfigCopy, age_source: Callable[[], int]) -> None:
        self._copy = copy
        self._age_source = age_source
        self._changes: deque[ConfigDelta] = deque(maxlen=_KEPT_CHANGES)
        self._wakes: weakref.WeakSet[asyncio.Event] = weakref.WeakSet()

    def add_change(self, revision: Revision, change: Change) -> None:
        """Keep a change that made a revision, to send it on."""
        if self._changes and self._changes[-1].revision + 1 != revision:
            self._changes.clear()
        self._changes.append(ConfigDelta(revision, change))

    def notify_watchers(self) -> None:
        """Let watchers look at the copy."""
        for event in self._wakes:
            event.set()

    async def fetch(self, request: WatchRequest) -> FetchReply:
        """Return the configuration if it is newer."""
        newer = self._copy.config.revision > request.revision
        if self._copy.ready and newer:
            return FetchReply(self._whole())
        return FetchReply(None)

    async def watch(self, request: WatchRequest) -> AsyncIterator[WatchReply]:
        """Yield what is newer than a revision, and a beat each second."""
        event = asyncio.Event()
        self._wakes.add(event)
        revision = request.revision
        sent: frozenset[bytes] | None = None
        while True:
            event.clear()
            items = self._newer(revision, sent)
            if items:
                revision = max(revision, self._copy.config.revision)
                sent = self._copy.tombstones
            yield WatchReply(tuple(items))
            await _wait(event)

    def _newer(
        self, revision: int, sent: frozenset[bytes] | None
    ) -> list[WatchItem]:
        if not self._copy.ready:
            return []
        fresh = self._copy.tombstones - (sent or frozenset())
        items: list[WatchItem] = []
        if fresh:
            urgent = sent is not None
            items.append(Withdrawals(tuple(sorted(fresh)), urgent))
        if self._copy.config.revision > revision:
            items.extend(self._deltas(revision) or [self._whole()])
        newest = self._copy.config.revision
        items.append(Confirmation(newest, self._age_source()))
        return items

    def _deltas(self, revision: int) -> list[ConfigDelta]:
        newer = [delta for delta in self._changes if delta.revision > revision]
        whole = newer and newer[0].revision == revision + 1
        current = newer and newer[-1].revision == self._copy.config.revision
        return newer if whole and current else []

    def _whole(self) -> ConfigSnapshot:
        tombstones = tuple(sorted(self._copy.tombstones))
        return ConfigSnapshot(self._copy.config, tombstones)


async def _wait(event: asyncio.Event) -> None:
    try:
        async with asyncio.timeout(_BEAT_S):
            await event.wait()
    except TimeoutError:
        return
