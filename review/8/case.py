"""A server leaves at a machine of the core that is killed right after its ack."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib2'))

import fleet2  # noqa: E402

# The places of Samiti: two core machines in the first two zones.
ZONES = {'z-1': 'r-1', 'z-2': 'r-2', 'z-3': 'r-3'}
CORE = ['z-1', 'z-1', 'z-2', 'z-2', 'z-3']
EDGE = ['z-1', 'z-1', 'z-2', 'z-3']
DRAIN_S = fleet2.BOUNDS['drainMs'] / 1000
CONTACT_S = fleet2.BOUNDS['contactMs'] / 1000
# after_ack_kill: the machine is down for so long.
DOWN_S = 3.0
# The server serves on for `drainMs` and a little longer, at times many seconds.
SERVES_S = 13.0


async def case(record, make):
    fleet = make(ZONES, CORE, EDGE)
    fleet.start_all()
    operator = fleet2.Operator(fleet)
    routes = [fleet2.route('book', '/book/', 'non_idempotent', 'desk')]
    await operator.install(fleet2.document(7, routes, [fleet2.service('desk')]))
    servers = [fleet2.Server(fleet, f'i-{n}', 'desk', 'z-1') for n in range(7)]
    for server in servers:
        await server.start()
    clients = [
        fleet2.Client(fleet, vm, f'c{n}')
        for n, vm in enumerate(fleet.entries_of('z-1') * 3)
    ]
    await fleet2.wait_until_served(clients[0], 'POST', '/book/a')

    async def keep_sending(client):
        while True:
            await client.send('POST', '/book/a', b'x' * 600)
            await asyncio.sleep(0.1)

    senders = [asyncio.create_task(keep_sending(one)) for one in clients]
    # All machines are in touch from here on.
    await asyncio.sleep(CONTACT_S + 3)
    leaving = servers[0]
    leaving.stop_beats()
    # The machine that acknowledges its heartbeats.
    address = leaving.beat_to
    vm = next(one for one in fleet.disks if fleet.control(one) == address)
    pid = vm.process.pid if fleet2.trouble() else 0
    leave = await asyncio.create_subprocess_exec(
        'python3', str(FOLDER / 'leave.py'), address, leaving.name, str(pid),
        stdout=asyncio.subprocess.PIPE,
    )
    output, _ = await asyncio.wait_for(leave.communicate(), 5)
    acked = record.now()
    status, _, delay = output.decode().strip().partition(' ')
    record.write(f'DELETE {leaving.name} at {vm.name}: {status}'
                 f'{f", SIGKILL {delay} ms later" if pid else ""}')
    if status != '200':
        raise fleet2.CannotRun('the DELETE was not acknowledged')
    await asyncio.sleep(DOWN_S)
    if fleet2.trouble():
        vm.process.wait()
        fleet.start(vm)
    restarted = record.now()
    await asyncio.sleep(SERVES_S - DOWN_S)
    leaving.exit()
    await asyncio.sleep(1)
    for sender in senders:
        sender.cancel()
    # Machines are in touch again contactMs after the last event of the core.
    calm = restarted + CONTACT_S if fleet2.trouble() else acked
    sent = {name: at for one in clients for at, name, _ in one.results}
    late = [
        request_id
        for at, request_id in leaving.arrivals
        if at > acked + DRAIN_S and sent.get(request_id, 0) > calm + 0.1
    ]
    record.write(
        f'{len(late)} requests that were sent and passed on by machines in '
        f'touch reached {leaving.name} over drainMs after the ack: {late}'
    )
    return f'DRAIN: {len(late)} requests' if late else ''


fleet2.run_case(FOLDER, case)
