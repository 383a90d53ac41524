"""Serve the routes of the operator listener."""

import hashlib
import hmac
from typing import Any

import msgspec
from baobabwharf_core.changes import ChangeCode, ChangeRequest
from baobabwharf_core.ids import RequestId
from baobabwharf_core.json_input import decode_json
from baobabwharf_core.refusals import Refusal
from expression import Result
from sanic import HTTPResponse, Request, Sanic

from baobabwharf_daemon.gateway.auth import bearer_key
from baobabwharf_daemon.gateway.body_reader import BodyReader
from baobabwharf_daemon.gateway.http_server import MAX_BODY_BYTES
from baobabwharf_daemon.gateway.request_records import RequestRecords
from baobabwharf_daemon.gateway.sanic_response import (
    SanicResponseWriter,
    refusal_response,
)
from baobabwharf_daemon.interfaces import (
    ChangeClient,
    ConfigSource,
    Router,
    StatusSource,
)
from baobabwharf_daemon.operator.change_service import (
    HTTP_STATUS_BY_CODE,
    ChangeService,
)
from baobabwharf_daemon.operator.event_log import EventLog

DEFAULT_WAIT_MS = 5000
MAX_WAIT_MS = 60_000
# int() refuses texts of some thousand digits.
_MAX_DIGITS = 15
_BASE_PATH = '/operator/v1'
_JSON = 'application/json'
# Counts the changes that are received; no id of a customer begins like this.
_OPERATORS = '/operators'
_change_decoder = msgspec.json.Decoder(ChangeRequest)


class OperatorDependencies(msgspec.Struct, frozen=True):
    """Hold the dependencies of the operator routes."""

    token_digests: tuple[str, ...]
    changes: ChangeService
    client: ChangeClient
    config_source: ConfigSource
    status: StatusSource
    router: Router
    records: RequestRecords
    events: EventLog
    bodies: BodyReader


class OperatorRoutes:
    """Handle HTTP requests of operators."""

    def __init__(self, dependencies: OperatorDependencies) -> None:
        self._dependencies = dependencies

    def add_to(self, app: Sanic) -> None:
        """Register the routes with the app of the operator listener."""
        app.register_middleware(self._check_token, 'request')

        # sanic reads the body before it checks the token, except of streaming
        # handlers.  It sets an attribute on them, so not a bound method.
        async def change(request: Request) -> HTTPResponse:
            return await self._change(request)

        app.add_route(
            change, f'{_BASE_PATH}/changes', methods=['POST'], stream=True
        )
        for handler, path in (
            (self._outcome, 'changes/<request_id:str>'),
            (self._config, 'config'),
            (self._status, 'status'),
            (self._events, 'events'),
            (self._explain_request, 'requests/<request_id:str>'),
        ):
            app.add_route(handler, f'{_BASE_PATH}/{path}', ignore_body=True)

    async def _check_token(self, request: Request) -> HTTPResponse | None:
        token = bearer_key(request.headers.get('authorization'))
        digest = hashlib.sha256(token or b'').hexdigest()
        for known_digest in self._dependencies.token_digests:
            if token and hmac.compare_digest(known_digest.lower(), digest):
                return None
        SanicResponseWriter(request).close_if_unread()
        return _error_response(
            401, 'Send the token as "Authorization: Bearer TOKEN".'
        )

    async def _change(self, request: Request) -> HTTPResponse:
        decoded = await self._read_change(request)
        if isinstance(decoded, Refusal):
            SanicResponseWriter(request).close_if_unread()
            return refusal_response(decoded, '')
        if decoded.is_error():
            reason = f'The change is not valid: {decoded.error}'
            return _error_response(400, reason)
        change = decoded.ok
        if not change.request_id:
            return _error_response(400, 'request_id must not be empty.')
        wait_ms = _wait_ms(request)
        if wait_ms is None:
            return _error_response(400, 'timeout_ms must be a number of ms.')
        outcome = await self._dependencies.changes.submit(change)
        status = HTTP_STATUS_BY_CODE[outcome.code]
        waits_for_fleet = request.args.get('wait') == 'fleet'
        if outcome.code is ChangeCode.ACCEPTED and waits_for_fleet:
            fleet_outcome = await self._dependencies.changes.wait_in_force(
                outcome, wait_ms
            )
            body = msgspec.to_builtins(outcome)
            body['in_force'] = fleet_outcome.in_force
            body['behind'] = fleet_outcome.behind
            return _json_response(body, status)
        return _json_response(outcome, status)

    async def _read_change(
        self, request: Request
    ) -> Result[ChangeRequest, str] | Refusal:
        bodies = self._dependencies.bodies
        with bodies.hold(request, _OPERATORS) as holding:
            return await bodies.read(request, holding, decode_change)

    async def _outcome(self, request: Request, request_id: str) -> HTTPResponse:
        outcome = await self._dependencies.client.outcome(RequestId(request_id))
        if outcome is None:
            return _error_response(
                404, 'No change with this request id is known.'
            )
        return _json_response(outcome, HTTP_STATUS_BY_CODE[outcome.code])

    async def _config(self, request: Request) -> HTTPResponse:
        if not self._dependencies.config_source.ready:
            # Before the first snapshot the source holds only the empty
            # revision 0, which must not be shown as the configuration.
            return _error_response(503, 'This VM has no configuration yet.')
        return _json_response(self._dependencies.config_source.config)

    async def _status(self, request: Request) -> HTTPResponse:
        return _json_response({'vms': self._dependencies.status.vm_status()})

    async def _events(self, request: Request) -> HTTPResponse:
        return _json_response({'events': self._dependencies.events.newest()})

    async def _explain_request(
        self, request: Request, request_id: str
    ) -> HTTPResponse:
        sentences = self._dependencies.router.explain(RequestId(request_id))
        record = self._dependencies.records.find(request_id)
        if record is None and not sentences:
            return _error_response(
                404, 'No request with this id is known here.'
            )
        record_sentences = record.sentences() if record else ()
        return _json_response(
            {
                'request_id': request_id,
                'state': record.state if record else '',
                'record': record_sentences,
                'decisions': sentences,
            }
        )


def decode_change(body: bytes) -> Result[ChangeRequest, str]:
    """Decode a change; an error says which part is invalid."""
    return decode_json(body, _change_decoder, MAX_BODY_BYTES)


def _wait_ms(request: Request) -> int | None:
    timeout_text = request.args.get('timeout_ms', str(DEFAULT_WAIT_MS))
    if not timeout_text.isdecimal() or len(timeout_text) > _MAX_DIGITS:
        return None
    return min(int(timeout_text), MAX_WAIT_MS)


def _json_response(content: Any, status: int = 200) -> HTTPResponse:
    return HTTPResponse(
        msgspec.json.encode(content), status=status, content_type=_JSON
    )


def _error_response(status: int, message: str) -> HTTPResponse:
    return _json_response({'error': {'message': message}}, status)
