"""List the addresses of entry VMs for callers."""

from collections.abc import Iterable

from baobabwharf_core.fleet_config import VmRecord
from baobabwharf_core.ids import RegionId
from baobabwharf_decisions.membership.proxy_vms import entry_vms

MAX_ADDRESSES = 64
_SCHEME_END = '://'


def entry_addresses(
    live: Iterable[VmRecord],
    region: RegionId,
    homes: frozenset[RegionId],
) -> tuple[str, ...]:
    """Return the addresses in the caller's region, or else in home regions.

    All are returned if neither has any: an entry VM elsewhere can still forward
    a request to its home.
    """
    entries = entry_vms(live)
    near = [vm for vm in entries if vm.region == region]
    at_home = [vm for vm in entries if vm.region in homes]
    chosen = near or at_home or entries
    addresses = sorted(_address(vm) for vm in chosen)
    return tuple(addresses[:MAX_ADDRESSES])


def _address(vm: VmRecord) -> str:
    return vm.caller_url.partition(_SCHEME_END)[2]
