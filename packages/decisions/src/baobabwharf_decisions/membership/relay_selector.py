"""Choose which VM of a region relays for the others.

All VMs of a region rank the same candidates in the same order, so they use
the same relay without coordination.  A VM skips a relay that stops answering
for a while and uses the next one.
"""

from collections.abc import Iterable, Sequence
from typing import final

from baobabwharf_core.fleet_config import VmRecord
from baobabwharf_core.ids import RegionId, VmId

# Up to this many entry VMs exchange messages directly; a relay would not reduce
# the number of messages.
DIRECT_VMS = 12
# Entry VMs that are candidates in addition to the disk VMs, which come first
# because they have little other load.
_ENTRY_CANDIDATES = 2
# Consecutive unanswered calls after which a VM changes to another relay.  At
# 10% datagram loss this rarely happens with a relay that is alive.
UNANSWERED_CALLS = 5
# Time for which a relay without answers is skipped; about as long as membership
# takes to detect a dead VM.
_RETRY_DELAY_MS = 1500


def needs_relays(entry_vms: int) -> bool:
    """Return whether a fleet with this many entry VMs uses relays."""
    return entry_vms > DIRECT_VMS


def relay_candidates(live: Iterable[VmRecord], region: RegionId) -> list[VmId]:
    """Return the relay candidates of a region, the preferred one first."""
    in_region = [vm for vm in live if vm.region == region]
    disk = sorted(vm.vm_id for vm in in_region if vm.has_disk)
    entry = sorted(vm.vm_id for vm in in_region if not vm.has_disk)
    return disk + entry[:_ENTRY_CANDIDATES]


@final
class RelaySelector:
    """Select the relay of one VM; times are monotonic, in ms."""

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
        """Record that a relay has answered."""
        if vm_id == self._current:
            self._unanswered = 0
