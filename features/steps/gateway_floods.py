"""Flood the own interface of a real VM with bodies that don't end."""

import asyncio
import itertools
import json
import os
import re
from pathlib import Path

import aiohttp
from baobabwharf_testkit.expected_responses import body_digest
from baobabwharf_testkit.fleet import Fleet
from baobabwharf_testkit.fleet_plan import (
    ROTAWEN,
    FleetPlan,
    VmPlan,
    service_plan,
)
from baobabwharf_testkit.fleet_setup import set_up_customers, set_up_services
from baobabwharf_testkit.loop_thread import LoopThread
from baobabwharf_testkit.workload import CustomerPlan
from behave import given, then, when
from behave.runner import Context

_REGION = ROTAWEN.regions[0]
_PATH = f'/services/{ROTAWEN.plain_service}/bookings'
# Memory that a VM has whose settings state none.
_MEMORY_KB = 256 * 1024
# Descriptors of the VM's own work beside those of the crowd.
_SPARE_DESCRIPTORS = 16
_RATE = 1_000_000_000
_LIMIT_BYTES = 8 * 1024 * 1024
_CHUNK = b'x' * 64 * 1024
_TINY_CHUNKS = b'7\r\nxxxxxxx\r\n' * 4096
# A connection whose peer takes nothing for this time has sent what it can.
_STUCK_S = 20
# Only keep a hanging VM from holding up the suite.
_CROWD_TIMEOUT_S = 30
_REQUEST_TIMEOUT_S = 20
_WARM_UP_TIMEOUT_S = 20
_IDLE_CHECK_S = 0.5
_IDLE_SHARE = 0.3
_SLOW_PIECES = 64
_SLOW_PAUSE_S = 0.1


