"""Choose the region and the VM that a request is forwarded to.

This is used when the local region can't serve a request, and to choose the
preferred region of a session.  A region that refused a request is skipped for a
short time, so that a peak does not cause many forwarded requests that are
refused there.  A request that no other region may serve is sent regardless.  An
unreachable VM is skipped by itself, since its region may be healthy.

The load is one where peaks of regions are offset, so that while one region is
at capacity others have room.
"""

import math
import random
from collections.abc import Iterable, Mapping
from typing import final

import msgspec
from baobabwharf_core.ids import RegionId, ServiceId, VmId

from baobabwharf_decisions.hashing import POINTS, hash_point

# About four round trips between regions: free capacity changes no faster.
REGION_BACKOFF_MS = 200
# About the time in which the other VMs detect that a VM is gone.
VM_BACKOFF_MS = 1000


class RegionCandidate(msgspec.Struct, frozen=True):
    """Describe a VM that can forward a request to its region's endpoints.

    is_only_region says that no other region may serve the request.
    """

    region: RegionId
    vm_id: VmId
    slots: int
    is_only_region: bool = False


@final
class RegionBackoff:
    """Hold the back-offs of regions that refused and of unreachable VMs."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._region_until_ms: dict[tuple[RegionId, ServiceId, int], int] = {}
        self._vm_until_ms: dict[VmId, int] = {}

    def note_refusal(
        self, region: RegionId, service: ServiceId, urgency: int, now_ms: int
    ) -> None:
        """Start the back-off of a region for requests of this urgency."""
        self._region_until_ms[region, service, urgency] = (
            now_ms + REGION_BACKOFF_MS
        )

    def note_unreachable(self, vm_id: VmId, now_ms: int) -> None:
        """Start the back-off of a VM that could not be reached."""
        self._vm_until_ms[vm_id] = now_ms + VM_BACKOFF_MS

    def choose(
        self,
        candidates: Iterable[RegionCandidate],
        service: ServiceId,
        urgency: int,
        now_ms: int,
    ) -> RegionCandidate | None:
        """Return a VM of a region without back-off, at random by its slots."""
        eligible = [
            candidate
            for candidate in candidates
            if candidate.is_only_region
            or self._region_until_ms.get(
                (candidate.region, service, urgency), 0
            )
            <= now_ms
        ]
        return self.choose_reachable(eligible, now_ms)

    def choose_reachable(
        self, candidates: Iterable[RegionCandidate], now_ms: int
    ) -> RegionCandidate | None:
        """Return a VM that could be reached, at random by its region's slots."""
        reachable = [
            candidate
            for candidate in candidates
            if self._vm_until_ms.get(candidate.vm_id, 0) <= now_ms
        ]
        weights = [candidate.slots for candidate in reachable]
        if not reachable or sum(weights) <= 0:
            return None
        return self._rng.choices(reachable, weights)[0]


def preferred_region(
    slots: Mapping[RegionId, int], session: str
) -> RegionId | None:
    """Return the preferred region of a session, by weighted rendezvous hashing.

    A region with twice the slots gets twice the sessions; when a region is
    added or removed, only its own sessions move.
    """
    return max(
        sorted(region for region, count in slots.items() if count > 0),
        key=lambda region: _weighted_score(region, session, slots[region]),
        default=None,
    )


def _weighted_score(region: RegionId, session: str, weight: int) -> float:
    # Shift the share away from 0, where the logarithm is undefined, and from 1,
    # where it is zero.
    share = (hash_point(region, session) + 1) / (POINTS + 1)
    return weight / -math.log(share)


def region_candidates(
    slots: Mapping[tuple[RegionId, ServiceId], int],
    vms: Mapping[RegionId, list[VmId]],
    service: ServiceId,
    allowed: frozenset[RegionId] | None,
    own: RegionId,
    excluded: frozenset[RegionId],
) -> list[RegionCandidate]:
    """Return one candidate per VM of the other regions that may serve."""
    only = allowed is not None and len(allowed) == 1
    return [
        RegionCandidate(region, vm_id, count, only)
        for (region, name), count in slots.items()
        if name == service
        and region != own
        and region not in excluded
        and (allowed is None or region in allowed)
        for vm_id in vms.get(region, ())
    ]
