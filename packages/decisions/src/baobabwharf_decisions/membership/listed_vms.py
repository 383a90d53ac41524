"""Choose the entry VMs that the directory lists, by what each can carry.

Callers pick one of the listed addresses at random and each address counts once,
so a VM that can carry less is left out of a part of the answers.  The load is a
fleet whose VMs have a third to all of the processor time of the largest.
"""

from collections.abc import Iterable

from baobabwharf_core.fleet_config import VmRecord

from baobabwharf_decisions.hashing import POINTS, hash_point


def listed_vms(vms: Iterable[VmRecord], second: int) -> list[VmRecord]:
    """Return the VMs to list in a second, the largest ones always.

    A VM whose capacity is unknown counts as one of the largest.
    """
    found = list(vms)
    largest = max((vm.capacity for vm in found), default=0)
    return [vm for vm in found if _is_listed(vm, largest, second)]


def _is_listed(vm: VmRecord, largest: int, second: int) -> bool:
    if vm.capacity in {0, largest}:
        return True
    share = hash_point(vm.vm_id, str(second)) / POINTS
    return share < vm.capacity / largest
