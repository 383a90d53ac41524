"""Run relays and their clients on loopback addresses."""

import asyncio
import random
import socket
from collections.abc import Callable

import msgspec
from baobabwharf_core.clock import SystemClock
from baobabwharf_core.deployment import DeployedService, EngineSpec
from baobabwharf_core.fleet_config import Customer, FleetConfig, VmRecord
from baobabwharf_daemon.decision_log import DecisionLog
from baobabwharf_daemon.interfaces import MembershipView
from baobabwharf_daemon.proxy.load_tracker import LoadTracker
from baobabwharf_daemon.proxy.metering import Metering
from baobabwharf_daemon.proxy.relay_exchange import RelayClient, RelayExchange
from baobabwharf_daemon.proxy.relay_mode import RelayMode
from baobabwharf_decisions.proxying.endpoint_table import (
    EndpointRecord,
    EndpointTable,
)
from baobabwharf_decisions.proxying.prompt_cache import PromptPart
from behave import given, then, when
from behave.runner import Context
from gateway_fakes import FakeConfigSource

_ENDPOINT = EndpointRecord('e', 's', '10.0.0.1:80', 'z', 'r', 8, 1, 1)
_SERVICE = DeployedService('s', engine=EngineSpec(8, 100_000))
_POLL_S = 0.02


def vm(name: str, host: str, *, has_disk: bool) -> VmRecord:
    return VmRecord(
        name, 'r', 'z', has_disk, f'{host}:1', f'{host}:2', 'url', 1
    )


class FixedView(MembershipView):
    """Return a fixed list of VMs."""

    def __init__(self, vms: list[VmRecord]) -> None:
        self._vms = tuple(vms)

    def live_vms(self) -> tuple[VmRecord, ...]:
        return self._vms

    def announce_leaving(self) -> None:
        """Do nothing: no VM stops here."""


class EntryVm:
    """Hold the components of an entry VM that exchange state with a relay."""

    def __init__(self, own: VmRecord, port: int, fleet: 'RelayFleet') -> None:
        clock = SystemClock()
        self.log_lines: list[tuple[str, dict[str, object]]] = []
        endpoint_table = EndpointTable()
        endpoint_table.update(_ENDPOINT, clock.now_ms())
        self.loads = LoadTracker(clock, endpoint_table)
        self.loads.resize_caches([_SERVICE])
        mode = RelayMode(fleet.source)
        self.metering = Metering(
            own, port, clock, fleet.live, fleet.source, mode
        )
        log = DecisionLog(clock)
        log.record = lambda event, **fields: self.log_lines.append(
            (event, fields)
        )
        self.relay_client = RelayClient(
            own, self.loads, self.metering, clock, log
        )
        self.exchange = RelayExchange(
            own, port, clock, fleet.live, mode, self.relay_client
        )

    def has_relay_report(self) -> bool:
        """Return whether a relay has sent a period that includes both VMs."""
        newest = [self.metering.newest_period(name) for name in ('d0', 'd1')]
        return max(newest) > 3

    def pending_tokens(self) -> int:
        return self.loads.load(_ENDPOINT).total_pending_tokens


