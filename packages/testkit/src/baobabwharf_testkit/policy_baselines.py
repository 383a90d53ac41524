"""Route by simple rules, to compare with."""

import abc

from baobabwharf_core.announcements import Heartbeat
from baobabwharf_core.ids import EndpointId
from baobabwharf_decisions.endpoints import LEASE_MS

from baobabwharf_testkit.policy_environment import (
    CONNECT_TIMEOUT_MS,
    VMS_PER_REGION,
    Policy,
    World,
    make_job,
)
from baobabwharf_testkit.policy_load import Request
from baobabwharf_testkit.policy_model import (
    EndpointModel,
)

_MAX_ATTEMPTS = 3
_RETRY_MS = 20


class Baseline(Policy):
    """Let the entry VM call any endpoint of the allowed regions."""

    def __init__(self, world: World) -> None:
        super().__init__(world)
        self._alive_ms: dict[EndpointId, float] = {}
        self._outstanding: dict[tuple[int, EndpointId], int] = {}

    def on_beat(self, beat: Heartbeat) -> None:
        """Renew the lease of an endpoint."""
        self._alive_ms[beat.endpoint_id] = self.world.sim.now_ms

    def arrive(self, request: Request) -> None:
        """Choose an endpoint and send the request."""
        vm = self.world.rng.randrange(VMS_PER_REGION)
        self._attempt(request, vm, frozenset())

    @abc.abstractmethod
    def pick(
        self, request: Request, vm: int, names: list[EndpointId]
    ) -> EndpointId:
        """Choose one of the endpoints."""

    def outstanding(self, request: Request, vm: int, name: EndpointId) -> int:
        """Return the running requests of a VM at an endpoint."""
        key = self._vm_key(request, vm)
        return self._outstanding.get((key, name), 0)

    def _vm_key(self, request: Request, vm: int) -> int:
        regions = self.world.deployment.regions
        return regions.index(request.region) * VMS_PER_REGION + vm

    def _attempt(
        self, request: Request, vm: int, excluded: frozenset[EndpointId]
    ) -> None:
        now_ms = self.world.sim.now_ms
        names = self._names(request, excluded)
        if not names or now_ms >= request.deadline_at_ms:
            request.refused = True
            return
        name = self.pick(request, vm, names)
        endpoint = self.world.endpoints[name]
        key = (self._vm_key(request, vm), name)
        self._outstanding[key] = self._outstanding.get(key, 0) + 1
        request.attempts += 1

        def end(succeeded: bool) -> None:
            self._outstanding[key] -= 1
            if succeeded:
                self.done(request, endpoint.region)
            elif request.attempts < _MAX_ATTEMPTS:
                self.world.sim.after(
                    _RETRY_MS, self._attempt, request, vm, excluded | {name}
                )
            else:
                request.refused = True

        job = make_job(
            request, lambda: self.first(request, endpoint.region), end
        )
        if endpoint.region == request.region:
            self.world.sim.after(self.world.zone_ms(), endpoint.submit, job)
            return
        link = self.world.links[request.region, endpoint.region]
        if link.send(request.facts.body_bytes, endpoint.submit, job):
            request.crossed = True
        else:
            self.world.sim.after(CONNECT_TIMEOUT_MS, end, False)

    def _names(
        self, request: Request, excluded: frozenset[EndpointId]
    ) -> list[EndpointId]:
        now_ms = self.world.sim.now_ms
        return [
            name
            for name, alive_ms in self._alive_ms.items()
            if now_ms - alive_ms < LEASE_MS
            and name not in excluded
            and self._may_serve(request, self.world.endpoints[name])
        ]

    def _may_serve(self, request: Request, endpoint: EndpointModel) -> bool:
        residency = request.facts.residency
        if endpoint.announcement.service != request.facts.service:
            return False
        if residency and endpoint.region not in residency:
            return False
        return self.world.reachable(request.region, endpoint.region)


class RandomPolicy(Baseline):
    """Choose at random."""

    def pick(
        self, request: Request, vm: int, names: list[EndpointId]
    ) -> EndpointId:
        """Choose one of the endpoints."""
        return self.world.rng.choice(names)


class LeastOutstanding(Baseline):
    """Choose the endpoint with the fewest own running requests."""

    def pick(
        self, request: Request, vm: int, names: list[EndpointId]
    ) -> EndpointId:
        """Choose one of the endpoints."""
        self.world.rng.shuffle(names)
        return min(names, key=lambda name: self.outstanding(request, vm, name))


class HomeLeastOutstanding(LeastOutstanding):
    """Choose in the own region while it has any endpoint."""

    def pick(
        self, request: Request, vm: int, names: list[EndpointId]
    ) -> EndpointId:
        """Choose one of the endpoints."""
        home = [
            name
            for name in names
            if self.world.endpoints[name].region == request.region
        ]
        return super().pick(request, vm, home or names)
