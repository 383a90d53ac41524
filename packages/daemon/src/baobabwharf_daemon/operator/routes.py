"""Route what operators send to the operator listener."""

import hashlib
import hmac
from typing import Any

import msgspec
from baobabwharf_core.changes import ChangeCode, ChangeRequest
from baobabwharf_core.ids import RequestId
from sanic import HTTPResponse, Request, Sanic

from baobabwharf_daemon.gateway.auth import bearer_key
from baobabwharf_daemon.gateway.records import RequestRecords
from baobabwharf_daemon.interfaces import (
    ChangeClient,
    ConfigSource,
    Router,
    StatusSource,
)
from baobabwharf_daemon.operator.change_service import STATUS_OF, ChangeService
from baobabwharf_daemon.operator.event_log import EventLog

DEFAULT_WAIT_MS = 5000
MAX_WAIT_MS = 60_000
_BASE = '/operator/v1'
_JSON = 'application/json'
_requests = msgspec.json.Decoder(ChangeRequest)


class OperatorDependencies(msgspec.Struct, frozen=True):
    """Hold what the operator listener works with."""

    token_digests: tuple[str, ...]
    changes: ChangeService
    client: ChangeClient
    source: ConfigSource
    status: StatusSource
    router: Router
    records: RequestRecords
    events: EventLog


class OperatorRoutes:
    """Answer the requests of operators."""

    def __init__(self, parts: OperatorDependencies) -> None:
        self._parts = parts

    def add_to(self, app: Sanic) -> None:
        """Add the routes to the operator listener."""
        app.register_middleware(self._check_token, 'request')
        app.add_route(self._change, f'{_BASE}/changes', methods=['POST'])
        app.add_route(self._outcome, f'{_BASE}/changes/<request_id:str>')
        app.add_route(self._config, f'{_BASE}/config')
        app.add_route(self._status, f'{_BASE}/status')
        app.add_route(self._events, f'{_BASE}/events')
        app.add_route(self._request, f'{_BASE}/requests/<request_id:str>')

    async def _check_token(self, request: Request) -> HTTPResponse | None:
        token = bearer_key(request.headers.get('authorization'))
        digest = hashlib.sha256(token or b'').hexdigest()
        for known in self._parts.token_digests:
            if token and hmac.compare_digest(known.lower(), digest):
                return None
        return _fault(401, 'Send the token as "Authorization: Bearer TOKEN".')

    async def _change(self, request: Request) -> HTTPResponse:
        try:
            change = _requests.decode(request.body)
        except (msgspec.DecodeError, UnicodeError, RecursionError) as fault:
            return _fault(400, f'The change is not valid: {fault}.')
        if not change.request_id:
            return _fault(400, 'request_id must not be empty.')
        wait_ms = _wait_ms(request)
        if wait_ms is None:
            return _fault(400, 'timeout_ms must be a number of ms.')
        outcome = await self._parts.changes.submit(change)
        status = STATUS_OF[outcome.code]
        waits = request.args.get('wait') == 'fleet'
        if outcome.code is ChangeCode.ACCEPTED and waits:
            fleet = await self._parts.changes.wait_in_force(outcome, wait_ms)
            answer = msgspec.to_builtins(outcome)
            answer['in_force'] = fleet.in_force
            answer['behind'] = fleet.behind
            return _json(answer, status)
        return _json(outcome, status)

    async def _outcome(self, request: Request, request_id: str) -> HTTPResponse:
        outcome = await self._parts.client.outcome(RequestId(request_id))
        if outcome is None:
            return _fault(404, 'No change with this request id is known.')
        return _json(outcome, STATUS_OF[outcome.code])

    async def _config(self, request: Request) -> HTTPResponse:
        if not self._parts.source.ready:
            # Revision 0 before the first snapshot is no configuration.
            return _fault(503, 'This VM has no configuration yet.')
        return _json(self._parts.source.config)

    async def _status(self, request: Request) -> HTTPResponse:
        return _json({'vms': self._parts.status.vm_status()})

    async def _events(self, request: Request) -> HTTPResponse:
        return _json({'events': self._parts.events.newest()})

    async def _request(self, request: Request, request_id: str) -> HTTPResponse:
        sentences = self._parts.router.explain(RequestId(request_id))
        record = self._parts.records.find(request_id)
        if record is None and not sentences:
            return _fault(404, 'No request with this id is known here.')
        own = record.sentences() if record else ()
        return _json(
            {
                'request_id': request_id,
                'state': record.state if record else '',
                'record': own,
                'decisions': sentences,
            }
        )


def _wait_ms(request: Request) -> int | None:
    asked = request.args.get('timeout_ms', str(DEFAULT_WAIT_MS))
    if not asked.isdecimal():
        return None
    return min(int(asked), MAX_WAIT_MS)


def _json(content: Any, status: int = 200) -> HTTPResponse:
    return HTTPResponse(
        msgspec.json.encode(content), status=status, content_type=_JSON
    )


def _fault(status: int, sentence: str) -> HTTPResponse:
    return _json({'error': {'message': sentence}}, status)
