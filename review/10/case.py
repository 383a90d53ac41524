"""Prompts of many parts while the zone of their servers is evacuated."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib2'))

import fleet2  # noqa: E402

ZONES = {'z-1': 'r-1', 'z-2': 'r-2', 'z-3': 'r-3'}
EVACUATION_S = 8.0
# Entries of X-Prompt-Prefix; the head stays far below maxHeaderBytes.
PARTS, TOKENS = 400, 7


def headers(request: int) -> dict:
    """Return the headers of a prompt; its last part is its own."""
    parts = [f'{0x5c1e0000 + number:08x}:{TOKENS}' for number in range(PARTS)]
    parts.append(f'{0x91bd0000 + request:08x}:{TOKENS}')
    return {
        'X-Model': 'm',
        'X-Token-Usage': f'{TOKENS * (PARTS + 1)},80',
        'X-Prompt-Prefix': ','.join(parts),
    }


async def case(record, make):
    fleet = make(ZONES, ['z-1', 'z-2', 'z-3'], ['z-1', 'z-1', 'z-2', 'z-3'])
    fleet.start_all()
    operator = fleet2.Operator(fleet)
    routes = [
        fleet2.route('draft', '/draft/', 'streaming', 'model', sticky=True,
                     timeoutMs=12000, targetLatencyMs=800, gapTargetMs=600)
    ]
    services = [fleet2.engine_service('model')]
    await operator.install(fleet2.document(7, routes, services))
    servers = [
        fleet2.Server(fleet, f'i-{zone}-{n}', 'model', zone)
        for zone in ('z-1', 'z-2') for n in range(2)
    ]
    for server in servers:
        await server.start()
    clients = [
        fleet2.Client(fleet, vm, f'c{n}')
        for n, vm in enumerate(fleet.entries_of('z-1') * 2)
    ]
    await fleet2.wait_until_served(clients[0], 'POST', '/draft/first')
    await asyncio.sleep(8)
    size = sum(len(name) + len(value) + 4 for name, value in headers(0).items())
    record.write(f'the headers of a prompt have {size} bytes')
    for client in clients:
        client.results.clear()

    async def keep_sending(client):
        for number in range(10**6):
            await client.send('POST', f'/draft/{client.name}', b'x' * 600,
                              headers(number), deadline_ms=12000)
            await asyncio.sleep(0.3)

    senders = [asyncio.create_task(keep_sending(one)) for one in clients]
    await asyncio.sleep(4)
    if fleet2.trouble():
        await operator.order('POST', '/baobabwharf/evacuate/z-1')
    await asyncio.sleep(EVACUATION_S)
    if fleet2.trouble():
        await operator.order('DELETE', '/baobabwharf/evacuate/z-1')
    await asyncio.sleep(4)
    for sender in senders:
        sender.cancel()
    results = [status for client in clients for _, _, status in client.results]
    denied = [s for s in results if 300 <= s < 500 and s not in (408, 421, 429)]
    counts = {status: results.count(status) for status in sorted(set(results))}
    record.write(f'answers by status: {counts}')
    if 200 not in counts:
        raise fleet2.CannotRun('nothing was served')
    if len(denied) <= 5 + len(results) / 500:
        return ''
    return f'DENIED: {len(denied)} of {len(results)} proper requests'


fleet2.run_case(FOLDER, case)
