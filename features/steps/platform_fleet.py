"""Run the platform's programs as processes on loopback addresses."""

import asyncio
import json
import random
import re
import shutil
import signal
import subprocess
import time
from pathlib import Path

import aiohttp
from baobabwharf_soak.process_launcher import (
    CALLER_PORT_OFFSET,
    CONTROL_PORT_OFFSET,
    DIRECTORY_PORT_OFFSET,
    FleetLayout,
    wait_for_imports,
)
from baobabwharf_testkit.loopback_networks import reserve_network
from behave import given, then, when
from behave.runner import Context

_KEY = 'platform-key'
_HOST = 'h.example'
# Limit for events that must happen eventually; not a performance target.
_TIMEOUT_S = 60
_POLL_S = 0.2
_METRICS_PORT = 9464


class FleetEndpoint:
    """Serve requests with the platform's headers."""

    def __init__(self, host: str, port: int) -> None:
        self.address = f'{host}:{port}'
        self.host, self.port = host, port
        self.runs: list[str] = []
        self.sequence = 0
        self.born = 1
        self.slots = 64

    async def start(self) -> None:
        await asyncio.start_server(self.serve, self.host, self.port)

    async def serve(self, reader, writer) -> None:
        try:
            while True:
                head = (await reader.readuntil(b'\r\n\r\n')).decode()
                fields = dict(
                    line.lower().split(': ', 1)
                    for line in head.split('\r\n')[1:]
                    if line
                )
                await reader.readexactly(int(fields.get('content-length', 0)))
                assert 'authorization' not in fields
                if '/slow' in head:
                    await asyncio.sleep(1)
                self.runs.append(fields['x-request-id'])
                if await self.serve_timed(head, fields, writer):
                    continue
                if '/long' in head:
                    await asyncio.sleep(3)
                writer.write(
                    b'HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\n'
                    b'Content-Length: 3\r\nX-Request-Id: '
                    + fields['x-request-id'].encode()
                    + b'\r\n\r\nran'
                )
        except (asyncio.IncompleteReadError, OSError):
            writer.close()
        except asyncio.CancelledError:
            # The scenario has ended.
            return

    async def serve_timed(self, head: str, fields: dict, writer) -> bool:
        """Answer a path with a time: a stream begins at once and ends then."""
        wait = re.search(r'/wait-(\d+)', head)
        if not wait:
            return False
        answer = (
            b'HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\nX-Request-Id: '
            + fields['x-request-id'].encode()
        )
        streams = '/stream/' in head or '/resume/' in head
        if streams:
            answer += (
                b'\r\nContent-Type: text/event-stream\r\n'
                b'Transfer-Encoding: chunked\r\n\r\n9\r\ndata: a\n\n\r\n'
            )
            writer.write(answer)
        await asyncio.sleep(int(wait.group(1)) / 1000)
        if streams:
            writer.write(b'9\r\ndata: b\n\n\r\n0\r\n\r\n')
        else:
            writer.write(answer + b'\r\nContent-Length: 3\r\n\r\nran')
        return True

    def registration(self, state: str) -> dict:
        """Return a registration that is newer than the last one."""
        self.sequence += 1
        return {
            'service': 's',
            'address': self.address,
            'zone': 'z-1',
            'slots': self.slots,
            'state': state,
            'sequence': self.sequence,
            'born': self.born,
        }


