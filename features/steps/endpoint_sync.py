"""Lose changes of endpoints on their way to a VM and await the renewals."""

import asyncio

import uvloop
from baobabwharf_core.clock import SystemClock
from baobabwharf_core.codec import decode, encode
from baobabwharf_core.fleet_config import VmRecord
from baobabwharf_daemon.decision_log import DecisionLog
from baobabwharf_daemon.proxy.endpoint_sync import EndpointSync
from baobabwharf_daemon.rpc import RpcFailure
from baobabwharf_decisions.proxying.endpoint_table import EndpointRecord
from behave import given, then, when
from behave.runner import Context
from expression import Error, Ok
from msgspec.structs import replace

# Two rounds of renewals, one of which may have begun before the change.
_ROUNDS_S = 2.5
_FIRST = EndpointRecord('i-0', 's', '10.0.0.1:80', 'z', 'r', 6, 1, 1)
_CHANGES = {
    'draining': {'draining': True},
    'leaving soon': {'draining': True, 'leaves_in_ms': 2000},
    'cold': {'cold_left_ms': 3000},
    'slots': {'slots': 9},
    'service': {'service': 't'},
    'address': {'address': '10.0.0.2:80'},
    'zone': {'zone': 'y'},
    'new process': {'incarnation': 2, 'sequence': 0},
    'none': {},
}


class _Vms:
    """Name the VMs that a VM knows to be alive."""

    def __init__(self, own: VmRecord) -> None:
        self.own = own
        self.others: list[VmRecord] = []

    def live(self) -> dict[str, VmRecord]:
        return {vm.vm_id: vm for vm in (self.own, *self.others)}

    def other_disk_vms(self) -> list[VmRecord]:
        return [vm for vm in self.others if vm.has_disk]


class _Network:
    """Deliver calls to the handlers of VMs, or lose them."""

    def __init__(self) -> None:
        self.handlers = {}
        self.lost = False

    def server(self, address: str):
        network = self

        class Server:
            def register_unary(self, path, kind, reply, handler) -> None:
                network.handlers[address, path] = handler

        return Server()

    async def call(self, address, path, request, reply_type, timeout_ms):
        if self.lost:
            return Error(RpcFailure(address, 'lost'))
        handler = self.handlers[address, path]
        reply = await handler(decode(encode(request), type(request)))
        return Ok(decode(encode(reply), reply_type))

    def reset(self, address: str) -> None:
        """Do nothing: there are no connections."""


class SyncPair:
    """Run the disk VM that hears of an endpoint, and an entry VM."""

    def __init__(self) -> None:
        disk = VmRecord('disk', 'r', 'z', True, 'disk', '', '')
        entry = VmRecord('entry', 'r', 'z', False, 'entry', '', '')
        self.network = _Network()
        self.vms = {'disk': _Vms(disk), 'entry': _Vms(entry)}
        # A VM that has just started knows the others before they know it.
        self.vms['entry'].others = [disk]
        clock = SystemClock()
        self.syncs = {}
        for name, vms in self.vms.items():
            self.syncs[name] = EndpointSync(
                vms, self.network, clock, DecisionLog(clock), None
            )
            self.syncs[name].register(self.network.server(name))

    def meet(self) -> None:
        self.vms['disk'].others = [self.vms['entry'].own]

    async def start(self) -> None:
        self.syncs['disk'].on_heartbeat(_FIRST)
        for sync in self.syncs.values():
            await sync.start()
        await asyncio.sleep(0.1)
        assert 'i-0' in self.known(), 'The entry VM fetched nothing.'

    def known(self) -> dict[str, EndpointRecord]:
        entries = self.syncs['entry'].endpoint_table.entries
        return {name: entry.record for name, entry in entries.items()}

    async def stop(self) -> None:
        for sync in self.syncs.values():
            await sync.stop()


async def play(missed: str, change: dict | None) -> tuple[bool, str]:
    """Let the entry VM miss a change; return whether it learns of it."""
    pair = SyncPair()
    await pair.start()
    disk = pair.syncs['disk']
    if missed == 'lost':
        pair.meet()
        pair.network.lost = True
    changed = _FIRST
    if change is None:
        disk.on_leave(_FIRST.endpoint_id)
    else:
        changed = replace(_FIRST, sequence=2)
        changed = replace(changed, **change)
        disk.on_heartbeat(changed)
    await asyncio.sleep(0)
    await asyncio.sleep(0.05)
    pair.network.lost = False
    pair.meet()
    if change is not None:
        # Later heartbeats tell the same state.
        changed = replace(changed, sequence=changed.sequence + 1)
        disk.on_heartbeat(changed)
    await asyncio.sleep(_ROUNDS_S)
    known = pair.known().get('i-0')
    await pair.stop()
    if change is None:
        return known is None, str(known)
    return known is not None and known.same_state(changed), str(known)


@given('VMs that replicate endpoints')
def vms(context: Context) -> None:
    context.loop = uvloop.new_event_loop()
    context.add_cleanup(context.loop.close)


@when('a VM misses each change of an endpoint because {reason}')
def miss(context: Context, reason: str) -> None:
    missed = 'lost' if reason == 'a push is lost' else 'unknown'
    cases = {**_CHANGES, 'left': None}

    async def play_all():
        return await asyncio.gather(
            *(play(missed, change) for change in cases.values())
        )

    learned = context.loop.run_until_complete(play_all())
    context.learned = dict(zip(cases, learned, strict=True))


@then('it learns of each within two rounds of renewals')
def learns(context: Context) -> None:
    missing = {
        name: known for name, (ok, known) in context.learned.items() if not ok
    }
    assert not missing, missing
