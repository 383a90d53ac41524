"""Build the registry and the router of a daemon and run them."""

import asyncio
import itertools
import random
from collections.abc import Awaitable, Callable
from typing import final

import msgspec
from baobabwharf_core.clock import Clock
from baobabwharf_core.codec import decode, encode
from baobabwharf_core.ids import ModelId, RegionId, ServiceId, VmId
from baobabwharf_decisions.away import link_meter
from baobabwharf_decisions.directory import Directory
from baobabwharf_decisions.routing import RegionRouter
from baobabwharf_decisions.summaries import RegionSummary, summarise

from baobabwharf_daemon.endpoint_registry import Registry
from baobabwharf_daemon.fail_fast import spawn
from baobabwharf_daemon.interfaces import (
    ConfigSource,
    MembershipView,
    ModelCatalog,
)
from baobabwharf_daemon.log import get_logger
from baobabwharf_daemon.router import LocalRouter
from baobabwharf_daemon.rpc import RpcClient, RpcServer
from baobabwharf_daemon.settings import Settings
from baobabwharf_daemon.task import Task

_TICK_S = 0.05
_SYNC_S = 0.1
_SLOW_TICK_S = 0.5
_MAX_MODELS = 1024

Publisher = Callable[[bytes], None]


@final
class RoutingTask(ModelCatalog, Task):
    """Run the timers of the registry, the router and the summaries."""

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        directory: Directory,
        regions: RegionRouter,
        registry: Registry,
        router: LocalRouter,
        membership: MembershipView,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._directory = directory
        self._regions = regions
        self._registry = registry
        self._router = router
        self._membership = membership
        self._heard: set[RegionId] = set()
        self._models: dict[ModelId, ServiceId] = {}
        self._publisher: Publisher | None = None
        self._timers: list[asyncio.Task[None]] = []
        self._log = get_logger('routing')

    @property
    def registry(self) -> Registry:
        """Return the registry of endpoints."""
        return self._registry

    @property
    def router(self) -> LocalRouter:
        """Return the router."""
        return self._router

    def models(self) -> dict[ModelId, ServiceId]:
        """Return the service of each model, over all regions.

        A model stays known when its last endpoint is gone, so that a request
        is refused for want of an endpoint and not as a wrong name.
        """
        groups = itertools.chain(
            self._directory.groups, self._regions.groups_elsewhere()
        )
        for service, model in groups:
            if model is not None and len(self._models) < _MAX_MODELS:
                self._models[model] = service
        return self._models

    @property
    def complete(self) -> bool:
        """Tell whether every region with live VMs has been heard."""
        live = {vm.region for vm in self._membership.live_vms()}
        return live <= self._heard | {RegionId(self._settings.region)}

    def attach_publisher(self, publisher: Publisher) -> None:
        """Name what sends the summary of this region to the other VMs."""
        self._publisher = publisher

    def on_summary(self, origin: VmId, payload: bytes) -> bool:
        """Take a summary that another VM published."""
        try:
            summary = decode(payload, RegionSummary)
        except msgspec.DecodeError:
            self._log.warning('VM %s sent a malformed summary.', origin)
            return False
        if summary.region == self._settings.region:
            return False
        self._heard.add(summary.region)
        return self._regions.on_summary(summary, self._clock.now_ms())

    async def start(self) -> None:
        """Begin to run the timers."""
        for job, period_s in (
            (self._tick, _TICK_S),
            (self._registry.sync, _SYNC_S),
            (self._slow_tick, _SLOW_TICK_S),
        ):
            timer = spawn(_repeat(job, period_s))
            self._timers.append(timer)

    async def stop(self) -> None:
        """End the timers."""
        for timer in self._timers:
            timer.cancel()
        await asyncio.gather(*self._timers, return_exceptions=True)
        self._timers.clear()

    async def _tick(self) -> None:
        self._router.tick()

    async def _slow_tick(self) -> None:
        self._router.slow_tick()
        if self._publisher is not None and self._publishes():
            self._publisher(encode(self._summary()))

    def _publishes(self) -> bool:
        """Tell whether this VM speaks for its region."""
        own = [
            vm.vm_id
            for vm in self._membership.live_vms()
            if vm.region == self._settings.region
        ]
        return min(own, default=None) == self._settings.vm_id

    def _summary(self) -> RegionSummary:
        vms = self._membership.live_vms()
        return summarise(
            RegionId(self._settings.region),
            self._directory,
            self._router.popular_prefixes,
            self._clock.wall_ms(),
            sum(vm.region == self._settings.region for vm in vms),
            self._clock.now_ms(),
        )


def build_routing(
    settings: Settings,
    clock: Clock,
    rng: random.Random,
    server: RpcServer,
    client: RpcClient,
    config: ConfigSource,
    membership: MembershipView,
) -> RoutingTask:
    """Build the routing parts of a daemon; they run after start()."""
    region = RegionId(settings.region)
    directory = Directory(rng)
    links = {
        RegionId(link.region): link_meter(link.delay_ms, link.bandwidth_mbit_s)
        for link in settings.links
    }
    regions = RegionRouter(region, links, rng)
    registry = Registry(settings, clock, directory, server, client, membership)
    router = LocalRouter(
        region, clock, rng, directory, regions, config, membership
    )
    return RoutingTask(
        settings, clock, directory, regions, registry, router, membership
    )


async def _repeat(job: Callable[[], Awaitable[None]], period_s: float) -> None:
    while True:
        await asyncio.sleep(period_s)
        await job()
