"""Relay an upstream response to the caller."""

import asyncio
from collections.abc import Mapping

import aiohttp
import msgspec

from baobabwharf_daemon.event_boundary import EVENT_STREAM, EventBoundary
from baobabwharf_daemon.forwarding.event_stream_parser import EventStreamParser
from baobabwharf_daemon.forwarding.watchdog import Watchdog
from baobabwharf_daemon.gateway.calls import Progress, ResponseWriter

# Larger bodies are streamed instead of buffered, to bound memory use.
MAX_BUFFERED_BODY_BYTES = 4 * 1024 * 1024
UPSTREAM_ERRORS = (aiohttp.ClientError, asyncio.TimeoutError, OSError)
STREAM_END_TIMEOUT_S = 0.25
LARGE_BODY_IDLE_TIMEOUT_S = 30
_NO_BODY_STATUSES = frozenset((204, 304))
_DROPPED_HEADERS = frozenset(
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


class RelayResult(msgspec.Struct, frozen=True):
    """Describe a relayed response; complete if all of it was relayed."""

    complete: bool
    mismatch: bool = False
    timed_out: bool = False
    detail: str = ''


class BufferedBody(msgspec.Struct, frozen=True):
    """Hold a response body, or its beginning if it exceeds the size limit."""

    content: bytes
    complete: bool


def caller_visible_headers(headers: Mapping[str, str]) -> dict[str, str]:
    """Return the response headers that are passed on to the caller."""
    return {
        name: value
        for name, value in headers.items()
        if name.lower() not in _DROPPED_HEADERS
    }


def is_event_stream(response: aiohttp.ClientResponse) -> bool:
    """Return whether a response is a stream of server-sent events."""
    content_type = response.headers.get('Content-Type', '')
    return content_type.lower().startswith(EVENT_STREAM)


def can_detect_truncation(response: aiohttp.ClientResponse) -> bool:
    """Return whether the framing of a response reveals a truncated body."""
    headers = response.headers
    if response.method == 'HEAD' or response.status in _NO_BODY_STATUSES:
        return True
    # Any other transfer coding ends with the connection.
    chunked = 'chunked' in headers.get('Transfer-Encoding', '').lower()
    return 'Content-Length' in headers or chunked


async def relay_events(
    response: aiohttp.ClientResponse,
    events: EventStreamParser,
    writer: ResponseWriter,
    progress: Progress,
    first_chunk_timeout_s: float,
) -> RelayResult:
    """Relay complete events until the end or the first invalid event."""
    watchdog = Watchdog(response, first_chunk_timeout_s)
    try:
        await _copy_events(response, events, writer, progress, watchdog)
    except UPSTREAM_ERRORS as error:
        return _stream_result(events, watchdog, type(error).__name__)
    finally:
        watchdog.stop()
    return _stream_result(events, watchdog, 'The stream ended early.')


async def _copy_events(
    response: aiohttp.ClientResponse,
    events: EventStreamParser,
    writer: ResponseWriter,
    progress: Progress,
    watchdog: Watchdog,
) -> None:
    tokens_before = progress.tokens
    while not events.broken:
        watchdog.start_waiting()
        chunk = await response.content.readany()
        if not chunk:
            break
        watchdog.record_chunk()
        complete_events = events.feed(chunk)
        progress.tokens = tokens_before + events.tokens
        if events.done:
            # Writing the last events and the end together saves a system
            # call.
            await writer.end_stream(complete_events)
            await _drain_response(response)
            break
        if complete_events:
            await writer.write(complete_events)


async def _drain_response(response: aiohttp.ClientResponse) -> None:
    """Read to the end of the response, so that the connection is reused.

    Closes it if the end does not arrive within STREAM_END_TIMEOUT_S.
    """
    if response.content.at_eof():
        return
    try:
        async with asyncio.timeout(STREAM_END_TIMEOUT_S):
            await response.content.readany()
    except UPSTREAM_ERRORS:
        response.close()


def _stream_result(
    events: EventStreamParser, watchdog: Watchdog, detail: str
) -> RelayResult:
    if events.done:
        return RelayResult(complete=True)
    if events.mismatch:
        return RelayResult(complete=False, mismatch=True)
    return RelayResult(
        complete=False,
        timed_out=watchdog.fired,
        detail=detail,
    )


async def read_body(
    response: aiohttp.ClientResponse, timeout_s: float
) -> BufferedBody:
    """Read a body up to the size limit.

    Raise one of UPSTREAM_ERRORS if the body is truncated.
    """
    async with asyncio.timeout(timeout_s):
        return await _read_body(response)


async def _read_body(response: aiohttp.ClientResponse) -> BufferedBody:
    chunks: list[bytes] = []
    size = 0
    while size <= MAX_BUFFERED_BODY_BYTES:
        chunk = await response.content.readany()
        if not chunk:
            return BufferedBody(b''.join(chunks), complete=True)
        chunks.append(chunk)
        size += len(chunk)
    return BufferedBody(b''.join(chunks), complete=False)


async def relay_large(
    response: aiohttp.ClientResponse,
    head: bytes,
    headers: dict[str, str],
    writer: ResponseWriter,
) -> RelayResult:
    """Stream a large body; abort the caller's connection if it is truncated.

    A stream of events is truncated, too, if it ends inside an event.
    """
    events = EventBoundary() if is_event_stream(response) else None
    length = response.headers.get('Content-Length')
    # With a length, such a stream would look complete before it is aborted.
    if length is not None and events is None:
        headers = {**headers, 'Content-Length': length}
    await writer.start_stream(response.status, headers)
    await writer.write(head)
    watchdog = Watchdog(response, LARGE_BODY_IDLE_TIMEOUT_S)
    try:
        await _copy_chunks(response, writer, watchdog, events)
    except UPSTREAM_ERRORS as error:
        writer.abort()
        return RelayResult(
            complete=False,
            timed_out=watchdog.fired,
            detail=type(error).__name__,
        )
    finally:
        watchdog.stop()
    if events is not None and events.inside_event:
        writer.abort()
        return RelayResult(
            complete=False, detail='The stream ended inside an event.'
        )
    await writer.end_stream(b'')
    return RelayResult(complete=True)


async def _copy_chunks(
    response: aiohttp.ClientResponse,
    writer: ResponseWriter,
    watchdog: Watchdog,
    events: EventBoundary | None,
) -> None:
    while True:
        watchdog.start_waiting()
        chunk = await response.content.readany()
        if not chunk:
            return
        watchdog.record_chunk()
        if events is not None:
            events.feed(chunk)
        await writer.write(chunk)
