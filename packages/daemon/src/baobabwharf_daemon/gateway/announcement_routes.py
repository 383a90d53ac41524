"""Handle announcements and heartbeats of endpoints over HTTP."""

from collections.abc import Callable

import msgspec
from baobabwharf_core.announcements import (
    ANNOUNCE_PATH,
    HEARTBEAT_PATH,
    Announcement,
    Heartbeat,
    LeaseAnswer,
)
from baobabwharf_core.input_types import BaseUrl
from baobabwharf_core.json_input import decode_json
from baobabwharf_core.refusals import Refusal, RefusalCode
from expression import Error, Result
from sanic import HTTPResponse, Request, Sanic

from baobabwharf_daemon.gateway.auth import KeyIndex
from baobabwharf_daemon.gateway.body_reader import BodyReader
from baobabwharf_daemon.gateway.http_server import MAX_BODY_BYTES
from baobabwharf_daemon.gateway.sanic_response import (
    SanicResponseWriter,
    refusal_response,
)
from baobabwharf_daemon.interfaces import EndpointRegistry

# The messages of all endpoints together are counted like those of one customer;
# no id of a customer begins like this.
_ENDPOINTS = '/endpoints'
_Taker = Callable[[str, bytes], Result[LeaseAnswer, Refusal]]
_announcements = msgspec.json.Decoder(Announcement)
_heartbeats = msgspec.json.Decoder(Heartbeat)


class AnnouncementRoutes:
    """Authenticate endpoints and pass their messages to the registry."""

    def __init__(
        self,
        region: str,
        keys: KeyIndex,
        registry: EndpointRegistry,
        bodies: BodyReader,
    ) -> None:
        self._bodies = bodies
        self._region = region
        self._keys = keys
        self._registry = registry
        self._services: dict[str, str] = {}

    def add_to(self, app: Sanic) -> None:
        """Add the routes to the caller listener."""

        # sanic sets an attribute on streaming handlers; bound methods do not
        # allow that.
        async def announce(request: Request) -> HTTPResponse:
            return await self._take(request, self._take_announcement)

        async def heartbeat(request: Request) -> HTTPResponse:
            return await self._take(request, self._take_heartbeat)

        for handler, path in (
            (announce, ANNOUNCE_PATH),
            (heartbeat, HEARTBEAT_PATH),
        ):
            app.add_route(handler, path, methods=['POST'], stream=True)

    async def _take(self, request: Request, take: _Taker) -> HTTPResponse:
        """Authenticate an endpoint, then read and pass on its message."""
        header = request.headers.get('authorization')
        service = self._keys.endpoint_service(header)
        if service is None:
            return _refuse(Refusal(RefusalCode.KEY_UNKNOWN), request)
        with self._bodies.hold(request, _ENDPOINTS) as holding:
            outcome = await self._bodies.read(
                request, holding, lambda body: take(service, body)
            )
        if isinstance(outcome, Refusal):
            return _refuse(outcome, request)
        if outcome.is_error():
            return refusal_response(outcome.error, '')
        return HTTPResponse(
            msgspec.json.encode(outcome.ok), content_type='application/json'
        )

    def _take_announcement(
        self, service: str, body: bytes
    ) -> Result[LeaseAnswer, Refusal]:
        decoded = decode_announcement(body)
        if decoded.is_error():
            return _invalid(decoded.error)
        announcement = decoded.ok
        if announcement.service != service:
            return Error(Refusal(RefusalCode.KEY_UNKNOWN))
        if announcement.region != self._region:
            # Requests could leave their residency through such an endpoint.
            return _invalid(f'This VM is in region {self._region}.')
        self._services[announcement.endpoint_id] = service
        return self._registry.announce(announcement)

    def _take_heartbeat(
        self, service: str, body: bytes
    ) -> Result[LeaseAnswer, Refusal]:
        decoded = decode_heartbeat(body)
        if decoded.is_error():
            return _invalid(decoded.error)
        beat = decoded.ok
        announced = self._services.get(beat.endpoint_id)
        if announced is None:
            return _invalid('The endpoint must announce itself here first.')
        if announced != service:
            return Error(Refusal(RefusalCode.KEY_UNKNOWN))
        return self._registry.heartbeat(beat)


def decode_announcement(body: bytes) -> Result[Announcement, str]:
    """Decode an announcement; an error says which part is invalid."""
    decoded = decode_json(body, _announcements, MAX_BODY_BYTES)
    if decoded.is_error():
        return decoded
    try:
        msgspec.convert(decoded.ok.url, BaseUrl)
    except msgspec.ValidationError:
        return Error('Expected a URL with a valid host and port - at `$.url`.')
    return decoded


def decode_heartbeat(body: bytes) -> Result[Heartbeat, str]:
    """Decode a heartbeat; an error says which part is invalid."""
    return decode_json(body, _heartbeats, MAX_BODY_BYTES)


def _invalid(detail: str) -> Result[LeaseAnswer, Refusal]:
    return Error(Refusal(RefusalCode.INVALID_REQUEST, detail=detail))


def _refuse(refusal: Refusal, request: Request) -> HTTPResponse:
    SanicResponseWriter(request).close_if_unread()
    return refusal_response(refusal, '')
