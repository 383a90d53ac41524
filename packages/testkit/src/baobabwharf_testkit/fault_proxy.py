"""Relay TCP connections with seeded faults."""

import argparse
import asyncio
import random
import sys
from pathlib import Path

import msgspec

_CHUNK_BYTES = 64 * 1024
_QUEUED_CHUNKS = 64
_MS_PER_S = 1000
_BITS_PER_BYTE = 8
_BITS_PER_MBIT = 1_000_000

_Queue = asyncio.Queue[tuple[float, bytes]]


class Conditions(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the conditions of a link; forward is towards the target.

    A drop delays bytes until it ends, as TCP retransmits them after a
    partition.  On a half-open link the close of one side is not forwarded to
    the other.  A bandwidth of 0 is unlimited.
    """

    delay_ms: float = 0.0
    jitter_ms: float = 0.0
    bandwidth_mbit_s: float = 0.0
    drop_forward: bool = False
    drop_backward: bool = False
    half_open: bool = False


class Step(msgspec.Struct, frozen=True):
    """Change the conditions or reset all connections at a time."""

    at_ms: int
    conditions: Conditions | None = None
    reset: bool = False


class _Direction:
    """Apply delay, bandwidth and drops in one direction of a link."""

    def __init__(self, seed: str) -> None:
        self._random = random.Random(seed)
        self._free_at = 0.0
        self._conditions = Conditions()
        self.unblocked = asyncio.Event()
        self.unblocked.set()

    def change(self, conditions: Conditions, dropped: bool) -> None:
        """Apply new conditions."""
        self._conditions = conditions
        if dropped:
            self.unblocked.clear()
        else:
            self.unblocked.set()

    def arrival_time(self, size: int) -> float:
        """Return the loop time at which a chunk arrives."""
        conditions = self._conditions
        start = max(asyncio.get_running_loop().time(), self._free_at)
        self._free_at = start
        if conditions.bandwidth_mbit_s:
            bits = size * _BITS_PER_BYTE
            self._free_at += bits / (
                conditions.bandwidth_mbit_s * _BITS_PER_MBIT
            )
        delay_ms = conditions.delay_ms + self.jitter_ms()
        return self._free_at + delay_ms / _MS_PER_S

    def jitter_ms(self) -> float:
        """Draw the next jitter in ms."""
        return self._random.uniform(0, self._conditions.jitter_ms)


class Link:
    """Hold conditions that several proxies may share."""

    def __init__(self, conditions: Conditions, seed: int) -> None:
        self._conditions = conditions
        self.forward = _Direction(f'{seed} forward')
        self.backward = _Direction(f'{seed} backward')
        self._proxies: list[FaultProxy] = []
        self.change(conditions)

    @property
    def conditions(self) -> Conditions:
        """Return the conditions in force."""
        return self._conditions

    def change(self, conditions: Conditions) -> None:
        """Apply new conditions, also to open connections."""
        self._conditions = conditions
        self.forward.change(conditions, conditions.drop_forward)
        self.backward.change(conditions, conditions.drop_backward)

    def adjust(self, **changes: object) -> None:
        """Change some fields of the conditions."""
        self.change(msgspec.structs.replace(self._conditions, **changes))

    def attach(self, proxy: 'FaultProxy') -> None:
        """Add a proxy whose connections are reset with this link."""
        self._proxies.append(proxy)

    def reset(self) -> None:
        """Reset every connection of every proxy on this link."""
        for proxy in self._proxies:
            proxy.reset()

    async def run_schedule(self, schedule: tuple[Step, ...]) -> None:
        """Run a schedule; its times are relative to the call."""
        loop = asyncio.get_running_loop()
        start = loop.time()
        for step in sorted(schedule, key=lambda entry: entry.at_ms):
            wait = start + step.at_ms / _MS_PER_S - loop.time()
            await asyncio.sleep(max(0, wait))
            if step.conditions is not None:
                self.change(step.conditions)
            if step.reset:
                self.reset()


class _Relay:
    """Relay one connection in both directions."""

    def __init__(
        self,
        link: Link,
        client: tuple[asyncio.StreamReader, asyncio.StreamWriter],
        target: tuple[asyncio.StreamReader, asyncio.StreamWriter],
    ) -> None:
        self._link = link
        self._client = client
        self._target = target

    async def run(self) -> None:
        """Relay until both sides have ended."""
        try:
            async with asyncio.TaskGroup() as group:
                self._pump(
                    group, self._client, self._target, self._link.forward
                )
                self._pump(
                    group, self._target, self._client, self._link.backward
                )
        except* OSError:
            await self._wait_after_failure()
        finally:
            self.abort()

    def abort(self) -> None:
        """Reset both sides."""
        for _reader, writer in (self._client, self._target):
            writer.transport.abort()

    def _pump(
        self,
        group: asyncio.TaskGroup,
        source: tuple[asyncio.StreamReader, asyncio.StreamWriter],
        sink: tuple[asyncio.StreamReader, asyncio.StreamWriter],
        direction: _Direction,
    ) -> None:
        queue: _Queue = asyncio.Queue(_QUEUED_CHUNKS)
        group.create_task(_read(source[0], queue, direction))
        group.create_task(self._write(queue, sink[1], direction))

    async def _write(
        self,
        queue: _Queue,
        writer: asyncio.StreamWriter,
        direction: _Direction,
    ) -> None:
        loop = asyncio.get_running_loop()
        while True:
            arrival_time, chunk = await queue.get()
            await asyncio.sleep(max(0, arrival_time - loop.time()))
            await direction.unblocked.wait()
            if not chunk:
                break
            _check_open(writer)
            writer.write(chunk)
            await writer.drain()
        await self._wait_if_half_open()
        _check_open(writer)
        writer.write_eof()

    async def _wait_after_failure(self) -> None:
        await self._wait_if_half_open()
        await self._link.forward.unblocked.wait()
        await self._link.backward.unblocked.wait()

    async def _wait_if_half_open(self) -> None:
        """Wait forever on a half-open link; stopping the proxy cancels it."""
        if self._link.conditions.half_open:
            await asyncio.Event().wait()


def _check_open(writer: asyncio.StreamWriter) -> None:
    # uvloop raises RuntimeError when a closed transport is used.
    if writer.transport.is_closing():
        raise ConnectionResetError('The connection is closed.')


async def _read(
    reader: asyncio.StreamReader, queue: _Queue, direction: _Direction
) -> None:
    # Any non-empty value starts the loop.
    chunk = b'-'
    while chunk:
        chunk = await reader.read(_CHUNK_BYTES)
        await queue.put((direction.arrival_time(len(chunk)), chunk))


class FaultProxy:
    """Listen on one port and relay each connection to the target."""

    def __init__(
        self,
        target_port: int,
        link: Link | None = None,
        target_host: str = '127.0.0.1',
    ) -> None:
        self._target = (target_host, target_port)
        self._link = link or Link(Conditions(), seed=1)
        self._link.attach(self)
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._relays: set[_Relay] = set()
        self._accepted = 0

    @property
    def link(self) -> Link:
        """Return the link of this proxy."""
        return self._link

    @property
    def accepted(self) -> int:
        """Return the number of connections accepted so far."""
        return self._accepted

    @property
    def port(self) -> int:
        """Return the port that the proxy listens on."""
        assert self._server is not None
        return int(self._server.sockets[0].getsockname()[1])

    async def start(self, host: str = '127.0.0.1', port: int = 0) -> None:
        """Start listening."""
        self._server = await asyncio.start_server(self._accept, host, port)

    async def stop(self) -> None:
        """Close the listener and reset all connections."""
        if self._server is not None:
            self._server.close()
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def reset(self) -> None:
        """Reset all connections."""
        for relay in tuple(self._relays):
            relay.abort()

    def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._accepted += 1
        task = asyncio.create_task(self._relay(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _relay(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            target = await self._connect()
        except OSError:
            writer.transport.abort()
            return
        relay = _Relay(self._link, (reader, writer), target)
        self._relays.add(relay)
        try:
            await relay.run()
        finally:
            self._relays.discard(relay)

    async def _connect(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        # During a drop a connection attempt hangs, as if it got no answer.
        await self._link.forward.unblocked.wait()
        await self._link.backward.unblocked.wait()
        return await asyncio.open_connection(*self._target)


def _parse_address(text: str) -> tuple[str, int]:
    host, _colon, port = text.rpartition(':')
    return host, int(port)


async def _serve(
    listen: tuple[str, int],
    target: tuple[str, int],
    link: Link,
    schedule: tuple[Step, ...],
) -> None:
    proxy = FaultProxy(target[1], link, target[0])
    await proxy.start(*listen)
    print(f'{listen[0]}:{proxy.port}', flush=True)
    await link.run_schedule(schedule)
    await asyncio.Event().wait()


def main() -> int:
    """Relay until interrupted."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        '--listen', type=_parse_address, default=('127.0.0.1', 0)
    )
    parser.add_argument('--target', type=_parse_address, required=True)
    parser.add_argument('--schedule', type=Path, help='JSON list of steps')
    parser.add_argument('--seed', type=int, default=1)
    options = parser.parse_args()
    schedule: tuple[Step, ...] = ()
    if options.schedule:
        schedule = msgspec.json.decode(
            options.schedule.read_bytes(), type=tuple[Step, ...]
        )
    link = Link(Conditions(), options.seed)
    try:
        asyncio.run(_serve(options.listen, options.target, link, schedule))
    except KeyboardInterrupt:
        return 0
    return 0


if __name__ == '__main__':
    sys.exit(main())
