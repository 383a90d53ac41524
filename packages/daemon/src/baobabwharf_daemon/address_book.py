"""Find addresses of VMs and the disk VMs among them."""

from collections.abc import Callable, Iterable
from typing import final

from baobabwharf_core.ids import VmId
from baobabwharf_core.model import VmRecord

from baobabwharf_daemon.settings import Settings
from baobabwharf_daemon.vm_records import own_record, seed_record

LiveVms = Callable[[], Iterable[VmRecord]]


@final
class AddressBook:
    """Combine the peers in the settings with the VMs that are alive."""

    def __init__(self, settings: Settings, live_vms: LiveVms) -> None:
        self._own = own_record(settings)
        self._first = {
            VmId(peer.vm_id): seed_record(peer) for peer in settings.peers
        }
        self._live_vms = live_vms

    @property
    def own(self) -> VmRecord:
        """Return the record of this VM."""
        return self._own

    def live(self) -> dict[VmId, VmRecord]:
        """Return the VMs that are alive, this VM included."""
        known = {vm.vm_id: vm for vm in self._live_vms()}
        known[self._own.vm_id] = self._own
        return known

    def known(self) -> dict[VmId, VmRecord]:
        """Return all VMs that could be asked."""
        return {**self._first, **self.live()}

    def address_of(self, vm_id: VmId) -> str | None:
        """Return the peer address of a VM."""
        vm = self.known().get(vm_id)
        return None if vm is None else vm.peer_address

    def other_disk_vms(self) -> list[VmRecord]:
        """Return the disk VMs that could be asked."""
        return [
            vm
            for vm in self.known().values()
            if vm.has_disk and vm.vm_id != self._own.vm_id
        ]
