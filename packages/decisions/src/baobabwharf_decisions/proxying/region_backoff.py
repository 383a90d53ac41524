"""Choose another region when the own one can't serve a request.

Load pattern: peaks of regions are offset, so a full region has neighbours
with room.  A region that refused rests for a moment, so that a peak does not
turn into a storm of forwarded requests that are refused there.  A request
that no other region may serve is sent all the same.  A VM that could not be
reached rests for itself: its region may be fine.
"""

import math
import random
from collections.abc import Iterable, Mapping
from typing import final

import msgspec
from baobabwharf_core.ids import RegionId, ServiceId, VmId

from baobabwharf_decisions.hashing import POINTS, hash_point

# About four round trips between regions: room there changes no faster.
REGION_BACKOFF_MS = 200
# About the time in which the other VMs notice that a VM is gone.
VM_BACKOFF_MS = 1000


class RegionCandidate(msgspec.Struct, frozen=True):
    """Name a VM that could pass a request to endpoints of its region.

    only tells that no other region may serve the request.
    """

    region: RegionId
    vm_id: VmId
    slots: int
    only: bool = False


@final
class RegionBackoff:
    """Remember which regions refused a service just now."""

    def __init__(self, generator: random.Random) -> None:
        self._random = generator
        self._until_ms: dict[tuple[RegionId, ServiceId, int], int] = {}
        self._vms_until_ms: dict[VmId, int] = {}

    def note_refusal(
        self, region: RegionId, service: ServiceId, urgency: int, now_ms: int
    ) -> None:
        """Let a region rest for requests of this urgency."""
        self._until_ms[region, service, urgency] = now_ms + REGION_BACKOFF_MS

    def note_unreachable(self, vm_id: VmId, now_ms: int) -> None:
        """Let a VM rest that could not be reached."""
        self._vms_until_ms[vm_id] = now_ms + VM_BACKOFF_MS

    def choose(
        self,
        offers: Iterable[RegionCandidate],
        service: ServiceId,
        urgency: int,
        now_ms: int,
    ) -> RegionCandidate | None:
        """Return a VM of a region that does not rest, by its slots."""
        reachable = [
            offer
            for offer in offers
            if self._vms_until_ms.get(offer.vm_id, 0) <= now_ms
        ]
        awake = [
            offer
            for offer in reachable
            if offer.only
            or self._until_ms.get((offer.region, service, urgency), 0) <= now_ms
        ]
        weights = [offer.slots for offer in awake]
        if not awake or sum(weights) <= 0:
            return None
        return self._random.choices(awake, weights)[0]


def home_region(slots: Mapping[RegionId, int], session: str) -> RegionId | None:
    """Return the region whose engines keep a session, by weighted hashing.

    A region with twice the slots keeps twice the sessions; when a region
    comes or goes only its own sessions move.
    """
    return max(
        sorted(region for region, count in slots.items() if count > 0),
        key=lambda region: _weighted_score(region, session, slots[region]),
        default=None,
    )


def _weighted_score(region: RegionId, session: str, weight: int) -> float:
    # Neither 0 nor 1, which have no score.
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
    """Return one offer for each VM of the regions that may serve."""
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
