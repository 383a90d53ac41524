"""Run the meters of many VMs that report to relays, not to each other."""

import heapq
import itertools
import random
from collections.abc import Callable

from baobabwharf_core.fleet_config import VmRecord
from baobabwharf_decisions.limits.shared_meter import SharedMeter
from baobabwharf_decisions.limits.spending_relay import SpendingRelay
from baobabwharf_decisions.membership.relay_selector import (
    RelaySelector,
    needs_relays,
    relay_candidates,
)
from behave import given, then, when
from behave.runner import Context
from hot_customer import MEAN_TOKENS, OverloadingCustomer

_REGIONS = ('north', 'south', 'west')
_DISK_VMS_PER_REGION = 2
_LOCAL_DELAY_MS = 4
_REMOTE_DELAY_MS = 55
_PERIOD_MS = 100


def vm(name: str, region: str, *, has_disk: bool) -> VmRecord:
    return VmRecord(name, region, region, has_disk, name, name, name)


class RelayedFleet:
    """Simulate entry VMs with meters, disk VMs as relays, and messages."""

    def __init__(self, count: int, rate: int) -> None:
        self.hot = OverloadingCustomer(rate)
        self.entries = [
            vm(f'e{number:02}', _REGIONS[number % 3], has_disk=False)
            for number in range(count)
        ]
        self.disks = [
            vm(f'd{number}', _REGIONS[number % 3], has_disk=True)
            for number in range(_DISK_VMS_PER_REGION * len(_REGIONS))
        ]
        self.records = {one.vm_id: one for one in self.entries + self.disks}
        self.names = [one.vm_id for one in self.entries]
        self.meters = {name: SharedMeter(name, 1) for name in self.names}
        for meter in self.meters.values():
            meter.configure({'hot': self.hot.customer}, self.names)
        self.relay_selectors = {name: RelaySelector() for name in self.names}
        self.relays = {name: SpendingRelay(name, 1) for name in self.records}
        self.in_flight: list[tuple[int, int, Callable[[int], None]]] = []
        self.sequence = itertools.count()
        self.messages = 0
        self.loss = 0.0
        self.partition: tuple[int, int] = (0, 0)
        self.stopped: dict[str, tuple[int, int]] = {}

    def inject(self, kind: str) -> None:
        if kind == 'lost datagrams':
            self.loss = 0.2
        elif kind == 'a partitioned region':
            self.partition = (8000, 18_000)
        elif kind == 'a relay that stops':
            self.stopped = {'d0': (8000, 14_000)}
        elif kind == 'all disk VMs down':
            self.stopped = {one.vm_id: (8000, 16_000) for one in self.disks}
        else:
            assert kind == 'nothing', kind

    def run(self, factor: float, length_ms: int, seed: int) -> None:
        self.random = random.Random(seed)
        phases = {
            name: self.random.randrange(_PERIOD_MS) for name in self.records
        }
        due = 0.0
        for now_ms in range(length_ms):
            while self.in_flight and self.in_flight[0][0] <= now_ms:
                heapq.heappop(self.in_flight)[2](now_ms)
            for name, phase in phases.items():
                if (now_ms - phase) % _PERIOD_MS == 0:
                    self.tick(name, now_ms)
            due += self.hot.customer.rate_tokens_per_s * factor / 1000
            while due > 0:
                due -= self.ask(now_ms)

    def ask(self, now_ms: int) -> int:
        tokens = int(self.random.uniform(0.2, 1.8) * MEAN_TOKENS)
        meter = self.meters[self.random.choice(self.names)]
        self.hot.ask(meter, tokens, now_ms)
        return tokens

    def tick(self, name: str, now_ms: int) -> None:
        if not self.is_alive(name, now_ms):
            return
        relay = self.relays[name]
        if relay.has_clients:
            totals = relay.close(now_ms)
            firsts = {self.relay_candidates(name, one)[0] for one in _REGIONS}
            for other in (firsts | set(relay.relays)) - {name}:
                self.send(
                    name,
                    other,
                    now_ms,
                    lambda at, other=other, totals=totals: self.relays[
                        other
                    ].apply_relay_report(totals, at),
                )
        if name in self.meters:
            self.call(name, now_ms)

    def call(self, name: str, now_ms: int) -> None:
        ranked = self.relay_candidates(name, self.records[name].region)
        relay = self.relay_selectors[name].next_call(ranked, now_ms)
        spending = self.meters[name].report()
        seen = self.meters[name].newest_period(relay)

        def arrive(at_ms: int) -> None:
            self.relays[relay].apply_client_report(spending, at_ms)
            answer = self.relays[relay].answer(name, seen)
            self.send(relay, name, at_ms, lambda at: take(at, answer))

        def take(at_ms: int, answer: object) -> None:
            if self.relay_selectors[name].current == relay:
                self.relay_selectors[name].record_answer(relay)
                self.meters[name].apply_relay_report(answer, at_ms)
                self.meters[name].set_report_period(_PERIOD_MS)

        self.send(name, relay, now_ms, arrive)

    def relay_candidates(self, name: str, region: str) -> list[str]:
        return relay_candidates(self.records.values(), region)

    def send(
        self, one: str, other: str, now_ms: int, deliver: Callable[[int], None]
    ) -> None:
        regions = {self.records[one].region, self.records[other].region}
        self.messages += 1
        start_ms, end_ms = self.partition
        partitioned = (
            len(regions) > 1
            and 'west' in regions
            and start_ms <= now_ms < end_ms
        )
        if partitioned or self.random.random() < self.loss:
            return
        at_ms = now_ms + (
            _LOCAL_DELAY_MS if len(regions) == 1 else _REMOTE_DELAY_MS
        )
        if self.is_alive(other, at_ms):
            heapq.heappush(
                self.in_flight, (at_ms, next(self.sequence), deliver)
            )

    def is_alive(self, name: str, now_ms: int) -> bool:
        start_ms, end_ms = self.stopped.get(name, (0, 0))
        return not start_ms <= now_ms < end_ms


@given('{count:d} relayed VMs and a customer of {rate:d} tokens/s')
def relayed_vms(context: Context, count: int, rate: int) -> None:
    assert needs_relays(count)
    context.relayed = RelayedFleet(count, rate)


@when(
    'it sends {factor:g} times its rate for {length:d} s, seed {seed:d}, with {fault}'
)
def sends(
    context: Context, factor: float, length: int, seed: int, fault: str
) -> None:
    context.seconds = length
    context.relayed.inject(fault)
    context.relayed.run(factor, length * 1000, seed)


@then('no window of 8 s exceeds its cap by {slack:d} tokens')
def within_cap(context: Context, slack: int) -> None:
    context.relayed.hot.check_windows(slack)


@then('at most {most:d} in 100 of them are refused')
def rarely_refused(context: Context, most: int) -> None:
    context.relayed.hot.check_refused(most)


@then('a VM sends and receives at most {most:d} messages a second')
def few_messages(context: Context, most: int) -> None:
    fleet = context.relayed
    per_s = 2 * fleet.messages / len(fleet.entries) / context.seconds
    assert per_s <= most, per_s
