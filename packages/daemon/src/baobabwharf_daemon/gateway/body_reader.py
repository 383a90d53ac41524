"""Read request bodies within the limits of size, time and memory."""

import asyncio
from collections.abc import Callable
from typing import Any, TypeVar

from baobabwharf_core.refusals import Executed, Refusal, RefusalCode
from sanic import Request
from sanic.exceptions import PayloadTooLarge, SanicException

from baobabwharf_daemon.gateway.http_server import MAX_BODY_BYTES
from baobabwharf_daemon.gateway.intake import (
    Holding,
    Intake,
    MemoryShortError,
)

BODY_TIMEOUT_S = 30
# A body up to this size that has arrived is read without a timer, which costs
# more than the reading; the budget never makes such a body wait.
_SMALL_BYTES = 65_536
# Chunks are counted together, since counting each chunk of a few bytes costs
# more than the chunk.
_COUNTED_BYTES = 4096
_RETRY_AFTER_MS = 1000

BuiltT = TypeVar('BuiltT')


class BodyReader:
    """Read the bodies of one listener."""

    def __init__(self, intake: Intake, max_bytes: int = MAX_BODY_BYTES) -> None:
        self._intake = intake
        self._max_bytes = max_bytes

    def hold(self, request: Request, owner: str | None) -> Holding:
        """Begin to count what a request makes the process hold.

        owner is its customer; None for callers without a valid key.
        """
        return self._intake.hold(owner, _announced_bytes(request))

    async def read(
        self,
        request: Request,
        holding: Holding,
        build: Callable[[bytes], BuiltT | Refusal],
    ) -> BuiltT | Refusal:
        """Return what build makes of the body, or the reason of a refusal.

        The body itself is not kept beside what is made of it.
        """
        announced = _announced_bytes(request) or 0
        if announced > self._max_bytes:
            return Refusal(RefusalCode.REQUEST_TOO_LARGE)
        stream: Any = request.stream
        # sanic reads any number of bytes for handlers that read the body.
        stream.request_max_size = self._max_bytes
        try:
            body = await _receive(stream, holding, announced)
        except (MemoryShortError, TimeoutError) as error:
            return _not_received(error, holding)
        except SanicException as error:
            return _invalid_body(error)
        return build(body)


async def _receive(stream: Any, holding: Holding, announced: int) -> bytes:
    arrived = len(stream.recv_buffer)
    if arrived >= announced and 0 < announced <= _SMALL_BYTES:
        return await _collect(stream, holding)
    async with holding.limit_time(BODY_TIMEOUT_S):
        return await _collect(stream, holding)


async def _collect(stream: Any, holding: Holding) -> bytes:
    # One buffer, since an object for each chunk takes eight times the memory
    # of a chunk of 7 bytes.
    body = bytearray()
    counted = 0
    async for chunk in stream:
        body += chunk
        if len(body) - counted >= _COUNTED_BYTES:
            size = len(body) - counted
            counted += size
            await holding.add(size)
            # Tiny chunks that have arrived would keep other requests waiting.
            await asyncio.sleep(0)
    await holding.add(len(body) - counted)
    holding.complete()
    return bytes(body)


def _announced_bytes(request: Request) -> int | None:
    """Return the length in the head; None for a chunked body."""
    if 'transfer-encoding' in request.headers:
        return None
    length = request.headers.get('content-length', '')
    return int(length) if length.isdecimal() else 0


def _not_received(error: Exception, holding: Holding) -> Refusal:
    if holding.slow:
        return Refusal(RefusalCode.BODY_TOO_SLOW)
    if isinstance(error, MemoryShortError) or holding.waited:
        return Refusal(
            RefusalCode.MEMORY_SHORT,
            Executed.NO,
            retry_after_ms=_RETRY_AFTER_MS,
        )
    return Refusal(
        RefusalCode.INVALID_REQUEST, detail='The body was not sent in time.'
    )


def _invalid_body(error: SanicException) -> Refusal:
    if isinstance(error, PayloadTooLarge):
        return Refusal(RefusalCode.REQUEST_TOO_LARGE)
    return Refusal(RefusalCode.INVALID_REQUEST, detail=str(error))
