"""Run relays and their clients over a simulated network with cuts."""

import asyncio
import heapq
import itertools
import random
from collections.abc import Callable

from baobabwharf_core.clock import Clock
from baobabwharf_core.codec import decode
from baobabwharf_core.fleet_config import Customer, FleetConfig, VmRecord
from baobabwharf_daemon.decision_log import DecisionLog
from baobabwharf_daemon.proxy import relay_exchange
from baobabwharf_daemon.proxy.load_tracker import LoadTracker
from baobabwharf_daemon.proxy.metering import Metering
from baobabwharf_daemon.proxy.relay_mode import RelayMode
from baobabwharf_decisions.limits.shared_meter import SharedMeter
from baobabwharf_decisions.limits.spending import Spending, SpendingReader
from baobabwharf_decisions.proxying.endpoint_table import EndpointTable
from behave import given, then, when
from behave.runner import Context
from gateway_fakes import FakeConfigSource
from relay_exchange import FixedView

_REGIONS = ('north', 'south', 'west')
_ENTRIES_PER_REGION = 6
_LOCAL_DELAY_MS, _REMOTE_DELAY_MS = 4, 55
_END_MS = 12_000
_SPENT = 1000
_STOPPED_S = 0.1


class VirtualClock(Clock):
    def __init__(self) -> None:
        self.at_ms = 0

    def now_ms(self) -> int:
        return self.at_ms

    def wall_ms(self) -> int:
        return self.at_ms


class ChangingView(FixedView):
    """Leave out the VMs that have announced that they stop."""

    hidden: Callable[[VmRecord], bool] = staticmethod(lambda _: False)

    def live_vms(self) -> tuple[VmRecord, ...]:
        return tuple(vm for vm in super().live_vms() if not self.hidden(vm))


class Node:
    """Hold the tasks of one VM and stand in for its socket."""

    def __init__(self, record: VmRecord, network: 'Network') -> None:
        self.record = record
        self._network = network
        clock, view, mode = network.clock, network.view, network.mode
        client = None
        self.metering = None
        self.own_tokens = self.reported_tokens = 0
        self._reader = SpendingReader()
        if not record.has_disk:
            self.metering = Metering(
                record, 1, clock, view, network.source, mode
            )
            self._apply = self.metering.apply_relay_report
            self.metering.apply_relay_report = self._count  # type: ignore[method-assign]
            client = relay_exchange.RelayClient(
                record,
                LoadTracker(clock, EndpointTable()),
                self.metering,
                clock,
                DecisionLog(clock),
            )
        self.task = relay_exchange.RelayExchange(
            record, 1, clock, view, mode, client
        )
        self.task.connection_made(self)

    def sendto(self, content: bytes, address: tuple[str, int]) -> None:
        self._network.send(self.record, address[0], content)

    def spend(self, tokens: int) -> None:
        reserved = asyncio.run(self.metering.reserve('c', tokens, 0))
        assert reserved.is_ok()
        self.own_tokens += tokens

    def _count(self, spending: Spending, period_ms: int) -> None:
        new_tokens = self._reader.take_new(spending) or {}
        self.reported_tokens += sum(new_tokens.values())
        self._apply(spending, period_ms)

    def meter(self) -> SharedMeter:
        return self.metering._meter


