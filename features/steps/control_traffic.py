"""Measure the control traffic of a large fleet with the real encoders."""

import random

from baobabwharf_core.codec import decode
from baobabwharf_core.deployment import DeployedService, EngineSpec
from baobabwharf_core.fleet_config import Customer, FleetConfig, VmRecord
from baobabwharf_daemon.decision_log import DecisionLog
from baobabwharf_daemon.proxy.crash_watch import CrashExchange
from baobabwharf_daemon.proxy.load_tracker import LoadTracker
from baobabwharf_daemon.proxy.metering import Metering
from baobabwharf_daemon.proxy.relay_exchange import RelayCall, RelayClient
from baobabwharf_daemon.proxy.relay_mode import RelayMode
from baobabwharf_decisions.membership import Summary
from baobabwharf_decisions.membership.gossip_store import GossipStore
from baobabwharf_decisions.membership.messages import (
    MemberStatus,
    MemberUpdate,
)
from baobabwharf_decisions.membership.piggyback import PiggybackQueue
from baobabwharf_decisions.membership.relay_selector import relay_candidates
from baobabwharf_decisions.proxying.crash_blame import CrashBlame
from baobabwharf_decisions.proxying.endpoint_table import (
    EndpointRecord,
    EndpointTable,
)
from baobabwharf_decisions.proxying.prompt_cache import PromptPart
from baobabwharf_testkit.control_traffic import (
    UDP_HEADER,
    Bytes,
    GossipTraffic,
    large_fleet,
)
from behave import given, then, when
from behave.runner import Context
from gateway_fakes import FakeConfigSource
from indirect_totals import VirtualClock
from relay_exchange import FixedView

_SEED = 1
_SESSIONS = 40


def gossip(vms: list[VmRecord], *, under_control: bool) -> GossipTraffic:
    publishers = {
        vm_id
        for region in {vm.region for vm in vms}
        for vm_id in relay_candidates(vms, region)[:2]
    }

    def publishes(vm: VmRecord) -> bool:
        return vm.vm_id in publishers if under_control else not vm.has_disk

    return GossipTraffic(
        vms, _SEED, prefer_region=under_control, publishes=publishes
    )


@given(
    'a fleet of {count:d} VMs that starts while slots change every {pause:d} s'
)
def starting_fleet(context: Context, count: int, pause: int) -> None:
    context.vms = large_fleet()
    assert len(context.vms) == count
    context.pause_s = pause


@when('gossip runs for {length:d} s with and without overload control')
def run_gossip(context: Context, length: int) -> None:
    context.runs = [gossip(context.vms, under_control=c) for c in (True, False)]
    for run in context.runs:
        run.run(length, context.pause_s)
    context.counted = [run.counted for run in context.runs]


@then('between regions it takes at most {share:g} of the bytes')
def fewer_bytes(context: Context, share: float) -> None:
    after, before = context.counted
    assert before.total('regions')
    assert after.total('regions') <= share * before.total('regions'), (
        after.by_kind,
        before.by_kind,
    )


@then('every VM knows all others and slots of all regions')
def all_known(context: Context) -> None:
    regions = {vm.vm_id: vm.region for vm in context.vms}
    for run in context.runs:
        for core in run.cores.values():
            assert len(core.live()) == len(context.vms)
            origins = core.gossip_store.summaries('slots')
            assert {regions[one.origin] for one in origins} == set(
                regions.values()
            )


@when('a VM stops after {start:d} s with and without overload control')
def one_stops(context: Context, start: int) -> None:
    context.gone_ms = []
    for under_control in (True, False):
        run = gossip(context.vms, under_control=under_control)
        run.run(start, context.pause_s)
        gone = context.vms[-2].vm_id
        run.stopped.add(gone)
        context.gone_ms.append(run.run_until_dropped(gone))


@then('all others have dropped it after at most {most:d} s')
def dropped(context: Context, most: int) -> None:
    assert max(context.gone_ms) <= most * 1000, context.gone_ms


class CrashFleet:
    """Exchange the evidence of all VMs; datagrams arrive at once."""

    def __init__(self, vms: list[VmRecord], *, under_control: bool) -> None:
        self.counted = Bytes()
        self.random = random.Random(_SEED)
        self.clock = VirtualClock()
        self.blames = {vm.vm_id: CrashBlame(vm.vm_id) for vm in vms}
        self.hosts = {vm.peer_address.partition(':')[0]: vm for vm in vms}
        self.tasks = {}
        view = FixedView(vms)
        for vm in vms:
            task = CrashExchange(
                vm,
                1,
                self.clock,
                # Each VM names itself first, which the exchange ignores.
                view,
                self.blames[vm.vm_id],
                fewer_far_repeats=under_control,
            )
            task.connection_made(_Socket(self, vm))
            self.tasks[vm.vm_id] = task

    def deliver(self, sender: VmRecord, host: str, content: bytes) -> None:
        receiver = self.hosts[host]
        size = len(content) + UDP_HEADER
        self.counted.add('evidence', sender, receiver, size)
        self.tasks[receiver.vm_id].datagram_received(content, (host, 1))

    def run(self, engines: int, seconds: int) -> None:
        names = [name for name, one in self.hosts.items() if not one.has_disk]
        for at_ms in range(0, seconds * 1000, 50):
            self.clock.at_ms = at_ms
            if at_ms % 1000 == 0 and at_ms // 1000 < engines:
                for name in self.random.sample(names, 20):
                    blame = self.blames[self.hosts[name].vm_id]
                    engine = f'engine-{at_ms // 1000}'
                    blame.note_crash(engine, 1, (self.traits(),), at_ms)
            for name in self.random.sample(names, 20):
                blame = self.blames[self.hosts[name].vm_id]
                blame.note_answer(self.traits(), at_ms)
            for task in self.tasks.values():
                task.send_due()

    def traits(self) -> tuple[str, ...]:
        return ('shared', f'session-{self.random.randrange(_SESSIONS)}')


