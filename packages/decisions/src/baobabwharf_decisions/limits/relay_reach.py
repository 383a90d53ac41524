"""Decide which relays must be reached through another VM, and through which.

The load is a cut between two relays, in one or both directions, or between two
regions, while the entry VMs of all regions can still be reached by some path.
"""

import random
from collections.abc import Collection, Iterable, Sequence
from typing import final

from baobabwharf_core.fleet_config import VmRecord
from baobabwharf_core.ids import RegionId, VmId

from baobabwharf_decisions.membership.proxy_vms import entry_vms
from baobabwharf_decisions.membership.relay_selector import relay_candidates

# A relay that is silent for several periods may only be out of direct reach.
# Detection, a period and two paths through another VM must take less than the
# 600 ms after which a relay is left out of the sums.
INDIRECT_AFTER_MS = 250
# A relay that was never heard may only be about to start: VMs without clients
# check twice a second whether they are relays.
_START_MS = 1000


def first_candidates(live: Sequence[VmRecord]) -> dict[RegionId, VmId]:
    """Return the preferred relay of each region."""
    regions = {vm.region for vm in live}
    return {region: relay_candidates(live, region)[0] for region in regions}


def expected_relays(
    live: Sequence[VmRecord], reporting: Collection[VmId]
) -> set[VmId]:
    """Return the live relays from which totals should arrive.

    These are the reporting ones and, in regions with entry VMs but without a
    reporting relay, the preferred one.  Relays without clients send nothing.
    """
    live_reporting = [vm for vm in live if vm.vm_id in reporting]
    covered = {vm.region for vm in live_reporting}
    missing = {vm.region for vm in entry_vms(live)} - covered
    candidates = first_candidates(live)
    return {vm.vm_id for vm in live_reporting} | {
        candidates[region] for region in missing
    }


def passing_vms(
    live: Iterable[VmRecord],
    own: VmRecord,
    target: VmRecord,
    rng: random.Random,
) -> list[VmRecord]:
    """Return entry VMs to pass totals on, in and outside the two regions.

    When two regions can't reach each other only the VMs of a third one have a
    path to both; when a third one can't be reached, those of the two have.
    """
    regions = {own.region, target.region}
    others = [
        vm
        for vm in entry_vms(live)
        if vm.vm_id not in {own.vm_id, target.vm_id}
    ]
    outside = [vm for vm in others if vm.region not in regions]
    inside = [vm for vm in others if vm.region in regions]
    return [rng.choice(group) for group in (outside, inside) if group]


@final
class RelayReach:
    """Track which relays one relay hears directly; times are monotonic ms."""

    def __init__(self, own: VmId) -> None:
        self._own = own
        self._heard_ms: dict[VmId, int] = {}
        # Relays that stated that they don't hear this one, and when.
        self._unheard_by_ms: dict[VmId, int] = {}
        self._checked_ms = 0

    def note_direct(self, vm_id: VmId, now_ms: int) -> None:
        """Record that a relay's datagram arrived without another VM."""
        self._heard_ms[vm_id] = now_ms

    def note_unheard_by(self, vm_id: VmId, now_ms: int) -> bool:
        """Record that a relay doesn't hear this one; return whether it is news.

        In a cut of one direction only the receiver notices the silence.
        """
        before_ms = self._unheard_by_ms.get(vm_id)
        self._unheard_by_ms[vm_id] = now_ms
        return before_ms is None or now_ms - before_ms > INDIRECT_AFTER_MS

    def is_unheard(self, vm_id: VmId, now_ms: int) -> bool:
        """Return whether an expected relay is silent."""
        heard_ms = self._heard_ms.get(vm_id, now_ms)
        return now_ms - heard_ms > INDIRECT_AFTER_MS

    def unreached(self, expected: Iterable[VmId], now_ms: int) -> list[VmId]:
        """Return the relays to reach through another VM; forget all others.

        Silence is measured anew after a pause in which this VM sent nothing,
        such as one without clients: others had no reason to report to it.
        """
        if now_ms - self._checked_ms > INDIRECT_AFTER_MS:
            self._heard_ms = dict.fromkeys(self._heard_ms, now_ms)
        self._checked_ms = now_ms
        start_ms = now_ms + _START_MS - INDIRECT_AFTER_MS
        self._heard_ms = {
            vm_id: self._heard_ms.get(vm_id, start_ms)
            for vm_id in expected
            if vm_id != self._own
        }
        self._unheard_by_ms = {
            vm_id: at_ms
            for vm_id, at_ms in self._unheard_by_ms.items()
            if now_ms - at_ms <= INDIRECT_AFTER_MS
        }
        return [
            vm_id
            for vm_id in self._heard_ms
            if vm_id in self._unheard_by_ms or self.is_unheard(vm_id, now_ms)
        ]
