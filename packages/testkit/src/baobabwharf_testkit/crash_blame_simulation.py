"""Simulate VMs that look for the requests that crash their endpoints."""

import sys
from collections.abc import Callable
from typing import final

import msgspec
from baobabwharf_core.ids import EndpointId, VmId
from baobabwharf_decisions.proxying.crash_blame import (
    CrashBlame,
    VerdictAction,
)
from baobabwharf_decisions.proxying.crash_report import CrashReport
from baobabwharf_decisions.proxying.request_traits import Traits

from baobabwharf_testkit.crash_blame_plan import BlameOutcome, BlamePlan
from baobabwharf_testkit.crash_blame_requests import RequestSource
from baobabwharf_testkit.limits_fleet import vm_regions
from baobabwharf_testkit.limits_simulation import Simulation, VmClock

_MS = 1000
_S = 1_000_000
# Within a region, and between regions.
_NEAR_DELAY_US = 2 * _MS
_FAR_DELAY_US = 55 * _MS
_EXCHANGE_MS = 20
_RESEND_MS = 500


class _Request(msgspec.Struct, eq=False):
    traits: Traits
    vm_id: str
    is_proved: bool = False


@final
class _Endpoint:
    def __init__(self, endpoint_id: str) -> None:
        self.endpoint_id = EndpointId(endpoint_id)
        self.incarnation = 1
        self.is_up = True
        self.requests: dict[_Request, None] = {}


