"""Pass an answer on from a connection to the receiver."""

import asyncio
from collections.abc import Mapping

import aiohttp
import msgspec

from baobabwharf_daemon.forwarding.events import EventStream
from baobabwharf_daemon.gateway.calls import Progress, Sink

# Larger answers are streamed, so that their size does not cost memory.
MAX_WHOLE_BYTES = 4 * 1024 * 1024
UPSTREAM_FAULTS = (aiohttp.ClientError, asyncio.TimeoutError, OSError)
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
    events: EventStream,
    sink: Sink,
    progress: Progress,
) -> Relayed:
    """Pass whole events on until the end or the first wrong event."""
    counted = progress.tokens
    while not events.broken:
        try:
            chunk = await response.content.readany()
        except UPSTREAM_FAULTS as fault:
            return _stream_ended(events, fault)
        if not chunk:
            break
        passed = events.feed(chunk)
        progress.tokens = counted + events.tokens
        if passed:
            await sink.write(passed)
    return _stream_ended(events, None)


def _stream_ended(events: EventStream, fault: Exception | None) -> Relayed:
    if events.done:
        return Relayed(complete=True)
    if events.mismatch:
        return Relayed(complete=False, mismatch=True)
    return Relayed(
        complete=False,
        timed_out=isinstance(fault, asyncio.TimeoutError),
        detail=type(fault).__name__ if fault else 'The stream ended early.',
    )


async def read_body(response: aiohttp.ClientResponse) -> WholeBody:
    """Read a body up to the bound; raise UPSTREAM_FAULTS if it is cut."""
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
    while True:
        try:
            chunk = await response.content.readany()
        except UPSTREAM_FAULTS as fault:
            sink.abort()
            return Relayed(complete=False, detail=type(fault).__name__)
        if not chunk:
            break
        await sink.write(chunk)
    await sink.end()
    return Relayed(complete=True)
