"""Drive the decisions and the baselines over the model."""

import abc
import random

import msgspec
from baobabwharf_core.ids import EndpointId, RegionId
from baobabwharf_core.platform import Heartbeat
from baobabwharf_core.requests import AttemptOutcome, RequestFacts
from baobabwharf_decisions.admission import Ticket
from baobabwharf_decisions.away import LinkMeter
from baobabwharf_decisions.choice import Candidate
from baobabwharf_decisions.directory import Directory
from baobabwharf_decisions.endpoints import LEASE_MS
from baobabwharf_decisions.lanes import LaneSet
from baobabwharf_decisions.retries import RetryBudget, decide_retry
from baobabwharf_decisions.routing import Peers, RegionRouter
from baobabwharf_decisions.summaries import RecentPrefixes, summarise

from baobabwharf_testkit.policy_load import Deployment, Request
from baobabwharf_testkit.policy_model import (
    EndpointModel,
    Job,
    LinkModel,
    Simulation,
)

VMS_PER_REGION = 2
_CONNECT_TIMEOUT_MS = 1000
_BYTES_PER_TOKEN = 200
_MAX_ATTEMPTS = 3
_RETRY_MS = 20
_SUMMARY_MS = 500
_TICK_MS = 50
_SLOW_TICK_MS = 500


class World(msgspec.Struct):
    """Hold the parts of the model that all policies share."""

    sim: Simulation
    deployment: Deployment
    endpoints: dict[EndpointId, EndpointModel]
    links: dict[tuple[RegionId, RegionId], LinkModel]
    rng: random.Random
    # Regions that the VMs believe cut off; it follows the cut after 1.5 s.
    believed_cut: set[RegionId]

    def reachable(self, one: RegionId, other: RegionId) -> bool:
        """Tell what the VMs believe of the path between two regions."""
        if one == other:
            return True
        return not self.believed_cut.intersection((one, other))

    def zone_ms(self) -> float:
        """Return a delay inside a region, one way."""
        return self.rng.uniform(0.5, self.deployment.zone_delay_ms)


class Policy(abc.ABC):
    """Serve requests that arrive at entry VMs."""

    def __init__(self, world: World) -> None:
        self.world = world

    @abc.abstractmethod
    def arrive(self, request: Request) -> None:
        """Take a request at an entry VM of its region."""

    @abc.abstractmethod
    def on_beat(self, beat: Heartbeat) -> None:
        """Take a heartbeat of an endpoint."""

    def first(self, request: Request, serving: RegionId) -> None:
        """Carry the first token back to the caller."""
        self._back(request, serving, 1, self._set_first, request)

    def done(self, request: Request, serving: RegionId) -> None:
        """Carry the end of the answer back to the caller."""
        size = 1000 + request.output_tokens * _BYTES_PER_TOKEN
        self._back(request, serving, size, self._set_done, request)

    def _back(self, request, serving, size, action, *more):  # type: ignore[no-untyped-def]
        if serving == request.region:
            self.world.sim.after(self.world.zone_ms() + 1, action, *more)
            return
        self.world.links[serving, request.region].send(size, action, *more)

    def _set_first(self, request: Request) -> None:
        if request.first_ms is None:
            request.first_ms = self.world.sim.now_ms

    def _set_done(self, request: Request) -> None:
        request.done_ms = self.world.sim.now_ms


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

        job = _job(request, lambda: self.first(request, endpoint.region), end)
        if endpoint.region == request.region:
            self.world.sim.after(self.world.zone_ms(), endpoint.submit, job)
            return
        link = self.world.links[request.region, endpoint.region]
        if link.send(request.facts.body_bytes, endpoint.submit, job):
            request.crossed = True
        else:
            self.world.sim.after(_CONNECT_TIMEOUT_MS, end, False)

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


