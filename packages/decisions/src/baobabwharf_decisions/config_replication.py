"""Choose the upstream of the configuration and apply what it sends."""

from collections.abc import Iterable
from typing import final

import msgspec
from baobabwharf_core.changes import Change
from baobabwharf_core.fleet_config import FleetConfig, VmRecord
from baobabwharf_core.ids import RegionId, Revision, VmId

from baobabwharf_decisions.fleet_state.configuration import apply_change


class Upstream(msgspec.Struct, frozen=True):
    """Identify the VM from which this VM replicates configuration."""

    vm_id: VmId
    address: str
    in_other_region: bool


def choose_upstream(
    own: VmRecord,
    live: Iterable[VmRecord],
    avoided: frozenset[VmId],
) -> Upstream | None:
    """Return the upstream of a VM without a disk, None if there is none.

    A disk VM of the own region is preferred.  Without one, the live VM with
    the smallest id is the relay of the region: it follows a VM of another
    region, and the other VMs of its region follow it, so that traffic between
    regions grows only with the number of regions.  Avoided VMs failed recently
    and are treated as dead.
    """
    known = {vm.vm_id: vm for vm in live}
    known[own.vm_id] = own
    in_region = [vm for vm in known.values() if vm.region == own.region]
    disks = _usable([vm for vm in in_region if vm.has_disk], own, avoided)
    if disks:
        return _upstream(disks[0], own.region)
    others = [vm for vm in in_region if vm.vm_id not in avoided]
    relay = min((vm.vm_id for vm in others), default=own.vm_id)
    if relay != own.vm_id:
        return _upstream(known[relay], own.region)
    elsewhere = [vm for vm in known.values() if vm.region != own.region]
    upstreams = _usable([vm for vm in elsewhere if vm.has_disk], own, avoided)
    upstreams = upstreams or _usable(elsewhere, own, avoided)
    return _upstream(upstreams[0], own.region) if upstreams else None


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
    """Hold the configuration copy of a VM; its revision never decreases."""

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
        """Return whether any configuration has been received."""
        return self._ready

    @property
    def tombstones(self) -> frozenset[bytes]:
        """Return the digests of all keys known to be withdrawn."""
        return frozenset(self._tombstones)

    def offer(self, config: FleetConfig) -> bool:
        """Install a full configuration unless it is older or the same."""
        older = config.revision < self._config.revision
        if older or (self._ready and config.revision == self._config.revision):
            return False
        self._config = config
        self._ready = True
        self._learn_withdrawals()
        return True

    def advance(self, revision: Revision, change: Change) -> bool:
        """Apply a change if it leads to exactly the next revision."""
        if not self._ready or revision != self._config.revision + 1:
            return False
        applied = apply_change(self._config, change)
        if applied.is_error():
            return False
        return self.offer(applied.ok)

    def withdraw(self, digests: Iterable[bytes]) -> frozenset[bytes]:
        """Add permanent tombstones; return those that are new."""
        fresh = frozenset(digests) - self._tombstones
        self._tombstones |= fresh
        return fresh

    def is_withdrawn(self, digest: bytes) -> bool:
        """Return whether the key is known to be withdrawn."""
        return digest in self._tombstones

    def _learn_withdrawals(self) -> None:
        for table in (self._config.keys, self._config.endpoint_keys):
            self._tombstones.update(
                key.digest for key in table.values() if key.withdrawn
            )
