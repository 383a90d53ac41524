"""Validate plain service requests and build their calls."""

from baobabwharf_core.fleet_config import RouteRule
from baobabwharf_core.ids import CustomerId
from baobabwharf_core.refusals import Refusal
from sanic import Request

from baobabwharf_daemon.gateway.auth import Caller
from baobabwharf_daemon.gateway.calls import Call
from baobabwharf_daemon.gateway.completions import read_constraints
from baobabwharf_daemon.gateway.request_attributes import (
    ANONYMOUS_CUSTOMER,
    RequestIds,
    choose_target,
    narrow_residency,
    service_attributes,
)
from baobabwharf_daemon.gateway.scrub import (
    forwardable_headers,
    scrub_bytes,
    scrub_json,
    scrub_url,
)
from baobabwharf_daemon.interfaces import ConfigSource

SERVICES_PREFIX = '/services/'


class ServiceCalls:
    """Build the calls of plain service requests."""

    def __init__(
        self, config_source: ConfigSource, request_ids: RequestIds
    ) -> None:
        self._config_source = config_source
        self._request_ids = request_ids

    def build(
        self,
        request: Request,
        rule: RouteRule,
        body: bytes,
        caller: Caller | None,
    ) -> Call | Refusal:
        """Return the call of a valid request, else a refusal."""
        constraints = read_constraints(request)
        target = choose_target(
            self._config_source.config, constraints, rule.work_class
        )
        if isinstance(target, Refusal):
            return target
        allowed = caller.customer.residency if caller else ()
        residency = narrow_residency(allowed, constraints.residency)
        if isinstance(residency, Refusal):
            return residency
        key = presented_key(request)
        _service, path = split_service_path(request)
        return Call(
            attributes=service_attributes(
                self._request_ids.next_id(),
                _customer_id(caller),
                rule,
                target,
                residency,
                body,
            ),
            method=request.method,
            path=scrub_url(path, key),
            query=scrub_url(request.query_string, key),
            headers=forwardable_headers(list(request.headers.items()), key),
            body=_scrub_body(request, body, key),
            completion=False,
        )


def split_service_path(request: Request) -> tuple[str, str]:
    """Return the service and its path; the path is not percent-decoded."""
    raw = request.raw_url.split(b'?', 1)[0].decode('ascii', 'replace')
    _empty, _services, rest = raw.split('/', 2)
    service, slash, path = rest.partition('/')
    return service, f'{slash or "/"}{path}'


def presented_key(request: Request) -> bytes:
    """Return the credentials of the Authorization header, unvalidated."""
    header = request.headers.get('authorization', '')
    _scheme, _space, key = header.partition(' ')
    return (key or header).strip().encode('utf-8', 'surrogateescape')


def _customer_id(caller: Caller | None) -> CustomerId:
    return caller.customer.customer_id if caller else ANONYMOUS_CUSTOMER


def _scrub_body(request: Request, body: bytes, key: bytes) -> bytes:
    content_type = request.headers.get('content-type', '')
    if 'json' in content_type:
        return scrub_json(body, key)
    return scrub_bytes(body, key)