class Network:
    """Deliver datagrams after the delay between regions, except in cuts."""

    def __init__(self) -> None:
        self.clock = VirtualClock()
        records = [
            VmRecord(
                f'{kind}{number}-{region}',
                region,
                region,
                kind == 'd',
                f'{kind}{number}-{region}:1',
                '',
                '',
                1,
            )
            for region in _REGIONS
            for kind, count in (('d', 2), ('e', _ENTRIES_PER_REGION))
            for number in range(count)
        ]
        self.source = FakeConfigSource()
        customer = Customer('c', 1_000_000, 1_000_000)
        vms = {record.vm_id: record for record in records}
        self.source.current = FleetConfig(1, {'c': customer}, vms=vms)
        self.mode = RelayMode(self.source)
        self.view = ChangingView(records)
        self.nodes = {record.vm_id: Node(record, self) for record in records}
        self.lost = 0.0
        self.is_cut: Callable[[VmRecord, VmRecord], bool] = lambda *_: False
        self.is_stopped: Callable[[VmRecord], bool] = lambda _: False
        self.cut_ms = (0, 0)
        self.passed_ms: list[int] = []
        self.shares: list[tuple[int, float]] = []
        self._due: list[tuple[int, int, Callable[[], None]]] = []
        self._count = itertools.count()

    def send(self, sender: VmRecord, host: str, content: bytes) -> None:
        receiver = self.nodes[host].record
        message = decode(content, relay_exchange._Message)
        if isinstance(message, relay_exchange.RelayTransit):
            self.passed_ms.append(self.clock.at_ms)
        if self.in_cut() and self.is_cut(sender, receiver):
            return
        passed = isinstance(
            message,
            relay_exchange.RelayTransit | relay_exchange.IndirectTotals,
        )
        if passed and self.random.random() < self.lost:
            return
        near = sender.region == receiver.region
        self._schedule(
            _LOCAL_DELAY_MS if near else _REMOTE_DELAY_MS,
            lambda: self._deliver(sender, host, content),
        )

    def run(self, seed: int) -> None:
        self.random = random.Random(seed)
        for node in self.nodes.values():
            self._schedule(
                self.random.randrange(100), lambda node=node: self._tick(node)
            )
        for at_ms in range(1000, _END_MS - 2000, 50):
            self._schedule(at_ms, self._spend)
        for at_ms in range(0, _END_MS, 20):
            self._schedule(at_ms, self._sample)
        while self._due and self._due[0][0] <= _END_MS:
            self.clock.at_ms, _number, action = heapq.heappop(self._due)
            action()

    def _spend(self) -> None:
        nodes = [node for node in self.nodes.values() if node.metering]
        self.random.choice(nodes).spend(_SPENT)

    def _sample(self) -> None:
        for node in self.nodes.values():
            if node.metering and not self.stopped(node.record):
                share = node.meter()._share(self.clock.at_ms)
                self.shares.append((self.clock.at_ms, share))

    def _tick(self, node: Node) -> None:
        stopped = self.stopped(node.record)
        delay_s = _STOPPED_S if stopped else node.task.send_due()
        self._schedule(int(delay_s * 1000), lambda: self._tick(node))

    def _deliver(self, sender: VmRecord, host: str, content: bytes) -> None:
        node = self.nodes[host]
        if not self.stopped(node.record):
            name = sender.peer_address.partition(':')[0]
            node.task.datagram_received(content, (name, 1))

    def stopped(self, record: VmRecord) -> bool:
        return self.in_cut() and self.is_stopped(record)

    def in_cut(self) -> bool:
        return self.cut_ms[0] <= self.clock.at_ms < self.cut_ms[1]

    def _schedule(self, after_ms: int, action: Callable[[], None]) -> None:
        at_ms = self.clock.at_ms + after_ms
        heapq.heappush(self._due, (at_ms, next(self._count), action))


def _inject(network: Network, kind: str) -> None:
    relays = [f'd0-{region}' for region in _REGIONS[:2]]
    regions = list(_REGIONS[:2])
    if kind == 'a cut between two relays':
        network.is_cut = lambda one, other: (
            sorted((one.vm_id, other.vm_id)) == relays
        )
    elif kind == 'a cut from one relay to another':
        network.is_cut = lambda one, other: [one.vm_id, other.vm_id] == relays
    elif kind == 'a cut between two regions':
        network.is_cut = lambda one, other: (
            sorted((one.region, other.region)) == regions
        )
    elif kind == 'a cut from one region to another':
        network.is_cut = lambda one, other: (
            [one.region, other.region] == regions
        )
    elif kind == "the stop of one region's entry VMs":
        gone = {
            vm.vm_id
            for vm in network.view.live_vms()
            if vm.region == 'west' and not vm.has_disk
        }
        network.is_stopped = lambda vm: vm.vm_id in gone
        # Stopping VMs announce that they leave.
        network.view.hidden = network.stopped
    elif kind == 'the stop of a preferred relay':
        network.is_stopped = lambda vm: vm.vm_id == relays[0]
    else:
        assert kind == 'nothing', kind


@given('relays and entry VMs of three regions in virtual time')
def simulated_relays(context: Context) -> None:
    context.network = Network()


@when(
    '{kind} lasts from {start:d} s to {end:d} s, with {lost:d} in 100 '
    'passed datagrams lost, seed {seed:d}'
)
def lasts(
    context: Context, kind: str, start: int, end: int, lost: int, seed: int
) -> None:
    network = context.network
    _inject(network, kind)
    network.cut_ms = (start * 1000, end * 1000)
    network.lost = lost / 100
    network.run(seed)


@then("no entry VM's share falls below 1.0 after {start:d} s")
def whole_share(context: Context, start: int) -> None:
    low = [
        sample
        for sample in context.network.shares
        if sample[0] >= start * 1000 and sample[1] < 1
    ]
    assert not low, low[:5]


@then('totals are passed on during the cut only')
def passed_on(context: Context) -> None:
    network = context.network
    start_ms, end_ms = network.cut_ms
    assert network.passed_ms
    assert network.passed_ms[0] >= start_ms
    # The last statement of silence may arrive shortly after the cut.
    assert network.passed_ms[-1] <= end_ms + 500, network.passed_ms[-1]


@then('no totals are passed on')
def none_passed_on(context: Context) -> None:
    assert not context.network.passed_ms, context.network.passed_ms[:5]


@then('totals are passed on for at most {most:g} s')
def briefly_passed_on(context: Context, most: float) -> None:
    tenths = {at_ms // 100 for at_ms in context.network.passed_ms}
    assert len(tenths) <= most * 10, sorted(tenths)


@then('every token spent is known to the entry VMs of all regions')
def all_known(context: Context) -> None:
    network = context.network
    spent = sum(node.own_tokens for node in network.nodes.values())
    assert spent
    for node in network.nodes.values():
        if node.metering is not None:
            known = node.own_tokens + node.reported_tokens
            assert known == spent, (node.record.vm_id, known, spent)
