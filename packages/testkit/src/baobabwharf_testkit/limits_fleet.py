"""Build simulated fleets that use one of three limit schemes."""

import enum

from baobabwharf_core.fleet_config import Customer, FleetConfig, VmRecord
from baobabwharf_core.ids import RegionId, Revision, VmId, ZoneId

from baobabwharf_testkit.limits_node import (
    CUSTOMER_ID,
    FixedShareNode,
    LimitNode,
    Node,
)
from baobabwharf_testkit.limits_simulation import (
    MAX_DRIFT_PPM,
    Network,
    Simulation,
    VmClock,
)

_REGION_COUNT = 3


class Scheme(enum.Enum):
    """Choose how a customer's bucket is shared."""

    LENDING = 'lending'
    STATIC_SPLIT = 'static split'
    CENTRAL_LEDGER = 'central ledger'


def vm_regions(count: int) -> dict[str, str]:
    """Return the region of each VM, spread over three regions."""
    return {
        f'vm-{index}': f'region-{index % _REGION_COUNT}'
        for index in range(count)
    }


def fleet_config(
    customer: Customer, regions: dict[str, str], revision: int
) -> FleetConfig:
    """Return a configuration with one customer."""
    vms = {
        VmId(vm): VmRecord(
            VmId(vm), RegionId(region), ZoneId(region), False, '', '', ''
        )
        for vm, region in regions.items()
    }
    return FleetConfig(Revision(revision), {CUSTOMER_ID: customer}, vms=vms)


def build_fleet(
    scheme: Scheme,
    customer: Customer,
    simulation: Simulation,
    network: Network,
    regions: dict[str, str],
) -> dict[str, Node]:
    """Start all VMs with clocks that drift within the bound."""
    fleet: dict[str, Node] = {}
    for vm_id in regions:
        drift = simulation.rng.randint(-MAX_DRIFT_PPM, MAX_DRIFT_PPM)
        clock = VmClock(drift, simulation.rng.randrange(10**9))
        node_type = LimitNode if scheme is Scheme.LENDING else FixedShareNode
        fleet[vm_id] = node_type(vm_id, simulation, network, clock)
    config = fleet_config(customer, regions, 1)
    for node in fleet.values():
        if isinstance(node, LimitNode):
            node.peers = {
                peer: other
                for peer, other in fleet.items()
                if isinstance(other, LimitNode)
            }
            node.config = config
        elif isinstance(node, FixedShareNode):
            _configure_fixed_share(node, scheme, customer, fleet)
    for node in fleet.values():
        node.begin()
    return fleet


def _configure_fixed_share(
    node: FixedShareNode,
    scheme: Scheme,
    customer: Customer,
    fleet: dict[str, Node],
) -> None:
    central = scheme is Scheme.CENTRAL_LEDGER
    owner = next(iter(fleet.values())) if central else None
    node.customer = customer
    node.share_count = 1 if central else len(fleet)
    node.ledger = owner if isinstance(owner, FixedShareNode) else None
