"""Follow an upstream VM; switch when it fails or a better one is available."""

import abc
import asyncio
from typing import final

from baobabwharf_core.clock import Clock
from baobabwharf_core.fleet_config import FleetConfig
from baobabwharf_core.ids import VmId
from baobabwharf_decisions.config_replication import Upstream, choose_upstream

from baobabwharf_daemon.address_book import AddressBook
from baobabwharf_daemon.log import get_logger
from baobabwharf_daemon.replica_messages import (
    FETCH_PATH,
    WATCH_PATH,
    Confirmation,
    FetchReply,
    WatchItem,
    WatchReply,
    WatchRequest,
)
from baobabwharf_daemon.rpc import RpcClient

_IDLE_TIMEOUT_MS = 2500
_FETCH_TIMEOUT_MS = 2000
_RETRY_INTERVAL_S = 0.2
_AVOID_DURATION_MS = 3000
# An upstream that has not heard from the leader for longer than this is
# probably on the minority side of a partition.
_MAX_CONFIRMATION_AGE_MS = 1500

_log = get_logger('follower')


class WatchItemHandler(abc.ABC):
    """Apply the items that an upstream sends."""

    @property
    @abc.abstractmethod
    def config(self) -> FleetConfig:
        """Return the configuration in force."""

    @property
    @abc.abstractmethod
    def ready(self) -> bool:
        """Return whether any configuration has been received."""

    @abc.abstractmethod
    def has_local_state(self) -> bool:
        """Return whether the local replica supplies the configuration."""

    @abc.abstractmethod
    def accept_item(self, item: WatchItem) -> bool:
        """Apply an item; return False if the stream must be reopened."""


@final
class UpstreamFollower:
    """Watch the configuration of one upstream VM at a time."""

    def __init__(
        self,
        book: AddressBook,
        client: RpcClient,
        clock: Clock,
        handler: WatchItemHandler,
    ) -> None:
        self._book = book
        self._client = client
        self._clock = clock
        self._handler = handler
        self._avoided: dict[VmId, int] = {}

    async def run_forever(self) -> None:
        """Follow until cancelled."""
        await self._fetch_from_region()
        while True:
            upstream = self._choose_upstream()
            if upstream is not None:
                await self._follow(upstream)
            await asyncio.sleep(_RETRY_INTERVAL_S)

    async def _fetch_from_region(self) -> None:
        """Fetch the newest state in the region, so as not to start older."""
        own = self._book.own
        neighbours = [
            vm
            for vm in self._book.known().values()
            if vm.region == own.region and vm.vm_id != own.vm_id
        ]
        await asyncio.gather(
            *(self._fetch(vm.peer_address) for vm in neighbours)
        )

    async def _fetch(self, address: str) -> None:
        reply = await self._client.call(
            address, FETCH_PATH, self._request(), FetchReply, _FETCH_TIMEOUT_MS
        )
        if reply.is_ok() and reply.ok.snapshot is not None:
            self._handler.accept_item(reply.ok.snapshot)

    def _choose_upstream(self) -> Upstream | None:
        if self._handler.has_local_state():
            return None
        now_ms = self._clock.now_ms()
        self._avoided = {
            vm_id: until_ms
            for vm_id, until_ms in self._avoided.items()
            if until_ms > now_ms
        }
        # Before the first gossip only the peers in the settings are known.
        live = self._book.live()
        known = live if len(live) > 1 else self._book.known()
        return choose_upstream(
            self._book.own, known.values(), frozenset(self._avoided)
        )

    async def _follow(self, upstream: Upstream) -> None:
        _log.info('Following configuration of %s.', upstream.vm_id)
        replies = self._client.stream(
            upstream.address,
            WATCH_PATH,
            self._request(),
            WatchReply,
            _IDLE_TIMEOUT_MS,
        )
        async for reply in replies:
            if reply.is_error():
                self._avoid(upstream, reply.error.reason)
                return
            applied = [
                self._handler.accept_item(item) for item in reply.ok.items
            ]
            if any(map(_is_stale, reply.ok.items)):
                self._avoid(upstream, 'its revision was not confirmed recently')
                return
            if not all(applied) or self._choose_upstream() != upstream:
                return

    def _avoid(self, upstream: Upstream, reason: str) -> None:
        _log.warning('Leaving upstream %s: %s', upstream.vm_id, reason)
        until_ms = self._clock.now_ms() + _AVOID_DURATION_MS
        self._avoided[upstream.vm_id] = until_ms
        self._client.reset(upstream.address)

    def _request(self) -> WatchRequest:
        revision = self._handler.config.revision if self._handler.ready else -1
        return WatchRequest(self._book.own.vm_id, revision)


def _is_stale(item: WatchItem) -> bool:
    return (
        isinstance(item, Confirmation)
        and item.age_ms > _MAX_CONFIRMATION_AGE_MS
    )
