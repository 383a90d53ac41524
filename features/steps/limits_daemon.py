"""Exercise the membership and token lending tasks over loopback."""

import asyncio
import contextlib
import os
import random
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path

from baobabwharf_core.clock import SystemClock
from baobabwharf_core.fleet_config import Customer, FleetConfig, VmRecord
from baobabwharf_core.ids import CustomerId, RegionId, VmId, ZoneId
from baobabwharf_daemon.interfaces import ConfigSource
from baobabwharf_daemon.limits_components import (
    LimitsComponents,
    build_limits_components,
)
from baobabwharf_daemon.rpc import RpcClient, RpcServer
from baobabwharf_daemon.settings import Listen, Peer, Settings
from behave import given, then
from behave.runner import Context

_CUSTOMER_ID = CustomerId('c')
_SECRET = 'test'
_TIMEOUT_S = 20


class FixedConfig(ConfigSource):
    """Provide a configuration that never changes."""

    def __init__(self, config: FleetConfig) -> None:
        self._config = config

    @property
    def config(self) -> FleetConfig:
        return self._config

    @property
    def ready(self) -> bool:
        return True

    @property
    def age_ms(self) -> int:
        return 0

    def is_withdrawn(self, digest: bytes) -> bool:
        return False

    def subscribe(self) -> asyncio.Queue[FleetConfig]:
        return asyncio.Queue(1)


class LimitsFleet:
    """Run the tasks of several VMs; one VM runs in a child process."""

    def __init__(self, ports: list[int], secret_file: Path) -> None:
        self.ports = ports
        self.secret_file = secret_file
        self.vm_components: list[LimitsComponents] = []
        self.servers: list[RpcServer] = []
        self.clients: list[RpcClient] = []

    async def start(self, index: int) -> LimitsComponents:
        server = RpcServer(_SECRET, None)
        client = RpcClient(_SECRET, None)
        components = build_limits_components(
            self._settings(index),
            SystemClock(),
            random.Random(index),
            server,
            client,
            FixedConfig(self._config()),
        )
        await server.start('127.0.0.1', self.ports[index])
        await components.membership.start()
        await components.lending.start()
        self.vm_components.append(components)
        self.servers.append(server)
        self.clients.append(client)
        return components

    async def stop(self) -> None:
        for components in self.vm_components:
            await components.lending.stop()
            await components.membership.stop()
        for client in self.clients:
            client.close()
        for server in self.servers:
            await server.stop()

    def _settings(self, index: int) -> Settings:
        port = self.ports[index]
        seeds = [
            Peer(
                vm_id=f'vm-{other}',
                region=f'r-{other % 3}',
                zone='z',
                peer_address=f'127.0.0.1:{self.ports[other]}',
                forward_address='127.0.0.1:1',
                caller_url='http://127.0.0.1:1',
            )
            for other in (0, 1)
            if other != index
        ]
        return Settings(
            vm_id=f'vm-{index}',
            region=f'r-{index % 3}',
            zone='z',
            listen=Listen(
                caller_port=1, operator_port=2, forward_port=3, peer_port=port
            ),
            initial_voters=('disk-vm',),
            peers=tuple(seeds),
            fleet_secret_file=self.secret_file,
        )

    def _config(self) -> FleetConfig:
        vms = {
            VmId(f'vm-{index}'): VmRecord(
                VmId(f'vm-{index}'),
                RegionId(f'r-{index % 3}'),
                ZoneId('z'),
                False,
                f'127.0.0.1:{port}',
                '',
                '',
            )
            for index, port in enumerate(self.ports)
        }
        customer = Customer(_CUSTOMER_ID, 6000, 6000)
        return FleetConfig(customers={_CUSTOMER_ID: customer}, vms=vms)


async def wait_until(condition: Callable[[], bool]) -> float:
    start_s = time.monotonic()
    while not condition():
        assert time.monotonic() < start_s + _TIMEOUT_S, (
            'condition not met in time'
        )
        await asyncio.sleep(0.01)
    return time.monotonic() - start_s


