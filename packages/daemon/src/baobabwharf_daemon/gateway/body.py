"""Read request bodies within bounds of time and memory."""

import asyncio
from typing import Any

from baobabwharf_core.refusals import Executed, Refusal, RefusalCode
from sanic import Request
from sanic.exceptions import PayloadTooLarge, SanicException

from baobabwharf_daemon.gateway.http_server import MAX_BODY_BYTES

BODY_TIMEOUT_S = 30
# Bodies of all running requests together.
MAX_HELD_BYTES = 96 * 1024 * 1024
_RETRY_AFTER_MS = 1000


class BodyReader:
    """Read bodies and bound what all of them hold together."""

    def __init__(self, bound: int = MAX_HELD_BYTES) -> None:
        self._bound = bound
        self._held = 0

    async def read(self, request: Request) -> bytes | Refusal:
        """Return the body; the caller must release its size later."""
        announced = _announced(request)
        if announced > MAX_BODY_BYTES:
            return Refusal(RefusalCode.REQUEST_TOO_LARGE)
        if self._held + announced > self._bound:
            return Refusal(
                RefusalCode.QUEUE_FULL,
                Executed.NO,
                retry_after_ms=_RETRY_AFTER_MS,
            )
        self._held += announced
        try:
            return await self._receive(request, announced)
        finally:
            self._held -= announced

    def hold(self, size: int) -> None:
        """Count a body that is kept."""
        self._held += size

    def release(self, size: int) -> None:
        """Count a body that is not kept any more."""
        self._held -= size

    async def _receive(
        self, request: Request, announced: int
    ) -> bytes | Refusal:
        try:
            await _receive_in_time(request, announced)
        except TimeoutError:
            return _invalid('The body was not sent in time.')
        except PayloadTooLarge:
            return Refusal(RefusalCode.REQUEST_TOO_LARGE)
        except SanicException as fault:
            return _invalid(str(fault))
        return request.body


async def _receive_in_time(request: Request, announced: int) -> None:
    stream: Any = request.stream
    if announced and len(stream.recv_buffer) >= announced:
        await request.receive_body()
        return
    async with asyncio.timeout(BODY_TIMEOUT_S):
        await request.receive_body()


def _announced(request: Request) -> int:
    length = request.headers.get('content-length', '')
    return int(length) if length.isdecimal() else 0


def _invalid(detail: str) -> Refusal:
    return Refusal(RefusalCode.INVALID_REQUEST, detail=detail)