class _Vm:
    """Hold the decisions of one VM."""

    def __init__(self, world: World, region: RegionId, index: int) -> None:
        self.region = region
        self.index = index
        rng = random.Random(f'{region} {index} {world.rng.random()}')
        self.rng = rng
        self.directory = Directory(rng)
        self.directory.vms = VMS_PER_REGION
        self.lanes = LaneSet(region, self.directory, rng)
        deployment = world.deployment
        links = {
            other: LinkMeter(
                deployment.region_delay_ms, deployment.link_mbit_s * 125
            )
            for other in deployment.regions
        }
        self.regions = RegionRouter(region, links, rng)
        self.budget = RetryBudget()
        self.recent = RecentPrefixes()
        self.waiting: dict[Ticket, Request] = {}


class OurPolicy(Policy):
    """Drive the pure decisions as the daemon does."""

    def __init__(self, world: World) -> None:
        super().__init__(world)
        self.vms = {
            (region, index): _Vm(world, region, index)
            for region in world.deployment.regions
            for index in range(VMS_PER_REGION)
        }
        for endpoint in world.endpoints.values():
            for vm in self._vms_of(endpoint.region):
                vm.directory.announce(endpoint.announcement, 0)
        for vm in self.vms.values():
            self._start(vm)
        self._sequence = 0
        world.sim.every(_SUMMARY_MS, self._publish)

    def on_beat(self, beat: Heartbeat) -> None:
        """Tell the VMs of the region."""
        region = self.world.endpoints[beat.endpoint_id].region
        now_ms = self.world.sim.clock_ms
        for vm in self._vms_of(region):
            vm.directory.heartbeat(beat, now_ms)
            self._pump(vm)

    def arrive(self, request: Request) -> None:
        """Choose the region at the entry VM."""
        index = self.world.rng.randrange(VMS_PER_REGION)
        self._route(self.vms[request.region, index], request)

    def _route(self, vm: _Vm, request: Request) -> None:
        now_ms = self.world.sim.clock_ms
        facts = self._facts(request, 0)
        vm.recent.note(facts)
        target = self.world.deployment.targets[facts.work_class]
        home = vm.lanes.home_view(facts, now_ms)
        decided = vm.regions.choose(
            facts, home, self._peers(vm), target.max_away_share, now_ms
        )
        if decided.is_error():
            request.refused = True
            return
        region = decided.ok.region
        if region == vm.region:
            self._admit(vm, request, frozenset(), 0)
        else:
            self._forward(vm, request, region)

    def _peers(self, vm: _Vm) -> Peers:
        live = {
            region: VMS_PER_REGION
            for region in self.world.deployment.regions
            if self.world.reachable(vm.region, region)
        }
        return Peers(live, vm.region)

    def _forward(self, vm: _Vm, request: Request, region: RegionId) -> None:
        there = self.vms[region, self.world.rng.randrange(VMS_PER_REGION)]
        link = self.world.links[vm.region, region]
        sent = link.send(
            request.facts.body_bytes,
            self._admit,
            there,
            request,
            frozenset(),
            1,
        )
        if sent:
            request.crossed = True
        else:
            self.world.sim.after(_CONNECT_TIMEOUT_MS, self._route, vm, request)

    def _admit(
        self,
        vm: _Vm,
        request: Request,
        excluded: frozenset[EndpointId],
        hop: int,
    ) -> None:
        now_ms = self.world.sim.clock_ms
        facts = self._facts(request, hop)
        if not excluded:
            vm.budget.earn()
        excluded = vm.lanes.outside(facts, excluded, now_ms)
        candidate = vm.lanes.place_now(facts, excluded, now_ms)
        if candidate is not None:
            self._launch(vm, request, facts, candidate)
            return
        deadline_at_ms = int(request.deadline_at_ms)
        offered = vm.lanes.enqueue(facts, excluded, deadline_at_ms, now_ms)
        if offered.is_error():
            request.refused = True
        else:
            vm.waiting[offered.ok] = request

    def _launch(
        self,
        vm: _Vm,
        request: Request,
        facts: RequestFacts,
        candidate: Candidate,
    ) -> None:
        name = candidate.endpoint.endpoint_id
        began_ms = self.world.sim.now_ms
        first_after: list[int] = []
        request.attempts += 1
        attempt = request.attempts

        def first() -> None:
            first_after.append(int(self.world.sim.now_ms - began_ms))
            self.first(request, vm.region)

        def end(succeeded: bool) -> None:
            outcome = AttemptOutcome(
                name,
                succeeded,
                True,
                first_after[0] if first_after else None,
                int(self.world.sim.now_ms - began_ms),
                request.output_tokens if succeeded else 0,
            )
            self._ended(vm, request, facts, outcome, attempt)

        job = _job(request, first, end)
        endpoint = self.world.endpoints[name]
        self.world.sim.after(self.world.zone_ms(), endpoint.submit, job)

    def _ended(
        self,
        vm: _Vm,
        request: Request,
        facts: RequestFacts,
        outcome: AttemptOutcome,
        attempt: int,
    ) -> None:
        now_ms = self.world.sim.clock_ms
        vm.directory.ended(outcome, now_ms)
        vm.lanes.correct(facts, outcome)
        entry = self.vms[request.region, 0]
        for other in (entry, self.vms[request.region, 1]):
            other.regions.flights.end(facts.request_id)
        if outcome.succeeded:
            self.done(request, vm.region)
        else:
            self._retry(vm, request, facts, outcome, attempt)
        self._pump(vm)

    def _retry(
        self,
        vm: _Vm,
        request: Request,
        facts: RequestFacts,
        outcome: AttemptOutcome,
        attempt: int,
    ) -> None:
        left_ms = int(request.deadline_at_ms - self.world.sim.now_ms)
        backoff = decide_retry(
            facts, outcome, attempt, left_ms, vm.budget, vm.rng
        )
        if backoff.is_error():
            request.refused = True
            return
        excluded = frozenset((outcome.endpoint_id,))
        self.world.sim.after(
            backoff.ok, self._admit, vm, request, excluded, facts.hop
        )

    def _facts(self, request: Request, hop: int) -> RequestFacts:
        left_ms = int(request.deadline_at_ms - self.world.sim.now_ms)
        return msgspec.structs.replace(
            request.facts, deadline_ms=max(1, left_ms), hop=hop
        )

    def _start(self, vm: _Vm) -> None:
        def tick() -> None:
            for ticket, _refusal in vm.lanes.expire(self.world.sim.clock_ms):
                vm.waiting.pop(ticket).refused = True
            self._pump(vm)

        def slow_tick() -> None:
            now_ms = self.world.sim.clock_ms
            vm.directory.tick(now_ms)
            vm.regions.flights.expire(now_ms)
            vm.lanes.relax()

        self.world.sim.every(_TICK_MS, tick)
        self.world.sim.every(_SLOW_TICK_MS, slow_tick)

    def _pump(self, vm: _Vm) -> None:
        now_ms = self.world.sim.clock_ms
        for ticket, candidate in vm.lanes.pump_all(now_ms):
            request = vm.waiting.pop(ticket)
            self._launch(vm, request, ticket.facts, candidate)

    def _publish(self) -> None:
        self._sequence += 1
        for region in self.world.deployment.regions:
            vm = self.vms[region, 0]
            summary = summarise(
                region,
                vm.directory,
                vm.recent.newest,
                self._sequence,
                VMS_PER_REGION,
                self.world.sim.clock_ms,
            )
            for other in self.vms.values():
                if other.region != region:
                    self.world.links[region, other.region].send(
                        300, self._deliver, other, summary
                    )

    def _deliver(self, vm: _Vm, summary) -> None:  # type: ignore[no-untyped-def]
        vm.regions.on_summary(summary, self.world.sim.clock_ms)

    def _vms_of(self, region: RegionId) -> list[_Vm]:
        return [vm for vm in self.vms.values() if vm.region == region]


def _job(request: Request, first, end) -> Job:  # type: ignore[no-untyped-def]
    return Job(
        request.facts,
        request.output_tokens,
        request.service_ms,
        request.deadline_at_ms,
        first,
        end,
    )
