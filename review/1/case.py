"""A large configuration changes again and again; every process keeps each version.

The stand-in for the platform ends a process that uses more than `memoryMb` and
starts it again, as DEPLOY.md says.  Clients keep connections open and send one
request after the other; the servers are sound.
"""

import asyncio
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'lib'))

from fleet import (  # noqa: E402
    BROKEN,
    FRONT,
    HELD,
    HOST,
    KEY,
    CouldNotRun,
    Fleet,
    Operator,
    Server,
    call,
    configuration,
    is_ready,
    main,
    read_message,
    route,
    service,
    trouble,
    wait_until,
)

ZONES = {'a-1': 'a', 'b-1': 'b', 'c-1': 'c'}
CORE_ZONES = ('a-1', 'b-1', 'c-1', 'a-1', 'b-1')
# The sheet of rotawen-prod-grown.
MEMORY_MB = {True: 296, False: 200}
# big_config, count = 1400, in the troubles of that site.
ROUTES = 1400
# "A day may be long and may contain hundreds of changes."
CHANGES = 190
# config_storm, gap_s = 0.33, in the troubles of rotawen-prod.
GAP_S = 0.33
STORM_S = 80.0
CLIENTS_PER_EDGE = 4
# The rule: "closes that connection without an answer, more than three times".
ALLOWED = 3


def content(version):
    """Return a configuration; with each version one route moves."""
    routes = [
        route(f'r-{n:04d}', f'/p{n:04d}/', 's', 'non_idempotent')
        for n in range(ROUTES)
    ]
    routes[version % ROUTES]['timeoutMs'] = 2500 + version
    return configuration(version, routes, [service('s')])


def used_mb(machine):
    """Return the memory of a process without the files that it maps."""
    try:
        status = Path(f'/proc/{machine.process.pid}/status').read_text()
    except OSError:
        return 0
    for line in status.splitlines():
        if line.startswith('RssAnon:'):
            return int(line.split()[1]) / 1024
    return 0


class Platform:
    """End processes over their limit and start them again."""

    def __init__(self, fleet, record, machines, seeds):
        self._fleet, self._record = fleet, record
        self._machines, self._seeds = machines, seeds
        self._starting = set()
        self.ends = dict.fromkeys((m.name for m in machines), 0)
        self.most = dict.fromkeys((m.name for m in machines), 0)

    async def watch(self):
        """Watch for ever."""
        while True:
            for machine in self._machines:
                if machine.name in self._starting:
                    continue
                used = used_mb(machine)
                self.most[machine.name] = max(self.most[machine.name], used)
                if used > MEMORY_MB[machine.is_core]:
                    self._record(
                        f'{machine.name} uses {used:.0f} MB of '
                        f'{MEMORY_MB[machine.is_core]} MB: killed'
                    )
                    self.ends[machine.name] += 1
                    self._fleet.kill(machine)
                    self._starting.add(machine.name)
                    asyncio.create_task(self._start_again(machine))
            await asyncio.sleep(0.1)

    async def _start_again(self, machine):
        await asyncio.sleep(0.5)
        self._fleet.start(machine, self._seeds)
        self._starting.discard(machine.name)


class Client:
    """Send requests on a kept connection and count those without an answer."""

    def __init__(self, fleet, record, edge, number, servers):
        self._fleet, self._record, self._edge = fleet, record, edge
        self._name = f'{edge.name}-c{number}'
        self._servers = servers
        self.answered = 0
        self.unanswered = []

    async def run(self):
        """Send one request after the other."""
        number = 0
        while True:
            try:
                host, _colon, port = self._fleet.address(
                    self._edge, FRONT
                ).rpartition(':')
                reader, writer = await asyncio.open_connection(host, int(port))
            except OSError:
                await asyncio.sleep(0.2)
                continue
            answers = 0
            while True:
                number += 1
                request_id = f'{self._name}-{number}'
                writer.write(
                    f'POST /p0000/x HTTP/1.1\r\nHost: {HOST}\r\n'
                    f'X-Request-Id: {request_id}\r\nX-Deadline-Ms: 2500\r\n'
                    f'Authorization: Bearer {KEY}\r\n'
                    'Content-Length: 2\r\n\r\nhi'.encode()
                )
                try:
                    first, headers, _body = await read_message(reader)
                except (OSError, asyncio.IncompleteReadError):
                    await asyncio.sleep(0.1)
                    ran = any(
                        run[1] == request_id
                        for server in self._servers
                        for run in server.runs[-200:]
                    )
                    self._record(
                        f'{request_id}: connection closed without an answer, '
                        f'{answers} answers before; it had '
                        f'{"run" if ran else "not run"}'
                    )
                    if ran and answers:
                        self.unanswered.append(request_id)
                    break
                answers += 1
                self.answered += 1
                if not first.split(' ')[1].startswith('2'):
                    await asyncio.sleep(0.2)
                if headers.get('connection') == 'close':
                    break
            writer.close()


async def play(record):
    """Play the case."""
    fleet = Fleet(ZONES)
    try:
        core = [
            fleet.add(f'core-{n}', zone, core=True)
            for n, zone in enumerate(CORE_ZONES, 1)
        ]
        edges = [
            fleet.add(f'edge-{zone}', zone, core=False) for zone in ZONES
        ]
        seeds = core[:3]
        for machine in (*core, *edges):
            fleet.start(machine, seeds, bootstrap=True)
        operator = Operator(fleet, record)
        if await operator.order('PUT', 'config', core, body=content(1)) is None:
            raise CouldNotRun('the first configuration was not accepted')
        servers = []
        for number, zone in enumerate(ZONES):
            server = Server(
                fleet, lambda text: None, f'i-{zone}', 's', zone, 100 + number
            )
            server.work_s = 0.2
            servers.append(server)
            near = [m for m in core if m.zone == zone]
            await server.start([*near, *(m for m in core if m not in near)])
        for edge in edges:
            await wait_until(lambda e=edge: is_ready(fleet, e), 20, 'ready')
        platform = Platform(fleet, record, [*core, *edges], seeds)
        tasks = [asyncio.create_task(platform.watch())]
        clients = [
            Client(fleet, record, edge, number, servers)
            for edge in edges
            for number in range(CLIENTS_PER_EDGE)
        ]
        tasks += [asyncio.create_task(client.run()) for client in clients]
        await asyncio.sleep(3)
        changes = CHANGES if trouble() else 5
        end = time.monotonic() + STORM_S
        version = 1
        while version < changes and time.monotonic() < end:
            version += 1
            pause = asyncio.create_task(asyncio.sleep(GAP_S))
            acked = await operator.order(
                'PUT', 'config', core, body=content(version), within_s=10
            )
            if acked is None:
                record(f'version {version} has no acknowledgement after 10 s')
            await pause
            if all(platform.ends[edge.name] for edge in edges):
                break
        record(f'{version} versions were sent')
        if not trouble():
            await asyncio.sleep(40)
        await asyncio.sleep(2)
        for task in tasks:
            task.cancel()
        record(f'processes ended for their memory: {platform.ends}')
        record(
            'most memory in MB: '
            + str({name: round(mb) for name, mb in platform.most.items()})
        )
        answered = sum(client.answered for client in clients)
        lost = [name for client in clients for name in client.unanswered]
        record(
            f'{answered} requests answered; {len(lost)} passed on to a sound '
            'server from a kept connection that was then closed without an '
            f'answer, {ALLOWED} allowed'
        )
        return BROKEN if len(lost) > ALLOWED else HELD
    finally:
        fleet.stop()


main(HERE, play)
