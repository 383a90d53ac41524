"""Handle announcements and heartbeats of endpoints over HTTP."""

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
from baobabwharf_daemon.gateway.http_server import MAX_BODY_BYTES
from baobabwharf_daemon.gateway.sanic_response import refusal_response
from baobabwharf_daemon.interfaces import EndpointRegistry

_announcements = msgspec.json.Decoder(Announcement)
_heartbeats = msgspec.json.Decoder(Heartbeat)


class AnnouncementRoutes:
    """Authenticate endpoints and pass their messages to the registry."""

    def __init__(
        self, region: str, keys: KeyIndex, registry: EndpointRegistry
    ) -> None:
        self._region = region
        self._keys = keys
        self._registry = registry
        self._services: dict[str, str] = {}

    def add_to(self, app: Sanic) -> None:
        """Add the routes to the caller listener."""
        app.add_route(self._announce, ANNOUNCE_PATH, methods=['POST'])
        app.add_route(self._heartbeat, HEARTBEAT_PATH, methods=['POST'])

    async def _announce(self, request: Request) -> HTTPResponse:
        return _respond(self._take_announcement(request))

    async def _heartbeat(self, request: Request) -> HTTPResponse:
        return _respond(self._take_heartbeat(request))

    def _take_announcement(
        self, request: Request
    ) -> Result[LeaseAnswer, Refusal]:
        service = self._service(request)
        if service is None:
            return Error(Refusal(RefusalCode.KEY_UNKNOWN))
        decoded = decode_announcement(request.body)
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

    def _take_heartbeat(self, request: Request) -> Result[LeaseAnswer, Refusal]:
        service = self._service(request)
        if service is None:
            return Error(Refusal(RefusalCode.KEY_UNKNOWN))
        decoded = decode_heartbeat(request.body)
        if decoded.is_error():
            return _invalid(decoded.error)
        beat = decoded.ok
        announced = self._services.get(beat.endpoint_id)
        if announced is None:
            return _invalid('The endpoint must announce itself here first.')
        if announced != service:
            return Error(Refusal(RefusalCode.KEY_UNKNOWN))
        return self._registry.heartbeat(beat)

    def _service(self, request: Request) -> str | None:
        return self._keys.endpoint_service(request.headers.get('authorization'))


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


def _respond(outcome: Result[LeaseAnswer, Refusal]) -> HTTPResponse:
    if outcome.is_ok():
        return HTTPResponse(
            msgspec.json.encode(outcome.ok), content_type='application/json'
        )
    return refusal_response(outcome.error, '')
