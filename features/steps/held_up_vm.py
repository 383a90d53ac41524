"""Hold up the event loop of a VM at each turn while it waits for others."""

import asyncio
import contextlib
import socket
import threading
import time

import msgspec
import uvloop
from answer_cuts import CutFleet
from baobabwharf_core.clock import SystemClock
from baobabwharf_daemon.proxy.connection_pool import ConnectionPool
from baobabwharf_daemon.rpc import RpcClient, RpcServer
from behave import given, then, when
from behave.runner import Context

# Enough turns for a new connection, or for a call and its reply.
_TURNS = 12
# A request of a caller takes more turns, through up to three processes.
_REQUEST_TURNS = 16
_HOST = '127.0.0.1'
_PATH = '/baobabwharf.Test/Echo'
_LOOPS = {
    'uvloop': uvloop.new_event_loop,
    'asyncio': asyncio.new_event_loop,
}


class _Echo(msgspec.Struct):
    number: int


class _PeerThread:
    """Serve calls on a thread, which goes on while the caller is held up."""

    def __init__(self) -> None:
        self._loop = asyncio.new_event_loop()
        self._started = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self.address = ''
        self._thread.start()
        assert self._started.wait(10)

    def stop(self) -> None:
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(10)

    def _run(self) -> None:
        self._loop.run_until_complete(self._start())
        self._started.set()
        self._loop.run_forever()

    async def _start(self) -> None:
        async def echo(request: _Echo) -> _Echo:
            return request

        with socket.socket() as probe:
            probe.bind((_HOST, 0))
            port = probe.getsockname()[1]
        server = RpcServer('', None)
        server.register_unary(_PATH, _Echo, _Echo, echo)
        await server.start(_HOST, port)
        self.address = f'{_HOST}:{port}'


def hold_up_at(turn: int, stall_s: float) -> None:
    """Block the running loop once, after a number of its turns."""

    def count_down(left: int) -> None:
        if left:
            loop.call_soon(count_down, left - 1)
        else:
            time.sleep(stall_s)

    loop = asyncio.get_running_loop()
    count_down(turn)


@given('the {name} event loop and a connection pool')
def pool(context: Context, name: str) -> None:
    context.loop = _LOOPS[name]()
    context.add_cleanup(context.loop.close)
    listener = socket.create_server((_HOST, 0), backlog=_TURNS * 4)
    context.add_cleanup(listener.close)
    context.address = f'{_HOST}:{listener.getsockname()[1]}'


@when('the VM is held up for each of {stalls} s at each turn while it connects')
def hold_up_connecting(context: Context, stalls: str) -> None:
    async def connect(turn: int, stall_s: float) -> bool:
        connections = ConnectionPool(SystemClock())
        hold_up_at(turn, stall_s)
        connection = await connections.acquire(context.address)
        if connection is not None:
            connection.close()
        return connection is not None

    context.outcomes = {
        (stall_s, turn): context.loop.run_until_complete(connect(turn, stall_s))
        for stall_s in map(float, stalls.split(', '))
        for turn in range(_TURNS)
    }


@then('each attempt has a connection')
@then('each call has its reply')
@then('each request is served')
def all_succeeded(context: Context) -> None:
    failed = [case for case, served in context.outcomes.items() if not served]
    assert not failed, f'{len(failed)} of {len(context.outcomes)}: {failed}'


@given('the {name} event loop and a VM that answers calls')
def answering_vm(context: Context, name: str) -> None:
    context.loop = _LOOPS[name]()
    context.add_cleanup(context.loop.close)
    context.peer = _PeerThread()
    context.add_cleanup(context.peer.stop)


@when(
    'the caller is held up for each of {stalls} s at each turn of a call of '
    '{limit_ms:d} ms'
)
def hold_up_call(context: Context, stalls: str, limit_ms: int) -> None:
    async def call(turn: int, stall_s: float) -> bool:
        client = RpcClient('', None)
        hold_up_at(turn, stall_s)
        outcome = await client.call(
            context.peer.address, _PATH, _Echo(turn), _Echo, limit_ms
        )
        client.close()
        return outcome.is_ok() and outcome.ok == _Echo(turn)

    context.outcomes = {
        (stall_s, turn): context.loop.run_until_complete(call(turn, stall_s))
        for stall_s in map(float, stalls.split(', '))
        for turn in range(_TURNS)
    }


@given('the {name} event loop and a peer that accepts nothing')
def silent_peer(context: Context, name: str) -> None:
    context.loop = _LOOPS[name]()
    context.add_cleanup(context.loop.close)
    listener = socket.create_server((_HOST, 0), backlog=0)
    context.add_cleanup(listener.close)
    context.address = f'{_HOST}:{listener.getsockname()[1]}'
    # The queue of the listener is full; the kernel drops further SYNs.
    for _queued in range(2):
        queued = socket.socket()
        queued.setblocking(False)
        context.add_cleanup(queued.close)
        with contextlib.suppress(BlockingIOError):
            queued.connect(listener.getsockname())


@then('connecting to it and calling it fail within {limit_s:g} s')
def given_up(context: Context, limit_s: float) -> None:
    async def attempt() -> None:
        connections = ConnectionPool(SystemClock())
        assert await connections.acquire(context.address) is None
        client = RpcClient('', None)
        outcome = await client.call(
            context.address, _PATH, _Echo(0), _Echo, 200
        )
        assert outcome.is_error()
        client.close()

    begun_s = time.monotonic()
    context.loop.run_until_complete(attempt())
    assert time.monotonic() - begun_s < limit_s


@when(
    'its VMs are held up for {stall_s:g} s at each turn of a request on {prefix}'
)
def hold_up_fleet(context: Context, stall_s: float, prefix: str) -> None:
    fleet: CutFleet = context.fleet
    context.outcomes = {
        turn: fleet.run(fleet.send_while(prefix, _stall(turn, stall_s)))
        for turn in range(_REQUEST_TURNS)
    }


def _stall(turn: int, stall_s: float):
    return lambda: hold_up_at(turn, stall_s)