def _chunks(size: int):
    framed = b'%x\r\n%b\r\n' % (len(_CHUNK), _CHUNK)
    return itertools.repeat(framed, size // len(_CHUNK))


def _plain(size: int):
    yield from itertools.repeat(_CHUNK, size // len(_CHUNK))
    yield b'x' * (size % len(_CHUNK))


def _bodies():
    """Return header, prefix and pieces for each kind of body."""
    chunked = b'Transfer-Encoding: chunked'
    announced = b'Content-Length: %d' % _LIMIT_BYTES
    return {
        'announced': (announced, _plain(_LIMIT_BYTES - 1)),
        'chunked': (chunked, _chunks(_LIMIT_BYTES - len(_CHUNK))),
        'tiny chunks': (chunked, itertools.repeat(_TINY_CHUNKS, 36)),
        'oversized': (chunked, _chunks(4 * _LIMIT_BYTES)),
        'huge chunk': (
            chunked,
            itertools.chain(
                [b'%x\r\n' % 400_000_000], _plain(4 * _LIMIT_BYTES)
            ),
        ),
        'huge announced': (
            b'Content-Length: 400000000',
            _plain(4 * _LIMIT_BYTES),
        ),
        'pipelined': (announced, _plain(_LIMIT_BYTES - 1)),
    }


class FloodedVm:
    """Run one VM and one plain service, and a crowd that stays connected."""

    def __init__(self, folder: Path) -> None:
        vm = VmPlan('flooded-vm1', _REGION, 'z1', has_disk=True)
        self.fleet = Fleet(FleetPlan(vms=(vm,), drain_deadline_ms=500), folder)
        self.loop = LoopThread()
        self.writers: list[asyncio.StreamWriter] = []
        self.keys: dict[str, str] = {}
        self.answer: tuple[int, bytes] = (0, b'')

    @property
    def vm(self):
        return self.fleet.vms['flooded-vm1']

    async def start(self) -> None:
        await self.fleet.start()
        operator = self.fleet.operator()
        await set_up_services(self.fleet, operator, ROTAWEN)
        plans = tuple(
            CustomerPlan(name, _REGION, _RATE, _RATE)
            for name in ('crowd', 'ordinary')
        )
        self.keys = await set_up_customers(operator, plans)
        await operator.close()
        self.fleet.add_endpoint(service_plan(ROTAWEN, _REGION))
        await self.fleet.wait_registered(*self.fleet.endpoints)
        # Tokens of a new customer are lent only after some time.
        async with asyncio.timeout(_WARM_UP_TIMEOUT_S):
            for name in self.keys:
                await self._ask_until_served(name)
        self.descriptors = self.count_descriptors()

    async def _ask_until_served(self, customer: str) -> None:
        for _ in range(10 * _WARM_UP_TIMEOUT_S):
            if (await self.ask(customer))[0] == 200:
                return
            await asyncio.sleep(0.1)

    async def ask(self, customer: str) -> tuple[int, bytes]:
        timeout = aiohttp.ClientTimeout(total=_REQUEST_TIMEOUT_S)
        headers = {'Authorization': f'Bearer {self.keys[customer]}'}
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.post(
                self.vm.url + _PATH,
                data=b'an ordinary booking',
                headers=headers,
            ) as response,
        ):
            return response.status, await response.read()

    async def crowd(self, size: int, kind: str, key: str) -> None:
        async with asyncio.timeout(2 * _CROWD_TIMEOUT_S):
            await asyncio.gather(*(self._join(kind, key) for _ in range(size)))
        await self._wait_until_idle()

    async def _wait_until_idle(self) -> None:
        """Wait until the VM has handled what the kernel holds for it."""
        for _ in range(int(_CROWD_TIMEOUT_S / _IDLE_CHECK_S)):
            before_s = self._processor_s()
            await asyncio.sleep(_IDLE_CHECK_S)
            if self._processor_s() - before_s < _IDLE_SHARE * _IDLE_CHECK_S:
                return

    def _processor_s(self) -> float:
        stat = Path(f'/proc/{self.vm.process.pid}/stat').read_text()
        fields = stat.rsplit(')', 1)[1].split()
        ticks = int(fields[11]) + int(fields[12])
        return ticks / os.sysconf('SC_CLK_TCK')

    async def _join(self, kind: str, key: str) -> None:
        header, pieces = _bodies()[kind]
        prefix = b'GET /health HTTP/1.1\r\nHost: x\r\n\r\n'
        _reader, writer = await self._open()
        writer.write(prefix if kind == 'pipelined' else b'')
        writer.write(self._head(header, key))
        try:
            async with asyncio.timeout(_CROWD_TIMEOUT_S):
                for piece in pieces:
                    writer.write(piece)
                    await asyncio.wait_for(writer.drain(), _STUCK_S)
        except (TimeoutError, ConnectionError):
            # The VM has stopped reading or closed the connection; both are
            # allowed, and the crowd stays as it is.
            return

    async def _open(self):
        # The crowd's own kernel buffers must not take a whole body.
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', self.vm.ports['caller_port'], limit=64 * 1024
        )
        self.writers.append(writer)
        return reader, writer

    def _head(self, header: bytes, key: str) -> bytes:
        lines = [b'POST %b HTTP/1.1' % _PATH.encode(), b'Host: x', header]
        if key:
            lines.append(b'Authorization: Bearer %b' % key.encode())
        return b'\r\n'.join([*lines, b'', b''])

    async def send_slowly(self) -> None:
        reader, writer = await self._open()
        header = b'Content-Length: %d\r\nConnection: close' % _LIMIT_BYTES
        writer.write(self._head(header, self.keys['crowd']))
        piece = b'x' * (_LIMIT_BYTES // _SLOW_PIECES)
        for _ in range(_SLOW_PIECES):
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(_SLOW_PAUSE_S)
        head, _blank, content = (await reader.read()).partition(b'\r\n\r\n')
        self.answer = (int(head.split()[1]), content)

    def peak_memory_kb(self) -> int:
        status = Path(f'/proc/{self.vm.process.pid}/status').read_text()
        found = re.search(r'^VmHWM:\s+(\d+) kB$', status, re.MULTILINE)
        assert found is not None, status
        return int(found[1])

    def count_descriptors(self) -> int:
        return len(os.listdir(f'/proc/{self.vm.process.pid}/fd'))

    def close(self) -> None:
        async def leave() -> None:
            for writer in self.writers:
                writer.transport.abort()
            await self.fleet.stop()

        try:
            self.loop.run(leave())
        finally:
            self.fleet.kill_all()
            self.loop.close()


@given('a flooded VM with its plain service')
def flooded_vm(context: Context) -> None:
    context.flooded = FloodedVm(context.path)
    context.add_cleanup(context.flooded.close)
    context.flooded.loop.run(context.flooded.start())


@when(
    '{size:d} callers {with_key} a key send {kind} bodies to the flooded VM '
    'and stay'
)
def flood(context: Context, size: int, with_key: str, kind: str) -> None:
    flooded = context.flooded
    key = flooded.keys['crowd'] if with_key == 'with' else ''
    flooded.loop.run(
        flooded.crowd(size, kind, key), timeout_s=3 * _CROWD_TIMEOUT_S
    )


@then('the flooded VM kept within its memory and descriptors')
def within_bounds(context: Context) -> None:
    flooded = context.flooded
    assert flooded.vm.process.running, flooded.vm.process.exit_code
    peak_kb = flooded.peak_memory_kb()
    descriptors = flooded.count_descriptors()
    print(f'Peak {peak_kb // 1024} MB, {descriptors} descriptors.')
    assert peak_kb <= _MEMORY_KB, f'{peak_kb} kB of {_MEMORY_KB}'
    most = flooded.descriptors + len(flooded.writers) + _SPARE_DESCRIPTORS
    assert descriptors <= most, f'{descriptors} of {most}'


@then('the flooded VM answers one ordinary request')
def answers(context: Context) -> None:
    flooded = context.flooded
    status, content = flooded.loop.run(flooded.ask('ordinary'))
    assert status == 200, (status, content)
    assert flooded.vm.process.running, flooded.vm.process.exit_code


@when('a lone caller sends the largest legal body to the VM in slow pieces')
def slow_body(context: Context) -> None:
    context.flooded.loop.run(context.flooded.send_slowly())


@then('the lone caller got the answer to its whole body')
def whole_body(context: Context) -> None:
    status, content = context.flooded.answer
    assert status == 200, (status, content)
    digest = json.loads(content)['body_digest']
    assert digest == body_digest(b'x' * _LIMIT_BYTES), content