@final
class BlameFleet:
    """Run the VMs, their endpoints and callers."""

    def __init__(self, plan: BlamePlan, seed: int) -> None:
        self.plan = plan
        self.outcome = BlameOutcome()
        self.simulation = Simulation(seed)
        self._rng = self.simulation.rng
        self._regions = vm_regions(plan.vms)
        self._clocks = {
            vm_id: VmClock(0, self._rng.randrange(1, 1000) * _S)
            for vm_id in self._regions
        }
        self.cores = {vm_id: CrashBlame(VmId(vm_id)) for vm_id in self._regions}
        self._endpoints = [
            _Endpoint(f'endpoint-{index}') for index in range(plan.endpoints)
        ]
        self._source = RequestSource(plan, self._rng)
        self._deadly_ids = {spell[0] for spell in plan.spells}
        self._schedule()

    @property
    def now_ms(self) -> int:
        """Return the true time in ms."""
        return self.simulation.now_us // _MS

    def run(self) -> BlameOutcome:
        """Play the whole plan."""
        self.simulation.run(self.plan.seconds * _S)
        return self.outcome

    def vm_ms(self, vm_id: str) -> int:
        """Return the time of a VM's clock."""
        return self._clocks[vm_id].read_ms(self.simulation.now_us)

    def refusing_vms(self, part_id: str) -> list[str]:
        """Return the VMs that hold a part in quarantine."""
        return [
            vm_id
            for vm_id, core in self.cores.items()
            if core.explain(part_id, self.vm_ms(vm_id)) is not None
        ]

    def _schedule(self) -> None:
        plan = self.plan
        for vm_id in self._regions:
            offset_us = self._rng.randrange(_EXCHANGE_MS * _MS)
            self.simulation.call_later(
                offset_us, _Repeated(self, vm_id).exchange
            )
        _repeat(self.simulation, plan.sound_per_s, self._send_sound)
        if plan.companion is not None:
            _repeat(
                self.simulation,
                plan.companion_sound_per_s,
                self._send_companion,
            )
        for index, (part_id, start_s, _end_s) in enumerate(plan.spells):
            if part_id not in {spell[0] for spell in plan.spells[:index]}:
                self.simulation.call_at(
                    int(start_s * _S), self._deadly_caller(part_id)
                )
        for at_s, count in plan.other_crashes:
            self.simulation.call_at(int(at_s * _S), self._other_crash(count))
        if plan.restarted_vm_at is not None:
            self.simulation.call_at(
                int(plan.restarted_vm_at * _S), self._restart_vm
            )

    def _deadly_caller(self, part_id: str) -> Callable[[], None]:
        def begin() -> None:
            _repeat(
                self.simulation,
                self.plan.deadly_per_s,
                lambda: self.send(self._source.deadly(part_id)),
            )

        return begin

    def _other_crash(self, count: int) -> Callable[[], None]:
        def crash() -> None:
            up = [each for each in self._endpoints if each.is_up]
            for endpoint in self._rng.sample(up, min(count, len(up))):
                self.crash(endpoint)

        return crash

    def _restart_vm(self) -> None:
        vm_id = next(iter(self.cores))
        self.cores[vm_id] = CrashBlame(VmId(vm_id))
        self._clocks[vm_id] = VmClock(0, self._rng.randrange(1, 1000) * _S)

    def _send_sound(self) -> None:
        self.send(self._source.sound())

    def _send_companion(self) -> None:
        self.send(self._source.companion())

    def send(self, traits: Traits, retries: int = 1) -> None:
        """Ask a random VM to serve a request."""
        vm_id = self._rng.choice(tuple(self.cores))
        core = self.cores[vm_id]
        deadly = self.plan.deadly_trait(traits, self.now_ms)
        verdict = core.verdict(traits, self.vm_ms(vm_id))
        outcome = self.outcome
        outcome.sound += deadly is None
        if verdict.action is VerdictAction.REFUSE:
            if deadly is None:
                outcome.wrongly_refused += 1
                outcome.wrongly_refused_parts[str(verdict.trait_id)] += 1
                outcome.last_wrong_refusal_ms = self.now_ms
            return
        up = [endpoint for endpoint in self._endpoints if endpoint.is_up]
        if not up:
            return
        if verdict.trait_id is not None:
            core.note_probe(verdict.trait_id, self.vm_ms(vm_id))
            outcome.probes_ms.setdefault(verdict.trait_id, []).append(
                self.now_ms
            )
        for trait_id in traits:
            if trait_id in self._deadly_ids:
                outcome.sends_ms.setdefault(trait_id, []).append(self.now_ms)
        endpoint = self._rng.choice(up)
        _Attempt(self, endpoint, _Request(traits, vm_id), retries).start()

    def resend(self, request: _Request, resends: int) -> None:
        """Send a request on from its VM, as after a failed first attempt."""
        core = self.cores[request.vm_id]
        up = [endpoint for endpoint in self._endpoints if endpoint.is_up]
        verdict = core.verdict(request.traits, self.vm_ms(request.vm_id))
        if up and verdict.action is VerdictAction.ALLOW:
            endpoint = self._rng.choice(up)
            again = _Request(request.traits, request.vm_id)
            _Attempt(self, endpoint, again, 0, resends).start()

    def crash(self, endpoint: _Endpoint, deadly: str | None = None) -> None:
        """Cut the connections of an endpoint and start it again later."""
        if deadly is not None:
            self.outcome.crashes[deadly] += 1
            self.outcome.crash_ms.setdefault(deadly, []).append(self.now_ms)
        endpoint.is_up = False
        incarnation = endpoint.incarnation
        for request in endpoint.requests:
            delay_us = self._rng.randrange(_MS, 40 * _MS)
            self.simulation.call_later(
                delay_us, _Loss(self, endpoint, incarnation, request).note
            )
        endpoint.requests = {}
        self.simulation.call_later(
            self._rng.randrange(3 * _S, 6 * _S), _Restart(endpoint).start
        )

    def exchange(self, vm_id: str, is_resend: bool) -> None:
        """Send a VM's report to all others if there is something to send."""
        core = self.cores[vm_id]
        now_ms = self.vm_ms(vm_id)
        core.drop_expired(now_ms)
        if not (core.changed or is_resend):
            return
        report = core.report(now_ms)
        if report.is_empty:
            return
        encoded = msgspec.msgpack.encode(report)
        self.outcome.largest_report_bytes = max(
            self.outcome.largest_report_bytes, len(encoded)
        )
        for other in self.cores:
            if other != vm_id:
                self._send_report(vm_id, other, encoded)

    def note_named(self) -> None:
        """Record which deadly parts some VM refuses."""
        for part_id, crash_ms in self.outcome.crash_ms.items():
            if part_id not in self.outcome.named_ms and self.refusing_vms(
                part_id
            ):
                self.outcome.named_ms[part_id] = self.now_ms
                self.outcome.named_at_crash[part_id] = len(crash_ms)

    def _send_report(self, source: str, to: str, encoded: bytes) -> None:
        rng = self._rng
        first_vm = next(iter(self.cores))
        if first_vm in {source, to} and self.plan.is_partitioned(self.now_ms):
            return
        if rng.random() < self.plan.loss:
            return
        is_near = self._regions[source] == self._regions[to]
        delay_us = _NEAR_DELAY_US if is_near else _FAR_DELAY_US
        if rng.random() < self.plan.disorder:
            self.simulation.call_later(
                rng.randrange(2 * _S),
                _Delivery(self, source, to, encoded).apply,
            )
        if rng.random() < self.plan.disorder:
            delay_us = rng.randrange(2 * _S)
        self.simulation.call_later(
            delay_us, _Delivery(self, source, to, encoded).apply
        )


