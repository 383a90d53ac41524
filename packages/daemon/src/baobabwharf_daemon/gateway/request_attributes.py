"""Derive RequestAttributes from request headers and the configuration.

Functions on the hot path return plain unions: building a Result of the
expression library costs 6 µs, more than most of the steps themselves.
"""

import itertools
import secrets

import msgspec
from baobabwharf_core.fleet_config import (
    Customer,
    FleetConfig,
    RouteRule,
    Target,
)
from baobabwharf_core.ids import (
    CustomerId,
    ModelId,
    RegionId,
    RequestId,
    ServiceId,
    WorkClass,
)
from baobabwharf_core.prefix_hashing import prefix_hashes
from baobabwharf_core.refusals import Refusal, RefusalCode
from baobabwharf_core.requests import RequestAttributes

from baobabwharf_daemon.gateway.body_parser import ParsedBody, body_tokens

# All callers of routes that are open to all share this customer in admission;
# no tokens are charged to it.
ANONYMOUS_CUSTOMER = CustomerId('')
# Used if no target is configured for the work class of a route rule.
_DEFAULT_TARGET = Target(WorkClass('interactive'), 5000, 60_000)
_RANDOM_BYTES = 6


class RequestIds:
    """Generate request ids that are unique across VMs and restarts."""

    def __init__(self) -> None:
        self._prefix = secrets.token_hex(_RANDOM_BYTES)
        self._counter = itertools.count(1)

    def next_id(self) -> RequestId:
        """Return a request id that was not used before."""
        return RequestId(f'{self._prefix}{next(self._counter):08x}')


class RouteIndex:
    """Find the route rule of a service call by longest-prefix match."""

    def __init__(self) -> None:
        self._config: FleetConfig | None = None
        self._rules: dict[str, list[RouteRule]] = {}

    def find(
        self, config: FleetConfig, service: str, path: str
    ) -> RouteRule | None:
        """Return the matching rule, or None if no rule matches."""
        if config is not self._config:
            self._build(config)
        for rule in self._rules.get(service, ()):
            if _is_under_prefix(path, rule.path_prefix):
                return rule
        return None

    def _build(self, config: FleetConfig) -> None:
        self._rules = {}
        for rule in config.routes.values():
            self._rules.setdefault(rule.service, []).append(rule)
        for rules in self._rules.values():
            rules.sort(key=_prefix_length, reverse=True)
        self._config = config


class RequestConstraints(msgspec.Struct, frozen=True):
    """Hold the work class and residency that the caller set in headers."""

    work_class: str | None = None
    residency: str | None = None


def choose_target(
    config: FleetConfig, constraints: RequestConstraints, rule_class: WorkClass
) -> Target | Refusal:
    """Return the target of the requested work class, else of the rule's."""
    requested = constraints.work_class
    if requested is not None:
        target = config.targets.get(WorkClass(requested))
        if target is None:
            return Refusal(RefusalCode.WORK_CLASS_UNKNOWN)
        return target
    target = config.targets.get(rule_class)
    if target is None:
        target = msgspec.structs.replace(_DEFAULT_TARGET, work_class=rule_class)
    return target


def narrow_residency(
    allowed: tuple[RegionId, ...], requested: str | None
) -> tuple[RegionId, ...] | Refusal:
    """Return the regions that both the customer and the request allow."""
    if requested is None:
        return allowed
    named = [part.strip() for part in requested.split(',')]
    regions = tuple(RegionId(name) for name in named if name)
    if allowed:
        regions = tuple(name for name in regions if name in allowed)
    if not regions:
        return Refusal(RefusalCode.RESIDENCY_CONFLICT)
    return regions


def completion_attributes(
    request_id: RequestId,
    customer: Customer,
    service: ServiceId,
    target: Target,
    residency: tuple[RegionId, ...],
    parsed: ParsedBody,
) -> RequestAttributes:
    """Return the attributes of a completion request."""
    return RequestAttributes(
        request_id=request_id,
        customer_id=customer.customer_id,
        service=service,
        work_class=target.work_class,
        residency=residency,
        deadline_ms=target.complete_ms,
        first_token_ms=target.first_token_ms,
        model=ModelId(parsed.model),
        prompt_tokens=parsed.prompt_tokens,
        max_output_tokens=parsed.max_output_tokens,
        body_bytes=len(parsed.body),
        prefix_hashes=prefix_hashes(parsed.prompt),
        streaming=parsed.streaming,
    )


def service_attributes(
    request_id: RequestId,
    customer_id: CustomerId,
    rule: RouteRule,
    target: Target,
    residency: tuple[RegionId, ...],
    body: bytes,
) -> RequestAttributes:
    """Return the attributes of a plain service call."""
    return RequestAttributes(
        request_id=request_id,
        customer_id=customer_id,
        service=rule.service,
        work_class=target.work_class,
        residency=residency,
        deadline_ms=target.complete_ms,
        first_token_ms=target.first_token_ms,
        prompt_tokens=body_tokens(body),
        body_bytes=len(body),
        repeatable=rule.repeatable,
    )


def _prefix_length(rule: RouteRule) -> int:
    return len(rule.path_prefix)


def _is_under_prefix(path: str, prefix: str) -> bool:
    if not path.startswith(prefix):
        return False
    rest = path[len(prefix) :]
    return prefix.endswith('/') or not rest or rest[0] == '/'