def run_child(ports: list[int], secret_file: Path) -> None:
    async def serve() -> None:
        await LimitsFleet(ports, secret_file).start(len(ports) - 1)
        await asyncio.sleep(60)

    asyncio.run(serve())


def free_ports(count: int) -> list[int]:
    with contextlib.ExitStack() as stack:
        sockets = [
            stack.enter_context(socket.create_server(('127.0.0.1', 0)))
            for _port in range(count)
        ]
        return [listener.getsockname()[1] for listener in sockets]


@given('limits tasks of {count:d} VMs in three regions on free ports')
def set_up(context: Context, count: int) -> None:
    secret_file = context.path / 'secret'
    secret_file.write_text(_SECRET)
    ports = free_ports(count)
    context.fleet = LimitsFleet(ports, secret_file)
    context.runner = asyncio.Runner()
    code = 'import sys; from pathlib import Path; import limits_daemon as own; '
    code += 'own.run_child([int(p) for p in sys.argv[2:]], Path(sys.argv[1]))'
    environment = dict(os.environ)
    steps = str(Path(__file__).parent)
    environment['PYTHONPATH'] = f'{environment["PYTHONPATH"]}:{steps}'
    arguments = [str(secret_file), *map(str, ports)]
    context.child = subprocess.Popen(
        [sys.executable, '-c', code, *arguments], env=environment
    )
    context.add_cleanup(clean_up, context)
    for index in range(count - 1):
        context.runner.run(context.fleet.start(index))


def clean_up(context: Context) -> None:
    with contextlib.suppress(ProcessLookupError):
        os.kill(context.child.pid, signal.SIGKILL)
    context.child.wait()
    context.runner.run(context.fleet.stop())
    context.runner.close()


@then('the limits tasks find each other and agree on one share table')
def agree(context: Context) -> None:
    fleet = context.fleet
    context.runner.run(
        wait_until(
            lambda: all(
                len(components.membership.live_vms()) == len(fleet.ports)
                and not components.lending.core.share_rollout.pending
                for components in fleet.vm_components
            )
        )
    )


@then('a limits task reserves more than its own share by borrowing')
def borrow(context: Context) -> None:
    async def reserve() -> None:
        lending = context.fleet.vm_components[0].lending
        outcome = await lending.reserve(_CUSTOMER_ID, 3000, 15_000)
        assert outcome.is_ok(), outcome
        lending.settle(outcome.ok, 2000)

    context.runner.run(reserve())


@then('a withdrawal reaches all limits tasks')
def withdraw(context: Context) -> None:
    received: list[bytes] = []
    components = context.fleet.vm_components
    for other in components[1:]:
        other.membership.listeners.add_tombstone_listener(received.append)
    components[0].membership.publish_tombstone(b'digest')
    context.runner.run(wait_until(lambda: len(received) == len(components) - 1))


@then('a killed limits VM leaves the live VMs of all others')
def kill(context: Context) -> None:
    os.kill(context.child.pid, signal.SIGKILL)
    elapsed_s = context.runner.run(
        wait_until(lambda: not is_live(context, len(context.fleet.ports) - 1))
    )
    print(f'limits: the killed VM was gone after {elapsed_s:.2f} s')


@then('a leaving limits VM leaves the live VMs of all others')
def leave(context: Context) -> None:
    async def announce() -> None:
        context.fleet.vm_components[2].membership.announce_leaving()

    context.runner.run(announce())
    elapsed_s = context.runner.run(wait_until(lambda: not is_live(context, 2)))
    print(f'limits: the leaving VM was gone after {elapsed_s:.2f} s')


def is_live(context: Context, index: int) -> bool:
    return any(
        record.vm_id == f'vm-{index}'
        for components in context.fleet.vm_components
        for record in components.membership.live_vms()
    )
