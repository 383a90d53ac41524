"""Read request bodies with a timeout and a memory limit."""

import asyncio
from typing import Any

from baobabwharf_core.refusals import Executed, Refusal, RefusalCode
from sanic import Request
from sanic.exceptions import PayloadTooLarge, SanicException

from baobabwharf_daemon.gateway.http_server import MAX_BODY_BYTES

BODY_TIMEOUT_S = 30
# Total size of the bodies of all running requests.
MAX_BUFFERED_BYTES = 96 * 1024 * 1024
_RETRY_AFTER_MS = 1000


class BodyReader:
    """Read bodies and limit the memory that all of them use."""

    def __init__(self, max_bytes: int = MAX_BUFFERED_BYTES) -> None:
        self._max_bytes = max_bytes
        self._buffered_bytes = 0

    async def read(self, request: Request) -> bytes | Refusal:
        """Return the body or the reason why it is refused.

        Its size is accounted for only while it is read; to keep the body,
        call retain() and later release().
        """
        declared_bytes = _declared_bytes(request)
        if declared_bytes > MAX_BODY_BYTES:
            return Refusal(RefusalCode.REQUEST_TOO_LARGE)
        if self._buffered_bytes + declared_bytes > self._max_bytes:
            return Refusal(
                RefusalCode.QUEUE_FULL,
                Executed.NO,
                retry_after_ms=_RETRY_AFTER_MS,
            )
        self._buffered_bytes += declared_bytes
        try:
            return await self._receive(request, declared_bytes)
        finally:
            self._buffered_bytes -= declared_bytes

    def retain(self, size: int) -> None:
        """Account for a body that stays in memory."""
        self._buffered_bytes += size

    def release(self, size: int) -> None:
        """Stop accounting for a body that was retained."""
        self._buffered_bytes -= size

    async def _receive(
        self, request: Request, declared_bytes: int
    ) -> bytes | Refusal:
        try:
            await _receive_with_timeout(request, declared_bytes)
        except TimeoutError:
            return _invalid('The body was not sent in time.')
        except PayloadTooLarge:
            return Refusal(RefusalCode.REQUEST_TOO_LARGE)
        except SanicException as error:
            return _invalid(str(error))
        return request.body


async def _receive_with_timeout(request: Request, declared_bytes: int) -> None:
    stream: Any = request.stream
    if declared_bytes and len(stream.recv_buffer) >= declared_bytes:
        await request.receive_body()
        return
    async with asyncio.timeout(BODY_TIMEOUT_S):
        await request.receive_body()


def _declared_bytes(request: Request) -> int:
    length = request.headers.get('content-length', '')
    return int(length) if length.isdecimal() else 0


def _invalid(detail: str) -> Refusal:
    return Refusal(RefusalCode.INVALID_REQUEST, detail=detail)
