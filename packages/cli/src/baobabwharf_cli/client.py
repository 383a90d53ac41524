"""HTTP client of the operator interface."""

import asyncio
import ssl
from typing import Any, final

import aiohttp
import msgspec
from baobabwharf_core.changes import ChangeCode, ChangeOutcome, ChangeRequest
from baobabwharf_core.fleet_config import FleetConfig
from baobabwharf_core.ids import Revision
from expression import Error, Ok, Result

from baobabwharf_cli.exit_codes import ExitCode

CHANGES_PATH = '/operator/v1/changes'
CONFIG_PATH = '/operator/v1/config'
STATUS_PATH = '/operator/v1/status'
EVENTS_PATH = '/operator/v1/events'
REQUESTS_PATH = '/operator/v1/requests'

_MS_PER_S = 1000
# A response that waits for the whole fleet takes up to timeout_ms, so the
# client waits this much longer.
_RESPONSE_MARGIN_MS = 2000
_OK = 200
_NOT_FOUND = 404
_UNAUTHORIZED = frozenset((401, 403))
_CALL_ERRORS = (
    aiohttp.ClientError,
    OSError,
    asyncio.TimeoutError,
    msgspec.MsgspecError,
)


class ConnectionOptions(msgspec.Struct, frozen=True):
    """Hold URLs, credentials and time-out for calls to the operator interface."""

    urls: tuple[str, ...]
    token: str
    ca_file: str | None = None
    timeout_ms: int = 5000


class Failure(msgspec.Struct, frozen=True):
    """Describe why a call gave no usable response."""

    exit_code: ExitCode
    message: str


class _Reply(msgspec.Struct, frozen=True):
    status: int
    content: bytes


@final
class OperatorClient:
    """Call the URLs of the VMs in turn until one responds."""

    def __init__(self, options: ConnectionOptions) -> None:
        self._options = options

    def submit(
        self, request: ChangeRequest, wait: bool
    ) -> Result[ChangeOutcome, Failure]:
        """Submit a change; a retry at another VM reuses the request id."""
        path = CHANGES_PATH
        if wait:
            path += f'?wait=fleet&timeout_ms={self._options.timeout_ms}'
        body = msgspec.json.encode(request)
        reply_result = asyncio.run(self._request('POST', path, body))
        if reply_result.is_error():
            failure = reply_result.error
            if failure.exit_code is not ExitCode.UNKNOWN:
                return Error(failure)
            return Ok(_unknown_outcome(request, failure.message))
        return _read_outcome(request, reply_result.ok)

    def config(self) -> Result[FleetConfig, Failure]:
        """Return the configuration in force."""
        return self._read(CONFIG_PATH, FleetConfig)

    def get(self, path: str) -> Result[Any, Failure]:
        """Return a JSON document from the first VM that responds."""
        return self._read(path, Any)

    def find(self, path: str) -> Result[Any, Failure]:
        """Return a JSON document from the first VM that has it."""
        found: Result[Any, Failure] = Error(
            Failure(ExitCode.UNREACHABLE, 'No operator URL is configured.')
        )
        for url in self._options.urls:
            options = msgspec.structs.replace(self._options, urls=(url,))
            found = OperatorClient(options).get(path)
            if found.is_ok():
                break
        return found

    def _read(self, path: str, document_type: Any) -> Result[Any, Failure]:
        reply_result = asyncio.run(self._request('GET', path, b''))
        if reply_result.is_error():
            return Error(reply_result.error)
        reply = reply_result.ok
        if reply.status == _NOT_FOUND:
            return Error(Failure(ExitCode.NOT_FOUND, _error_message(reply)))
        if reply.status != _OK:
            return Error(Failure(ExitCode.NOT_ACCEPTED, _error_message(reply)))
        try:
            return Ok(msgspec.json.decode(reply.content, type=document_type))
        except msgspec.MsgspecError as error:
            return Error(Failure(ExitCode.INTERNAL, f'{path}: {error}'))

    async def _request(
        self, method: str, path: str, body: bytes
    ) -> Result[_Reply, Failure]:
        messages = []
        sent = False
        async with self._session() as session:
            for url in self._options.urls:
                try:
                    reply = await _send_request(
                        session, method, url + path, body
                    )
                except aiohttp.ClientConnectorError as error:
                    messages.append(f'{url}: {error}')
                except _CALL_ERRORS as error:
                    sent = True
                    messages.append(f'{url}: {error!r}')
                else:
                    return _check_authorized(reply)
        code = ExitCode.UNKNOWN if sent else ExitCode.UNREACHABLE
        return Error(
            Failure(
                code, '\n'.join(messages) or 'No operator URL is configured.'
            )
        )

    def _session(self) -> aiohttp.ClientSession:
        context: ssl.SSLContext | bool = True
        if self._options.ca_file:
            context = ssl.create_default_context(cafile=self._options.ca_file)
        total_timeout_s = (
            self._options.timeout_ms + _RESPONSE_MARGIN_MS
        ) / _MS_PER_S
        return aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(ssl=context),
            timeout=aiohttp.ClientTimeout(total=total_timeout_s),
            headers={
                'Authorization': f'Bearer {self._options.token}',
                'Content-Type': 'application/json',
            },
        )


async def _send_request(
    session: aiohttp.ClientSession, method: str, url: str, body: bytes
) -> _Reply:
    async with session.request(method, url, data=body or None) as response:
        return _Reply(response.status, await response.read())


def _check_authorized(reply: _Reply) -> Result[_Reply, Failure]:
    if reply.status in _UNAUTHORIZED:
        return Error(Failure(ExitCode.UNAUTHORIZED, _error_message(reply)))
    return Ok(reply)


def _read_outcome(
    request: ChangeRequest, reply: _Reply
) -> Result[ChangeOutcome, Failure]:
    try:
        return Ok(msgspec.json.decode(reply.content, type=ChangeOutcome))
    except msgspec.MsgspecError:
        message = _error_message(reply)
    if reply.status >= 500:
        return Ok(_unknown_outcome(request, message))
    return Error(Failure(ExitCode.INVALID, message))


def _unknown_outcome(request: ChangeRequest, message: str) -> ChangeOutcome:
    return ChangeOutcome(
        request.request_id, ChangeCode.UNKNOWN, Revision(0), message
    )


def _error_message(reply: _Reply) -> str:
    text = reply.content.decode(errors='replace').strip()
    try:
        text = str(msgspec.json.decode(reply.content)['error']['message'])
    except (msgspec.MsgspecError, LookupError, TypeError):
        return f'The VM responded with status {reply.status}: {text}'
    return text
