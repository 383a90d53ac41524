"""Validate completion requests and build their calls."""

from baobabwharf_core.ids import ModelId, WorkClass
from baobabwharf_core.refusals import Refusal, RefusalCode
from baobabwharf_core.requests import RequestAttributes
from sanic import Request

from baobabwharf_daemon.gateway.auth import Caller
from baobabwharf_daemon.gateway.body_parser import ParsedBody, parse_body
from baobabwharf_daemon.gateway.calls import Call
from baobabwharf_daemon.gateway.request_attributes import (
    RequestConstraints,
    RequestIds,
    RouteIndex,
    choose_target,
    completion_attributes,
    narrow_residency,
)
from baobabwharf_daemon.gateway.scrub import scrub_json
from baobabwharf_daemon.interfaces import ConfigSource, ModelCatalog

_DEFAULT_CLASS = WorkClass('interactive')
_HEADERS = (
    ('Content-Type', 'application/json'),
    ('Accept', 'application/json, text/event-stream'),
)
_WARM_UP_RETRY_MS = 500


class CompletionCalls:
    """Build the calls of completion requests."""

    def __init__(
        self,
        config_source: ConfigSource,
        catalog: ModelCatalog,
        routes: RouteIndex,
        request_ids: RequestIds,
    ) -> None:
        self._config_source = config_source
        self._catalog = catalog
        self._routes = routes
        self._request_ids = request_ids

    def build(
        self, request: Request, path: str, body: bytes, caller: Caller
    ) -> Call | Refusal:
        """Return the call of a valid request, else a refusal."""
        parsed = parse_body(path, scrub_json(body, caller.key))
        if isinstance(parsed, Refusal):
            return parsed
        attributes = self._attributes(request, path, parsed, caller)
        if isinstance(attributes, Refusal):
            return attributes
        return Call(
            attributes=attributes,
            method='POST',
            path=path,
            query='',
            headers=_HEADERS,
            body=parsed.body,
            completion=True,
            choices=parsed.choices,
        )

    def _unknown_model(self) -> Refusal:
        if self._catalog.complete:
            return Refusal(RefusalCode.MODEL_UNKNOWN)
        # Shortly after start-up the models of other regions are not known yet.
        return Refusal(
            RefusalCode.VM_NOT_READY, retry_after_ms=_WARM_UP_RETRY_MS
        )

    def _attributes(
        self, request: Request, path: str, parsed: ParsedBody, caller: Caller
    ) -> RequestAttributes | Refusal:
        service = self._catalog.models().get(ModelId(parsed.model))
        if service is None:
            return self._unknown_model()
        config = self._config_source.config
        rule = self._routes.find(config, service, path)
        constraints = read_constraints(request)
        target = choose_target(
            config, constraints, rule.work_class if rule else _DEFAULT_CLASS
        )
        if isinstance(target, Refusal):
            return target
        residency = narrow_residency(
            caller.customer.residency, constraints.residency
        )
        if isinstance(residency, Refusal):
            return residency
        return completion_attributes(
            self._request_ids.next_id(),
            caller.customer,
            service,
            target,
            residency,
            parsed,
        )


def read_constraints(request: Request) -> RequestConstraints:
    """Return the constraints that the caller set in headers."""
    return RequestConstraints(
        request.headers.get('x-work-class'),
        request.headers.get('x-residency'),
    )
