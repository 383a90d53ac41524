"""Pass an answer on from a connection to the receiver."""

import asyncio
from collections.abc import Mapping

import aiohttp
import msgspec

from baobabwharf_daemon.forwarding.event_stream_parser import EventStreamParser
from baobabwharf_daemon.forwarding.watchdog import Watchdog
from baobabwharf_daemon.gateway.calls import Progress, Sink

# Larger answers are streamed, so that their size does not cost memory.
MAX_WHOLE_BYTES = 4 * 1024 * 1024
UPSTREAM_FAULTS = (aiohttp.ClientError, asyncio.TimeoutError, OSError)
END_TIMEOUT_S = 0.25
LARGE_IDLE_S = 30
EVENT_STREAM = 'text/event-stream'
_NO_BODY_STATUSES = frozenset((204, 304))
_DROPPED = frozenset(
    (
        'connection',
        'content-length',
        'date',
        'keep-alive',
        'server',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'x-refusal',
        'x-request-id',
    )
)


class Relayed(msgspec.Struct, frozen=True):
    """Tell how much of an answer was passed on."""

    complete: bool
    mismatch: bool = False
    timed_out: bool = False
    detail: str = ''


class WholeBody(msgspec.Struct, frozen=True):
    """Hold a body, or its beginning if it exceeds the bound."""

    content: bytes
    complete: bool


def answer_headers(headers: Mapping[str, str]) -> dict[str, str]:
    """Return the headers of an answer that the caller gets to see."""
    return {
        name: content
        for name, content in headers.items()
        if name.lower() not in _DROPPED
    }


def is_event_stream(response: aiohttp.ClientResponse) -> bool:
    """Tell whether an answer is a stream of events."""
    content_type = response.headers.get('Content-Type', '')
    return content_type.startswith(EVENT_STREAM)


def length_is_known(response: aiohttp.ClientResponse) -> bool:
    """Tell whether a cut body would be recognised."""
    headers = response.headers
    if response.method == 'HEAD' or response.status in _NO_BODY_STATUSES:
        return True
    return 'Content-Length' in headers or 'Transfer-Encoding' in headers


async def relay_events(
    response: aiohttp.ClientResponse,
    events: EventStreamParser,
    sink: Sink,
    progress: Progress,
    first_s: float,
) -> Relayed:
    """Pass whole events on until the end or the first wrong event."""
    watchdog = Watchdog(response, first_s)
    try:
        await _pump(response, events, sink, progress, watchdog)
    except UPSTREAM_FAULTS as fault:
        return _stream_ended(events, watchdog, type(fault).__name__)
    finally:
        watchdog.stop()
    return _stream_ended(events, watchdog, 'The stream ended early.')


async def _pump(
    response: aiohttp.ClientResponse,
    events: EventStreamParser,
    sink: Sink,
    progress: Progress,
    watchdog: Watchdog,
) -> None:
    counted = progress.tokens
    while not events.broken:
        watchdog.expect()
        chunk = await response.content.readany()
        if not chunk:
            break
        watchdog.progress()
        passed = events.feed(chunk)
        progress.tokens = counted + events.tokens
        if events.done:
            # One write for the last events and the end saves a system call.
            await sink.finish(passed)
            await _read_to_end(response)
            break
        if passed:
            await sink.write(passed)


async def _read_to_end(response: aiohttp.ClientResponse) -> None:
    """Let the connection be used again if its end comes soon."""
    if response.content.at_eof():
        return
    try:
        async with asyncio.timeout(END_TIMEOUT_S):
            await response.content.readany()
    except UPSTREAM_FAULTS:
        response.close()


def _stream_ended(
    events: EventStreamParser, watchdog: Watchdog, detail: str
) -> Relayed:
    if events.done:
        return Relayed(complete=True)
    if events.mismatch:
        return Relayed(complete=False, mismatch=True)
    return Relayed(
        complete=False,
        timed_out=watchdog.fired,
        detail=detail,
    )


async def read_body(
    response: aiohttp.ClientResponse, limit_s: float
) -> WholeBody:
    """Read a body up to the bound; raise UPSTREAM_FAULTS if it is cut."""
    async with asyncio.timeout(limit_s):
        return await _read_body(response)


async def _read_body(response: aiohttp.ClientResponse) -> WholeBody:
    chunks: list[bytes] = []
    size = 0
    while size <= MAX_WHOLE_BYTES:
        chunk = await response.content.readany()
        if not chunk:
            return WholeBody(b''.join(chunks), complete=True)
        chunks.append(chunk)
        size += len(chunk)
    return WholeBody(b''.join(chunks), complete=False)


async def relay_large(
    response: aiohttp.ClientResponse,
    head: bytes,
    headers: dict[str, str],
    sink: Sink,
) -> Relayed:
    """Pass a large body on; break the connection if it is cut."""
    length = response.headers.get('Content-Length')
    if length is not None:
        headers = {**headers, 'Content-Length': length}
    await sink.begin(response.status, headers)
    await sink.write(head)
    watchdog = Watchdog(response, LARGE_IDLE_S)
    try:
        await _pump_raw(response, sink, watchdog)
    except UPSTREAM_FAULTS as fault:
        sink.abort()
        return Relayed(
            complete=False,
            timed_out=watchdog.fired,
            detail=type(fault).__name__,
        )
    finally:
        watchdog.stop()
    await sink.finish(b'')
    return Relayed(complete=True)


async def _pump_raw(
    response: aiohttp.ClientResponse, sink: Sink, watchdog: Watchdog
) -> None:
    while True:
        watchdog.expect()
        chunk = await response.content.readany()
        if not chunk:
            return
        watchdog.progress()
        await sink.write(chunk)
