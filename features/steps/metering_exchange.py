"""Exchange datagrams with one metering VM on loopback."""

import asyncio
import socket

from baobabwharf_core.clock import SystemClock
from baobabwharf_core.codec import decode, encode
from baobabwharf_core.fleet_config import Customer, FleetConfig, VmRecord
from baobabwharf_daemon.interfaces import MembershipView
from baobabwharf_daemon.proxy.metering import Metering
from baobabwharf_daemon.proxy.relay_mode import RelayMode
from baobabwharf_decisions.limits.spending import Period, Spending
from behave import given, then, when
from behave.runner import Context
from gateway_fakes import FakeConfigSource

_OWN_HOST = '127.0.0.1'
_OTHER_HOST = '127.0.0.2'


def vm(name: str, host: str) -> VmRecord:
    return VmRecord(name, 'r', 'z', False, f'{host}:1', f'{host}:2', 'url', 1)


class EmptyView(MembershipView):
    """Return no VMs."""

    def live_vms(self) -> tuple[VmRecord, ...]:
        return ()

    def announce_leaving(self) -> None:
        """Do nothing: there is no other VM."""


class MeteringVmSubject:
    """Run a metering task and a socket that acts as another VM."""

    def __init__(self) -> None:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
            probe.bind((_OWN_HOST, 0))
            self.port = probe.getsockname()[1]
        self.own = vm('own', _OWN_HOST)
        self.other = vm('other', _OTHER_HOST)
        self.config = FleetConfig(
            1,
            {'c': Customer('c', 1000, 1000)},
            vms={'own': self.own, 'other': self.other},
        )

    async def exchange(self, tokens: int) -> Spending:
        source = FakeConfigSource()
        source.current = self.config
        metering = Metering(
            self.own,
            self.port,
            SystemClock(),
            EmptyView(),
            source,
            RelayMode(source),
        )
        await metering.start()
        loop = asyncio.get_running_loop()
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as peer_socket:
            peer_socket.bind((_OTHER_HOST, self.port))
            peer_socket.setblocking(False)
            spending = Spending('other', 1, (Period(1, {'c': tokens}),))
            peer_socket.sendto(encode(spending), (_OWN_HOST, self.port))
            try:
                content = await asyncio.wait_for(
                    loop.sock_recv(peer_socket, 4096), 1
                )
            finally:
                await metering.stop()
        return decode(content, Spending)


@given('a metering VM that knows no other VM')
def metering_vm(context: Context) -> None:
    context.metering_vm = MeteringVmSubject()


@when('a stopping VM reports to it that {tokens:d} tokens were spent')
def reports(context: Context, tokens: int) -> None:
    context.tokens = tokens


@then('the stopping VM gets a report within 1 s')
def gets_report(context: Context) -> None:
    exchange = context.metering_vm.exchange(context.tokens)
    assert asyncio.run(exchange).vm_id == 'own'
