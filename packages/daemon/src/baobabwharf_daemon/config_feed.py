"""Stream this VM's copy of the configuration to other VMs."""

import asyncio
import weakref
from collections.abc import AsyncIterator, Callable
from typing import final

from baobabwharf_core.changes import Change
from baobabwharf_core.ids import Revision
from baobabwharf_decisions.change_history import ChangeHistory
from baobabwharf_decisions.config_replication import ConfigCopy

from baobabwharf_daemon.metrics import CONFIG_HISTORY_BYTES
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

_MAX_HISTORY_BYTES = 262_144
_HEARTBEAT_INTERVAL_S = 1.0


@final
class ConfigFeed:
    """Send snapshots, deltas, withdrawals and confirmations to other VMs."""

    def __init__(self, copy: ConfigCopy, age_source: Callable[[], int]) -> None:
        self._copy = copy
        self._age_source = age_source
        self._history = ChangeHistory(_MAX_HISTORY_BYTES)
        self._watcher_events: weakref.WeakSet[asyncio.Event] = weakref.WeakSet()

    def add_change(self, revision: Revision, change: Change) -> None:
        """Buffer a change and its revision, to send it as a delta."""
        self._history.add(revision, change)
        CONFIG_HISTORY_BYTES.set({}, self._history.size_bytes)

    def notify_watchers(self) -> None:
        """Wake all watch streams so that they send what is new in the copy."""
        for event in self._watcher_events:
            event.set()

    async def fetch(self, request: WatchRequest) -> FetchReply:
        """Return the configuration if it is newer than the requested revision."""
        newer = self._copy.config.revision > request.revision
        if self._copy.ready and newer:
            return FetchReply(self._snapshot())
        return FetchReply(None)

    async def watch(self, request: WatchRequest) -> AsyncIterator[WatchReply]:
        """Yield updates after a revision, and at least one reply per second."""
        event = asyncio.Event()
        self._watcher_events.add(event)
        revision = request.revision
        sent: frozenset[bytes] | None = None
        while True:
            event.clear()
            items = self._items_after(revision, sent)
            if items:
                revision = max(revision, self._copy.config.revision)
                sent = self._copy.tombstones
            yield WatchReply(tuple(items))
            await _wait_for_update(event)

    def _items_after(
        self, revision: int, sent: frozenset[bytes] | None
    ) -> list[WatchItem]:
        if not self._copy.ready:
            return []
        new_tombstones = self._copy.tombstones - (sent or frozenset())
        items: list[WatchItem] = []
        if new_tombstones:
            urgent = sent is not None
            items.append(Withdrawals(tuple(sorted(new_tombstones)), urgent))
        if self._copy.config.revision > revision:
            items.extend(self._deltas(revision) or [self._snapshot()])
        newest = self._copy.config.revision
        items.append(Confirmation(newest, self._age_source()))
        return items

    def _deltas(self, revision: int) -> list[ConfigDelta]:
        newer = self._history.after(revision)
        if not newer or newer[-1].revision != self._copy.config.revision:
            return []
        return [ConfigDelta(held.revision, held.change) for held in newer]

    def _snapshot(self) -> ConfigSnapshot:
        tombstones = tuple(sorted(self._copy.tombstones))
        return ConfigSnapshot(self._copy.config, tombstones)


async def _wait_for_update(event: asyncio.Event) -> None:
    try:
        async with asyncio.timeout(_HEARTBEAT_INTERVAL_S):
            await event.wait()
    except TimeoutError:
        return
