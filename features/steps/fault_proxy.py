"""Test the fault proxy in front of an echo server."""

import asyncio
import time
from collections.abc import Awaitable, Callable

from baobabwharf_testkit.fault_proxy import Conditions, FaultProxy, Link
from behave import given, then, when
from behave.runner import Context
from hypothesis import given as for_any
from hypothesis import settings
from hypothesis import strategies as st

_SEED = 7
# Long enough for bytes to arrive on loopback unless they are dropped.
_QUIET_PERIOD_S = 0.15
_TIMEOUT_S = 10


class FaultProxySubject:
    """Run an echo server, a proxy and one connection through it."""

    def __init__(self, conditions: Conditions) -> None:
        self.runner = asyncio.Runner()
        self.link = self.run(self._make_link, conditions)
        self.received = b''
        self.target_writer: asyncio.StreamWriter | None = None
        self.run(self._open)

    def run(self, work: Callable[..., Awaitable], *arguments):
        async def limited():
            async with asyncio.timeout(_TIMEOUT_S):
                return await work(*arguments)

        return self.runner.run(limited())

    async def _make_link(self, conditions: Conditions) -> Link:
        return Link(conditions, _SEED)

    async def _open(self) -> None:
        self.server = await asyncio.start_server(self._echo, '127.0.0.1', 0)
        port = self.server.sockets[0].getsockname()[1]
        self.proxy = FaultProxy(port, self.link)
        await self.proxy.start()
        self.reader, self.writer = await asyncio.open_connection(
            '127.0.0.1', self.proxy.port
        )

    async def _echo(self, reader, writer) -> None:
        self.target_writer = writer
        chunk = await reader.read(65536)
        while chunk:
            self.received += chunk
            writer.write(chunk)
            await writer.drain()
            chunk = await reader.read(65536)

    async def exchange(self, sent: bytes) -> bytes:
        self.writer.write(sent)
        return await self.reader.readexactly(len(sent))

    async def receives_nothing(self) -> bool:
        try:
            async with asyncio.timeout(_QUIET_PERIOD_S):
                await self.reader.read(1)
        except TimeoutError:
            return True
        return False

    async def round_trip_ms(self, sent: bytes) -> float:
        started = time.monotonic()
        assert await self.exchange(sent) == sent
        return (time.monotonic() - started) * 1000

    def close(self) -> None:
        self.run(self._close)
        self.runner.close()

    async def _close(self) -> None:
        self.writer.transport.abort()
        await self.proxy.stop()
        self.server.close()


def _build(context: Context, **conditions) -> None:
    print(f'Fault proxy seed {_SEED}.')
    context.proxied = FaultProxySubject(Conditions(**conditions))
    context.add_cleanup(context.proxied.close)


@given('a fault proxy with delay {delay:d} ms and jitter {jitter:d} ms')
def with_delay(context: Context, delay: int, jitter: int) -> None:
    _build(context, delay_ms=delay, jitter_ms=jitter)


@given('a fault proxy with bandwidth {bandwidth:d} Mbit/s')
def with_bandwidth(context: Context, bandwidth: int) -> None:
    _build(context, bandwidth_mbit_s=bandwidth)


@then('any fault proxy traffic comes back unchanged and in order')
def unchanged(context: Context) -> None:
    subject = context.proxied

    @settings(max_examples=20, deadline=None, derandomize=True, database=None)
    @for_any(st.lists(st.binary(min_size=1, max_size=3000), max_size=5))
    def check(parts: list[bytes]) -> None:
        for part in parts:
            assert subject.run(subject.exchange, part) == part

    check()


@then('a fault proxy round trip takes at least {least_ms:d} ms')
def round_trip(context: Context, least_ms: int) -> None:
    assert context.proxied.run(context.proxied.round_trip_ms, b'x') >= least_ms


@then('{count:d} bytes through the fault proxy take at least {least_ms:d} ms')
def transfer(context: Context, count: int, least_ms: int) -> None:
    subject = context.proxied
    assert subject.run(subject.round_trip_ms, b'x' * count) >= least_ms


@when('the fault proxy drops what is sent {direction}')
def drop(context: Context, direction: str) -> None:
    context.proxied.link.adjust(**{f'drop_{direction}': True})


@then('the fault proxy target receives nothing until the drop ends')
def held(context: Context) -> None:
    subject = context.proxied
    subject.writer.write(b'first')
    assert subject.run(subject.receives_nothing)
    assert subject.received == b''
    subject.link.adjust(drop_forward=False)
    assert subject.run(subject.reader.readexactly, 5) == b'first'


@then('the fault proxy target receives all and its echo waits')
def one_way(context: Context) -> None:
    subject = context.proxied
    subject.writer.write(b'second')
    assert subject.run(subject.receives_nothing)
    assert subject.received.endswith(b'second')
    subject.link.adjust(drop_backward=False)
    assert subject.run(subject.reader.readexactly, 6) == b'second'


@when('the fault proxy resets its connections')
def reset(context: Context) -> None:
    subject = context.proxied
    assert subject.run(subject.exchange, b'x') == b'x'
    subject.link.reset()


@then('the fault proxy client sees the end of the connection')
def ended(context: Context) -> None:
    try:
        rest = context.proxied.run(context.proxied.reader.read, 1)
    except ConnectionError:
        return
    assert rest == b''


@when('the fault proxy link is half-open and the target closes')
def half_open(context: Context) -> None:
    subject = context.proxied
    assert subject.run(subject.exchange, b'x') == b'x'
    subject.link.adjust(half_open=True)
    assert subject.target_writer is not None
    subject.target_writer.transport.abort()


@then('the fault proxy client sees no end')
def no_end(context: Context) -> None:
    assert context.proxied.run(context.proxied.receives_nothing)


@then('two fault proxy links with one seed draw the same jitter')
def same_jitter(context: Context) -> None:
    subject = FaultProxySubject(Conditions(jitter_ms=50))
    context.add_cleanup(subject.close)
    other = subject.run(subject._make_link, Conditions(jitter_ms=50))
    same_seed = subject.run(subject._make_link, Conditions(jitter_ms=50))
    drawn = [other.forward.jitter_ms() for _ in range(20)]
    assert drawn == [same_seed.forward.jitter_ms() for _ in range(20)]
    assert drawn != [same_seed.backward.jitter_ms() for _ in range(20)]
