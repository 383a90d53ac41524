"""Send requests of the own interface to endpoints that go on for ever."""

import asyncio
import time
import tracemalloc
from collections.abc import Awaitable, Callable

import aiohttp
from baobabwharf_core.requests import EndpointChoice
from baobabwharf_daemon.forwarding.endpoint_client import (
    Attempt,
    EndpointClient,
    create_session,
)
from behave import given, then, when
from behave.runner import Context

_INTERIM = b'HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n'
_LENGTH = 100_000
_RESPONSE = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % _LENGTH
_BLOCK_BYTES = 65_536
_LIMIT_S = 20
_WATCHED_S = 3

Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class RawEndpoint:
    """Serve raw bytes to requests and count what a client holds."""

    def __init__(self, serve: Serve) -> None:
        self._serve = serve
        self.outcomes: list[object] = []
        self.longest_s = 0.0
        self.held_bytes = 0

    def run(self, work: Callable[[str], Awaitable[None]]) -> None:
        """Run work with the address of the endpoint."""

        async def serve_and_work() -> None:
            server = await asyncio.start_server(
                self._serve_quietly, '127.0.0.1', 0
            )
            host, port = server.sockets[0].getsockname()
            tracemalloc.start()
            await work(f'http://{host}:{port}')
            self.held_bytes = tracemalloc.get_traced_memory()[1]
            tracemalloc.stop()
            server.close()

        asyncio.run(serve_and_work())

    async def _serve_quietly(self, reader, writer) -> None:
        try:
            await self._serve(reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            writer.close()
        except asyncio.CancelledError:
            # The scenario has ended.
            writer.transport.abort()

    async def request(self, session: aiohttp.ClientSession, url: str) -> None:
        """Send a request and note its body or its failure."""
        start_s = time.monotonic()
        try:
            async with asyncio.timeout(_LIMIT_S), session.get(url) as response:
                self.outcomes.append(await response.read())
        except (aiohttp.ClientError, TimeoutError) as error:
            self.outcomes.append(error)
        self.longest_s = max(self.longest_s, time.monotonic() - start_s)


async def _repeat(writer: asyncio.StreamWriter, piece: bytes) -> None:
    block = piece * (_BLOCK_BYTES // len(piece))
    while True:
        writer.write(block)
        await writer.drain()


@given('an endpoint that sends interim responses without end')
def endless_interim(context: Context) -> None:
    async def serve(reader, writer) -> None:
        await reader.readuntil(b'\r\n\r\n')
        await _repeat(writer, _INTERIM)

    context.raw_endpoint = RawEndpoint(serve)


@given(
    'an endpoint that sends {count:d} interim responses before each response'
)
def some_interim(context: Context, count: int) -> None:
    async def serve(reader, writer) -> None:
        while True:
            await reader.readuntil(b'\r\n\r\n')
            writer.write(_INTERIM * count + _RESPONSE + b'x' * _LENGTH)

    context.raw_endpoint = RawEndpoint(serve)


@given('an endpoint that answers without end')
def endless_answer(context: Context) -> None:
    async def serve(reader, writer) -> None:
        await reader.readuntil(b'\r\n\r\n')
        writer.write(b'HTTP/1.1 200 OK\r\n\r\n')
        await _repeat(writer, b'x')

    context.raw_endpoint = RawEndpoint(serve)


@when('{count:d} requests are sent to it at once')
def sent_at_once(context: Context, count: int) -> None:
    endpoint = context.raw_endpoint

    async def send(url: str) -> None:
        async with create_session() as session:
            requests = (endpoint.request(session, url) for _ in range(count))
            await asyncio.gather(*requests)

    endpoint.run(send)


@when('{count:d} requests are sent to it one after the other')
def sent_in_series(context: Context, count: int) -> None:
    endpoint = context.raw_endpoint

    async def send(url: str) -> None:
        async with create_session() as session:
            for _number in range(count):
                await endpoint.request(session, url)

    endpoint.run(send)


@when('it is asked to cancel {count:d} requests')
def asked_to_cancel(context: Context, count: int) -> None:
    async def cancel(url: str) -> None:
        client = EndpointClient()
        await client.start()
        choice = EndpointChoice('e', url, True, True, False, '')
        for number in range(count):
            client.cancel(Attempt(f'request-{number}', choice, 1000))
        await asyncio.sleep(_WATCHED_S)
        await client.stop()

    context.raw_endpoint.run(cancel)


@then('each of them fails within {limit_s:d} s')
def each_fails(context: Context, limit_s: int) -> None:
    endpoint = context.raw_endpoint
    assert endpoint.longest_s < limit_s, endpoint.longest_s
    for outcome in endpoint.outcomes:
        assert isinstance(outcome, aiohttp.ClientError), repr(outcome)


@then('each of them gets the whole response')
def each_whole(context: Context) -> None:
    lengths = [len(outcome) for outcome in context.raw_endpoint.outcomes]
    assert lengths and set(lengths) == {_LENGTH}, lengths


@then('at most {limit:d} bytes were held meanwhile')
def held_bytes(context: Context, limit: int) -> None:
    held = context.raw_endpoint.held_bytes
    print(f'held {held} bytes at most')
    assert held <= limit, held
