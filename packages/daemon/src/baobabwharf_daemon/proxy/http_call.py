"""Write the response to one HTTP request."""

import abc
from typing import final

from baobabwharf_daemon.proxy.http_messages import (
    Header,
    HttpRequest,
    encode_head,
)

_LAST_CHUNK = b'0\r\n\r\n'
_NO_BODY = frozenset((204, 304))


class ResponseChannel(abc.ABC):
    """Send the bytes of responses to a caller."""

    @property
    @abc.abstractmethod
    def keeps_alive(self) -> bool:
        """Return whether the connection stays open for another request."""

    @abc.abstractmethod
    def write(self, block: bytes) -> None:
        """Write bytes unless the connection is closing."""

    @abc.abstractmethod
    async def drain(self) -> None:
        """Wait until the write buffer has room."""

    @abc.abstractmethod
    def end_response(self) -> None:
        """Close the connection unless it is kept alive."""

    @abc.abstractmethod
    def abort(self) -> None:
        """Reset the connection."""


@final
class HttpCall:
    """Hold a request and write its response."""

    def __init__(self, request: HttpRequest, channel: ResponseChannel) -> None:
        self._channel = channel
        self._chunked = False
        self.request = request
        self.started = False

    def start(
        self,
        status: int,
        reason: bytes,
        headers: list[Header],
        length: int | None,
    ) -> None:
        """Write the head; the body is chunked if length is None."""
        self.started = True
        framed = list(headers)
        self._chunked = length is None and status not in _NO_BODY
        if self._chunked:
            framed.append((b'Transfer-Encoding', b'chunked'))
        elif status not in _NO_BODY:
            framed.append((b'Content-Length', b'%d' % (length or 0)))
        if not self._channel.keeps_alive:
            framed.append((b'Connection', b'close'))
        line = b'HTTP/1.1 %d %s' % (status, reason)
        self._channel.write(encode_head(line, framed))

    def write(self, block: bytes) -> None:
        """Write a block of the body."""
        if self._chunked and block:
            self._channel.write(b'%x\r\n%s\r\n' % (len(block), block))
        elif block:
            self._channel.write(block)

    async def drain(self) -> None:
        """Wait until the write buffer has room."""
        await self._channel.drain()

    def finish(self) -> None:
        """End the response normally."""
        if self._chunked:
            self._channel.write(_LAST_CHUNK)
        self._channel.end_response()

    def abort(self) -> None:
        """Reset the connection, so that the response is seen as incomplete."""
        self._channel.abort()

    def respond(
        self, status: int, reason: bytes, headers: list[Header], body: bytes
    ) -> None:
        """Write a complete response."""
        self.start(status, reason, headers, len(body))
        self.write(body)
        self.finish()
