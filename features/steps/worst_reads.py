"""Replay faulty endpoints against the pure limits of memory and time."""

import asyncio
from unittest.mock import Mock

from baobabwharf_daemon.proxy.endpoint_connection import EndpointConnection
from baobabwharf_decisions.proxying.buffer_budget import BufferBudget
from baobabwharf_decisions.proxying.read_pacer import ReadPacer
from behave import given, then, when
from behave.runner import Context

# What the pacer assumes: the scenario checks its shares, not a machine.
_PIECE_MS = 0.003
_INTERVAL_MS = 50
# Longer than the turn of one connection.
_TURN_S = 0.5


class PacedReads:
    """Let connections read as soon as the pacer lets them."""

    def __init__(self, connections: int, size_bytes: int, pieces: int) -> None:
        self.size_bytes, self.pieces = size_bytes, pieces
        self.due_ms = [0.0] * connections
        self.longest_ms = 0.0
        self.parsing_ms = 0.0
        self.played_ms = 0.0

    def play(self, seconds: int) -> None:
        """Read whatever is due at each moment."""
        pacer = ReadPacer()
        self.played_ms = seconds * 1000.0
        for now_ms in range(0, seconds * 1000, 10):
            for number, due_ms in enumerate(self.due_ms):
                if due_ms > now_ms:
                    continue
                self.parsing_ms += self.pieces * _PIECE_MS
                waits_ms = pacer.delay_ms(now_ms, self.pieces, self.size_bytes)
                self.longest_ms = max(self.longest_ms, waits_ms)
                self.due_ms[number] = now_ms + max(_INTERVAL_MS, waits_ms)


@given(
    '{count:d} connections that each have {size:d} bytes in {pieces:d} pieces every 50 ms'
)
def connections(context: Context, count: int, size: int, pieces: int) -> None:
    context.reads = PacedReads(count, size, pieces)


@when('their reads are paced for {seconds:d} s')
def paced(context: Context, seconds: int) -> None:
    context.reads.play(seconds)


@then('parsing took at most {percent:d} percent of that time')
def parsing_share(context: Context, percent: int) -> None:
    share = context.reads.parsing_ms / context.reads.played_ms
    assert share <= percent / 100, share


@then('no read waited longer than {limit_ms:d} ms')
def longest_wait(context: Context, limit_ms: int) -> None:
    assert context.reads.longest_ms <= limit_ms, context.reads.longest_ms


@given('the memory for buffered responses')
def buffer_budget(context: Context) -> None:
    context.budget = BufferBudget()


@when('{count:d} responses of {size:d} bytes arrive at once')
def sized_responses(context: Context, count: int, size: int) -> None:
    context.granted = [context.budget.reserve(size) for _ in range(count)]


@when('{count:d} responses of unknown length arrive at once')
def endless_responses(context: Context, count: int) -> None:
    context.granted = [context.budget.reserve(None) for _ in range(count)]


@when('all of them have ended')
def ended(context: Context) -> None:
    for granted in context.granted:
        context.budget.release(granted)


@then(
    'the first may buffer {first:d} bytes and each of them at least {least:d}'
)
def each_granted(context: Context, first: int, least: int) -> None:
    assert context.granted[0] == first, context.granted[0]
    assert min(context.granted) >= least, min(context.granted)


@then('all together may buffer at most {limit:d} bytes')
def all_granted(context: Context, limit: int) -> None:
    assert sum(context.granted) <= limit, sum(context.granted)


@then('the next response may buffer {size:d} bytes')
def next_granted(context: Context, size: int) -> None:
    granted = context.budget.reserve(None)
    assert granted == size, granted


@given(
    'a connection that received a whole response in {count:d} chunks of 2 bytes'
)
def received_in_chunks(context: Context, count: int) -> None:
    async def receive() -> None:
        connection = EndpointConnection(ReadPacer())
        transport = Mock()
        transport.is_closing.return_value = False
        transport.get_write_buffer_size.return_value = 0
        connection.connection_made(transport)
        connection.send(b'', lambda head: True, bodiless=False)
        connection.data_received(
            b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
            + b'2\r\nab\r\n' * count
            + b'0\r\n\r\n'
        )
        context.body = b''
        while block := await connection.read_block():
            context.body += block
        connection.mark_idle(0)
        context.usable_at_once = connection.usable
        await asyncio.sleep(_TURN_S)
        context.usable_later = connection.usable

    context.chunks = count
    asyncio.run(receive())


@then('the response was read completely')
def read_completely(context: Context) -> None:
    assert context.body == b'ab' * context.chunks, len(context.body)


@then('the connection is not usable before its turn')
def not_usable(context: Context) -> None:
    assert not context.usable_at_once
    assert context.usable_later
