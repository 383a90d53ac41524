"""Run the endpoint registries and routers of several VMs over loopback."""

import asyncio
import random
import socket
from collections.abc import Awaitable, Callable
from itertools import count
from pathlib import Path

from baobabwharf_core.announcements import Announcement, Heartbeat, LoadReport
from baobabwharf_core.clock import SystemClock
from baobabwharf_core.fleet_config import Customer, FleetConfig, VmRecord
from baobabwharf_core.refusals import Executed, RefusalCode
from baobabwharf_core.requests import AttemptOutcome, RequestAttributes
from baobabwharf_daemon.interfaces import ConfigSource, MembershipView
from baobabwharf_daemon.routing_task import RoutingTask, build_routing
from baobabwharf_daemon.rpc import RpcClient, RpcServer
from baobabwharf_daemon.settings import Settings
from behave import given, then, when
from behave.runner import Context

NO_ENDPOINTS = frozenset()
TIMEOUT_S = 15.0


class FixedConfig(ConfigSource):
    """Provide a configuration that never changes."""

    config = FleetConfig(customers={'c': Customer('c', 100, 100)})
    ready = True
    age_ms = 0

    def is_withdrawn(self, digest: bytes) -> bool:
        return False

    def subscribe(self) -> asyncio.Queue[FleetConfig]:
        return asyncio.Queue(1)


class SharedMembership(MembershipView):
    """Provide the VMs that a test has registered as live."""

    def __init__(self) -> None:
        self.vms: list[VmRecord] = []

    def live_vms(self) -> tuple[VmRecord, ...]:
        return tuple(self.vms)

    def announce_leaving(self) -> None:
        """Do nothing; the test controls the list of live VMs."""


class RegistryFleet:
    """Run the VMs of one scenario."""

    def __init__(self, folder: Path) -> None:
        self.loop = asyncio.new_event_loop()
        self.membership = SharedMembership()
        self.routing_tasks: dict[str, RoutingTask] = {}
        self.cleanups: list[Callable[[], Awaitable[None]]] = []
        self.secret = folder / 'secret'
        self.secret.write_text('secret')
        self.request_count = 0

    def run(self, awaitable: Awaitable):
        return self.loop.run_until_complete(awaitable)

    def add_live_vm(self, name: str, region: str) -> list[int]:
        sockets = [socket.socket() for _index in range(4)]
        for reserved in sockets:
            reserved.bind(('127.0.0.1', 0))
        ports = [reserved.getsockname()[1] for reserved in sockets]
        for reserved in sockets:
            reserved.close()
        address = '127.0.0.1:{}'.format
        self.membership.vms.append(
            VmRecord(
                name,
                region,
                'z',
                False,
                address(ports[2]),
                address(ports[3]),
                f'http://{address(ports[0])}',
            )
        )
        return ports

    async def start(self, name: str, region: str) -> None:
        ports = self.add_live_vm(name, region)
        settings = Settings(
            vm_id=name,
            region=region,
            zone='z',
            listen=dict(
                zip(
                    (
                        'caller_port',
                        'operator_port',
                        'peer_port',
                        'forward_port',
                    ),
                    ports,
                    strict=True,
                )
            ),
            initial_voters=('other',),
            fleet_secret_file=self.secret,
        )
        server = RpcServer('secret', None)
        client = RpcClient('secret', None)
        routing_task = build_routing(
            settings,
            SystemClock(),
            random.Random(1),
            server,
            client,
            FixedConfig(),
            self.membership,
        )
        await server.start('127.0.0.1', ports[2])
        await routing_task.start()
        routing_task.attach_publisher(
            lambda payload: self.publish(name, payload)
        )
        self.routing_tasks[name] = routing_task

        async def close() -> None:
            await routing_task.stop()
            client.close()
            await server.stop()

        self.cleanups.append(close)

    def publish(self, origin: str, payload: bytes) -> None:
        for name, routing_task in self.routing_tasks.items():
            if name != origin:
                routing_task.on_summary(origin, payload)

    def close(self) -> None:
        for cleanup in self.cleanups:
            self.run(cleanup())
        self.loop.close()

    def attributes(self, **overrides) -> RequestAttributes:
        self.request_count += 1
        return RequestAttributes(
            f'q{self.request_count}',
            'c',
            'chat',
            'interactive',
            (),
            60_000,
            1000,
            model='m',
            **overrides,
        )

    async def wait_until(
        self, condition: Callable[[], bool], description: str
    ) -> None:
        loop = asyncio.get_running_loop()
        end_s = loop.time() + TIMEOUT_S
        while not condition():
            assert loop.time() < end_s, (
                f'timed out after {TIMEOUT_S} s: {description}'
            )
            await asyncio.sleep(0.02)