def _repeat(
    simulation: Simulation, per_s: float, action: Callable[[], None]
) -> None:
    if per_s > 0:
        _Poisson(simulation, per_s, action).wait()


class _Repeated(msgspec.Struct):
    fleet: BlameFleet
    vm_id: str
    rounds: int = 0

    def exchange(self) -> None:
        self.rounds += 1
        is_resend = self.rounds % (_RESEND_MS // _EXCHANGE_MS) == 0
        self.fleet.exchange(self.vm_id, is_resend)
        self.fleet.simulation.call_later(_EXCHANGE_MS * _MS, self.exchange)


class _Poisson(msgspec.Struct):
    simulation: Simulation
    per_s: float
    action: Callable[[], None]

    def wait(self) -> None:
        delay_s = self.simulation.rng.expovariate(self.per_s)
        self.simulation.call_later(int(delay_s * _S), self.act)

    def act(self) -> None:
        self.wait()
        self.action()


class _Attempt(msgspec.Struct):
    fleet: BlameFleet
    endpoint: _Endpoint
    request: _Request
    retries: int
    resends: int = 0

    def start(self) -> None:
        rng = self.fleet.simulation.rng
        self.endpoint.requests[self.request] = None
        begin_ms, end_ms = self.fleet.plan.begin_ms
        self.fleet.simulation.call_later(
            rng.randrange(begin_ms * _MS, end_ms * _MS), self._begin_answer
        )

    def _begin_answer(self) -> None:
        if self._is_lost():
            if self.retries > 0:
                self.fleet.send(self.request.traits, self.retries - 1)
            return
        deadly = self.fleet.plan.deadly_trait(
            self.request.traits, self.fleet.now_ms
        )
        if deadly is not None:
            self.fleet.crash(self.endpoint, deadly)
            self.fleet.note_named()
            if self.resends < self.fleet.plan.deadly_resends:
                self.fleet.simulation.call_later(40 * _MS, self._resend)
            return
        self.fleet.simulation.call_later(100 * _MS, self._go_on)

    def _resend(self) -> None:
        self.fleet.resend(self.request, self.resends + 1)

    def _go_on(self) -> None:
        if not self._is_lost():
            vm_id = self.request.vm_id
            self.request.is_proved = True
            self.fleet.cores[vm_id].note_answer(
                self.request.traits, self.fleet.vm_ms(vm_id)
            )
            self.fleet.outcome.served += 1
            delay_us = self.fleet.simulation.rng.randrange(2 * _S)
            self.fleet.simulation.call_later(delay_us, self._finish)

    def _finish(self) -> None:
        self.endpoint.requests.pop(self.request, None)

    def _is_lost(self) -> bool:
        return self.request not in self.endpoint.requests


class _Loss(msgspec.Struct):
    fleet: BlameFleet
    endpoint: _Endpoint
    incarnation: int
    request: _Request

    def note(self) -> None:
        request = self.request
        self.fleet.cores[request.vm_id].note_crash(
            self.endpoint.endpoint_id,
            self.incarnation,
            () if request.is_proved else (request.traits,),
            self.fleet.vm_ms(request.vm_id),
        )
        self.fleet.note_named()


class _Restart(msgspec.Struct):
    endpoint: _Endpoint

    def start(self) -> None:
        self.endpoint.incarnation += 1
        self.endpoint.is_up = True


class _Delivery(msgspec.Struct):
    fleet: BlameFleet
    source: str
    to: str
    encoded: bytes

    def apply(self) -> None:
        report = msgspec.msgpack.decode(self.encoded, type=CrashReport)
        self.fleet.cores[self.to].apply_report(
            VmId(self.source), report, self.fleet.vm_ms(self.to)
        )
        self.fleet.note_named()


def main() -> None:
    """Print the outcomes of the standard plan for a number of seeds."""
    count = int(sys.argv[1]) if len(sys.argv) > 1 else 20
    for seed in range(count):
        outcome = BlameFleet(BlamePlan(), seed).run()
        print(
            f'seed {seed}: crashes {dict(outcome.crashes)}'
            f' named at {outcome.named_at_crash}'
            f' refused wrongly {outcome.wrongly_refused} of {outcome.sound}'
            f' {dict(outcome.wrongly_refused_parts)}'
            f' report {outcome.largest_report_bytes} bytes'
        )


if __name__ == '__main__':
    main()
