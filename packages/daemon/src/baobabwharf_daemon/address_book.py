"""Look up the addresses of VMs and which VMs have a disk."""

from collections.abc import Callable, Iterable
from typing import final

from baobabwharf_core.fleet_config import VmRecord
from baobabwharf_core.ids import VmId

from baobabwharf_daemon.settings import Settings
from baobabwharf_daemon.vm_records import own_record, seed_record

LiveVms = Callable[[], Iterable[VmRecord]]


@final
class AddressBook:
    """Combine the peers from the settings with the VMs known to be alive."""

    def __init__(self, settings: Settings, live_vms: LiveVms) -> None:
        self._own = own_record(settings)
        self._configured_peers = {
            VmId(peer.vm_id): seed_record(peer) for peer in settings.peers
        }
        self._live_vms = live_vms

    @property
    def own(self) -> VmRecord:
        """Return the record of this VM."""
        return self._own

    def live(self) -> dict[VmId, VmRecord]:
        """Return the VMs that are alive, including this VM."""
        known = {vm.vm_id: vm for vm in self._live_vms()}
        known[self._own.vm_id] = self._own
        return known

    def known(self) -> dict[VmId, VmRecord]:
        """Return the live VMs and the peers from the settings."""
        return {**self._configured_peers, **self.live()}

    def address_of(self, vm_id: VmId) -> str | None:
        """Return the peer address of a VM, None if the VM is unknown."""
        vm = self.known().get(vm_id)
        return None if vm is None else vm.peer_address

    def other_disk_vms(self) -> list[VmRecord]:
        """Return the known disk VMs, except this VM."""
        return [
            vm
            for vm in self.known().values()
            if vm.has_disk and vm.vm_id != self._own.vm_id
        ]