class _Socket:
    def __init__(self, fleet: CrashFleet, vm: VmRecord) -> None:
        self._fleet = fleet
        self._vm = vm

    def sendto(self, content: bytes, address: tuple[str, int]) -> None:
        self._fleet.deliver(self._vm, address[0], content)


@given('a fleet of {count:d} VMs of which {engines:d} engines crash')
def crashing_fleet(context: Context, count: int, engines: int) -> None:
    context.vms = large_fleet()
    assert len(context.vms) == count
    context.engines = engines


@when(
    'evidence is exchanged for {length:d} s with and without overload control'
)
def exchange_evidence(context: Context, length: int) -> None:
    context.runs = [
        CrashFleet(context.vms, under_control=c) for c in (True, False)
    ]
    for run in context.runs:
        run.run(context.engines, length)
    context.counted = [run.counted for run in context.runs]


@then('every VM has evidence of every crash')
def all_evidence(context: Context) -> None:
    for run in context.runs:
        for blame in run.blames.values():
            assert len(blame._evidence.keys()) == context.engines


@given('a VM with load at {engines:d} engines and {plain:d} plain servers')
def loaded_vm(context: Context, engines: int, plain: int) -> None:
    context.clock = VirtualClock()
    table = EndpointTable()
    names = [('drafts', n) for n in range(engines)]
    names += [('plain', n) for n in range(plain)]
    context.loads = LoadTracker(context.clock, table)
    context.loads.resize_caches(
        [
            DeployedService('drafts', engine=EngineSpec(128, 745_123)),
            DeployedService('plain'),
        ]
    )
    for service, number in names:
        record = EndpointRecord(
            f'{service}-instance-{number}',
            service,
            f'10.0.0.{number}:80',
            'z',
            'r',
            8,
            1,
            1,
        )
        table.update(record, 0)
        load = context.loads.load(record)
        load.begin((PromptPart('p', 2368),), context.clock.now_ms())


@when('it calls its relay with and without overload control')
def call_relay(context: Context) -> None:
    vms = large_fleet()
    own = vms[0]
    source = FakeConfigSource()
    customers = {f'c{n}': Customer(f'c{n}', 10, 10) for n in range(16)}
    source.current = FleetConfig(1, customers, vms={vm.vm_id: vm for vm in vms})
    metering = Metering(
        own, 1, context.clock, FixedView(vms), source, RelayMode(source)
    )
    log = DecisionLog(context.clock)
    context.calls = [
        RelayClient(
            own, context.loads, metering, context.clock, log, plain_only=plain
        ).call([vms[1].vm_id])[1]
        for plain in (True, False)
    ]


@then('a call takes at most {share:g} of the bytes')
def smaller_call(context: Context, share: float) -> None:
    after, before = map(len, context.calls)
    assert after + UDP_HEADER <= share * (before + UDP_HEADER), (after, before)


@then('it carries the loads of the plain servers')
def carries_plain(context: Context) -> None:
    after, before = (decode(call, RelayCall) for call in context.calls)
    assert set(after.shares) == {'plain-instance-0', 'plain-instance-1'}
    assert len(before.shares) > len(after.shares)


@given('{count:d} records of VMs that wait to be gossiped')
def waiting_records(context: Context, count: int) -> None:
    context.vms = large_fleet()
    context.queue = PiggybackQueue()
    for vm in context.vms[:count]:
        update = MemberUpdate(vm.vm_id, MemberStatus.ALIVE, 1, vm)
        context.queue.add(update, len(context.vms))
    for _message in range(100):
        context.queue.take([])


@when('a VM publishes its slots and repeats them at once')
def publish_and_repeat(context: Context) -> None:
    store = GossipStore(
        context.queue, lambda _: None, lambda _: None, context.vms
    )
    store.publish_summary(Summary('slots', context.vms[0].vm_id, 1, b'x'))
    store.refresh(10_000)


@then('the next message holds the slots')
def holds_slots(context: Context) -> None:
    assert context.queue.take([]).summaries
