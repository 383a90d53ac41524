"""Route the links between VMs through fault proxies."""

import itertools

from baobabwharf_testkit.fault_proxy import Conditions, FaultProxy, Link
from baobabwharf_testkit.fleet_plan import FleetPlan, VmPlan

_PROXIED_PORTS = ('peer_port', 'forward_port')
# Between availability zones of one region.
_ZONE_DELAY_MS = 1.0
_ZONE_JITTER_MS = 0.5
_JITTER_SHARE = 0.1


class FleetLinks:
    """Own a link for each ordered pair of VMs and a proxy for each port."""

    def __init__(self, plan: FleetPlan, seed: int) -> None:
        self._plan = plan
        self._vms = {vm.vm_id: vm for vm in plan.vms}
        self._seed = seed
        self._links: dict[tuple[str, str], Link] = {}
        self._proxies: dict[tuple[str, str, str], FaultProxy] = {}

    async def start(self, ports: dict[str, dict[str, int]]) -> None:
        """Start the proxies if the plan asks for them."""
        if not self._plan.proxied:
            return
        for number, pair in enumerate(itertools.permutations(ports, 2)):
            source, target = pair
            conditions = self._conditions(self._vms[source], self._vms[target])
            link = Link(conditions, self._seed * 1000 + number)
            self._links[pair] = link
            for name in _PROXIED_PORTS:
                proxy = FaultProxy(ports[target][name], link)
                await proxy.start()
                self._proxies[(source, target, name)] = proxy

    async def stop(self) -> None:
        """Stop all proxies."""
        for proxy in self._proxies.values():
            await proxy.stop()

    def target_ports(
        self, source: str, target: str, direct: dict[str, int]
    ) -> dict[str, int]:
        """Return the ports at which the source reaches the target."""
        if not self._plan.proxied:
            return direct
        return {
            name: self._proxies[(source, target, name)].port
            for name in _PROXIED_PORTS
        }

    def partition(self, left: set[str], right: set[str]) -> None:
        """Drop all traffic between two groups of VMs, in both directions."""
        self._set_drops(left, right, dropped=True)

    def drop_one_way(self, sources: set[str], targets: set[str]) -> None:
        """Drop what the sources send to the targets, in one direction only."""
        for (source, target), link in self._links.items():
            if source in sources and target in targets:
                link.adjust(drop_forward=True)
            if source in targets and target in sources:
                link.adjust(drop_backward=True)

    def end_drops(self) -> None:
        """End all drops."""
        all_vms = set(self._vms)
        self._set_drops(all_vms, all_vms, dropped=False)

    def reset(self, left: set[str], right: set[str]) -> None:
        """Reset all connections between two groups of VMs."""
        for pair, link in self._links.items():
            if _connects(pair, left, right):
                link.reset()

    def _set_drops(
        self, left: set[str], right: set[str], dropped: bool
    ) -> None:
        for pair, link in self._links.items():
            if _connects(pair, left, right):
                link.adjust(drop_forward=dropped, drop_backward=dropped)

    def _conditions(self, source: VmPlan, target: VmPlan) -> Conditions:
        if source.region == target.region:
            return Conditions(
                delay_ms=_ZONE_DELAY_MS, jitter_ms=_ZONE_JITTER_MS
            )
        link = self._plan.link
        return Conditions(
            delay_ms=link.delay_ms,
            jitter_ms=link.delay_ms * _JITTER_SHARE,
            bandwidth_mbit_s=link.bandwidth_mbit_s,
        )


def _connects(pair: tuple[str, str], left: set[str], right: set[str]) -> bool:
    source, target = pair
    if source in left and target in right:
        return True
    return source in right and target in left
