"""List the addresses of entry VMs for callers."""

from collections.abc import Iterable

from baobabwharf_core.fleet_config import VmRecord
from baobabwharf_core.ids import RegionId
from baobabwharf_decisions.membership.listed_vms import listed_vms
from baobabwharf_decisions.membership.proxy_vms import entry_vms

MAX_ADDRESSES = 64
_SCHEME_END = '://'


def entry_addresses(
    live: Iterable[VmRecord],
    stopping: Iterable[VmRecord],
    region: RegionId,
    homes: frozenset[RegionId],
    second: int = 0,
) -> tuple[str, ...]:
    """Return the addresses in the caller's region, or else in home regions.

    Requests that are bound to a region should not leave it, so VMs that are
    stopping there go before live ones elsewhere.  All live ones are returned if
    there are none: they can still forward a request to its home.  VMs that can
    carry less than others are left out in some seconds.
    """
    entries = entry_vms(live)
    near = [vm for vm in entries if vm.region == region]
    at_home = [vm for vm in entries if vm.region in homes]
    chosen = near or at_home
    if not chosen and homes:
        bound = homes | {region}
        chosen = [vm for vm in entry_vms(stopping) if vm.region in bound]
    chosen = chosen or entries
    addresses = sorted(_address(vm) for vm in listed_vms(chosen, second))
    return tuple(addresses[:MAX_ADDRESSES])


def _address(vm: VmRecord) -> str:
    return vm.caller_url.partition(_SCHEME_END)[2]
