"""Let callers send large bodies, whole or in part, to one entry VM."""

import asyncio
import contextlib
import re
from collections.abc import Iterator
from pathlib import Path

from baobabwharf_soak.process_launcher import CALLER_PORT_OFFSET
from behave import given, then, when
from behave.runner import Context
from platform_fleet import _HOST, _KEY, PlatformFleet, _request_until_run

_BODY_BYTES = 4_194_304
_BLOCK = bytes(65_536)
# How long callers may take to send; some of them are never read to the end.
_SENDING_S = 8
_KB_PER_MB = 1024


def _head(
    fields: str, path: str = '/a/x', key: str = _KEY, name: str = 'flood'
) -> bytes:
    authorization = f'Authorization: Bearer {key}\r\n' if key else ''
    return (
        f'POST {path} HTTP/1.1\r\nHost: {_HOST}\r\n{authorization}'
        f'X-Request-Id: {name}\r\nX-Deadline-Ms: 20000\r\n{fields}\r\n\r\n'
    ).encode()


def _length(length: int) -> str:
    return f'Content-Length: {length}'


def _blocks(size: int) -> Iterator[bytes]:
    while size > 0:
        yield _BLOCK[:size]
        size -= len(_BLOCK)


def _chunks(size: int, total: int) -> Iterator[bytes]:
    """Yield chunks without the last one, many tiny ones in a block."""
    chunk = b'%x\r\n%s\r\n' % (size, _BLOCK[:size])
    repeated = max(1, len(_BLOCK) // len(chunk))
    for _number in range(total // (size * repeated)):
        yield chunk * repeated


def _announced(path: str = '/a/x', key: str = _KEY) -> Iterator[bytes]:
    yield _head(_length(_BODY_BYTES), path, key)
    yield from _blocks(_BODY_BYTES - 1)


def _pieces() -> Iterator[bytes]:
    yield _head(_length(_BODY_BYTES))
    for _number in range(_BODY_BYTES // 2048):
        yield _BLOCK[:1024]


def _chunked(size: int, total: int = _BODY_BYTES - 65_536) -> Iterator[bytes]:
    yield _head('Transfer-Encoding: chunked')
    yield from _chunks(size, total)


def _whole() -> Iterator[bytes]:
    yield _head(_length(_BODY_BYTES), '/a/long')
    yield from _blocks(_BODY_BYTES)


def _far_over() -> Iterator[bytes]:
    yield _head(_length(400_000_000))
    yield from _blocks(400_000_000)


def _large_chunk() -> Iterator[bytes]:
    yield _head('Transfer-Encoding: chunked') + b'%x\r\n' % 400_000_000
    yield from _blocks(400_000_000)


def _pipelined() -> Iterator[bytes]:
    yield _head(_length(4), '/a/long') + b'body' + _head(_length(_BODY_BYTES))
    yield from _blocks(_BODY_BYTES - 1)


_FORMS = {
    'a body less its last byte': _announced,
    'a body less its last byte without a key': lambda: _announced(key=''),
    'a body less its last byte to another path': lambda: _announced('/no/x'),
    'half a body in pieces of 1 KB': _pieces,
    'chunks of 64 KB without the last': lambda: _chunked(65_536),
    'chunks of 7 bytes without the last': lambda: _chunked(7),
    'chunks of 1 byte without the last': lambda: _chunked(1),
    'whole bodies': _whole,
    '400 MB announced': _far_over,
    'a chunk of 400 MB': _large_chunk,
    '32 MiB in chunks': lambda: _chunked(65_536, 33_554_432),
    'a body less its last byte behind a small one': _pipelined,
}


class Flood:
    """Own the connections of the callers."""

    def __init__(self, fleet: PlatformFleet) -> None:
        self.fleet = fleet
        self.host = fleet.entries[0]
        self.descriptors = 0
        self.statuses: list[bytes] = []
        self._writers: list[asyncio.StreamWriter] = []
        self._readers: list[asyncio.Task] = []

    async def send(self, form: str, callers: int) -> None:
        """Send from all connections and leave them open."""
        senders = [self._send(_FORMS[form]()) for _number in range(callers)]
        running = [asyncio.create_task(sender) for sender in senders]
        for _poll in range(_SENDING_S * 10):
            await asyncio.sleep(0.1)
            self.count_descriptors()
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)

    def count_descriptors(self) -> None:
        folder = Path(f'/proc/{self.fleet.processes[self.host].pid}/fd')
        with contextlib.suppress(OSError):
            found = len(tuple(folder.iterdir()))
            self.descriptors = max(self.descriptors, found)

    def peak_mb(self) -> int:
        """Return the largest resident memory of the process so far."""
        pid = self.fleet.processes[self.host].pid
        status = Path(f'/proc/{pid}/status').read_text()
        found = re.search(r'^VmHWM:\s+(\d+) kB$', status, re.MULTILINE)
        assert found, 'The entry VM has ended.'
        return int(found.group(1)) // _KB_PER_MB

    def close(self) -> None:
        for writer in self._writers:
            writer.transport.abort()
        for task in self._readers:
            task.cancel()

    async def _send(self, blocks: Iterator[bytes]) -> None:
        port = self.fleet.port(CALLER_PORT_OFFSET)
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection(self.host, port)
            self._writers.append(writer)
            self._readers.append(asyncio.create_task(self._read(reader)))
            for block in blocks:
                writer.write(block)
                await writer.drain()

    async def _read(self, reader: asyncio.StreamReader) -> None:
        with contextlib.suppress(OSError):
            while line := await reader.readline():
                if line.startswith(b'HTTP/1.1 '):
                    self.statuses.append(line.split()[1])


@given(
    'a platform fleet of {disks:d} disk VMs and {entries:d} entry VMs '
    'with {memory_mb:d} MB and {descriptors:d} descriptors, ports seed {seed:d}'
)
def small_fleet(
    context: Context,
    disks: int,
    entries: int,
    memory_mb: int,
    descriptors: int,
    seed: int,
) -> None:
    context.limits = {'memoryMb': memory_mb, 'maxFds': descriptors}
    context.fleet = PlatformFleet(
        context.path, disks, entries, seed, context.limits
    )
    context.add_cleanup(context.fleet.close)


@given('it serves requests')
def serves(context: Context) -> None:
    fleet = context.fleet
    fleet.install(fleet.disks[0], 7)
    fleet.register(fleet.disks[0], 'ready')
    _request_until_run(fleet, fleet.entries[0])


@when('{callers:d} callers send {form} and stay connected')
def flood(context: Context, callers: int, form: str) -> None:
    context.flood = Flood(context.fleet)
    context.add_cleanup(context.flood.close)
    before_mb = context.flood.peak_mb()
    context.fleet.run(context.flood.send(form, callers))
    counts = {
        status.decode(): context.flood.statuses.count(status)
        for status in set(context.flood.statuses)
    }
    print(
        f'{form}: {before_mb} MB before, peak {context.flood.peak_mb()} MB, '
        f'{context.flood.descriptors} descriptors, answers {counts}'
    )


@then('an ordinary request is answered meanwhile')
def answered(context: Context) -> None:
    _request_until_run(context.fleet, context.fleet.entries[0])


@then('the entry VM stayed within its memory and descriptors and still runs')
def bounded(context: Context) -> None:
    run = context.flood
    assert context.fleet.processes[run.host].poll() is None
    peak_mb = run.peak_mb()
    print(f'peak {peak_mb} MB, {run.descriptors} descriptors')
    assert peak_mb <= context.limits['memoryMb'], peak_mb
    assert run.descriptors <= context.limits['maxFds'], run.descriptors


@when('a caller sends a whole body in {pieces:d} pieces over {seconds:d} s')
def slow_body(context: Context, pieces: int, seconds: int) -> None:
    async def send() -> bytes:
        port = context.fleet.port(CALLER_PORT_OFFSET)
        host = context.fleet.entries[0]
        reader, writer = await asyncio.open_connection(host, port)
        writer.write(_head(_length(_BODY_BYTES), name='slow-body'))
        for _number in range(pieces):
            writer.write(bytes(_BODY_BYTES // pieces))
            await writer.drain()
            await asyncio.sleep(seconds / pieces)
        line = await reader.readline()
        writer.close()
        return line

    context.line = context.fleet.run(send())


@then('it is answered with {status:d}')
def answered_with(context: Context, status: int) -> None:
    assert context.line.split()[1:2] == [b'%d' % status], context.line
