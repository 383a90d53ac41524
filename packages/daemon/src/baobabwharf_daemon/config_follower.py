"""Keep this VM's copy of the configuration up to date."""

import asyncio
from collections.abc import Callable, Iterable
from typing import final

from baobabwharf_core.clock import Clock
from baobabwharf_core.fleet_config import FleetConfig
from baobabwharf_decisions.config_replication import (
    ConfigCopy,
)
from baobabwharf_decisions.fleet_state.state_machine import AppliedChange

from baobabwharf_daemon.address_book import AddressBook
from baobabwharf_daemon.config_feed import ConfigFeed
from baobabwharf_daemon.fail_fast import spawn
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
from baobabwharf_daemon.upstream_follower import (
    UpstreamFollower,
    WatchItemHandler,
)

_IDLE_TIMEOUT_MS = 4000
_FETCH_TIMEOUT_MS = 2000
_PAUSE_S = 0.2
_AVOID_MS = 3000
_NEVER_CONFIRMED_AGE_MS = 1 << 40

WithdrawalListener = Callable[[frozenset[bytes]], None]
LocalAge = Callable[[], int | None]

_log = get_logger('follower')


@final
class ConfigFollower(ConfigSource, WatchItemHandler, Task):
    """Follow the configuration of the local replica or of an upstream VM."""

    def __init__(
        self,
        book: AddressBook,
        client: RpcClient,
        clock: Clock,
        local_age: LocalAge,
    ) -> None:
        self._clock = clock
        self._local_age = local_age
        self._copy = ConfigCopy()
        self._feed = ConfigFeed(self._copy, lambda: self.age_ms)
        self._confirmed_ms: int | None = None
        self._subscriber_queues: list[asyncio.Queue[FleetConfig]] = []
        self._withdrawal_listeners: list[WithdrawalListener] = []
        self._notified_tombstones: frozenset[bytes] = frozenset()
        self._upstream_follower = UpstreamFollower(book, client, clock, self)
        self._loop: asyncio.Task[None] | None = None

    @property
    def config(self) -> FleetConfig:
        """Return the configuration in force; its revision never decreases."""
        return self._copy.config

    @property
    def ready(self) -> bool:
        """Return whether any configuration has been received."""
        return self._copy.ready

    @property
    def age_ms(self) -> int:
        """Return the time since the upstream last confirmed the revision."""
        replica_age_ms = self._local_age()
        if replica_age_ms is not None:
            return replica_age_ms
        if self._confirmed_ms is None:
            return _NEVER_CONFIRMED_AGE_MS
        return self._clock.now_ms() - self._confirmed_ms

    def is_withdrawn(self, digest: bytes) -> bool:
        """Return whether the key is known to be withdrawn.

        Includes withdrawals that are not yet in the log.
        """
        return self._copy.is_withdrawn(digest)

    def subscribe(self) -> asyncio.Queue[FleetConfig]:
        """Return a queue of size one that holds the newest configuration."""
        queue: asyncio.Queue[FleetConfig] = asyncio.Queue(1)
        self._subscriber_queues.append(queue)
        if self._copy.ready:
            queue.put_nowait(self._copy.config)
        return queue

    def has_local_state(self) -> bool:
        """Return whether the local replica supplies the configuration."""
        return self._local_age() is not None

    def add_withdrawal_listener(self, listener: WithdrawalListener) -> None:
        """Call a listener with the digests of newly withdrawn keys."""
        self._withdrawal_listeners.append(listener)

    def accept_withdrawals(self, digests: Iterable[bytes]) -> None:
        """Apply withdrawals that arrived ahead of the log."""
        if self._copy.withdraw(digests):
            self._notify()

    def accept_applied(
        self, config: FleetConfig, change: AppliedChange | None
    ) -> None:
        """Apply the state that the local replica has reached."""
        if not self._copy.offer(config):
            return
        if change is None:
            self._notify(urgent=False)
        else:
            self._feed.add_change(change.revision, change.change)
            self._notify()

    def register(self, server: RpcServer) -> None:
        """Register the RPC handlers; call before the listener starts."""
        server.register_stream(
            WATCH_PATH, WatchRequest, WatchReply, self._feed.watch
        )
        server.register_unary(
            FETCH_PATH, WatchRequest, FetchReply, self._feed.fetch
        )

    async def start(self) -> None:
        """Start to follow an upstream."""
        self._loop = spawn(self._upstream_follower.run_forever())

    async def stop(self) -> None:
        """Stop following."""
        if self._loop is not None:
            self._loop.cancel()
            await asyncio.gather(self._loop, return_exceptions=True)

    def accept_item(self, item: WatchItem) -> bool:
        """Apply an item; return False if the stream must be reopened."""
        if isinstance(item, Withdrawals):
            self._copy.withdraw(item.digests)
            self._notify(urgent=item.urgent)
        elif isinstance(item, ConfigSnapshot):
            self._apply_snapshot(item)
        elif isinstance(item, ConfigDelta):
            return self._apply_delta(item)
        else:
            self._confirm(item)
        return True

    def _apply_snapshot(self, item: ConfigSnapshot) -> None:
        self._copy.withdraw(item.tombstones)
        self._copy.offer(item.config)
        self._notify(urgent=False)

    def _apply_delta(self, item: ConfigDelta) -> bool:
        if item.revision <= self._copy.config.revision:
            return True
        if not self._copy.advance(item.revision, item.change):
            return False
        self._feed.add_change(item.revision, item.change)
        self._notify()
        return True

    def _confirm(self, item: Confirmation) -> None:
        if item.revision == self._copy.config.revision:
            self._confirmed_ms = self._clock.now_ms() - item.age_ms

    def _notify(self, *, urgent: bool = True) -> None:
        # A full snapshot repeats all past withdrawals, which need no
        # notification; callers pass urgent=False for it.
        REVISION.set({}, self._copy.config.revision)
        for queue in self._subscriber_queues:
            if queue.full():
                queue.get_nowait()
            queue.put_nowait(self._copy.config)
        new_tombstones = self._copy.tombstones - self._notified_tombstones
        self._notified_tombstones = self._copy.tombstones
        if new_tombstones and urgent:
            for listener in self._withdrawal_listeners:
                listener(new_tombstones)
        self._feed.notify_watchers()
