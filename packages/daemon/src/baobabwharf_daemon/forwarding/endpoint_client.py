"""Send calls to endpoints over HTTP."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import aiohttp
import msgspec
from baobabwharf_core.announcements import (
    CANCEL_PATH,
    DEADLINE_HEADER,
    PRIORITY_HEADER,
    REQUEST_ID_HEADER,
    RESUME_HEADER,
)
from baobabwharf_core.refusals import RefusalCode
from baobabwharf_core.requests import EndpointChoice
from yarl import URL

from baobabwharf_daemon.gateway.calls import Call
from baobabwharf_daemon.task import Task

CONNECT_TIMEOUT_S = 2
CANCEL_TIMEOUT_S = 2
IDLE_CONNECTION_S = 15
_MS_PER_S = 1000
_READ_BUFFER_BYTES = 64 * 1024
# Without these aiohttp would speak for itself in the caller's name.
_SKIPPED = ('Accept', 'Accept-Encoding', 'Content-Type', 'User-Agent')
_NOT_SENT = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)


class SendFault(msgspec.Struct, frozen=True):
    """Say why an endpoint gave no answer and whether it got the call."""

    sent: bool
    code: RefusalCode
    detail: str


class _ConnectionLostError(aiohttp.ClientError):
    """Hide a lost connection from aiohttp, which would send again."""


class Attempt(msgspec.Struct, frozen=True):
    """Describe one sending of a call; the id is echoed by the endpoint."""

    attempt_id: str
    choice: EndpointChoice
    time_left_ms: int
    resume_from: int = 0


class EndpointClient(Task):
    """Hold the connections to endpoints."""

    def __init__(self) -> None:
        self._session: aiohttp.ClientSession | None = None
        self._cancels: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Open the connection pool."""
        self._session = new_session()

    async def stop(self) -> None:
        """Wait for cancel calls and close all connections."""
        if self._cancels:
            await asyncio.wait(self._cancels, timeout=CANCEL_TIMEOUT_S)
        if self._session is not None:
            await self._session.close()

    async def send(
        self, call: Call, attempt: Attempt
    ) -> aiohttp.ClientResponse | SendFault:
        """Send a call and wait for the headers of the answer."""
        assert self._session is not None
        extra: dict[str, Any] = {}
        if not call.facts.repeatable:
            extra['middlewares'] = (_send_once,)
        try:
            # The watchdog of the relay bounds the time after the headers.
            async with asyncio.timeout(attempt.time_left_ms / _MS_PER_S):
                return await self._session.request(
                    call.method,
                    _target(attempt.choice.url, call),
                    data=call.body or None,
                    headers=_headers(call, attempt),
                    allow_redirects=False,
                    **extra,
                )
        except _NOT_SENT as fault:
            return _fault(False, RefusalCode.ENDPOINT_FAILED, fault)
        except TimeoutError as fault:
            return _fault(True, RefusalCode.ENDPOINT_TIMEOUT, fault)
        except (aiohttp.ClientError, OSError) as fault:
            return _fault(True, RefusalCode.ENDPOINT_FAILED, fault)

    def cancel(self, attempt: Attempt) -> None:
        """Tell an engine in the background to stop working on a call."""
        if attempt.choice.supports_cancel:
            task = asyncio.ensure_future(self._cancel(attempt))
            self._cancels.add(task)
            task.add_done_callback(self._cancels.discard)

    async def _cancel(self, attempt: Attempt) -> None:
        if self._session is None or self._session.closed:
            return
        try:
            async with self._session.post(
                URL(attempt.choice.url + CANCEL_PATH),
                data=msgspec.json.encode({'request_id': attempt.attempt_id}),
                headers={
                    'Content-Type': 'application/json',
                    REQUEST_ID_HEADER: attempt.attempt_id,
                },
                timeout=aiohttp.ClientTimeout(total=CANCEL_TIMEOUT_S),
            ) as answer:
                await answer.read()
        except (TimeoutError, aiohttp.ClientError, OSError):
            return


def new_session(ssl_context: Any = True) -> aiohttp.ClientSession:
    """Return a session that passes bodies on as they are."""
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(
            limit=0,
            ssl=ssl_context,
            keepalive_timeout=IDLE_CONNECTION_S,
        ),
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        timeout=aiohttp.ClientTimeout(sock_connect=CONNECT_TIMEOUT_S),
        skip_auto_headers=_SKIPPED,
        read_bufsize=_READ_BUFFER_BYTES,
    )


async def _send_once(
    request: aiohttp.ClientRequest,
    handler: Callable[
        [aiohttp.ClientRequest], Awaitable[aiohttp.ClientResponse]
    ],
) -> aiohttp.ClientResponse:
    try:
        return await handler(request)
    except (aiohttp.ClientConnectorError, aiohttp.ServerTimeoutError):
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as fault:
        raise _ConnectionLostError(str(fault)) from fault


def _target(base: str, call: Call) -> URL:
    query = f'?{call.query}' if call.query else ''
    return URL(f'{base}{call.path}{query}', encoded=True)


def _headers(call: Call, attempt: Attempt) -> dict[str, str]:
    headers = dict(call.headers)
    headers[REQUEST_ID_HEADER] = attempt.attempt_id
    headers[DEADLINE_HEADER] = str(attempt.time_left_ms)
    if attempt.choice.supports_priority:
        # A class with a nearer first token is served first.
        headers[PRIORITY_HEADER] = str(call.facts.first_token_ms)
    if attempt.resume_from:
        headers[RESUME_HEADER] = str(attempt.resume_from)
    return headers


def _fault(sent: bool, code: RefusalCode, fault: BaseException) -> SendFault:
    return SendFault(sent, code, type(fault).__name__)
