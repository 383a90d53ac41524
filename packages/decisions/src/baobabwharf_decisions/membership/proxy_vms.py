"""Choose the VMs that proxy requests to the endpoints of a region.

A rolling restart or a fault can stop all entry VMs of a small region while its
endpoints are healthy.  Endpoints accept connections only from VMs of their own
region, so until an entry VM is back the disk VMs of the region serve requests
forwarded from other regions.
"""

from collections.abc import Iterable

from baobabwharf_core.fleet_config import VmRecord
from baobabwharf_core.ids import RegionId


def entry_vms(live: Iterable[VmRecord]) -> list[VmRecord]:
    """Return the VMs that callers connect to."""
    return [vm for vm in live if not vm.has_disk]


def forwarding_vms_of(
    live: Iterable[VmRecord], region: RegionId
) -> list[VmRecord]:
    """Return the entry VMs of a region, or its disk VMs if it has none."""
    in_region = [vm for vm in live if vm.region == region]
    return entry_vms(in_region) or in_region


def forwarding_vms_by_region(
    live: Iterable[VmRecord],
) -> dict[RegionId, list[VmRecord]]:
    """Return the proxies of each region."""
    vms: dict[RegionId, list[VmRecord]] = {}
    for vm in live:
        vms.setdefault(vm.region, []).append(vm)
    return {
        region: entry_vms(in_region) or in_region
        for region, in_region in vms.items()
    }
