"""Write responses through sanic."""

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
# A caller that reads nothing for this long is treated as disconnected.
WRITE_TIMEOUT_S = 60
CLOSE_DELAY_S = 1
# High-water mark of the transport; above it, sanic blocks writes.
WRITE_BUFFER_BYTES = 64 * 1024


@final
class SanicResponseWriter(ResponseWriter):
    """Write the response to one sanic request."""

    def __init__(self, request: Request) -> None:
        # Any, since the declared type of the stream lacks most members used
        # here.
        self._request: Any = request
        self._response: Any = None
        self._written = False

    @property
    def headers_sent(self) -> bool:
        """Return whether status and headers were sent."""
        return self._response is not None

    async def start_stream(
        self, status: int, headers: Mapping[str, str]
    ) -> None:
        """Send status and headers of a streamed response."""
        remaining = dict(headers)
        content_type = remaining.pop('Content-Type', _JSON)
        self._response = await self._request.respond(
            status=status, headers=remaining, content_type=content_type
        )

    async def write(self, chunk: bytes) -> None:
        """Send a chunk of the body; wait if the receiver applies backpressure."""
        await self._send(chunk, last=False)

    async def end_stream(self, chunk: bytes) -> None:
        """Send the last chunk of a streamed response and end the stream."""
        if not self._written:
            # For a single write sanic would set Content-Length.  Writing first
            # keeps the response chunked, however its events arrived.
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

    async def send_response(
        self, status: int, headers: Mapping[str, str], body: bytes
    ) -> None:
        """Send a complete response."""
        remaining = dict(headers)
        content_type = remaining.pop('Content-Type', _JSON)
        response = HTTPResponse(
            body, status=status, headers=remaining, content_type=content_type
        )
        self._response = await self._request.respond(response)
        await response.send(end_stream=True)

    def abort(self) -> None:
        """Abort the connection, so that the receiver detects truncation."""
        transport = self._request.transport
        if transport is not None:
            transport.abort()

    def close_after_response(self) -> None:
        """Close the connection after the response was sent."""
        stream = self._request.stream
        if stream is not None:
            stream.keep_alive = False

    def close_if_unread(self) -> None:
        """Close the connection unless the rest of the body has arrived."""
        stream = self._request.stream
        if stream is None or not stream.request_body:
            return
        chunked = stream.request_body == 'chunked'
        if chunked or len(stream.recv_buffer) < stream.request_bytes_left:
            self.close_after_delay()

    def close_after_delay(self) -> None:
        """Close the connection without reading the rest of the request body.

        sanic would wait for the rest.  The delay gives the caller time to read
        the response.
        """
        self.close_after_response()
        loop = asyncio.get_running_loop()
        loop.call_later(CLOSE_DELAY_S, self._request.transport.close)


def refusal_response(refusal: Refusal, request_id: str) -> HTTPResponse:
    """Count a refusal and return its HTTP response."""
    count_refusal(refusal)
    return HTTPResponse(
        error_body(refusal, request_id),
        status=refusal.status,
        headers=error_headers(refusal, request_id),
        content_type=_JSON,
    )
