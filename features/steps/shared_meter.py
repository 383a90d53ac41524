"""Run the meters of several VMs over links that delay and lose datagrams."""

import heapq
import itertools
import random

from baobabwharf_core.fleet_config import Customer
from baobabwharf_decisions.limits.shared_meter import SharedMeter
from behave import given, then, when
from behave.runner import Context
from hot_customer import MEAN_TOKENS, OverloadingCustomer

_LINK_MS = 55
_PERIOD_MS = 200


class MeteringFleet:
    """Simulate the meters and the datagrams in flight."""

    def __init__(self, count: int, rate: int) -> None:
        self.hot = OverloadingCustomer(rate)
        self.names = [f'vm-{number}' for number in range(count)]
        self.meters = {name: self.new_meter(name, 1) for name in self.names}
        self.in_flight: list[tuple[int, int, str, object]] = []
        self.sequence = itertools.count()
        self.frozen: tuple[str, int, int] = ('', 0, 0)
        self.partition: tuple[int, int] = (0, 0)
        self.sides = 2
        self.loss = 0.0
        self.restarts: dict[int, list[str]] = {}
        self.moving = False
        self.period_ms = _PERIOD_MS

    def new_meter(self, name: str, incarnation: int) -> SharedMeter:
        meter = SharedMeter(name, incarnation)
        meter.configure({'hot': self.hot.customer}, self.names)
        return meter

    def inject(self, kind: str) -> None:
        if kind == 'lost datagrams':
            self.loss = 0.2
        elif kind == 'a partition in two':
            self.partition = (10_000, 22_000)
        elif kind == 'a partition in three':
            self.partition = (10_000, 22_000)
            self.sides = 3
        elif kind == 'a VM that freezes':
            self.frozen = (self.names[0], 12_000, 18_000)
        elif kind == 'all VMs restart':
            self.restarts = {15_000: self.names}
        elif kind == 'single restarts':
            self.restarts = {
                at_ms: [self.names[at_ms // 2000 % len(self.names)]]
                for at_ms in range(4000, 36_000, 2000)
            }
        else:
            assert kind == 'nothing', kind

    def run(self, factor: float, length_ms: int, seed: int) -> None:
        self.random = random.Random(seed)
        per_ms = self.hot.customer.rate_tokens_per_s * factor / 1000
        due = 0.0
        for now_ms in range(length_ms):
            for name in self.restarts.get(now_ms, ()):
                self.meters[name] = self.new_meter(name, now_ms)
            self.deliver(now_ms)
            if now_ms % self.period_ms == 0:
                self.report(now_ms)
            due += per_ms
            while due > 0:
                due -= self.ask(now_ms)

    def ask(self, now_ms: int) -> int:
        tokens = int(self.random.uniform(0.2, 1.8) * MEAN_TOKENS)
        name = self.random.choice(self.names)
        if self.moving:
            name = self.names[now_ms // 3000 % len(self.names)]
        if self.is_frozen(name, now_ms):
            return tokens
        self.hot.ask(self.meters[name], tokens, now_ms)
        return tokens

    def is_frozen(self, name: str, now_ms: int) -> bool:
        frozen, start_ms, end_ms = self.frozen
        return name == frozen and start_ms <= now_ms < end_ms

    def partitioned(self, one: str, other: str, now_ms: int) -> bool:
        start_ms, end_ms = self.partition
        size = len(self.names) // self.sides
        sides = {self.names.index(name) // size for name in (one, other)}
        return start_ms <= now_ms < end_ms and len(sides) > 1

    def report(self, now_ms: int) -> None:
        spendings = {name: self.meters[name].report() for name in self.names}
        for one, other in itertools.permutations(self.names, 2):
            lost = self.random.random() < self.loss
            silent = self.is_frozen(one, now_ms)
            if lost or silent or self.partitioned(one, other, now_ms):
                continue
            entry = (
                now_ms + _LINK_MS,
                next(self.sequence),
                other,
                spendings[one],
            )
            heapq.heappush(self.in_flight, entry)

    def deliver(self, now_ms: int) -> None:
        while self.in_flight and self.in_flight[0][0] <= now_ms:
            _at, _number, name, spending = heapq.heappop(self.in_flight)
            if not self.is_frozen(name, now_ms):
                self.meters[name].apply_vm_report(spending, now_ms)


@given('{count:d} metering VMs and a customer of {rate:d} tokens/s')
def metering_vms(context: Context, count: int, rate: int) -> None:
    context.metering = MeteringFleet(count, rate)


@when(
    'it requests {factor:g} times its rate for {length:d} s, seed {seed:d}, with {fault}'
)
def requests(
    context: Context, factor: float, length: int, seed: int, fault: str
) -> None:
    context.metering.inject(fault)
    context.metering.run(factor, length * 1000, seed)


@when(
    'it requests {factor:g} times its rate for {length:d} s, seed {seed:d}, at a VM that changes'
)
def requests_moving(
    context: Context, factor: float, length: int, seed: int
) -> None:
    context.metering.moving = True
    context.metering.run(factor, length * 1000, seed)


@when(
    'they report every {period_ms:d} ms and it requests {factor:g} times its rate for {length:d} s, seed {seed:d}'
)
def reports_rarely(
    context: Context, period_ms: int, factor: float, length: int, seed: int
) -> None:
    fleet = context.metering
    fleet.period_ms = period_ms
    for meter in fleet.meters.values():
        meter.set_report_period(period_ms)
    fleet.run(factor, length * 1000, seed)


@then('no window of 8 s grants more than its cap plus {slack:d} tokens')
def within_cap(context: Context, slack: int) -> None:
    context.metering.hot.check_windows(slack)


@then('at most {most:d} in 100 of its requests are refused')
def rarely_refused(context: Context, most: int) -> None:
    context.metering.hot.check_refused(most)


@when('the second reports a customer unknown to the first and falls silent')
def reports_unknown(context: Context) -> None:
    fleet = context.metering
    first, second = (fleet.meters[name] for name in fleet.names)
    new = Customer('new', 1000, 1000)
    second.configure({'hot': fleet.hot.customer, 'new': new}, fleet.names)
    assert second.spend('new', 10, 0).is_ok()
    first.apply_vm_report(second.report(), 10)
    assert first.spend('hot', 10, 20).is_ok()


@then('the first still serves the customer that it knows')
def still_serves(context: Context) -> None:
    first = context.metering.meters[context.metering.names[0]]
    assert first.spend('hot', 10, 5000).is_ok()
