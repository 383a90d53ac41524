"""Repeat one prepared request with little overhead in the client."""

import asyncio
import re
import time
from typing import cast

from hdrh.histogram import HdrHistogram

_MAX_LATENCY_US = 60_000_000
_SIGNIFICANT_DIGITS = 3
_NS_PER_US = 1000
_NS_PER_S = 1_000_000_000
_SUCCESS = b'HTTP/1.1 200'
_LENGTH = re.compile(rb'content-length: *(\d+)', re.IGNORECASE)
_END_OF_BODY = b'0\r\n\r\n'
_END_OF_STREAM = b'data: [DONE]'
_TAIL_BYTES = 64
_SAMPLE_BYTES = 400
_STALL_TIMEOUT_S = 10.0


class Measurement:
    """Record the times of complete streams and count the failed ones."""

    def __init__(self) -> None:
        self.total_us = HdrHistogram(1, _MAX_LATENCY_US, _SIGNIFICANT_DIGITS)
        self.first_byte_us = HdrHistogram(
            1, _MAX_LATENCY_US, _SIGNIFICANT_DIGITS
        )
        self.failed = 0
        self.sample = b''

    @property
    def complete(self) -> int:
        """Return the number of complete streams."""
        return int(self.total_us.get_total_count())


class _Stream(asyncio.Protocol):
    """Send a request on a connection and read its response."""

    def __init__(self, request: bytes) -> None:
        self._request = request
        self._transport: asyncio.Transport | None = None
        self._tail = b''
        self._done: asyncio.Future[None] | None = None
        # Bytes not yet received, or None for a chunked response.
        self._bytes_left: int | None = None
        self.first_ns = 0

    @property
    def request(self) -> bytes:
        """Return the request."""
        return self._request

    @property
    def tail(self) -> bytes:
        """Return the end of the response."""
        return self._tail

    @property
    def closed(self) -> bool:
        """Return whether the connection is gone."""
        return self._transport is None or self._transport.is_closing()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, chunk: bytes) -> None:
        """Record when the first bytes arrive and detect the end of the body."""
        if not self.first_ns:
            self.first_ns = time.monotonic_ns()
            if not chunk.startswith(_SUCCESS):
                self._tail = chunk
                self.close()
                return
            self._bytes_left = _content_length(chunk)
        self._tail = (self._tail + chunk)[-_TAIL_BYTES:]
        if self._bytes_left is not None:
            self._bytes_left -= len(chunk)
        if self._bytes_left == 0 or self._tail.endswith(_END_OF_BODY):
            self._finish()

    def connection_lost(self, error: Exception | None) -> None:
        """Finish the pending exchange."""
        self._finish()

    async def exchange(self) -> bool:
        """Send the request; return whether the stream was complete."""
        assert self._transport is not None
        self._tail = b''
        self.first_ns = 0
        self._done = asyncio.get_running_loop().create_future()
        self._transport.write(self._request)
        await self._done
        return _END_OF_STREAM in self._tail

    def close(self) -> None:
        """Close the connection."""
        if self._transport is not None:
            self._transport.close()

    def _finish(self) -> None:
        if self._done is not None and not self._done.done():
            self._done.set_result(None)


def _content_length(start: bytes) -> int | None:
    """Return the size of headers and body, or None if it is chunked."""
    headers, separator, _body = start.partition(b'\r\n\r\n')
    found = _LENGTH.search(headers)
    if found is None:
        return None
    return len(headers) + len(separator) + int(found[1])


async def measure(
    ports: tuple[int, ...], request: bytes, streams: int, duration_s: float
) -> Measurement:
    """Run a number of concurrent streams for a time in seconds."""
    # Connect one after the other, since a burst overflows the accept queue.
    connections = [
        await _connect(ports[number % len(ports)], request)
        for number in range(streams)
    ]
    measurement = Measurement()
    end_ns = time.monotonic_ns() + int(duration_s * _NS_PER_S)
    workers = (
        _work(ports[number % len(ports)], stream, end_ns, measurement)
        for number, stream in enumerate(connections)
    )
    running = asyncio.gather(*workers)
    try:
        await asyncio.wait_for(running, duration_s + _STALL_TIMEOUT_S)
    except TimeoutError:
        measurement.failed += 1
        tails = [
            connection.tail
            for connection in connections
            if not connection.closed
        ]
        measurement.sample = b'stalled: ' + b' | '.join(tails[:3])
    for stream in connections:
        stream.close()
    return measurement


async def _connect(port: int, request: bytes) -> _Stream:
    loop = asyncio.get_running_loop()
    _transport, stream = await loop.create_connection(
        lambda: _Stream(request), '127.0.0.1', port
    )
    return stream


async def _work(
    port: int, stream: _Stream, end_ns: int, measurement: Measurement
) -> None:
    while time.monotonic_ns() < end_ns:
        if stream.closed:
            stream = await _connect(port, stream.request)
        started = time.monotonic_ns()
        complete = await stream.exchange()
        if complete:
            total_ns = time.monotonic_ns() - started
            measurement.total_us.record_value(total_ns // _NS_PER_US)
            first_ns = stream.first_ns - started
            measurement.first_byte_us.record_value(first_ns // _NS_PER_US)
        else:
            measurement.failed += 1
            measurement.sample = stream.tail[-_SAMPLE_BYTES:]
            stream.close()
    stream.close()


def request_bytes(path: str, body: bytes, headers: dict[str, str]) -> bytes:
    """Return a request that keeps its connection open."""
    lines = [f'POST {path} HTTP/1.1', 'Host: 127.0.0.1']
    lines += [f'{name}: {text}' for name, text in headers.items()]
    lines += ['Content-Type: application/json', f'Content-Length: {len(body)}']
    return '\r\n'.join([*lines, '', '']).encode() + body
