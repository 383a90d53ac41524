"""Run the routing decisions in the simulation as the daemon does."""

import random

import msgspec
from baobabwharf_core.announcements import Heartbeat
from baobabwharf_core.ids import EndpointId, RegionId
from baobabwharf_core.requests import AttemptOutcome, RequestAttributes
from baobabwharf_decisions.admission import Ticket
from baobabwharf_decisions.dispatcher import Dispatcher
from baobabwharf_decisions.endpoint_chooser import Candidate
from baobabwharf_decisions.endpoint_directory import EndpointDirectory
from baobabwharf_decisions.retries import RetryBudget, decide_retry
from baobabwharf_decisions.routing import RegionRouter, RegionVmCounts
from baobabwharf_decisions.spillover import LinkMeter
from baobabwharf_decisions.summaries import (
    RecentPrefixes,
    RegionSummary,
    summarise,
)

from baobabwharf_testkit.policy_environment import (
    CONNECT_TIMEOUT_MS,
    VMS_PER_REGION,
    Environment,
    Policy,
    make_job,
)
from baobabwharf_testkit.policy_load import Request

_SUMMARY_MS = 500
_TICK_MS = 50
_SLOW_TICK_MS = 500


class _Vm:
    """Hold the decision components of one VM."""

    def __init__(self, env: Environment, region: RegionId, index: int) -> None:
        self.region = region
        self.index = index
        rng = random.Random(f'{region} {index} {env.rng.random()}')
        self.rng = rng
        self.directory = EndpointDirectory(rng)
        self.directory.vms = VMS_PER_REGION
        self.dispatcher = Dispatcher(region, self.directory, rng)
        deployment = env.deployment
        links = {
            other: LinkMeter(
                deployment.region_delay_ms, deployment.link_mbit_s * 125
            )
            for other in deployment.regions
        }
        self.region_router = RegionRouter(region, links, rng)
        self.retry_budget = RetryBudget()
        self.recent_prefixes = RecentPrefixes()
        self.waiting: dict[Ticket, Request] = {}


