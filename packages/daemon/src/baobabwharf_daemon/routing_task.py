"""Build the endpoint registry and the router and run their timers."""

import asyncio
import itertools
import random
from collections.abc import Awaitable, Callable
from typing import final

import msgspec
from baobabwharf_core.clock import Clock
from baobabwharf_core.codec import decode, encode
from baobabwharf_core.ids import ModelId, RegionId, ServiceId, VmId
from baobabwharf_decisions.endpoint_directory import EndpointDirectory
from baobabwharf_decisions.routing import RegionRouter
from baobabwharf_decisions.spillover import link_meter
from baobabwharf_decisions.summaries import RegionSummary, summarise

from baobabwharf_daemon.endpoint_registry import SyncedEndpointRegistry
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

_TICK_PERIOD_S = 0.05
_SYNC_PERIOD_S = 0.1
_MAINTENANCE_PERIOD_S = 0.5
_MAX_MODELS = 1024

Publisher = Callable[[bytes], None]


@final
class RoutingTask(ModelCatalog, Task):
    """Run the timers of the registry, the router and the summaries."""

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        directory: EndpointDirectory,
        regions: RegionRouter,
        registry: SyncedEndpointRegistry,
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
        self._reported_regions: set[RegionId] = set()
        self._models: dict[ModelId, ServiceId] = {}
        self._publisher: Publisher | None = None
        self._timers: list[asyncio.Task[None]] = []
        self._log = get_logger('routing')

    @property
    def registry(self) -> SyncedEndpointRegistry:
        """Return the registry of endpoints."""
        return self._registry

    @property
    def router(self) -> LocalRouter:
        """Return the router."""
        return self._router

    def models(self) -> dict[ModelId, ServiceId]:
        """Return the service of each model, over all regions.

        A model stays known after its last endpoint has left, so that a request
        for it is refused for lack of an endpoint, not as an unknown model.
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
        """Return whether every region with live VMs has sent a summary."""
        live = {vm.region for vm in self._membership.live_vms()}
        return live <= self._reported_regions | {
            RegionId(self._settings.region)
        }

    def attach_publisher(self, publisher: Publisher) -> None:
        """Set the function that publishes the summary of this region."""
        self._publisher = publisher

    def on_summary(self, origin: VmId, payload: bytes) -> bool:
        """Apply a summary of another VM; return whether it was accepted."""
        try:
            summary = decode(payload, RegionSummary)
        except msgspec.DecodeError:
            self._log.warning(
                'Ignoring a malformed region summary of VM %s.', origin
            )
            return False
        if summary.region == self._settings.region:
            return False
        self._reported_regions.add(summary.region)
        return self._regions.on_summary(summary, self._clock.now_ms())

    async def start(self) -> None:
        """Start the timers."""
        for action, period_s in (
            (self._tick, _TICK_PERIOD_S),
            (self._registry.sync, _SYNC_PERIOD_S),
            (self._run_maintenance, _MAINTENANCE_PERIOD_S),
        ):
            timer = spawn(_run_periodically(action, period_s))
            self._timers.append(timer)

    async def stop(self) -> None:
        """Stop the timers."""
        for timer in self._timers:
            timer.cancel()
        await asyncio.gather(*self._timers, return_exceptions=True)
        self._timers.clear()

    async def _tick(self) -> None:
        self._router.tick()

    async def _run_maintenance(self) -> None:
        self._router.run_maintenance()
        if self._publisher is not None and self._is_region_publisher():
            self._publisher(encode(self._summary()))

    def _is_region_publisher(self) -> bool:
        """Return whether this VM publishes the summary of its region.

        It is the live VM of the region with the lowest id.
        """
        region_vm_ids = [
            vm.vm_id
            for vm in self._membership.live_vms()
            if vm.region == self._settings.region
        ]
        return min(region_vm_ids, default=None) == self._settings.vm_id

    def _summary(self) -> RegionSummary:
        vms = self._membership.live_vms()
        return summarise(
            RegionId(self._settings.region),
            self._directory,
            self._router.recent_prefixes,
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
    config_source: ConfigSource,
    membership: MembershipView,
) -> RoutingTask:
    """Build the routing task of a daemon; its timers run after start()."""
    region = RegionId(settings.region)
    directory = EndpointDirectory(rng)
    links = {
        RegionId(link.region): link_meter(link.delay_ms, link.bandwidth_mbit_s)
        for link in settings.links
    }
    regions = RegionRouter(region, links, rng)
    registry = SyncedEndpointRegistry(
        settings, clock, directory, server, client, membership
    )
    router = LocalRouter(
        region, clock, rng, directory, regions, config_source, membership
    )
    return RoutingTask(
        settings, clock, directory, regions, registry, router, membership
    )


async def _run_periodically(
    action: Callable[[], Awaitable[None]], period_s: float
) -> None:
    while True:
        await asyncio.sleep(period_s)
        await action()
