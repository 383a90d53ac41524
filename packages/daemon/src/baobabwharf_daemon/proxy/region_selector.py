"""Select VMs of other regions to forward requests to."""

import random
from collections.abc import Iterable
from typing import final

from baobabwharf_core.clock import Clock
from baobabwharf_core.fleet_config import VmRecord
from baobabwharf_core.ids import RegionId, ServiceId, VmId
from baobabwharf_decisions.hashing import hash_names
from baobabwharf_decisions.membership.proxy_vms import (
    forwarding_vms_by_region,
)
from baobabwharf_decisions.proxying.region_backoff import (
    RegionBackoff,
    RegionCandidate,
    preferred_region,
    region_candidates,
)
from baobabwharf_decisions.proxying.region_outlook import (
    RegionOutlook,
    RegionReport,
)

from baobabwharf_daemon.interfaces import MembershipView
from baobabwharf_daemon.proxy.request_plan import RequestPlan
from baobabwharf_daemon.proxy.selection import AttemptTarget

# A VM forwards to this many VMs of a region, so that its connections to them
# stay open: opening one takes a round trip between regions.
_FORWARDING_PARTNERS = 3


@final
class RegionSelector:
    """Select VMs of other regions to forward requests to."""

    def __init__(
        self,
        own: VmRecord,
        clock: Clock,
        members: MembershipView,
        rng: random.Random,
    ) -> None:
        self._own = own
        self._clock = clock
        self._members = members
        self._rng = rng
        self._backoff = RegionBackoff(rng)
        self.outlook = RegionOutlook()
        # Slots per region and service, as published by the VMs there.
        self.slots: dict[tuple[RegionId, ServiceId], int] = {}
        self._live: tuple[VmRecord, ...] | None = None
        self._forwarding_vms: dict[RegionId, list[VmRecord]] = {}
        self._vm_ids: dict[RegionId, list[VmId]] = {}
        self._partner_ids: dict[RegionId, list[VmId]] = {}

    def select_in_time(
        self, plan: RequestPlan, excluded: frozenset[RegionId], bound_ms: int
    ) -> AttemptTarget | None:
        """Return a VM of a region where the first event is expected in time."""
        self._follow_members()
        now_ms = self._clock.now_ms()
        in_time = [
            candidate
            for candidate in region_candidates(
                self.slots,
                self._partner_ids,
                plan.metadata.service,
                plan.allowed_regions,
                self._own.region,
                excluded,
            )
            if self.outlook.expected_ms(
                _outlook_key(plan, candidate.region), now_ms
            )
            <= bound_ms
            and not self.outlook.is_cut_off(candidate.region, now_ms)
        ]
        candidate = self._backoff.choose_reachable(in_time, now_ms)
        if candidate is None:
            return None
        self.outlook.note_sent(candidate.region, now_ms)
        return self._target(candidate)

    def describe(self, plan: RequestPlan) -> str:
        """Describe what is known of the other regions, for the log."""
        now_ms = self._clock.now_ms()
        return ', '.join(
            f'{region} '
            + self.outlook.describe(_outlook_key(plan, region), now_ms)
            for region in sorted(self._partner_ids)
            if region != self._own.region
        )

    def note_report(
        self,
        plan: RequestPlan,
        region: RegionId,
        report: RegionReport,
        took_ms: int,
    ) -> None:
        """Store what another region reported about a forwarded request."""
        self.outlook.note(
            _outlook_key(plan, region), report, took_ms, self._clock.now_ms()
        )

    def note_refusal(self, plan: RequestPlan, region: RegionId) -> None:
        """Back off from a region that refused a request."""
        self._backoff.note_refusal(
            region,
            plan.metadata.service,
            plan.metadata.urgency,
            self._clock.now_ms(),
        )

    def note_unreachable(self, vm_id: VmId) -> None:
        """Back off from a VM that could not be reached."""
        self._backoff.note_unreachable(vm_id, self._clock.now_ms())

    def select_remote(
        self, plan: RequestPlan, excluded: frozenset[RegionId]
    ) -> AttemptTarget | None:
        """Return a VM of another region for a request, if there is one."""
        self._follow_members()
        service = plan.metadata.service
        candidates = region_candidates(
            self.slots,
            self._vm_ids,
            service,
            plan.allowed_regions,
            self._own.region,
            excluded,
        )
        candidate = self._backoff.choose(
            candidates, service, plan.metadata.urgency, self._clock.now_ms()
        )
        return None if candidate is None else self._target(candidate)

    def _target(self, candidate: RegionCandidate) -> AttemptTarget:
        chosen = next(
            vm
            for vm in self._forwarding_vms[candidate.region]
            if vm.vm_id == candidate.vm_id
        )
        return AttemptTarget(
            chosen.forward_address, candidate.region, vm_id=candidate.vm_id
        )

    def _follow_members(self) -> None:
        """Group the live VMs by region if any of them has changed."""
        live = self._members.live_vms()
        if live is self._live:
            return
        self._live = live
        self._forwarding_vms = forwarding_vms_by_region(live)
        self._vm_ids = {
            region: [vm.vm_id for vm in region_vms]
            for region, region_vms in self._forwarding_vms.items()
        }
        self._partner_ids = {
            region: _partners(self._own.vm_id, vm_ids)
            for region, vm_ids in self._vm_ids.items()
        }

    def select_preferred_region(
        self, plan: RequestPlan, own_slots: int
    ) -> AttemptTarget | None:
        """Return a VM of the region that should have the shared prompt cached.

        The result is None if that is this region or no VM there is available.
        """
        own = self._own.region
        slots = {
            region: count
            for (region, name), count in self.slots.items()
            if name == plan.metadata.service
            and (plan.allowed_regions is None or region in plan.allowed_regions)
        }
        slots.pop(own, None)
        if plan.allowed_regions is None or own in plan.allowed_regions:
            slots[own] = own_slots
        preferred = preferred_region(slots, plan.metadata.prompt[-2].part_id)
        if preferred is None or preferred == own:
            return None
        return self.select_remote(plan, frozenset(slots) - {preferred})


def _partners(own: VmId, vm_ids: Iterable[VmId]) -> list[VmId]:
    ranked = sorted(vm_ids, key=lambda vm_id: hash_names(own, vm_id))
    return ranked[:_FORWARDING_PARTNERS]


def _outlook_key(
    plan: RequestPlan, region: RegionId
) -> tuple[RegionId, str, int]:
    """Return under which key reports are kept: long prompts wait longer."""
    return region, plan.metadata.route, plan.metadata.urgency
