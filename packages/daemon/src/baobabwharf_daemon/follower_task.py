"""Own this VM's copy of the configuration and keep it current."""

import asyncio
from collections.abc import Callable, Iterable
from typing import final

from baobabwharf_core.clock import Clock
from baobabwharf_core.model import FleetConfig
from baobabwharf_decisions.fleet_state.machine import AppliedChange
from baobabwharf_decisions.follow import (
    ConfigCopy,
)

from baobabwharf_daemon.address_book import AddressBook
from baobabwharf_daemon.config_feed import ConfigFeed
from baobabwharf_daemon.fail_fast import spawn
from baobabwharf_daemon.following import Following, ItemSink
from baobabwharf_daemon.interfaces import ConfigSource
from baobabwharf_daemon.log import get_logger
from baobabwharf_daemon.metrics import REVISION
from baobabwharf_daemon.replica_messages import (
    FETCH_PATH,
    WATCH_PATH,
    ConfigDelta,
    ConfigSnapshot,
    Confirmation,
    FetchReply,
    WatchItem,
    WatchReply,
    WatchRequest,
    Withdrawals,
)
from baobabwharf_daemon.rpc import RpcClient, RpcServer
from baobabwharf_daemon.task import Task

_IDLE_TIMEOUT_MS = 4000
_FETCH_TIMEOUT_MS = 2000
_PAUSE_S = 0.2
_AVOID_MS = 3000
_NEVER_MS = 1 << 40

WithdrawalListener = Callable[[frozenset[bytes]], None]
OwnAge = Callable[[], int | None]

_log = get_logger('follower')


@final
class FollowerTask(ConfigSource, ItemSink, Task):
    """Take configuration from the own replica or from an upstream."""

    def __init__(
        self,
        book: AddressBook,
        client: RpcClient,
        clock: Clock,
        own_age: OwnAge,
    ) -> None:
        self._clock = clock
        self._own_age = own_age
        self._copy = ConfigCopy()
        self._feed = ConfigFeed(self._copy, lambda: self.age_ms)
        self._confirmed_ms: int | None = None
        self._queues: list[asyncio.Queue[FleetConfig]] = []
        self._listeners: list[WithdrawalListener] = []
        self._told: frozenset[bytes] = frozenset()
        self._following = Following(book, client, clock, self)
        self._loop: asyncio.Task[None] | None = None

    @property
    def config(self) -> FleetConfig:
        """Return the configuration in force; its revision never decreases."""
        return self._copy.config

    @property
    def ready(self) -> bool:
        """Tell whether any configuration has been received."""
        return self._copy.ready

    @property
    def age_ms(self) -> int:
        """Return the time since the upstream last confirmed the revision."""
        own = self._own_age()
        if own is not None:
            return own
        if self._confirmed_ms is None:
            return _NEVER_MS
        return self._clock.now_ms() - self._confirmed_ms

    def is_withdrawn(self, digest: bytes) -> bool:
        """Tell whether a withdrawal of the key is known, logged or urgent."""
        return self._copy.is_withdrawn(digest)

    def subscribe(self) -> asyncio.Queue[FleetConfig]:
        """Return a queue of size one that holds the newest configuration."""
        queue: asyncio.Queue[FleetConfig] = asyncio.Queue(1)
        self._queues.append(queue)
        if self._copy.ready:
            queue.put_nowait(self._copy.config)
        return queue

    def owns_state(self) -> bool:
        """Tell whether the own replica supplies the configuration."""
        return self._own_age() is not None

    def on_withdrawals(self, listener: WithdrawalListener) -> None:
        """Tell a listener the digests of newly withdrawn keys."""
        self._listeners.append(listener)

    def accept_withdrawals(self, digests: Iterable[bytes]) -> None:
        """Take tombstones that came ahead of the log."""
        if self._copy.withdraw(digests):
            self._spread()

    def accept_applied(
        self, config: FleetConfig, change: AppliedChange | None
    ) -> None:
        """Take the applied state of the own replica."""
        if not self._copy.offer(config):
            return
        if change is None:
            self._spread(urgent=False)
        else:
            self._feed.note_change(change.revision, change.change)
            self._spread()

    def register(self, server: RpcServer) -> None:
        """Serve watchers; call before the listener starts."""
        server.register_stream(
            WATCH_PATH, WatchRequest, WatchReply, self._feed.watch
        )
        server.register_unary(
            FETCH_PATH, WatchRequest, FetchReply, self._feed.fetch
        )

    async def start(self) -> None:
        """Begin to follow."""
        self._loop = spawn(self._following.run_forever())

    async def stop(self) -> None:
        """Stop to follow."""
        if self._loop is not None:
            self._loop.cancel()
            await asyncio.gather(self._loop, return_exceptions=True)

    def take(self, item: WatchItem) -> bool:
        """Take an item; return false when the stream must be renewed."""
        if isinstance(item, Withdrawals):
            self._copy.withdraw(item.digests)
            self._spread(urgent=item.urgent)
        elif isinstance(item, ConfigSnapshot):
            self._take_snapshot(item)
        elif isinstance(item, ConfigDelta):
            return self._take_delta(item)
        else:
            self._confirm(item)
        return True

    def _take_snapshot(self, item: ConfigSnapshot) -> None:
        self._copy.withdraw(item.tombstones)
        self._copy.offer(item.config)
        self._spread(urgent=False)

    def _take_delta(self, item: ConfigDelta) -> bool:
        if item.revision <= self._copy.config.revision:
            return True
        if not self._copy.advance(item.revision, item.change):
            return False
        self._feed.note_change(item.revision, item.change)
        self._spread()
        return True

    def _confirm(self, item: Confirmation) -> None:
        if item.revision == self._copy.config.revision:
            self._confirmed_ms = self._clock.now_ms() - item.age_ms

    def _spread(self, *, urgent: bool = True) -> None:
        # A whole state holds all withdrawals of the past, which are no news.
        REVISION.set({}, self._copy.config.revision)
        for queue in self._queues:
            if queue.full():
                queue.get_nowait()
            queue.put_nowait(self._copy.config)
        fresh = self._copy.tombstones - self._told
        self._told = self._copy.tombstones
        if fresh and urgent:
            for listener in self._listeners:
                listener(fresh)
        self._feed.wake()
