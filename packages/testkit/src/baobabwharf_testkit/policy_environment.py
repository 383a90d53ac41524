"""Define the environment and the base class of all compared policies."""

import abc
import random
from collections.abc import Callable

import msgspec
from baobabwharf_core.announcements import Heartbeat
from baobabwharf_core.ids import EndpointId, RegionId

from baobabwharf_testkit.policy_load import Deployment, Request
from baobabwharf_testkit.policy_model import (
    EndpointModel,
    Job,
    LinkModel,
    Simulation,
)

VMS_PER_REGION = 2
CONNECT_TIMEOUT_MS = 1000
_BYTES_PER_TOKEN = 200


class Environment(msgspec.Struct):
    """Hold the parts of the model that all policies share."""

    sim: Simulation
    deployment: Deployment
    endpoints: dict[EndpointId, EndpointModel]
    links: dict[tuple[RegionId, RegionId], LinkModel]
    rng: random.Random
    # Regions that the VMs believe partitioned; 1.5 s behind the real partition.
    believed_partitioned: set[RegionId]

    def reachable(self, one: RegionId, other: RegionId) -> bool:
        """Return whether the VMs believe that two regions can reach each other."""
        if one == other:
            return True
        return not self.believed_partitioned.intersection((one, other))

    def random_zone_delay_ms(self) -> float:
        """Return a random one-way delay inside a region."""
        return self.rng.uniform(0.5, self.deployment.zone_delay_ms)


class Policy(abc.ABC):
    """Serve requests that arrive at entry VMs."""

    def __init__(self, env: Environment) -> None:
        self.env = env

    @abc.abstractmethod
    def on_arrival(self, request: Request) -> None:
        """Handle a request at an entry VM of its region."""

    @abc.abstractmethod
    def on_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Handle a heartbeat of an endpoint."""

    def deliver_first_token(self, request: Request, serving: RegionId) -> None:
        """Deliver the first token to the caller."""
        self._send_to_caller(request, serving, 1, self._set_first)

    def deliver_completion(self, request: Request, serving: RegionId) -> None:
        """Deliver the end of the response to the caller."""
        size = 1000 + request.output_tokens * _BYTES_PER_TOKEN
        self._send_to_caller(request, serving, size, self._set_done)

    def _send_to_caller(
        self,
        request: Request,
        serving: RegionId,
        size: int,
        action: Callable[[Request], None],
    ) -> None:
        if serving == request.region:
            self.env.sim.call_later(
                self.env.random_zone_delay_ms() + 1, action, request
            )
            return
        self.env.links[serving, request.region].send(size, action, request)

    def _set_first(self, request: Request) -> None:
        if request.first_ms is None:
            request.first_ms = self.env.sim.now_ms

    def _set_done(self, request: Request) -> None:
        request.done_ms = self.env.sim.now_ms


def make_job(
    request: Request,
    on_first_token: Callable[[], None],
    on_end: Callable[[bool], None],
) -> Job:
    """Return the job of a request at an endpoint."""
    return Job(
        request.attributes,
        request.output_tokens,
        request.service_ms,
        request.deadline_at_ms,
        on_first_token,
        on_end,
    )
