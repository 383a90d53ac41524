"""Limit the request rate to cold endpoints across the VMs of a region.

A few sender VMs, chosen by rendezvous hashing, share the rate limit of each cold
endpoint; the other VMs send it nothing.

The load occurs when an availability zone returns with cold endpoints while the
region is at capacity, and every VM sends to them at once.
"""

from collections import deque
from collections.abc import Iterable
from typing import final

from baobabwharf_core.ids import EndpointId, VmId

from baobabwharf_decisions.hashing import hash_names

_WINDOW_MS = 1000
_MAX_SENDERS = 3


def sender_vms(
    endpoint_id: EndpointId, vms: Iterable[VmId]
) -> tuple[VmId, ...]:
    """Return the VMs that may send requests to a cold endpoint."""
    ranked = sorted(vms, key=lambda vm_id: hash_names(endpoint_id, vm_id))
    return tuple(ranked[:_MAX_SENDERS])


@final
class ColdRateLimit:
    """Count the requests of this VM to each cold endpoint in a sliding window."""

    def __init__(self, own: VmId) -> None:
        self._own = own
        self._sent: dict[EndpointId, deque[int]] = {}

    def may_send(
        self,
        endpoint_id: EndpointId,
        rate_per_s: float,
        region_vms: Iterable[VmId],
        now_ms: int,
    ) -> bool:
        """Return whether one more request stays within the region's rate limit."""
        senders = sender_vms(endpoint_id, region_vms)
        if self._own not in senders:
            return False
        share = int(max(1, rate_per_s // len(senders)))
        return len(self._recent(endpoint_id, now_ms)) < share

    def note_sent(self, endpoint_id: EndpointId, now_ms: int) -> None:
        """Count a request sent at now_ms."""
        self._recent(endpoint_id, now_ms).append(now_ms)

    def _recent(self, endpoint_id: EndpointId, now_ms: int) -> deque[int]:
        sent = self._sent.setdefault(endpoint_id, deque())
        while sent and sent[0] <= now_ms - _WINDOW_MS:
            sent.popleft()
        return sent
