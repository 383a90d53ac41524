"""Route by simple rules, as baselines for comparison."""

import abc

from baobabwharf_core.announcements import Heartbeat
from baobabwharf_core.ids import EndpointId
from baobabwharf_decisions.endpoints import LEASE_MS

from baobabwharf_testkit.policy_environment import (
    CONNECT_TIMEOUT_MS,
    VMS_PER_REGION,
    Environment,
    Policy,
    make_job,
)
from baobabwharf_testkit.policy_load import Request
from baobabwharf_testkit.policy_model import (
    EndpointModel,
)

_MAX_ATTEMPTS = 3
_RETRY_DELAY_MS = 20


class Baseline(Policy):
    """Let the entry VM call any endpoint of the allowed regions."""

    def __init__(self, env: Environment) -> None:
        super().__init__(env)
        self._last_heartbeat_ms: dict[EndpointId, float] = {}
        self._outstanding: dict[tuple[int, EndpointId], int] = {}

    def on_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Renew the lease of an endpoint."""
        self._last_heartbeat_ms[heartbeat.endpoint_id] = self.env.sim.now_ms

    def on_arrival(self, request: Request) -> None:
        """Choose an endpoint and send the request."""
        vm_index = self.env.rng.randrange(VMS_PER_REGION)
        self._send_attempt(request, vm_index, frozenset())

    @abc.abstractmethod
    def choose_endpoint(
        self, request: Request, vm_index: int, endpoint_ids: list[EndpointId]
    ) -> EndpointId:
        """Choose one of the endpoints."""

    def outstanding(
        self, request: Request, vm_index: int, endpoint_id: EndpointId
    ) -> int:
        """Return how many requests of a VM an endpoint is running."""
        key = self._vm_number(request, vm_index)
        return self._outstanding.get((key, endpoint_id), 0)

    def _vm_number(self, request: Request, vm_index: int) -> int:
        regions = self.env.deployment.regions
        return regions.index(request.region) * VMS_PER_REGION + vm_index

    def _send_attempt(
        self, request: Request, vm_index: int, excluded: frozenset[EndpointId]
    ) -> None:
        now_ms = self.env.sim.now_ms
        endpoint_ids = self._eligible_endpoints(request, excluded)
        if not endpoint_ids or now_ms >= request.deadline_at_ms:
            request.refused = True
            return
        endpoint_id = self.choose_endpoint(request, vm_index, endpoint_ids)
        endpoint = self.env.endpoints[endpoint_id]
        key = (self._vm_number(request, vm_index), endpoint_id)
        self._outstanding[key] = self._outstanding.get(key, 0) + 1
        request.attempts += 1

        def on_end(succeeded: bool) -> None:
            self._outstanding[key] -= 1
            if succeeded:
                self.deliver_completion(request, endpoint.region)
            elif request.attempts < _MAX_ATTEMPTS:
                self.env.sim.call_later(
                    _RETRY_DELAY_MS,
                    self._send_attempt,
                    request,
                    vm_index,
                    excluded | {endpoint_id},
                )
            else:
                request.refused = True

        job = make_job(
            request,
            lambda: self.deliver_first_token(request, endpoint.region),
            on_end,
        )
        if endpoint.region == request.region:
            self.env.sim.call_later(
                self.env.random_zone_delay_ms(), endpoint.submit, job
            )
            return
        link = self.env.links[request.region, endpoint.region]
        if link.send(request.attributes.body_bytes, endpoint.submit, job):
            request.left_region = True
        else:
            self.env.sim.call_later(CONNECT_TIMEOUT_MS, on_end, False)

    def _eligible_endpoints(
        self, request: Request, excluded: frozenset[EndpointId]
    ) -> list[EndpointId]:
        now_ms = self.env.sim.now_ms
        return [
            endpoint_id
            for endpoint_id, heartbeat_ms in self._last_heartbeat_ms.items()
            if now_ms - heartbeat_ms < LEASE_MS
            and endpoint_id not in excluded
            and self._may_serve(request, self.env.endpoints[endpoint_id])
        ]

    def _may_serve(self, request: Request, endpoint: EndpointModel) -> bool:
        residency = request.attributes.residency
        if endpoint.announcement.service != request.attributes.service:
            return False
        if residency and endpoint.region not in residency:
            return False
        return self.env.reachable(request.region, endpoint.region)


class RandomPolicy(Baseline):
    """Choose at random."""

    def choose_endpoint(
        self, request: Request, vm_index: int, endpoint_ids: list[EndpointId]
    ) -> EndpointId:
        """Choose one of the endpoints."""
        return self.env.rng.choice(endpoint_ids)


class LeastOutstanding(Baseline):
    """Choose the endpoint with the fewest running requests of this VM."""

    def choose_endpoint(
        self, request: Request, vm_index: int, endpoint_ids: list[EndpointId]
    ) -> EndpointId:
        """Choose one of the endpoints."""
        self.env.rng.shuffle(endpoint_ids)
        return min(
            endpoint_ids,
            key=lambda endpoint_id: self.outstanding(
                request, vm_index, endpoint_id
            ),
        )


class HomeLeastOutstanding(LeastOutstanding):
    """Choose in the home region while it has any live endpoint."""

    def choose_endpoint(
        self, request: Request, vm_index: int, endpoint_ids: list[EndpointId]
    ) -> EndpointId:
        """Choose one of the endpoints."""
        home_endpoints = [
            endpoint_id
            for endpoint_id in endpoint_ids
            if self.env.endpoints[endpoint_id].region == request.region
        ]
        return super().choose_endpoint(
            request, vm_index, home_endpoints or endpoint_ids
        )