def make_announcement(name: str, region: str = 'a', incarnation: int = 5):
    return Announcement(
        name,
        'chat',
        region,
        'z',
        f'http://{name}',
        incarnation,
        ('m',),
        slots=2,
    )


def make_heartbeat(
    name: str, sequence: int, leaving: bool = False
) -> Heartbeat:
    return Heartbeat(name, 5, sequence, LoadReport(0, 0), leaving=leaving)


@given(
    'registry VMs "{names}" of region "{one}" and "{other}" of region "{two}"'
)
def start_vms(
    context: Context, names: str, one: str, other: str, two: str
) -> None:
    context.fleet = RegistryFleet(context.path)
    context.add_cleanup(context.fleet.close)
    for name in names.split():
        context.fleet.run(context.fleet.start(name, one))
    context.fleet.run(context.fleet.start(other, two))


@given('registry VM "{name}" of region "{region}" is listed but does not run')
def add_stopped_vm(context: Context, name: str, region: str) -> None:
    context.fleet.add_live_vm(name, region)


@when('registry VM "{name}" of region "{region}" starts')
def start_later(context: Context, name: str, region: str) -> None:
    context.fleet.run(context.fleet.start(name, region))


@when('registry endpoint "{endpoint}" announces itself to "{name}" and beats')
def announces(context: Context, endpoint: str, name: str) -> None:
    fleet = context.fleet
    registry = fleet.routing_tasks[name].registry
    assert registry.announce(make_announcement(endpoint)).is_ok()

    async def send_heartbeats() -> None:
        for sequence in count(1):
            registry.heartbeat(make_heartbeat(endpoint, sequence))
            await asyncio.sleep(0.3)

    context.heartbeat_task = fleet.loop.create_task(send_heartbeats())

    async def stop() -> None:
        context.heartbeat_task.cancel()

    fleet.cleanups.insert(0, stop)


@then('registry VM "{name}" serves with endpoint "{endpoint}"')
def serves(context: Context, name: str, endpoint: str) -> None:
    fleet = context.fleet
    router = fleet.routing_tasks[name].router

    def at_home() -> bool:
        choice = router.choose_region(fleet.attributes())
        return choice.is_ok() and choice.ok.vm_id is None

    async def check() -> None:
        await fleet.wait_until(at_home, f'{name} knows the endpoint')
        attributes = fleet.attributes()
        choice = await router.admit(attributes, NO_ENDPOINTS)
        assert choice.ok.endpoint_id == endpoint
        done = AttemptOutcome(endpoint, True, True, 10, 50, 5)
        router.attempt_ended(attributes, done)

    fleet.run(check())


@then('registry VM "{name}" knows no endpoint of its own')
def knows_none(context: Context, name: str) -> None:
    assert context.fleet.routing_tasks[name].registry.describe() == ()


@then('registry VM "{name}" sends a request to region "{region}"')
def sends_away(context: Context, name: str, region: str) -> None:
    fleet = context.fleet
    router = fleet.routing_tasks[name].router

    def goes_there() -> bool:
        choice = router.choose_region(fleet.attributes())
        return choice.is_ok() and choice.ok.region == region

    fleet.run(fleet.wait_until(goes_there, 'the summary arrives'))
    choice = router.choose_region(fleet.attributes()).ok
    targets = {
        vm.vm_id: vm.forward_address
        for vm in fleet.membership.vms
        if vm.region == region
    }
    assert targets[choice.vm_id] == choice.forward_address


@then('registry VM "{name}" refuses a forwarded request as not run')
def refuses_forwarded(context: Context, name: str) -> None:
    fleet = context.fleet
    choice = fleet.routing_tasks[name].router.choose_region(
        fleet.attributes(hop=1)
    )
    assert choice.error.code is RefusalCode.NO_ENDPOINT
    assert choice.error.executed is Executed.NO


@when('registry endpoint "{endpoint}" says to "{name}" that it leaves')
def leaves(context: Context, endpoint: str, name: str) -> None:
    context.heartbeat_task.cancel()
    registry = context.fleet.routing_tasks[name].registry
    assert registry.heartbeat(
        make_heartbeat(endpoint, 1 << 30, leaving=True)
    ).is_ok()