class PlatformFleet:
    """Run the processes of a fleet and one event loop."""

    def __init__(
        self,
        folder: Path,
        disks: int,
        entries: int,
        seed: int,
        limits: dict[str, int] | None = None,
    ) -> None:
        self.folder = folder
        self.loop = asyncio.new_event_loop()
        base = random.Random(seed).randrange(20_000, 28_000, 40)
        # Other runs of the suite may play the same seed.
        self._network = reserve_network(
            f'127.{second}.{10 + seed}' for second in range(250)
        )
        prefix = self._network.prefix
        self.disks = [f'{prefix}.{n + 1}' for n in range(disks)]
        self.entries = [f'{prefix}.{n + 51}' for n in range(entries)]
        self.layout = FleetLayout(
            folder, base, {'z-1': 'r-1'}, self.disks, limits or {}
        )
        self.endpoint = FleetEndpoint(f'{prefix}.101', base)
        self.processes: dict[str, subprocess.Popen] = {}
        self.document = b''
        self.requests = 0
        self.response = None
        for host in (*self.disks, *self.entries):
            self.start(host, bootstrap=True)
        self.run(self.endpoint.start())

    def run(self, work):
        return self.loop.run_until_complete(work)

    def port(self, offset: int) -> int:
        return self.layout.port(offset)

    def start(self, host: str, *, bootstrap: bool) -> None:
        self.processes[host] = self.layout.start(
            host, 'z-1', host, bootstrap=bootstrap
        )

    def kill(self, host: str) -> None:
        process = self.processes.pop(host)
        process.kill()
        process.wait()

    def close(self) -> None:
        for process in self.processes.values():
            process.kill()
            process.wait()
        for task in asyncio.all_tasks(self.loop):
            task.cancel()
        self.loop.run_until_complete(asyncio.sleep(0))
        self.loop.close()
        self._network.release()

    async def call(
        self, method: str, url: str, content: bytes = b'', **headers: str
    ) -> tuple[int, bytes]:
        """Return status and body; status 0 if there is no response."""
        timeout = aiohttp.ClientTimeout(total=10)
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.request(
                    method, url, data=content, headers=headers
                ) as response,
            ):
                return response.status, await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError):
            return 0, b''

    def control(self, host: str, path: str) -> str:
        return (
            f'http://{host}:{self.port(CONTROL_PORT_OFFSET)}/baobabwharf/{path}'
        )

    def wait(self, check, message: str) -> None:
        """Poll until a check returns true."""
        deadline_s = time.monotonic() + _TIMEOUT_S
        while not self.run(check()):
            assert time.monotonic() < deadline_s, message
            self.run(asyncio.sleep(_POLL_S))

    def configuration(self, version: int, timeout_ms: int = 4000) -> bytes:
        return json.dumps(
            {
                'version': version,
                'routes': [
                    {
                        'name': 'r',
                        'hostname': _HOST,
                        'pathPrefix': '/a/',
                        'routeType': 'non_idempotent',
                        'timeoutMs': timeout_ms,
                        'service': 's',
                    }
                ],
                'services': [{'name': 's'}],
                'tenants': [{'name': 't', 'apiKeys': [_KEY]}],
            }
        ).encode()

    def install(self, host: str, version: int) -> None:
        content = self.configuration(version)

        async def accepted() -> bool:
            url = self.control(host, 'config')
            status, _body = await self.call('PUT', url, content)
            assert status in {0, 200, 503}, status
            return status == 200

        self.wait(accepted, 'The configuration is not accepted.')
        self.document = content

    def register(self, host: str, state: str) -> None:
        async def acknowledged() -> bool:
            content = json.dumps(self.endpoint.registration(state)).encode()
            url = self.control(host, 'instances/i-1')
            return (await self.call('PUT', url, content))[0] == 200

        self.wait(acknowledged, 'The registration is not acknowledged.')

    async def send_request(
        self, host: str, path: str = '/a/x'
    ) -> tuple[int, bytes]:
        self.requests += 1
        return await self.call(
            'POST',
            f'http://{host}:{self.port(CALLER_PORT_OFFSET)}{path}',
            b'body',
            **{
                'Host': _HOST,
                'Authorization': f'Bearer {_KEY}',
                'X-Request-Id': f'id-{self.requests}',
                'X-Deadline-Ms': '5000',
            },
        )

    async def addresses(self, host: str) -> set[str]:
        url = (
            f'http://{host}:{self.port(DIRECTORY_PORT_OFFSET)}/baobabwharf/resolve'
            f'?name={_HOST}&region=r-1&zone=z-1'
        )
        status, body = await self.call('GET', url)
        return set(json.loads(body)['addresses']) if status == 200 else set()


@given(
    'a platform fleet of {disks:d} disk VMs and {entries:d} entry VMs, ports seed {seed:d}'
)
def platform_fleet(
    context: Context, disks: int, entries: int, seed: int
) -> None:
    context.fleet = PlatformFleet(context.path, disks, entries, seed)
    context.add_cleanup(context.fleet.close)


@when('an operator sends configuration {version:d} to the {ordinal} disk VM')
def sends_configuration(context: Context, version: int, ordinal: str) -> None:
    fleet = context.fleet
    fleet.install(fleet.disks[_index(ordinal)], version)


def _index(name: str) -> int:
    return ('first', 'second', 'third').index(name)


@when('an endpoint registers at the {ordinal} disk VM')
def registers(context: Context, ordinal: str) -> None:
    context.fleet.register(context.fleet.disks[_index(ordinal)], 'ready')


@then('every disk VM reads configuration {version:d} back as it was sent')
@then('the other disk VMs read configuration {version:d} back as it was sent')
def reads_back(context: Context, version: int) -> None:
    fleet = context.fleet
    assert json.loads(fleet.document)['version'] == version
    for host in fleet.disks:
        if host in fleet.processes:
            _read_back(fleet, host)


def _read_back(fleet: PlatformFleet, host: str) -> None:
    async def same() -> bool:
        url = fleet.control(host, 'config')
        status, body = await fleet.call('GET', url)
        # A VM that cannot confirm the current version must answer 503; it must
        # never return another version.
        assert status in {0, 503} or body == fleet.document, body
        return status == 200

    fleet.wait(same, f'{host} does not return the configuration.')


@then('the address look-up names both entry VMs')
def both_named(context: Context) -> None:
    fleet = context.fleet
    expected = {
        f'{host}:{fleet.port(CALLER_PORT_OFFSET)}' for host in fleet.entries
    }

    async def named() -> bool:
        return await fleet.addresses(fleet.disks[0]) == expected

    fleet.wait(named, 'The look-up does not name both entry VMs.')


