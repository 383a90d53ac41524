"""Look up the route, customer and service of a request."""

import hashlib
from typing import final

from baobabwharf_core.deployment import (
    DeployedCustomer,
    DeployedRoute,
    DeployedService,
    Deployment,
    RouteShare,
)
from baobabwharf_core.ids import RegionId, ServiceId
from baobabwharf_core.refusals import Refusal, RefusalCode
from expression import Error, Ok, Result

from baobabwharf_decisions.hashing import POINTS, hash_point

_KEY_DIGEST_BYTES = 16


def key_digest(key: bytes) -> bytes:
    """Return the digest under which an API key is stored."""
    return hashlib.blake2b(key, digest_size=_KEY_DIGEST_BYTES).digest()


@final
class RouteTable:
    """Index a deployment for lookups on the request path."""

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self._hosts: dict[str, list[DeployedRoute]] = {}
        for route in deployment.routes:
            self._hosts.setdefault(route.host.lower(), []).append(route)
        for routes in self._hosts.values():
            routes.sort(key=_by_prefix_length)
        self._customers = {
            digest: customer
            for customer in deployment.customers
            for digest in customer.key_digests
        }
        self._services = {
            service.name: service for service in deployment.services
        }

    def shortest_pause_target_ms(self, name: ServiceId) -> int | None:
        """Return the shortest pause target of a service's streams, if any."""
        return min(
            (
                route.pause_target_ms
                for route in self.deployment.routes
                if route.pause_target_ms is not None
                and any(share.service == name for share in route.shares)
            ),
            default=None,
        )

    def home_regions(self, host: str) -> frozenset[RegionId]:
        """Return the regions to which most routes of a host are bound.

        These are the homes that its bound routes have in common or, without
        common ones, all their homes; empty if no route is bound.
        """
        homes = [
            frozenset(route.home_regions)
            for route in self._hosts.get(host.lower(), ())
            if route.home_regions
        ]
        if not homes:
            return frozenset()
        common = frozenset.intersection(*homes)
        return common or frozenset.union(*homes)

    def find(self, host: str, path: str) -> Result[DeployedRoute, Refusal]:
        """Return the route of a host with the longest matching path prefix."""
        for route in self._hosts.get(host.lower(), ()):
            if path.startswith(route.path_prefix):
                return Ok(route)
        return Error(Refusal(RefusalCode.SERVICE_UNKNOWN))

    def authenticate(
        self, route: DeployedRoute, key: bytes | None
    ) -> Result[DeployedCustomer | None, Refusal]:
        """Return the customer of a key, None if no key is required."""
        if route.open_to_all or not self.deployment.customers:
            return Ok(None)
        if key is None:
            return Error(Refusal(RefusalCode.KEY_MISSING))
        customer = self._customers.get(key_digest(key))
        if customer is None:
            return Error(Refusal(RefusalCode.KEY_UNKNOWN))
        return Ok(customer)

    def service(self, name: ServiceId) -> DeployedService:
        """Return a service that a route of the deployment refers to."""
        return self._services[name]

    def find_service(self, name: ServiceId) -> DeployedService | None:
        """Return a service, None if the deployment does not define it."""
        return self._services.get(name)


def _weight(share: RouteShare) -> float:
    return share.weight


def _by_prefix_length(route: DeployedRoute) -> int:
    return -len(route.path_prefix)


def choose_service(route: DeployedRoute, request_id: str) -> ServiceId:
    """Choose a service by hash of the request id and the route's weights."""
    total = sum(share.weight for share in route.shares)
    remaining = hash_point(request_id) / POINTS * total
    for share in route.shares:
        remaining -= share.weight
        if remaining < 0:
            return share.service
    return max(route.shares, key=_weight).service


def allowed_regions(
    route: DeployedRoute, customer: DeployedCustomer | None
) -> frozenset[RegionId] | None:
    """Return the regions that may serve a request, None if all may."""
    homes = [frozenset(route.home_regions)] if route.home_regions else []
    if customer is not None and customer.home_regions:
        homes.append(frozenset(customer.home_regions))
    return frozenset.intersection(*homes) if homes else None
