"""Describe VMs as the settings name them."""

from baobabwharf_core.ids import Incarnation, RegionId, VmId, ZoneId
from baobabwharf_core.model import VmRecord

from baobabwharf_daemon.settings import Peer, Settings

_UNKNOWN = Incarnation(0)


def own_record(
    settings: Settings, incarnation: Incarnation = _UNKNOWN
) -> VmRecord:
    """Return the record of this VM."""
    return VmRecord(
        vm_id=VmId(settings.vm_id),
        region=RegionId(settings.region),
        zone=ZoneId(settings.zone),
        has_disk=settings.data_folder is not None,
        peer_address=settings.peer_address,
        forward_address=settings.forward_address,
        caller_url=settings.caller_url,
        incarnation=incarnation,
    )


def host_of(vm: VmRecord) -> str:
    """Return the IP address of a VM."""
    return vm.peer_address.rpartition(':')[0]


def seed_record(peer: Peer) -> VmRecord:
    """Return the record of a VM that is contacted at start."""
    return VmRecord(
        vm_id=VmId(peer.vm_id),
        region=RegionId(peer.region),
        zone=ZoneId(peer.zone),
        has_disk=peer.has_disk,
        peer_address=peer.peer_address,
        forward_address=peer.forward_address,
        caller_url=peer.caller_url,
    )
