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

from baobabwharf_daemon.forwarding.bounded_connector import BoundedConnector
from baobabwharf_daemon.gateway.calls import Call
from baobabwharf_daemon.task import Task

CONNECT_TIMEOUT_S = 2
CANCEL_TIMEOUT_S = 2
IDLE_CONNECTION_TIMEOUT_S = 15
_MS_PER_S = 1000
_READ_BUFFER_BYTES = 64 * 1024
# Headers that aiohttp would otherwise add although the caller sent none.
_SKIPPED_AUTO_HEADERS = (
    'Accept',
    'Accept-Encoding',
    'Content-Type',
    'User-Agent',
)
_CONNECT_ERRORS = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)


class SendFailure(msgspec.Struct, frozen=True):
    """Describe why an endpoint did not respond.

    sent is true if the endpoint may have received the call.
    """

    sent: bool
    code: RefusalCode
    detail: str


class _ConnectionLostError(aiohttp.ClientError):
    """Report a lost connection as an error on which aiohttp does not retry."""


class Attempt(msgspec.Struct, frozen=True):
    """Describe one attempt of a call; the endpoint echoes attempt_id."""

    attempt_id: str
    choice: EndpointChoice
    time_left_ms: int
    resume_from: int = 0


class EndpointClient(Task):
    """Send calls to endpoints through a pool of HTTP connections."""

    def __init__(self) -> None:
        self._session: aiohttp.ClientSession | None = None
        self._cancel_tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Open the connection pool."""
        self._session = create_session()

    async def stop(self) -> None:
        """Wait for pending cancel requests, then close all connections."""
        if self._cancel_tasks:
            await asyncio.wait(self._cancel_tasks, timeout=CANCEL_TIMEOUT_S)
        if self._session is not None:
            await self._session.close()

    async def send(
        self, call: Call, attempt: Attempt
    ) -> aiohttp.ClientResponse | SendFailure:
        """Send a call and wait for the response headers."""
        assert self._session is not None
        options: dict[str, Any] = {}
        if not call.attributes.repeatable:
            options['middlewares'] = (_fail_without_resend,)
        try:
            # This bounds the time until the headers; the relay's watchdog
            # bounds the time after them.
            async with asyncio.timeout(attempt.time_left_ms / _MS_PER_S):
                return await self._session.request(
                    call.method,
                    _target_url(attempt.choice.url, call),
                    data=call.body or None,
                    headers=_request_headers(call, attempt),
                    allow_redirects=False,
                    **options,
                )
        except _CONNECT_ERRORS as error:
            return _send_failure(False, RefusalCode.ENDPOINT_FAILED, error)
        except TimeoutError as error:
            return _send_failure(True, RefusalCode.ENDPOINT_TIMEOUT, error)
        except (aiohttp.ClientError, OSError) as error:
            return _send_failure(True, RefusalCode.ENDPOINT_FAILED, error)

    def cancel(self, attempt: Attempt) -> None:
        """Ask the engine, in the background, to stop working on a call."""
        if attempt.choice.supports_cancel:
            task = asyncio.ensure_future(self._cancel(attempt))
            self._cancel_tasks.add(task)
            task.add_done_callback(self._cancel_tasks.discard)

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
            ) as response:
                # What does not fit is dropped with the connection.
                await response.content.read(_READ_BUFFER_BYTES)
        except (TimeoutError, aiohttp.ClientError, OSError):
            return


def create_session(ssl_context: Any = True) -> aiohttp.ClientSession:
    """Return a session that does not decompress or alter bodies."""
    return aiohttp.ClientSession(
        connector=BoundedConnector(
            limit=0,
            ssl=ssl_context,
            keepalive_timeout=IDLE_CONNECTION_TIMEOUT_S,
        ),
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        timeout=aiohttp.ClientTimeout(sock_connect=CONNECT_TIMEOUT_S),
        skip_auto_headers=_SKIPPED_AUTO_HEADERS,
        read_bufsize=_READ_BUFFER_BYTES,
    )


async def _fail_without_resend(
    request: aiohttp.ClientRequest,
    handler: Callable[
        [aiohttp.ClientRequest], Awaitable[aiohttp.ClientResponse]
    ],
) -> aiohttp.ClientResponse:
    try:
        return await handler(request)
    except (aiohttp.ClientConnectorError, aiohttp.ServerTimeoutError):
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise _ConnectionLostError(str(error)) from error


def _target_url(base: str, call: Call) -> URL:
    query = f'?{call.query}' if call.query else ''
    return URL(f'{base}{call.path}{query}', encoded=True)


def _request_headers(call: Call, attempt: Attempt) -> dict[str, str]:
    headers = dict(call.headers)
    headers[REQUEST_ID_HEADER] = attempt.attempt_id
    headers[DEADLINE_HEADER] = str(attempt.time_left_ms)
    if attempt.choice.supports_priority:
        # The engine serves lower values first, so that a class with a
        # shorter first-token target takes precedence.
        headers[PRIORITY_HEADER] = str(call.attributes.first_token_ms)
    if attempt.resume_from:
        headers[RESUME_HEADER] = str(attempt.resume_from)
    return headers


def _send_failure(
    sent: bool, code: RefusalCode, error: BaseException
) -> SendFailure:
    return SendFailure(sent, code, type(error).__name__)
