"""Choose which VM of a region relays for the others.

All VMs of a region rank the same candidates in the same order, so they meet
at one relay without agreeing on it.  A relay that stops answering rests, and
its members move on to the next one.
"""

from collections.abc import Iterable, Sequence
from typing import final

from baobabwharf_core.ids import RegionId, VmId
from baobabwharf_core.model import VmRecord

# So many entry VMs tell each other directly: they cost fewer messages than a
# relay would save.
DIRECT_VMS = 12
# Besides the disk VMs, which have little else to do.
_ENTRY_CANDIDATES = 2
# Calls in a row without an answer after which a relay is left; where a tenth
# of the datagrams is lost, that hardly happens to a relay that is there.
UNANSWERED_CALLS = 5
# About the time in which the membership notices that a VM is gone.
_RETRY_DELAY_MS = 1500


def needs_relays(entry_vms: int) -> bool:
    """Tell whether a fleet of so many entry VMs uses relays."""
    return entry_vms > DIRECT_VMS


def candidates(live: Iterable[VmRecord], region: RegionId) -> list[VmId]:
    """Return the relays of a region, the preferred one first."""
    in_region = [vm for vm in live if vm.region == region]
    disk = sorted(vm.vm_id for vm in in_region if vm.has_disk)
    entry = sorted(vm.vm_id for vm in in_region if not vm.has_disk)
    return disk + entry[:_ENTRY_CANDIDATES]


@final
class RelaySelector:
    """Remember on one VM which relays answer; times are monotonic ms."""

    def __init__(self) -> None:
        self._current: VmId | None = None
        self._unanswered = 0
        self._retry_at_ms: dict[VmId, int] = {}

    @property
    def current(self) -> VmId | None:
        """Return the relay of the last call."""
        return self._current

    def next_call(self, ranked: Sequence[VmId], now_ms: int) -> VmId | None:
        """Return the relay for the next call, None without a candidate."""
        if self._current is not None and self._unanswered >= UNANSWERED_CALLS:
            self._retry_at_ms[self._current] = now_ms + _RETRY_DELAY_MS
        available = [
            vm_id
            for vm_id in ranked
            if self._retry_at_ms.get(vm_id, 0) <= now_ms
        ]
        chosen = next(iter(available or ranked), None)
        if chosen != self._current:
            self._current = chosen
            self._unanswered = 0
        self._unanswered += 1
        return chosen

    def record_answer(self, vm_id: VmId) -> None:
        """Take note that a relay has answered."""
        if vm_id == self._current:
            self._unanswered = 0
