"""Tell callers which entry VMs to connect to."""

from collections.abc import Iterable

from baobabwharf_core.ids import RegionId
from baobabwharf_core.model import VmRecord
from baobabwharf_decisions.membership.proxy_vms import entry_vms

MAX_ADDRESSES = 64
_SCHEME_END = '://'


def entry_addresses(
    live: Iterable[VmRecord], region: RegionId
) -> tuple[str, ...]:
    """Return caller addresses, those of the caller's region if it has any.

    A caller that connects to its own region keeps its request inside it.
    """
    entries = entry_vms(live)
    near = [vm for vm in entries if vm.region == region]
    chosen = near or entries
    addresses = sorted(_address(vm) for vm in chosen)
    return tuple(addresses[:MAX_ADDRESSES])


def _address(vm: VmRecord) -> str:
    return vm.caller_url.partition(_SCHEME_END)[2]
