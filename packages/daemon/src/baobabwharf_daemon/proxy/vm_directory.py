"""List the addresses of entry VMs for callers."""

from collections.abc import Iterable

from baobabwharf_core.fleet_config import VmRecord
from baobabwharf_core.ids import RegionId
from baobabwharf_decisions.membership.proxy_vms import entry_vms

MAX_ADDRESSES = 64
_SCHEME_END = '://'


def entry_addresses(
    live: Iterable[VmRecord], region: RegionId
) -> tuple[str, ...]:
    """Return the addresses in the caller's region, or all if it has none.

    This keeps requests in the caller's region where possible.
    """
    entries = entry_vms(live)
    near = [vm for vm in entries if vm.region == region]
    chosen = near or entries
    addresses = sorted(_address(vm) for vm in chosen)
    return tuple(addresses[:MAX_ADDRESSES])


def _address(vm: VmRecord) -> str:
    return vm.caller_url.partition(_SCHEME_END)[2]
