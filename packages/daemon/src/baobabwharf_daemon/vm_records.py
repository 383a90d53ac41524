"""Build VM records from the settings."""

from baobabwharf_core.fleet_config import VmRecord
from baobabwharf_core.ids import Incarnation, RegionId, VmId, ZoneId

from baobabwharf_daemon.settings import Peer, Settings

_UNKNOWN_INCARNATION = Incarnation(0)


def own_record(
    settings: Settings, incarnation: Incarnation = _UNKNOWN_INCARNATION
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
        capacity=settings.capacity,
    )


def host_of(vm: VmRecord) -> str:
    """Return the host part of a VM's peer address."""
    return vm.peer_address.rpartition(':')[0]


def seed_record(peer: Peer) -> VmRecord:
    """Return the record of a peer that the settings list for start-up."""
    return VmRecord(
        vm_id=VmId(peer.vm_id),
        region=RegionId(peer.region),
        zone=ZoneId(peer.zone),
        has_disk=peer.has_disk,
        peer_address=peer.peer_address,
        forward_address=peer.forward_address,
        caller_url=peer.caller_url,
    )
