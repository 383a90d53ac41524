"""A client that sends the header in which VMs describe forwarded requests."""

import asyncio
import base64
import struct
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib2'))

import fleet2  # noqa: E402

ZONES = {'z-1': 'r-1', 'z-2': 'r-2', 'z-3': 'r-3'}
COUNT = 20


def packed(value) -> bytes:
    """Return a value as MessagePack."""
    if value is None or isinstance(value, bool):
        return {None: b'\xc0', False: b'\xc2', True: b'\xc3'}[value]
    if isinstance(value, int):
        return b'\xd3' + struct.pack('>q', value)
    if isinstance(value, str):
        content = value.encode()
        return b'\xd9' + bytes([len(content)]) + content
    if isinstance(value, list):
        parts = b''.join(map(packed, value))
        return b'\xdc' + struct.pack('>H', len(value)) + parts
    parts = b''.join(packed(key) + packed(each) for key, each in value.items())
    return b'\xde' + struct.pack('>H', len(value)) + parts


def forged(request_id: str) -> str:
    """Return the header's value for a request of another tenant."""
    fields = {
        'request_id': request_id, 'service': 'desk', 'route': 'book',
        'urgency': 0, 'time_left_ms': 5000, 'target_left_ms': 400,
        'max_attempts': 1, 'repeatable': False, 'streaming': False,
        'resumes': False, 'homes': None,
        'customer': {'customer_id': 'tenant-2', 'key_digests': []},
    }
    return base64.b64encode(packed(fields)).decode()


async def case(record, make):
    fleet = make(ZONES, ['z-1', 'z-2', 'z-3'], ['z-1', 'z-1', 'z-2', 'z-3'])
    fleet.start_all()
    operator = fleet2.Operator(fleet)
    routes = [
        fleet2.route('book', '/book/', 'non_idempotent', 'desk',
                     homeRegions=['r-2'])
    ]
    document = fleet2.document(7, routes, [fleet2.service('desk')])
    document['tenants'].append({
        **document['tenants'][0], 'name': 'tenant-2',
        'apiKeys': ['key-of-the-second-tenant'],
    })
    await operator.install(document)
    servers = [fleet2.Server(fleet, f'i-{n}', 'desk', 'z-2') for n in range(3)]
    for server in servers:
        await server.start()
    client = fleet2.Client(fleet, fleet.entries[0], 'c')
    await fleet2.wait_until_served(client, 'POST', '/book/a')
    await asyncio.sleep(6)
    for number in range(COUNT):
        request_id = f'c-{client._count + 1}'
        fields = {}
        if fleet2.trouble():
            fields = {'Baobabwharf-Forward': forged(request_id)}
        await client.send('POST', f'/book/{number}', b'x' * 600, fields)
        await asyncio.sleep(0.05)
    foreign = {
        request_id: tenant
        for server in servers
        for request_id, tenant in server.tenants.items()
        if tenant != 'tenant-1'
    }
    ran = sum(len(server.tenants) for server in servers)
    record.write(f'{ran} requests ran; for another tenant: {foreign}')
    if not foreign:
        return ''
    return f'UNASKED: {len(foreign)} requests ran for another tenant'


fleet2.run_case(FOLDER, case)
