"""Test the lease rules with drifting clocks and a faulty network."""

from unittest import mock

from baobabwharf_core.ids import FencingToken, VmId
from baobabwharf_decisions import leases
from baobabwharf_decisions.leases import (
    LeaseGrant,
    LeaseGranter,
    LeaseHolder,
    may_take_over,
    worst_case_lifetime_ms,
)
from baobabwharf_testkit.limits_simulation import (
    MAX_DRIFT_PPM,
    Simulation,
    VmClock,
)
from behave import then
from behave.runner import Context

_LIFETIME_MS = 2000
_VMS = ('vm-1', 'vm-2', 'vm-3')
_END_US = 300_000_000
_CHECK_US = 5_000


class LeaseSubject:
    """Run three VMs that request the same lease from one granter."""

    def __init__(
        self,
        seed: int,
        granter_drift: int | None = None,
        lifetime_ms: int = _LIFETIME_MS,
    ) -> None:
        self.simulation = Simulation(seed)
        self.lifetime_ms = lifetime_ms
        rng = self.simulation.rng
        drift = granter_drift
        if drift is None:
            drift = rng.randint(-MAX_DRIFT_PPM, MAX_DRIFT_PPM)
        self.granter_clock = VmClock(drift, rng.randrange(10**9))
        self.granter = self.new_granter(FencingToken(0), None)
        self.clocks = {}
        self.holders = {}
        for vm in _VMS:
            drift = rng.choice((-MAX_DRIFT_PPM, 0, MAX_DRIFT_PPM))
            self.clocks[vm] = VmClock(drift, rng.randrange(10**9))
            self.holders[vm] = LeaseHolder(VmId(vm))
            self.simulation.call_at(
                rng.randrange(10**6), lambda vm=vm: self.acquire(vm)
            )
        self.moments_held = 0
        self.conflicts = 0
        self.tokens: list[int] = []
        self.simulation.call_later(_CHECK_US, self.check)
        self.simulation.call_at(_END_US // 2, self.restart_granter)

    def new_granter(
        self, token: FencingToken, previous: VmId | None
    ) -> LeaseGranter:
        now_ms = self.granter_clock.read_ms(self.simulation.now_us)
        return LeaseGranter(self.lifetime_ms, token, now_ms, previous)

    def restart_granter(self) -> None:
        # The token and the holder are in the replicated state; times are not.
        last = self.granter
        self.granter = self.new_granter(last._token, last._holder)

    def acquire(self, vm: str) -> None:
        rng = self.simulation.rng
        sent_ms = self.clocks[vm].read_ms(self.simulation.now_us)
        for _copy in range(rng.choice((0, 1, 1, 1, 2))):
            delay_us = rng.choice((5_000, 40_000, 900_000, 4_000_000))
            self.simulation.call_later(
                delay_us, lambda: self.receive(vm, sent_ms)
            )
        if rng.random() < 0.05:
            self.release(vm)
        pause_us = rng.choice((100_000, 300_000))
        if rng.random() < 0.1:
            pause_us = 4000 * self.lifetime_ms
        self.simulation.call_later(pause_us, lambda: self.acquire(vm))

    def receive(self, vm: str, sent_ms: int) -> None:
        now_ms = self.granter_clock.read_ms(self.simulation.now_us)
        outcome = self.granter.acquire(VmId(vm), now_ms)
        if outcome.is_ok():
            grant: LeaseGrant = outcome.ok
            delay_us = self.simulation.rng.choice((5_000, 40_000, 3_000_000))
            self.simulation.call_later(
                delay_us, lambda: self.holders[vm].granted(grant, sent_ms)
            )

    def release(self, vm: str) -> None:
        now_ms = self.clocks[vm].read_ms(self.simulation.now_us)
        token = self.holders[vm].valid_token(now_ms, 0)
        self.holders[vm].relinquish(now_ms)
        if token is not None:
            self.granter.release(VmId(vm), token)

    def check(self) -> None:
        tokens = [
            holder.valid_token(
                self.clocks[vm].read_ms(self.simulation.now_us), 0
            )
            for vm, holder in self.holders.items()
        ]
        held = [token for token in tokens if token is not None]
        self.moments_held += len(held)
        self.conflicts += len(held) > 1
        self.tokens.extend(held)
        self.simulation.call_later(_CHECK_US, self.check)


@then('the lease run with seed {seed:d} never has two holders')
def one_holder(context: Context, seed: int) -> None:
    subject = LeaseSubject(seed)
    subject.simulation.run(_END_US)
    print(f'lease: seed {seed}, {subject.moments_held} moments held')
    assert subject.moments_held > 1_000
    assert subject.conflicts == 0
    assert subject.tokens == sorted(subject.tokens)
    assert len(set(subject.tokens)) > 5


@then('the lease run finds two holders when the drift bound is ignored')
def detects_conflict(context: Context) -> None:
    conflicts = 0
    with mock.patch.object(
        leases, 'worst_case_lifetime_ms', lambda span_ms: span_ms
    ):
        for seed in range(1, 6):
            # With a long lease the drift exceeds the delay of a message.
            subject = LeaseSubject(seed, MAX_DRIFT_PPM, 10_000)
            subject.simulation.run(_END_US)
            conflicts += subject.conflicts
    print(f'lease: {conflicts} moments with two holders')
    assert conflicts


@then('a lease holder that was frozen past its lifetime has no token')
def frozen(context: Context) -> None:
    holder = LeaseHolder(VmId('vm'))
    holder.granted(LeaseGrant(VmId('vm'), FencingToken(3), 2000), 1000)
    assert holder.valid_token(2500, 100) == 3
    assert holder.valid_token(2950, 100) is None
    assert holder.valid_token(9000, 0) is None


@then('a lease takeover waits only for endpoints that ignore tokens')
def takeover(context: Context) -> None:
    ended_ms = 500 + worst_case_lifetime_ms(_LIFETIME_MS)
    assert may_take_over(True, 500, 501, _LIFETIME_MS)
    assert not may_take_over(False, 500, ended_ms - 1, _LIFETIME_MS)
    assert may_take_over(False, 500, ended_ms, _LIFETIME_MS)
