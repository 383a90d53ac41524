"""Describe fleets and the two deployments."""

from typing import Any

import msgspec
from baobabwharf_core.fleet_config import Target
from baobabwharf_core.ids import WorkClass

from baobabwharf_testkit.endpoint_model import EndpointKind


class VmPlan(msgspec.Struct, frozen=True):
    """Plan one VM."""

    vm_id: str
    region: str
    zone: str
    has_disk: bool = False


class EndpointPlan(msgspec.Struct, frozen=True):
    """Plan one simulated endpoint; extra_settings override the defaults."""

    endpoint_id: str
    service: str
    region: str
    kind: EndpointKind
    extra_settings: dict[str, Any] = {}


class LinkPlan(msgspec.Struct, frozen=True):
    """Plan the links between regions."""

    delay_ms: float = 20.0
    bandwidth_mbit_s: float = 1000.0


class FleetPlan(msgspec.Struct, frozen=True):
    """Plan a complete fleet."""

    vms: tuple[VmPlan, ...]
    link: LinkPlan = LinkPlan()
    # Routes the links between VMs through fault proxies.
    proxied: bool = False
    tls: bool = False
    drain_deadline_ms: int = 10_000
    log_level: str = 'INFO'

    @property
    def regions(self) -> tuple[str, ...]:
        """Return the regions in the order of the VMs."""
        return tuple(dict.fromkeys(vm.region for vm in self.vms))

    @property
    def voters(self) -> tuple[str, ...]:
        """Return the ids of the VMs with a disk."""
        return tuple(vm.vm_id for vm in self.vms if vm.has_disk)


class Deployment(msgspec.Struct, frozen=True):
    """Describe the regions, services and work classes of a deployment."""

    name: str
    regions: tuple[str, ...]
    model_service: str
    engines_by_region: tuple[int, ...]
    plain_service: str
    link: LinkPlan
    booking_path: str
    sheet_path: str
    interactive: Target
    batch: Target


ROTAWEN = Deployment(
    name='Rotawen',
    regions=('tunis-a', 'sfax-a', 'sousse-a'),
    model_service='rota-model',
    engines_by_region=(2, 2, 2),
    plain_service='rota-app',
    link=LinkPlan(delay_ms=25.0, bandwidth_mbit_s=1000.0),
    booking_path='/bookings',
    sheet_path='/sheets',
    interactive=Target(WorkClass('interactive'), 2000, 10_000, 0.5),
    batch=Target(WorkClass('batch'), 60_000, 300_000, 0.8),
)
SAMITI = Deployment(
    name='Samiti',
    regions=('darjeeling-a', 'kalimpong-a', 'kurseong-a'),
    model_service='roof-assistant',
    engines_by_region=(2, 2, 1),
    plain_service='dispatch-desk',
    link=LinkPlan(delay_ms=30.0, bandwidth_mbit_s=40.0),
    booking_path='/dispatches',
    sheet_path='/jobs',
    interactive=Target(WorkClass('samiti-interactive'), 4000, 15_000, 0.2),
    batch=Target(WorkClass('samiti-batch'), 120_000, 600_000, 0.2),
)


def region_vms(
    regions: tuple[str, ...], vms_per_region: int = 2
) -> tuple[VmPlan, ...]:
    """Return the VMs; the first one of each region has a disk."""
    return tuple(
        VmPlan(
            vm_id=f'{region}-vm{number}',
            region=region,
            zone=f'{region}-z{number}',
            has_disk=number == 1,
        )
        for region in regions
        for number in range(1, vms_per_region + 1)
    )


def deployment_endpoints(
    deployment: Deployment,
    regions: tuple[str, ...],
    tokens_per_s: float = 100.0,
) -> tuple[EndpointPlan, ...]:
    """Return the engines of each region and one plain service in each."""
    plans = []
    counts = zip(regions, deployment.engines_by_region, strict=True)
    for region, count in counts:
        for number in range(1, count + 1):
            plans.append(engine_plan(deployment, region, number, tokens_per_s))
        plans.append(service_plan(deployment, region))
    return tuple(plans)


def service_plan(deployment: Deployment, region: str) -> EndpointPlan:
    """Return the plain service of a region."""
    return EndpointPlan(
        endpoint_id=f'{deployment.plain_service}-{region}',
        service=deployment.plain_service,
        region=region,
        kind=EndpointKind.SERVICE,
    )


def engine_plan(
    deployment: Deployment, region: str, number: int, tokens_per_s: float
) -> EndpointPlan:
    """Return one engine; its model has the name of the service."""
    return EndpointPlan(
        endpoint_id=f'{deployment.model_service}-{region}-{number}',
        service=deployment.model_service,
        region=region,
        kind=EndpointKind.ENGINE,
        extra_settings={
            'models': [deployment.model_service],
            'tokens_per_s': tokens_per_s,
        },
    )
