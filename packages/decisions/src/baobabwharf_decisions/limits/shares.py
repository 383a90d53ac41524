"""Divide each customer's bucket among its holder VMs."""

from typing import final

import msgspec
from baobabwharf_core.fleet_config import Customer, VmRecord
from baobabwharf_core.ids import CustomerId, RegionId, VmId

from baobabwharf_decisions.hashing import hash_names
from baobabwharf_decisions.limits.units import (
    MICRO,
    MICRO_PER_MS,
    REFILL_PERCENT,
)

_HOLDERS_PER_REGION = 3
# In fleets of up to this many VMs all are holders.
_SMALL_FLEET_VMS = 9


class Share(msgspec.Struct, frozen=True):
    """Hold refill in micro-tokens per ms and burst in micro-tokens."""

    rate: int = 0
    cap: int = 0


@final
class ShareTable:
    """Map each customer to its holders in one set of VMs."""

    def __init__(self, regions: dict[VmId, RegionId]) -> None:
        self._regions = dict(sorted(regions.items()))
        self._holders: dict[CustomerId, tuple[VmId, ...]] = {}
        self._vms = tuple(self._regions)
        text = ' '.join(f'{vm}={at}' for vm, at in self._regions.items())
        self._digest = hash_names(text)

    @property
    def digest(self) -> bytes:
        """Return the digest by which VMs compare their tables."""
        return self._digest

    @property
    def vms(self) -> tuple[VmId, ...]:
        """Return all VMs of the table."""
        return self._vms

    def region_of(self, vm_id: VmId) -> RegionId | None:
        """Return the region of a VM, None if it is not in this table."""
        return self._regions.get(vm_id)

    def holders(self, customer_id: CustomerId) -> tuple[VmId, ...]:
        """Return the holders of a customer's bucket."""
        if len(self._vms) <= _SMALL_FLEET_VMS:
            return self._vms
        chosen = self._holders.get(customer_id)
        if chosen is None:
            chosen = self._choose_holders(customer_id)
            self._holders[customer_id] = chosen
        return chosen

    def share(self, vm_id: VmId, customer: Customer) -> Share:
        """Return a VM's share; all shares add up to at most the whole bucket."""
        holders = self.holders(customer.customer_id)
        if vm_id not in holders:
            return Share()
        index = holders.index(vm_id)
        rate = customer.rate_tokens_per_s * MICRO_PER_MS
        return Share(
            _part_of(rate * REFILL_PERCENT // 100, index, len(holders)),
            _part_of(customer.burst_tokens * MICRO, index, len(holders)),
        )

    def _choose_holders(self, customer_id: CustomerId) -> tuple[VmId, ...]:
        chosen: list[VmId] = []
        for region in sorted(set(self._regions.values())):
            ranked = sorted(
                (hash_names(customer_id, vm_id), vm_id)
                for vm_id, region_of_vm in self._regions.items()
                if region_of_vm == region
            )
            best = ranked[:_HOLDERS_PER_REGION]
            chosen.extend(holder for _score, holder in best)
        return tuple(chosen)


@final
class ShareRollout:
    """Use the minimum of old and new shares until all VMs confirm the new.

    A starting process does not know which table the others use, so its share
    is zero until all VMs have confirmed its table.
    """

    def __init__(self, vm_id: VmId) -> None:
        self._vm_id = vm_id
        self._tables = [ShareTable({})]
        self._confirmed: dict[VmId, bytes] = {}

    @property
    def newest(self) -> ShareTable:
        """Return the newest table."""
        return self._tables[-1]

    @property
    def pending(self) -> bool:
        """Return whether some VM has not confirmed the newest table."""
        return len(self._tables) > 1

    def apply(self, vms: dict[VmId, VmRecord]) -> bool:
        """Apply the registered VMs; return whether the table changed."""
        table = ShareTable({vm.vm_id: vm.region for vm in vms.values()})
        if table.digest == self.newest.digest:
            return False
        self._tables.append(table)
        self.confirm(self._vm_id, table.digest)
        return True

    def confirm(self, vm_id: VmId, digest: bytes) -> bool:
        """Record a VM's confirmation; return whether shares changed."""
        self._confirmed[vm_id] = digest
        newest = self.newest
        all_confirmed = self.pending and all(
            self._confirmed.get(vm) == newest.digest for vm in newest.vms
        )
        if all_confirmed:
            self._tables = [newest]
        return all_confirmed

    def share(self, customer: Customer) -> Share:
        """Return the share of a customer that this VM may use now."""
        shares = [table.share(self._vm_id, customer) for table in self._tables]
        if len(shares) == 1:
            return shares[0]
        return Share(
            min(share.rate for share in shares),
            min(share.cap for share in shares),
        )


def _part_of(whole: int, index: int, count: int) -> int:
    return whole * (index + 1) // count - whole * index // count
