"""Create customers, keys, targets and routes through the operator interface."""

from baobabwharf_core.changes import (
    Change,
    ChangeCode,
    CreateCustomer,
    CreateEndpointKey,
    CreateKey,
    SetRoute,
    SetTarget,
)
from baobabwharf_core.fleet_config import (
    Customer,
    EndpointKeyRecord,
    KeyRecord,
    RouteRule,
)
from baobabwharf_core.ids import CustomerId, KeyId, RegionId, ServiceId

from baobabwharf_testkit.fleet import Fleet
from baobabwharf_testkit.fleet_plan import Deployment
from baobabwharf_testkit.operator_client import (
    OperatorClient,
    key_digest,
    new_key,
)
from baobabwharf_testkit.readiness import FleetError
from baobabwharf_testkit.workload import CustomerPlan

_WAIT_MS = 5000


async def make_change(
    operator: OperatorClient, change: Change, wait: bool = False
) -> None:
    """Make a change; raise FleetError unless it is accepted."""
    outcome = await operator.change(change, wait_ms=_WAIT_MS if wait else 0)
    if outcome.code is not ChangeCode.ACCEPTED:
        raise FleetError(f'{change}: {outcome.code.value} {outcome.sentence}')


async def set_up_services(
    fleet: Fleet, operator: OperatorClient, deployment: Deployment
) -> None:
    """Create targets, routes and endpoint keys of a deployment."""
    for target in (deployment.interactive, deployment.batch):
        await make_change(operator, SetTarget(target))
    service = ServiceId(deployment.plain_service)
    work_class = deployment.interactive.work_class
    for prefix, repeatable in (('/', True), (deployment.booking_path, False)):
        rule = RouteRule(
            service,
            prefix,
            repeatable=repeatable,
            work_class=work_class,
        )
        await make_change(operator, SetRoute(rule))
    for name in (deployment.model_service, deployment.plain_service):
        key = new_key()
        fleet.endpoint_keys[name] = key
        record = EndpointKeyRecord(
            KeyId(f'endpoint-{name}'), ServiceId(name), key_digest(key)
        )
        await make_change(operator, CreateEndpointKey(record))


async def set_up_customers(
    operator: OperatorClient, plans: tuple[CustomerPlan, ...]
) -> dict[str, str]:
    """Create customers, wait for the last change and return their keys."""
    keys = {}
    for plan in plans:
        customer = Customer(
            CustomerId(plan.customer_id),
            plan.rate_tokens_per_s,
            plan.burst_tokens,
            tuple(RegionId(region) for region in plan.residency),
        )
        await make_change(operator, CreateCustomer(customer))
        key = new_key()
        keys[plan.customer_id] = key
        record = KeyRecord(
            KeyId(f'key-{plan.customer_id}'),
            CustomerId(plan.customer_id),
            key_digest(key),
        )
        last = plan is plans[-1]
        await make_change(operator, CreateKey(record), wait=last)
    return keys
