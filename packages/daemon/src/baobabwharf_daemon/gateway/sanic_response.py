"""Write answers through sanic."""

import asyncio
from collections.abc import Mapping
from typing import Any, final

from baobabwharf_core.refusals import Refusal
from sanic import HTTPResponse, Request
from sanic.exceptions import RequestCancelled

from baobabwharf_daemon.gateway.calls import ResponseWriter
from baobabwharf_daemon.gateway.errors import (
    count_refusal,
    error_body,
    error_headers,
)

_JSON = 'application/json'
# A caller that reads nothing for this long is treated as gone.
WRITE_TIMEOUT_S = 60
CLOSE_DELAY_S = 1
# sanic stops to accept data above this bound.
WRITE_BUFFER_BYTES = 64 * 1024


@final
class SanicResponseWriter(ResponseWriter):
    """Write the answer to one sanic request."""

    def __init__(self, request: Request) -> None:
        # The type of sanic's stream hides most of its members.
        self._request: Any = request
        self._response: Any = None
        self._written = False

    @property
    def headers_sent(self) -> bool:
        """Tell whether status and headers were sent."""
        return self._response is not None

    async def begin(self, status: int, headers: Mapping[str, str]) -> None:
        """Send status and headers of a streamed answer."""
        plain = dict(headers)
        content_type = plain.pop('Content-Type', _JSON)
        self._response = await self._request.respond(
            status=status, headers=plain, content_type=content_type
        )

    async def write(self, chunk: bytes) -> None:
        """Send a part of the body; wait while the receiver is slow."""
        await self._send(chunk, last=False)

    async def finish(self, chunk: bytes) -> None:
        """Send the last part of a streamed answer and its end."""
        if not self._written:
            # sanic would state a length instead of sending chunks; a stream
            # keeps one form whether its events came together or apart.
            await self.write(chunk)
            chunk = b''
        await self._send(chunk, last=True)

    async def _send(self, chunk: bytes, *, last: bool) -> None:
        self._written = True
        transport = self._request.transport
        if transport.get_write_buffer_size() <= WRITE_BUFFER_BYTES:
            await self._response.send(chunk, last)
            return
        try:
            await asyncio.wait_for(
                self._response.send(chunk, last), WRITE_TIMEOUT_S
            )
        except TimeoutError as timeout:
            self.abort()
            raise RequestCancelled from timeout

    async def answer(
        self, status: int, headers: Mapping[str, str], body: bytes
    ) -> None:
        """Send a whole answer."""
        plain = dict(headers)
        content_type = plain.pop('Content-Type', _JSON)
        response = HTTPResponse(
            body, status=status, headers=plain, content_type=content_type
        )
        self._response = await self._request.respond(response)
        await response.send(end_stream=True)

    def abort(self) -> None:
        """Break the connection, so that a cut answer is recognised."""
        transport = self._request.transport
        if transport is not None:
            transport.abort()

    def close_after_answer(self) -> None:
        """Close the connection once the answer was sent."""
        stream = self._request.stream
        if stream is not None:
            stream.keep_alive = False

    def close_after_delay(self) -> None:
        """Close the connection without the rest of the request body.

        sanic would wait for that rest; the caller has time to read the answer.
        """
        self.close_after_answer()
        loop = asyncio.get_running_loop()
        loop.call_later(CLOSE_DELAY_S, self._request.transport.close)


def refusal_response(refusal: Refusal, request_id: str) -> HTTPResponse:
    """Count a refusal and return it as a response."""
    count_refusal(refusal)
    return HTTPResponse(
        error_body(refusal, request_id),
        status=refusal.status,
        headers=error_headers(refusal, request_id),
        content_type=_JSON,
    )
