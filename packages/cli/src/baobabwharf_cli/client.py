"""Call the operator interface over HTTP."""

import asyncio
import ssl
from typing import Any, final

import aiohttp
import msgspec
from baobabwharf_core.changes import ChangeCode, ChangeOutcome, ChangeRequest
from baobabwharf_core.ids import Revision
from baobabwharf_core.model import FleetConfig
from expression import Error, Ok, Result

from baobabwharf_cli.exit_codes import ExitCode

CHANGES_PATH = '/operator/v1/changes'
CONFIG_PATH = '/operator/v1/config'
STATUS_PATH = '/operator/v1/status'
EVENTS_PATH = '/operator/v1/events'
REQUESTS_PATH = '/operator/v1/requests'

_MS_PER_S = 1000
# An answer that waits for the whole fleet takes up to the wait time.
_MARGIN_MS = 2000
_OK = 200
_NOT_FOUND = 404
_UNAUTHORIZED = frozenset((401, 403))
_FAILURES = (
    aiohttp.ClientError,
    OSError,
    asyncio.TimeoutError,
    msgspec.MsgspecError,
)


class Access(msgspec.Struct, frozen=True):
    """Say where and as whom to call; times in ms."""

    urls: tuple[str, ...]
    token: str
    ca_file: str | None = None
    timeout_ms: int = 5000


class Fault(msgspec.Struct, frozen=True):
    """Say why a call gave no usable answer."""

    exit_code: ExitCode
    sentence: str


class _Reply(msgspec.Struct, frozen=True):
    status: int
    content: bytes


@final
class OperatorApi:
    """Call the first VM that answers."""

    def __init__(self, access: Access) -> None:
        self._access = access

    def submit(
        self, request: ChangeRequest, wait: bool
    ) -> Result[ChangeOutcome, Fault]:
        """Send a change; a resend to another VM keeps its request id."""
        path = CHANGES_PATH
        if wait:
            path += f'?wait=fleet&timeout_ms={self._access.timeout_ms}'
        body = msgspec.json.encode(request)
        replied = asyncio.run(self._call('POST', path, body))
        if replied.is_error():
            fault = replied.error
            if fault.exit_code is not ExitCode.UNKNOWN:
                return Error(fault)
            return Ok(_unknown(request, fault.sentence))
        return _read_outcome(request, replied.ok)

    def config(self) -> Result[FleetConfig, Fault]:
        """Return the configuration in force."""
        return self._read(CONFIG_PATH, FleetConfig)

    def get(self, path: str) -> Result[Any, Fault]:
        """Return a JSON document of the first VM that answers."""
        return self._read(path, Any)

    def find(self, path: str) -> Result[Any, Fault]:
        """Return a JSON document of the first VM that has it."""
        found: Result[Any, Fault] = Error(
            Fault(ExitCode.UNREACHABLE, 'No URL is known.')
        )
        for url in self._access.urls:
            access = msgspec.structs.replace(self._access, urls=(url,))
            found = OperatorApi(access).get(path)
            if found.is_ok():
                break
        return found

    def _read(self, path: str, kind: Any) -> Result[Any, Fault]:
        replied = asyncio.run(self._call('GET', path, b''))
        if replied.is_error():
            return Error(replied.error)
        reply = replied.ok
        if reply.status == _NOT_FOUND:
            return Error(Fault(ExitCode.NOT_FOUND, _sentence(reply)))
        if reply.status != _OK:
            return Error(Fault(ExitCode.NOT_ACCEPTED, _sentence(reply)))
        try:
            return Ok(msgspec.json.decode(reply.content, type=kind))
        except msgspec.MsgspecError as fault:
            return Error(Fault(ExitCode.INTERNAL, f'{path}: {fault}'))

    async def _call(
        self, method: str, path: str, body: bytes
    ) -> Result[_Reply, Fault]:
        sentences = []
        sent = False
        async with self._session() as session:
            for url in self._access.urls:
                try:
                    reply = await _exchange(session, method, url + path, body)
                except aiohttp.ClientConnectorError as fault:
                    sentences.append(f'{url}: {fault}')
                except _FAILURES as fault:
                    sent = True
                    sentences.append(f'{url}: {fault!r}')
                else:
                    return _check_token(reply)
        code = ExitCode.UNKNOWN if sent else ExitCode.UNREACHABLE
        return Error(Fault(code, '\n'.join(sentences) or 'No URL is known.'))

    def _session(self) -> aiohttp.ClientSession:
        context: ssl.SSLContext | bool = True
        if self._access.ca_file:
            context = ssl.create_default_context(cafile=self._access.ca_file)
        limit_s = (self._access.timeout_ms + _MARGIN_MS) / _MS_PER_S
        return aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(ssl=context),
            timeout=aiohttp.ClientTimeout(total=limit_s),
            headers={
                'Authorization': f'Bearer {self._access.token}',
                'Content-Type': 'application/json',
            },
        )


async def _exchange(
    session: aiohttp.ClientSession, method: str, url: str, body: bytes
) -> _Reply:
    async with session.request(method, url, data=body or None) as answer:
        return _Reply(answer.status, await answer.read())


def _check_token(reply: _Reply) -> Result[_Reply, Fault]:
    if reply.status in _UNAUTHORIZED:
        return Error(Fault(ExitCode.UNAUTHORIZED, _sentence(reply)))
    return Ok(reply)


def _read_outcome(
    request: ChangeRequest, reply: _Reply
) -> Result[ChangeOutcome, Fault]:
    try:
        return Ok(msgspec.json.decode(reply.content, type=ChangeOutcome))
    except msgspec.MsgspecError:
        sentence = _sentence(reply)
    if reply.status >= 500:
        return Ok(_unknown(request, sentence))
    return Error(Fault(ExitCode.INVALID, sentence))


def _unknown(request: ChangeRequest, sentence: str) -> ChangeOutcome:
    return ChangeOutcome(
        request.request_id, ChangeCode.UNKNOWN, Revision(0), sentence
    )


def _sentence(reply: _Reply) -> str:
    text = reply.content.decode(errors='replace').strip()
    try:
        text = str(msgspec.json.decode(reply.content)['error']['message'])
    except (msgspec.MsgspecError, LookupError, TypeError):
        return f'The VM answered with status {reply.status}: {text}'
    return text