@then('registry VM "{name}" refuses a request as not run')
def refuses(context: Context, name: str) -> None:
    fleet = context.fleet
    router = fleet.routing_tasks[name].router

    async def check() -> None:
        await fleet.wait_until(
            lambda: router.choose_region(fleet.attributes()).is_error(),
            'the endpoint is known to leave',
        )
        refused = await router.admit(fleet.attributes(), NO_ENDPOINTS)
        assert refused.error.code is RefusalCode.NO_ENDPOINT
        assert refused.error.executed is Executed.NO

    fleet.run(check())


@then(
    'registry VM "{name}" queues requests beyond the room and places them '
    'in turn'
)
def queues(context: Context, name: str) -> None:
    fleet = context.fleet
    router = fleet.routing_tasks[name].router

    async def check() -> None:
        requests = [fleet.attributes() for _index in range(6)]
        tasks = [
            asyncio.ensure_future(router.admit(attributes, NO_ENDPOINTS))
            for attributes in requests
        ]
        for index, attributes in enumerate(requests):
            choice = await asyncio.wait_for(tasks[index], TIMEOUT_S)
            assert choice.ok.endpoint_id == 'e'
            running = sum(task.done() for task in tasks) - index
            assert running <= 2, running
            done = AttemptOutcome('e', True, True, 10, 50, 5)
            router.attempt_ended(attributes, done)

    fleet.run(check())


@then('registry VM "{name}" forgets a waiting request whose caller has gone')
def forgets(context: Context, name: str) -> None:
    fleet = context.fleet
    router = fleet.routing_tasks[name].router

    async def check() -> None:
        held = [fleet.attributes(), fleet.attributes()]
        for attributes in held:
            assert (await router.admit(attributes, NO_ENDPOINTS)).is_ok()
        gone = asyncio.ensure_future(
            router.admit(fleet.attributes(), NO_ENDPOINTS)
        )
        await asyncio.sleep(0)
        gone.cancel()
        await asyncio.gather(gone, return_exceptions=True)
        for attributes in held:
            router.attempt_cancelled(attributes, 'e')
        (known,) = fleet.routing_tasks[name].registry.describe()
        assert known['own_requests'] == 0, known

    fleet.run(check())


@then('registry VM "{name}" explains a request in plain sentences')
def explains(context: Context, name: str) -> None:
    fleet = context.fleet
    router = fleet.routing_tasks[name].router
    attributes = fleet.attributes()
    router.choose_region(attributes)
    choice = fleet.run(router.admit(attributes, NO_ENDPOINTS)).ok
    router.attempt_cancelled(attributes, choice.endpoint_id)
    sentences = router.explain(attributes.request_id)
    assert 'Region a was chosen' in sentences[0], sentences
    assert 'Endpoint e was chosen' in sentences[1], sentences


@then(
    'registry VM "{name}" retries an unsent attempt but not a booking that '
    'was sent'
)
def retries(context: Context, name: str) -> None:
    fleet = context.fleet
    router = fleet.routing_tasks[name].router
    booking = fleet.attributes(repeatable=False)
    unsent = AttemptOutcome('e', False, False)
    assert router.may_retry(booking, unsent, 1).is_ok()
    sent = AttemptOutcome('e', False, True)
    refused = router.may_retry(booking, sent, 1)
    assert refused.error.executed is Executed.UNKNOWN


@then('registry VM "{name}" refuses an endpoint of another region')
def refuses_region(context: Context, name: str) -> None:
    registry = context.fleet.routing_tasks[name].registry
    refused = registry.announce(make_announcement('e', 'b'))
    assert refused.error.code is RefusalCode.INVALID_REQUEST


@then('registry VM "{name}" refuses an endpoint of an older incarnation')
def refuses_older(context: Context, name: str) -> None:
    registry = context.fleet.routing_tasks[name].registry
    assert registry.announce(make_announcement('e')).is_ok()
    assert registry.announce(make_announcement('e', incarnation=4)).is_error()


@then('registry VM "{name}" asks an unknown endpoint to announce itself')
def asks_unknown(context: Context, name: str) -> None:
    registry = context.fleet.routing_tasks[name].registry
    refused = registry.heartbeat(make_heartbeat('unknown', 1))
    assert refused.error.code is RefusalCode.SERVICE_UNKNOWN
