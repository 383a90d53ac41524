"""Serve a sanic application inside this process."""

import asyncio
import itertools
import os
import socket
import ssl
from typing import Any

from baobabwharf_core.refusals import Executed, Refusal, RefusalCode
from sanic import HTTPResponse, Request, Sanic
from sanic.exceptions import RequestCancelled, SanicException
from sanic.handlers import ErrorHandler

from baobabwharf_daemon.fail_fast import spawn
from baobabwharf_daemon.gateway.errors import (
    count_refusal,
    error_body,
    error_headers,
)
from baobabwharf_daemon.log import get_logger

MAX_BODY_BYTES = 8 * 1024 * 1024
MAX_HEADER_BYTES = 16 * 1024
HEADER_TIMEOUT_S = 10
KEEP_ALIVE_S = 75
# Deliberately long: a batch request may send nothing while it is queued.  The
# deadline of the request ends it, not this timeout.
RESPONSE_TIMEOUT_S = 24 * 3600
HEADER_CHECK_INTERVAL_S = 1
_CLOSE_POLL_S = 0.02
_MAX_CLOSE_POLLS = 50
_BACKLOG = 1024
# One read takes what the kernel holds, up to 256 KB, before a connection can be
# paused; 1000 callers without a key made a VM use 504 MB like this. The value
# gives 5 Mbit/s, the link of a VM, at a round trip of 100 ms.
CALLER_RECEIVE_BYTES = 64 * 1024
_TOO_LARGE = 413
_SERVER_ERROR = 500
# Non-standard status, introduced by nginx.
_CLIENT_CLOSED_REQUEST = 499

_log = get_logger('gateway')
_app_numbers = itertools.count(1)


class _JsonErrorHandler(ErrorHandler):
    """Respond to errors of the HTTP layer with a JSON error object."""

    def default(self, request: Request, exception: Exception) -> HTTPResponse:
        if isinstance(exception, RequestCancelled):
            # The caller has disconnected; nobody reads this response.
            return HTTPResponse(status=_CLIENT_CLOSED_REQUEST)
        refusal = _refusal_of(exception)
        status = _status_of(exception, refusal)
        count_refusal(refusal)
        if status >= _SERVER_ERROR:
            _log.error(
                'Unhandled exception in a request handler: %r',
                exception,
                exc_info=exception,
            )
        response = HTTPResponse(
            error_body(refusal, ''),
            status=status,
            headers=error_headers(refusal, ''),
            content_type='application/json',
        )
        stream: Any = getattr(request, 'stream', None)
        if stream is not None:
            stream.keep_alive = False
        return response


def _refusal_of(exception: Exception) -> Refusal:
    status = getattr(exception, 'status_code', _SERVER_ERROR)
    if status == _TOO_LARGE:
        return Refusal(RefusalCode.REQUEST_TOO_LARGE)
    if status < _SERVER_ERROR:
        return Refusal(RefusalCode.INVALID_REQUEST, detail=str(exception))
    return Refusal(RefusalCode.ENDPOINT_FAILED, Executed.UNKNOWN)


def _status_of(exception: Exception, refusal: Refusal) -> int:
    if isinstance(exception, SanicException):
        return exception.status_code
    return _SERVER_ERROR if refusal.status >= _SERVER_ERROR else refusal.status


def create_app(name: str) -> Sanic:
    """Return an application without the workers and logging of sanic."""
    app = Sanic(
        f'{name}-{next(_app_numbers)}',
        configure_logging=False,
        error_handler=_JsonErrorHandler(),
    )
    app.config.ACCESS_LOG = False
    app.config.REQUEST_MAX_SIZE = MAX_BODY_BYTES
    app.config.REQUEST_MAX_HEADER_SIZE = MAX_HEADER_BYTES
    app.config.REQUEST_TIMEOUT = HEADER_TIMEOUT_S
    app.config.RESPONSE_TIMEOUT = RESPONSE_TIMEOUT_S
    app.config.KEEP_ALIVE_TIMEOUT = KEEP_ALIVE_S
    app.config.MOTD = False
    return app


class HttpServer:
    """Run an HTTP listener on the running event loop."""

    def __init__(
        self,
        app: Sanic,
        host: str,
        port: int,
        context: ssl.SSLContext | None,
        receive_bytes: int | None = None,
    ) -> None:
        self._receive_bytes = receive_bytes
        self._app = app
        self._address = (host, port)
        self._context = context
        self._server: Any = None
        self._header_check: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start to listen."""
        host, port = self._address
        # The touch-up of sanic rewrites its classes at the first start in a
        # process; a second run fails.
        self._app.config.TOUCHUP = not getattr(Sanic, '__touched__', False)
        self._server = await self._app.create_server(
            host=host,
            port=port,
            ssl=self._context,
            return_asyncio_server=True,
            backlog=_BACKLOG,
            asyncio_server_kwargs={'reuse_address': True},
        )
        assert self._server is not None
        if self._receive_bytes is not None:
            for listener in self._server.server.sockets:
                _limit_receive_buffer(listener.fileno(), self._receive_bytes)
        await self._server.startup()
        await self._server.before_start()
        await self._server.after_start()
        self._header_check = spawn(self._abort_slow_connections())

    async def stop(self) -> None:
        """Stop listening; close idle connections first, then all others."""
        if self._header_check is not None:
            self._header_check.cancel()
        if self._server is None:
            return
        self._server.close()
        connections = list(self._server.connections)
        for connection in connections:
            connection.close_if_idle()
        await asyncio.sleep(0)
        for connection in list(self._server.connections):
            connection.close()
        await self._wait_closed()
        await self._server.wait_closed()

    async def _wait_closed(self) -> None:
        """Wait for a limited time until handlers have cleaned up."""
        polls_left = _MAX_CLOSE_POLLS
        while self._server.connections and polls_left:
            polls_left -= 1
            await asyncio.sleep(_CLOSE_POLL_S)
        await asyncio.sleep(_CLOSE_POLL_S)

    async def _abort_slow_connections(self) -> None:
        """Abort connections whose headers take longer than HEADER_TIMEOUT_S."""
        first_seen: dict[Any, float] = {}
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(HEADER_CHECK_INTERVAL_S)
            pending = set(filter(_is_reading_headers, self._server.connections))
            first_seen = {
                connection: first_seen.get(connection, loop.time())
                for connection in pending
            }
            for connection, start in first_seen.items():
                if loop.time() - start > HEADER_TIMEOUT_S:
                    connection.transport.abort()


def _is_reading_headers(connection: Any) -> bool:
    http = connection.http
    return http is not None and http.stage.name == 'REQUEST'


def _limit_receive_buffer(descriptor: int, size: int) -> None:
    """Limit what the kernel holds for each accepted connection."""
    with socket.socket(fileno=os.dup(descriptor)) as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)