class RelayFleet:
    """Hold two clients and two relays of one region."""

    def __init__(self) -> None:
        first = random.Random(7).randrange(2, 250)
        hosts = [f'127.0.{first}.{number}' for number in range(1, 5)]
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
            probe.bind((hosts[0], 0))
            self.port = probe.getsockname()[1]
        self.disks = [
            vm(f'd{number}', host, has_disk=True)
            for number, host in enumerate(hosts[:2])
        ]
        self.entries = [
            vm(f'e{number}', host, has_disk=False)
            for number, host in enumerate(hosts[2:])
        ]
        self.live = FixedView(self.disks + self.entries)
        others = [vm(f'x{n}', '10.0.0.9', has_disk=False) for n in range(18)]
        known = self.disks + self.entries + others
        self.source = FakeConfigSource()
        self.source.current = FleetConfig(
            1,
            # Two of twenty VMs spend a tenth; buckets start half full.
            {'c': Customer('c', 1, 100_000)},
            vms={one.vm_id: one for one in known},
        )
        self.stopped: set[str] = set()
        self.is_cut = False
        self.tokens = self.spent = 0
        self.tokens_to_refuse = 4000
        self.seen_tokens = -1
        self.refused = False

    async def run(self, wanted: int) -> None:
        clock = SystemClock()
        vms = [EntryVm(one, self.port, self) for one in self.entries]
        relays = [
            RelayExchange(
                disk,
                self.port,
                clock,
                self.live,
                RelayMode(self.source),
                None,
            )
            for disk in self.disks
            if disk.vm_id not in self.stopped
        ]
        if self.is_cut:
            for relay in relays:
                cut_off(relay, [disk.vm_id for disk in self.disks])
        tasks = [*relays, *(one.exchange for one in vms)]
        for task in tasks:
            await task.start()
        await poll(lambda: all(one.has_relay_report() for one in vms))
        for one in vms:
            assert (await one.metering.reserve('c', 1, 0)).is_ok()
        load = vms[0].loads.load(_ENDPOINT)
        load.begin((PromptPart('p', self.tokens),), clock.now_ms())
        await vms[0].metering.reserve('c', self.spent, 0)
        await poll(lambda: vms[1].pending_tokens() >= wanted)
        self.seen_tokens = vms[1].pending_tokens()
        # Spending arrives one period later than loads.
        await asyncio.sleep(1)
        self.own_seen_tokens = vms[0].pending_tokens()
        reserved = await vms[1].metering.reserve('c', self.tokens_to_refuse, 0)
        self.refused = reserved.is_error()
        self.description = vms[1].metering._meter.describe('c', clock.now_ms())
        self.relays = [
            [
                fields['relay']
                for event, fields in one.log_lines
                if event == 'relay_chosen'
            ]
            for one in vms
        ]
        for task in tasks:
            await task.stop()


def cut_off(relay: RelayExchange, names: list[str]) -> None:
    """Drop what a relay sends to itself or another disk VM."""
    send = relay.send
    hosts = {
        one.peer_address.partition(':')[0]
        for one in relay._membership.live_vms()
        if one.vm_id in names
    }
    relay.send = lambda content, to: send(content, set(to) - hosts)


async def poll(check: Callable[[], bool]) -> None:
    """Wait until a check returns true, for 3 s at most."""
    for _poll in range(150):
        if check():
            return
        await asyncio.sleep(_POLL_S)


@given('two entry VMs of a fleet of 20 and two disk VMs')
def relay_fleet(context: Context) -> None:
    context.relay_fleet = RelayFleet()


@when('the first disk VM is gone')
def disk_gone(context: Context) -> None:
    context.relay_fleet.stopped.add('d0')


@when("the disk VMs are in two regions and can't reach each other")
def two_regions(context: Context) -> None:
    fleet = context.relay_fleet
    fleet.is_cut = True
    for vms in (fleet.disks, fleet.entries):
        vms[1] = msgspec.structs.replace(vms[1], region='r2')
    fleet.live = FixedView(fleet.disks + fleet.entries)


@then(
    'the second refuses to spend {tokens:d} once relays have passed on totals'
)
def refuses_after_transit(context: Context, tokens: int) -> None:
    # Loads stay in their region, so that there is none to wait for; spending
    # takes the detection and two paths.
    asyncio.run(context.relay_fleet.run(0))
    refuses(context, tokens)
    # Two of twenty VMs; without the totals of the other relay it is one.
    assert 'share 0.10' in context.relay_fleet.description


@when(
    'the first has sent an endpoint {tokens:d} tokens and spent {spent:d} of {burst:d}'
)
def has_sent(context: Context, tokens: int, spent: int, burst: int) -> None:
    context.relay_fleet.tokens = tokens
    context.relay_fleet.spent = spent


@then('the second sees {tokens:d} pending tokens there within 3 s')
def sees(context: Context, tokens: int) -> None:
    fleet = context.relay_fleet
    asyncio.run(fleet.run(tokens))
    assert fleet.seen_tokens == tokens, fleet.seen_tokens


@then('the first does not count its own load twice')
def counted_once(context: Context) -> None:
    assert context.relay_fleet.own_seen_tokens == context.relay_fleet.tokens


@then('the second refuses to spend {tokens:d}')
def refuses(context: Context, tokens: int) -> None:
    assert tokens == context.relay_fleet.tokens_to_refuse
    assert context.relay_fleet.refused


@then('both have switched from the first disk VM to the second')
def switched(context: Context) -> None:
    for chosen in context.relay_fleet.relays:
        # The first relay is retried occasionally while it counts as alive.
        assert chosen[:2] == ['d0', 'd1'], chosen