@then('the address look-up names the other entry VM only')
def other_named(context: Context) -> None:
    fleet = context.fleet
    expected = {f'{fleet.entries[1]}:{fleet.port(CALLER_PORT_OFFSET)}'}

    async def named() -> bool:
        return await fleet.addresses(fleet.disks[0]) == expected

    fleet.wait(named, 'The look-up does not name the other entry VM only.')


@then('a request through each entry VM is run by the endpoint')
def runs(context: Context) -> None:
    fleet = context.fleet
    for host in fleet.entries:
        _request_until_run(fleet, host)


def _request_until_run(fleet: PlatformFleet, host: str) -> None:
    async def run() -> bool:
        status, body = await fleet.send_request(host)
        assert status in {0, 200, 503}, (status, body)
        if status != 200:
            return False
        assert body == b'ran', body
        return f'id-{fleet.requests}' in fleet.endpoint.runs

    fleet.wait(run, f'{host} serves no request.')


@then(
    'an invalid configuration {invalid:d} is refused and configuration {old:d} changes nothing'
)
def refuses_invalid(context: Context, invalid: int, old: int) -> None:
    fleet = context.fleet
    url = fleet.control(fleet.disks[0], 'config')
    bad = fleet.configuration(invalid, timeout_ms=0)
    assert fleet.run(fleet.call('PUT', url, bad))[0] == 400
    cut = fleet.configuration(invalid)[:-20]
    assert fleet.run(fleet.call('PUT', url, cut))[0] == 400
    older = fleet.configuration(old)
    assert fleet.run(fleet.call('PUT', url, older))[0] == 200
    for host in fleet.disks:
        _read_back(fleet, host)


@when('all disk VMs are killed and started again')
def restart_all(context: Context) -> None:
    fleet = context.fleet
    for host in fleet.disks:
        fleet.kill(host)
    for host in fleet.disks:
        fleet.start(host, bootstrap=False)


@then('each process logged its start as JSON and serves metrics')
def logged(context: Context) -> None:
    fleet = context.fleet
    for host in (*fleet.disks, *fleet.entries):
        lines = (fleet.folder / f'{host}.log').read_text().splitlines()
        events = [
            json.loads(line)['event'] for line in lines if line[:1] == '{'
        ]
        assert 'vm_started' in events, lines[:5]
        url = f'http://{host}:{_METRICS_PORT}/metrics'
        status, body = fleet.run(fleet.call('GET', url))
        assert status == 200 and b'baobabwharf_' in body, status


@when('the first entry VM is stopped while a request of 1 s runs')
def stops(context: Context) -> None:
    fleet = context.fleet
    host = fleet.entries[0]
    _request_until_run(fleet, host)

    async def request_and_stop() -> tuple[int, bytes]:
        running = asyncio.create_task(fleet.send_request(host, '/a/slow'))
        await asyncio.sleep(0.5)
        fleet.processes[host].send_signal(signal.SIGTERM)
        return await running

    fleet.response = fleet.run(request_and_stop())


@then('that request is answered completely and the VM exits with code 0')
def answered_completely(context: Context) -> None:
    fleet = context.fleet
    assert fleet.response == (200, b'ran'), fleet.response
    process = fleet.processes.pop(fleet.entries[0])
    assert process.wait(_TIMEOUT_S) == 0


@when('the endpoint reports that it is draining')
def drains(context: Context) -> None:
    context.fleet.register(context.fleet.disks[1], 'draining')


@then('within 3 s requests are refused and not run')
def refused_as_not_run(context: Context) -> None:
    fleet = context.fleet
    fleet.run(asyncio.sleep(3))
    before = len(fleet.endpoint.runs)
    status, _body = fleet.run(fleet.send_request(fleet.entries[1]))
    assert status == 503 and len(fleet.endpoint.runs) == before, status


@when('the disk of the first disk VM is lost')
def loses_disk(context: Context) -> None:
    fleet = context.fleet
    host = fleet.disks[0]
    fleet.kill(host)
    shutil.rmtree(fleet.folder / host)
    fleet.start(host, bootstrap=False)


@when('the second disk VM is killed and not restarted')
def killed_permanently(context: Context) -> None:
    fleet = context.fleet
    # The rebuilt VM must hold the state before another VM is killed.
    _read_back(fleet, fleet.disks[0])
    fleet.run(asyncio.sleep(3))
    fleet.kill(fleet.disks[1])


@when('the first entry VM is killed and reloads while it starts again')
def reloads_early(context: Context) -> None:
    fleet = context.fleet
    host = fleet.entries[0]
    fleet.kill(host)
    fleet.start(host, bootstrap=False)
    # The program imports its libraries and has installed no handler yet.
    fleet.run(wait_for_imports(fleet.processes[host]))
    fleet.processes[host].send_signal(signal.SIGHUP)
