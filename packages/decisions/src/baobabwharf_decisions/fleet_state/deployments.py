"""Install deployments by version and evacuate availability zones."""

from collections import Counter

from baobabwharf_core import changes
from baobabwharf_core.deployment import DeployedRoute, Deployment
from baobabwharf_core.fleet_config import Customer, FleetConfig
from baobabwharf_core.ids import CustomerId, ServiceId

from baobabwharf_decisions.fleet_state.change_result import (
    ChangeResult,
    already_exists,
    invalid,
    replace_tables,
)


def find_validation_errors(deployment: Deployment) -> tuple[str, ...]:
    """Return the reasons why a deployment is invalid; empty if it is valid."""
    services = {service.name for service in deployment.services}
    errors = [
        error
        for route in deployment.routes
        for error in _route_errors(route, services)
    ]
    errors.extend(
        _duplicate_errors('route name', [r.name for r in deployment.routes])
    )
    locations = [
        f'{route.host.lower()}{route.path_prefix}'
        for route in deployment.routes
    ]
    errors.extend(_duplicate_errors('host and prefix', locations))
    keys = [
        digest.hex()
        for customer in deployment.customers
        for digest in customer.key_digests
    ]
    errors.extend(_duplicate_errors('key', keys))
    return tuple(errors)


def install(
    config: FleetConfig, change: changes.InstallDeployment
) -> ChangeResult:
    """Replace the deployment with one of a higher version."""
    installed = config.deployment
    new = change.deployment
    if installed is not None and new.version <= installed.version:
        return already_exists('deployment version', str(installed.version))
    errors = find_validation_errors(new)
    if errors:
        return invalid(' '.join(errors))
    return replace_tables(
        config, deployment=new, customers=_rate_limited_customers(new)
    )


def set_evacuation(
    config: FleetConfig, change: changes.SetEvacuation
) -> ChangeResult:
    """Take an availability zone out of use, or back into use."""
    zones = set(config.evacuated)
    if change.active == (change.zone in zones):
        return already_exists('evacuation state', change.zone)
    zones ^= {change.zone}
    return replace_tables(config, evacuated=tuple(sorted(zones)))


def _rate_limited_customers(
    deployment: Deployment,
) -> dict[CustomerId, Customer]:
    return {
        customer.customer_id: Customer(
            customer.customer_id,
            customer.rate_tokens_per_s,
            max(customer.burst_tokens, 1),
            customer.home_regions,
        )
        for customer in deployment.customers
        if customer.rate_tokens_per_s > 0
    }


def _route_errors(route: DeployedRoute, services: set[ServiceId]) -> list[str]:
    errors = []
    unknown = {share.service for share in route.shares} - services
    if unknown:
        errors.append(f'Route {route.name} names an unknown service.')
    weights = [share.weight for share in route.shares]
    if not weights or sum(weights) <= 0 or min(weights) < 0:
        errors.append(f'The weights of route {route.name} add up to nothing.')
    if route.timeout_ms <= 0:
        errors.append(f'Route {route.name} has no time-out.')
    if not (route.path_prefix[:1] == '/' == route.path_prefix[-1:]):
        errors.append(f'The prefix of route {route.name} lacks its slashes.')
    return errors


def _duplicate_errors(kind: str, names: list[str]) -> list[str]:
    counts = Counter(names)
    return [f'A {kind} occurs twice.' for count in counts.values() if count > 1]
