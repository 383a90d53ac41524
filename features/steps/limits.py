"""Test the fleet-wide limits in a simulated fleet."""

from typing import Any

from baobabwharf_core.fleet_config import Customer, FleetConfig, VmRecord
from baobabwharf_core.ids import CustomerId, RegionId, VmId, ZoneId
from baobabwharf_core.refusals import RefusalCode
from baobabwharf_decisions.limits import Granted, LimitCore, Refused, ShareTable
from baobabwharf_testkit.limits_bench import find_detecting_check
from baobabwharf_testkit.limits_boundary import run_boundary_scenario
from baobabwharf_testkit.limits_fleet import Scheme
from baobabwharf_testkit.limits_scenarios import RATE, run_chaos, run_scenario
from behave import then, when
from behave.runner import Context
from hypothesis import given, settings
from hypothesis import strategies as some

_SEEDS = (1, 2)
_NAME = CustomerId('c')
_VM = VmId('vm')


class LimitsSubject:
    """Drive the limits of a single VM, which is the only holder."""

    def __init__(self) -> None:
        vm = VmRecord(_VM, RegionId('r'), ZoneId('z'), False, '', '', '')
        self.core = LimitCore(_VM, 1, 0, 0)
        customer = Customer(_NAME, 1000, 5000)
        self.core.configure(
            FleetConfig(customers={_NAME: customer}, vms={_VM: vm})
        )
        self.now_ms = 0
        self.wait(60_000)

    def wait(self, step_ms: int) -> None:
        for _step in range(step_ms // 10):
            self.now_ms += 10
            self.core.advance(self.now_ms, self.now_ms)
            self.core.tick()

    def ask(self, tokens: int) -> Granted | Refused:
        ticket = self.core.request(_NAME, tokens, 0)
        for action in self.core.take_actions():
            if isinstance(action, Granted | Refused):
                assert action.ticket == ticket
                return action
        raise AssertionError('The request was neither granted nor refused.')

    @staticmethod
    def run_moving_traffic(scheme: Scheme, burst_s: int) -> dict[str, int]:
        runs: list[dict[str, Any]] = [
            run_scenario(scheme, 'moving', seed, 60, burst_s * RATE)
            for seed in _SEEDS
        ]
        print(f'limits seeds {_SEEDS}: {runs}')
        return {
            key: sum(run[key] for run in runs)
            for key in ('sent', 'refused', 'overdraft')
        }


@when('the limits run in a faulty fleet with seed {seed:d}')
def run_faulty(context: Context, seed: int) -> None:
    context.run = run_chaos(seed, 40)
    print(f'limits: {context.run}')


@then('the limits granted requests and no window is above its bound')
def check_windows(context: Context) -> None:
    assert context.run['granted'] > 100
    assert context.run['overdraft'] == 0
    assert context.run['spendable_above_bound'] == 0


@then(
    'the boundary run of the limits with seed {seed:d} stays within the bound'
)
def boundary(context: Context, seed: int) -> None:
    run = run_boundary_scenario(seed)
    assert run['granted'] > 300
    assert run['overdraft'] == 0
    assert run['spendable_above_bound'] == 0


@then('the limits fault "{name}" is caught')
def caught(context: Context, name: str) -> None:
    check = find_detecting_check(name, 1)
    print(f'limits: {name}: {check}')
    assert check != 'none'


@when(
    'the limits carry moving traffic with a burst of {burst_s:d} s of the rate'
)
def carry(context: Context, burst_s: int) -> None:
    context.burst_s = burst_s
    context.counts = LimitsSubject.run_moving_traffic(Scheme.LENDING, burst_s)


@then('the limits refused less than 0.1 percent wrongfully')
def few_refused(context: Context) -> None:
    counts = context.counts
    assert counts['overdraft'] == 0
    assert counts['refused'] * 1000 < counts['sent'], counts


@then('the limits refused less than the static split')
def fewer_than_static(context: Context) -> None:
    static = LimitsSubject.run_moving_traffic(
        Scheme.STATIC_SPLIT, context.burst_s
    )
    assert context.counts['refused'] < static['refused']


@when('a limits VM refuses a request for lack of tokens')
def refuse(context: Context) -> None:
    context.subject = LimitsSubject()
    assert isinstance(context.subject.ask(5000), Granted)
    refused = context.subject.ask(2000)
    assert isinstance(refused, Refused)
    assert refused.refusal.code is RefusalCode.RATE_EXCEEDED
    context.retry_after_ms = refused.refusal.retry_after_ms


@then('the limits grant it after Retry-After and not much earlier')
def grant_later(context: Context) -> None:
    subject = context.subject
    early_ms = context.retry_after_ms * 8 // 10
    subject.wait(early_ms)
    assert isinstance(subject.ask(2000), Refused)
    subject.wait(context.retry_after_ms - early_ms + 10)
    assert isinstance(subject.ask(2000), Granted)


@then('the limits refuse a request above the burst as request_above_burst')
def above_burst(context: Context) -> None:
    subject = LimitsSubject()
    refused = subject.ask(5001)
    assert isinstance(refused, Refused)
    assert refused.refusal.code is RefusalCode.REQUEST_ABOVE_BURST
    assert isinstance(subject.ask(5000), Granted)


@then('the limits shares of any fleet add up to at most rate and burst')
def shares_add_up(context: Context) -> None:
    @settings(max_examples=100, deadline=None, derandomize=True)
    @given(
        some.integers(1, 60),
        some.integers(1, 9),
        some.integers(1, 10**7),
        some.integers(1, 10**9),
    )
    def check(count: int, regions: int, rate: int, burst: int) -> None:
        table = ShareTable(
            {
                VmId(f'vm-{index}'): RegionId(f'r-{index % regions}')
                for index in range(count)
            }
        )
        customer = Customer(_NAME, rate, burst)
        shares = [table.share(vm, customer) for vm in table.vms]
        assert sum(share.rate for share in shares) <= rate * 990
        assert sum(share.cap for share in shares) == burst * 1_000_000

    check()
