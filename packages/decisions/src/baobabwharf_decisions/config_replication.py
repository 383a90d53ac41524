"""Decide where configuration comes from and what of it is accepted."""

from collections.abc import Iterable
from typing import final

import msgspec
from baobabwharf_core.changes import Change
from baobabwharf_core.ids import RegionId, Revision, VmId
from baobabwharf_core.model import FleetConfig, VmRecord

from baobabwharf_decisions.fleet_state.configuration import apply_change


class Upstream(msgspec.Struct, frozen=True):
    """Name the VM that this VM takes configuration from."""

    vm_id: VmId
    address: str
    away: bool


def choose_upstream(
    own: VmRecord,
    live: Iterable[VmRecord],
    avoided: frozenset[VmId],
) -> Upstream | None:
    """Return the upstream of a VM without own state, None if it has none.

    A disk VM of the region comes first.  Without one, the live VM with the
    smallest id is the region's relay: it asks another region and the others
    of the region ask it, so traffic between regions grows with regions only.
    Avoided VMs failed just now and count like dead ones.
    """
    known = {vm.vm_id: vm for vm in live}
    known[own.vm_id] = own
    near = [vm for vm in known.values() if vm.region == own.region]
    disks = _usable([vm for vm in near if vm.has_disk], own, avoided)
    if disks:
        return _upstream(disks[0], own.region)
    others = [vm for vm in near if vm.vm_id not in avoided]
    relay = min((vm.vm_id for vm in others), default=own.vm_id)
    if relay != own.vm_id:
        return _upstream(known[relay], own.region)
    far = [vm for vm in known.values() if vm.region != own.region]
    away = _usable([vm for vm in far if vm.has_disk], own, avoided)
    away = away or _usable(far, own, avoided)
    return _upstream(away[0], own.region) if away else None


def _usable(
    candidates: list[VmRecord], own: VmRecord, avoided: frozenset[VmId]
) -> list[VmRecord]:
    usable = [
        vm
        for vm in candidates
        if vm.vm_id != own.vm_id and vm.vm_id not in avoided
    ]
    return sorted(usable, key=lambda vm: vm.vm_id)


def _upstream(vm: VmRecord, region: RegionId) -> Upstream:
    return Upstream(vm.vm_id, vm.peer_address, vm.region != region)


@final
class ConfigCopy:
    """Hold a VM's configuration; its revision never decreases."""

    def __init__(self) -> None:
        self._config = FleetConfig()
        self._ready = False
        self._tombstones: set[bytes] = set()

    @property
    def config(self) -> FleetConfig:
        """Return the configuration in force."""
        return self._config

    @property
    def ready(self) -> bool:
        """Tell whether any configuration has been received."""
        return self._ready

    @property
    def tombstones(self) -> frozenset[bytes]:
        """Return the digests of all keys that are known to be withdrawn."""
        return frozenset(self._tombstones)

    def offer(self, config: FleetConfig) -> bool:
        """Take a whole configuration unless it is older."""
        older = config.revision < self._config.revision
        if older or (self._ready and config.revision == self._config.revision):
            return False
        self._config = config
        self._ready = True
        self._learn_withdrawals()
        return True

    def advance(self, revision: Revision, change: Change) -> bool:
        """Apply the change that makes exactly the next revision."""
        if not self._ready or revision != self._config.revision + 1:
            return False
        applied = apply_change(self._config, change)
        if applied.is_error():
            return False
        return self.offer(applied.ok)

    def withdraw(self, digests: Iterable[bytes]) -> frozenset[bytes]:
        """Add tombstones for good; return those that are new."""
        fresh = frozenset(digests) - self._tombstones
        self._tombstones |= fresh
        return fresh

    def is_withdrawn(self, digest: bytes) -> bool:
        """Tell whether a withdrawal of the key is known."""
        return digest in self._tombstones

    def _learn_withdrawals(self) -> None:
        for table in (self._config.keys, self._config.endpoint_keys):
            self._tombstones.update(
                key.digest for key in table.values() if key.withdrawn
            )