class GatewayPolicy(Policy):
    """Call the decision code as the daemon does."""

    def __init__(self, env: Environment) -> None:
        super().__init__(env)
        self.vms = {
            (region, index): _Vm(env, region, index)
            for region in env.deployment.regions
            for index in range(VMS_PER_REGION)
        }
        for endpoint in env.endpoints.values():
            for vm in self._vms_of(endpoint.region):
                vm.directory.announce(endpoint.announcement, 0)
        for vm in self.vms.values():
            self._start_ticks(vm)
        self._sequence = 0
        env.sim.call_every(_SUMMARY_MS, self._publish)

    def on_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Pass the heartbeat to the VMs of its region."""
        region = self.env.endpoints[heartbeat.endpoint_id].region
        now_ms = self.env.sim.clock_ms
        for vm in self._vms_of(region):
            vm.directory.heartbeat(heartbeat, now_ms)
            self._dispatch_waiting(vm)

    def on_arrival(self, request: Request) -> None:
        """Route the request at a random entry VM."""
        index = self.env.rng.randrange(VMS_PER_REGION)
        self._route(self.vms[request.region, index], request)

    def _route(self, vm: _Vm, request: Request) -> None:
        now_ms = self.env.sim.clock_ms
        attributes = self._current_attributes(request, 0)
        vm.recent_prefixes.record_prompt(attributes)
        target = self.env.deployment.targets[attributes.work_class]
        local_estimate = vm.dispatcher.local_estimate(attributes, now_ms)
        choice = vm.region_router.choose(
            attributes,
            local_estimate,
            self._vm_counts(vm),
            target.max_away_share,
            now_ms,
        )
        if choice.is_error():
            request.refused = True
            return
        region = choice.ok.region
        if region == vm.region:
            self._admit(vm, request, frozenset(), 0)
        else:
            self._forward(vm, request, region)

    def _vm_counts(self, vm: _Vm) -> RegionVmCounts:
        live = {
            region: VMS_PER_REGION
            for region in self.env.deployment.regions
            if self.env.reachable(vm.region, region)
        }
        return RegionVmCounts(live, vm.region)

    def _forward(self, vm: _Vm, request: Request, region: RegionId) -> None:
        target_vm = self.vms[region, self.env.rng.randrange(VMS_PER_REGION)]
        link = self.env.links[vm.region, region]
        sent = link.send(
            request.attributes.body_bytes,
            self._admit,
            target_vm,
            request,
            frozenset(),
            1,
        )
        if sent:
            request.left_region = True
        else:
            self.env.sim.call_later(
                CONNECT_TIMEOUT_MS, self._route, vm, request
            )

    def _admit(
        self,
        vm: _Vm,
        request: Request,
        excluded: frozenset[EndpointId],
        hop: int,
    ) -> None:
        now_ms = self.env.sim.clock_ms
        attributes = self._current_attributes(request, hop)
        if not excluded:
            vm.retry_budget.earn()
        excluded = vm.dispatcher.effective_exclusions(
            attributes, excluded, now_ms
        )
        candidate = vm.dispatcher.place_now(attributes, excluded, now_ms)
        if candidate is not None:
            self._send_to_endpoint(vm, request, attributes, candidate)
            return
        deadline_at_ms = int(request.deadline_at_ms)
        queued = vm.dispatcher.enqueue(
            attributes, excluded, deadline_at_ms, now_ms
        )
        if queued.is_error():
            request.refused = True
        else:
            vm.waiting[queued.ok] = request

    def _send_to_endpoint(
        self,
        vm: _Vm,
        request: Request,
        attributes: RequestAttributes,
        candidate: Candidate,
    ) -> None:
        endpoint_id = candidate.endpoint.endpoint_id
        started_ms = self.env.sim.now_ms
        first_token_ms: list[int] = []
        request.attempts += 1
        attempt = request.attempts

        def on_first_token() -> None:
            first_token_ms.append(int(self.env.sim.now_ms - started_ms))
            self.deliver_first_token(request, vm.region)

        def on_end(succeeded: bool) -> None:
            outcome = AttemptOutcome(
                endpoint_id,
                succeeded,
                True,
                first_token_ms[0] if first_token_ms else None,
                int(self.env.sim.now_ms - started_ms),
                request.output_tokens if succeeded else 0,
            )
            self._on_attempt_ended(vm, request, attributes, outcome, attempt)

        job = make_job(request, on_first_token, on_end)
        endpoint = self.env.endpoints[endpoint_id]
        self.env.sim.call_later(
            self.env.random_zone_delay_ms(), endpoint.submit, job
        )

    def _on_attempt_ended(
        self,
        vm: _Vm,
        request: Request,
        attributes: RequestAttributes,
        outcome: AttemptOutcome,
        attempt: int,
    ) -> None:
        now_ms = self.env.sim.clock_ms
        vm.directory.ended(outcome, now_ms)
        vm.dispatcher.settle_charge(attributes, outcome)
        entry = self.vms[request.region, 0]
        for other in (entry, self.vms[request.region, 1]):
            other.region_router.in_flight.end(attributes.request_id)
        if outcome.succeeded:
            self.deliver_completion(request, vm.region)
        else:
            self._retry(vm, request, attributes, outcome, attempt)
        self._dispatch_waiting(vm)

    def _retry(
        self,
        vm: _Vm,
        request: Request,
        attributes: RequestAttributes,
        outcome: AttemptOutcome,
        attempt: int,
    ) -> None:
        time_left_ms = int(request.deadline_at_ms - self.env.sim.now_ms)
        backoff = decide_retry(
            attributes, outcome, attempt, time_left_ms, vm.retry_budget, vm.rng
        )
        if backoff.is_error():
            request.refused = True
            return
        excluded = frozenset((outcome.endpoint_id,))
        self.env.sim.call_later(
            backoff.ok, self._admit, vm, request, excluded, attributes.hop
        )

    def _current_attributes(
        self, request: Request, hop: int
    ) -> RequestAttributes:
        time_left_ms = int(request.deadline_at_ms - self.env.sim.now_ms)
        return msgspec.structs.replace(
            request.attributes, deadline_ms=max(1, time_left_ms), hop=hop
        )

    def _start_ticks(self, vm: _Vm) -> None:
        def tick() -> None:
            for ticket, _refusal in vm.dispatcher.expire(self.env.sim.clock_ms):
                vm.waiting.pop(ticket).refused = True
            self._dispatch_waiting(vm)

        def slow_tick() -> None:
            now_ms = self.env.sim.clock_ms
            vm.directory.tick(now_ms)
            vm.region_router.in_flight.expire(now_ms)
            vm.dispatcher.decay_usage()

        self.env.sim.call_every(_TICK_MS, tick)
        self.env.sim.call_every(_SLOW_TICK_MS, slow_tick)

    def _dispatch_waiting(self, vm: _Vm) -> None:
        now_ms = self.env.sim.clock_ms
        for ticket, candidate in vm.dispatcher.place_all_waiting(now_ms):
            request = vm.waiting.pop(ticket)
            self._send_to_endpoint(vm, request, ticket.attributes, candidate)

    def _publish(self) -> None:
        self._sequence += 1
        for region in self.env.deployment.regions:
            vm = self.vms[region, 0]
            summary = summarise(
                region,
                vm.directory,
                vm.recent_prefixes.newest,
                self._sequence,
                VMS_PER_REGION,
                self.env.sim.clock_ms,
            )
            for other in self.vms.values():
                if other.region != region:
                    self.env.links[region, other.region].send(
                        300, self._deliver, other, summary
                    )

    def _deliver(self, vm: _Vm, summary: RegionSummary) -> None:
        vm.region_router.on_summary(summary, self.env.sim.clock_ms)

    def _vms_of(self, region: RegionId) -> list[_Vm]:
        return [vm for vm in self.vms.values() if vm.region == region]
