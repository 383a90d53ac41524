"""Rank the endpoints of one service and model."""

from collections.abc import Iterator

from baobabwharf_core.ids import EndpointId
from sortedcontainers import SortedDict, SortedList

from baobabwharf_decisions.endpoints import USABLE, EndpointState
from baobabwharf_decisions.hashing import hash_point

_VIRTUAL_NODES = 8
# Below this share of healthy endpoints ejections are ignored, because the
# remaining endpoints would be overloaded by the requests of the ejected ones.
PANIC_SHARE = 0.5


class EndpointGroup:
    """Rank the endpoints with room; full endpoints are not ranked."""

    def __init__(self) -> None:
        self._members: dict[EndpointId, EndpointState] = {}
        self._ranked: SortedList = SortedList()
        self._ring: SortedDict = SortedDict()
        self.requests = 0
        self._slots = 0
        self._service_ms = 0.0

    @property
    def members(self) -> dict[EndpointId, EndpointState]:
        """Return all endpoints of the group in any state."""
        return self._members

    @property
    def slots(self) -> int:
        """Return the slots of the usable endpoints at the last refresh."""
        if self._slots == 0:
            self.refresh()
        return self._slots

    @property
    def service_ms(self) -> float:
        """Return the mean service time at the last refresh, in ms."""
        return self._service_ms

    def refresh(self) -> None:
        """Recompute the sums over the usable endpoints."""
        usable = [
            member
            for member in self._members.values()
            if member.state in USABLE
        ]
        self._slots = sum(member.announcement.slots for member in usable)
        total_ms = sum(member.speed.service_ms for member in usable)
        self._service_ms = total_ms / max(1, len(usable))

    def in_panic_mode(self, now_ms: int) -> bool:
        """Return whether ejections are ignored because there are too many."""
        usable = [
            member.state
            for member in self._members.values()
            if member.usable(now_ms, panic=True)
        ]
        healthy = len(usable) - usable.count('ejected')
        return healthy < len(usable) * PANIC_SHARE

    def add(self, endpoint: EndpointState) -> None:
        """Add an endpoint without a rank."""
        self._members[endpoint.endpoint_id] = endpoint
        for index in range(_VIRTUAL_NODES):
            point = hash_point(endpoint.endpoint_id, str(index))
            self._ring[point] = endpoint.endpoint_id

    def remove(self, endpoint: EndpointState) -> None:
        """Remove an endpoint and its rank."""
        if self._members.pop(endpoint.endpoint_id, None) is None:
            return
        for index in range(_VIRTUAL_NODES):
            self._ring.pop(hash_point(endpoint.endpoint_id, str(index)), None)
        self.unrank(endpoint)

    def rank(self, endpoint: EndpointState) -> None:
        """Add an endpoint to the ranking."""
        self._ranked.add(endpoint.rank)

    def unrank(self, endpoint: EndpointState) -> None:
        """Remove an endpoint from the ranking."""
        if endpoint.rank is not None:
            self._ranked.discard(endpoint.rank)

    def ranked(self) -> Iterator[EndpointState]:
        """Yield the endpoints with room, the fastest first."""
        for rank in self._ranked:
            yield self._members[rank[2]]

    def ring_owner(self, block: int) -> EndpointState | None:
        """Return the owner of a block on the consistent-hash ring."""
        if not self._ring:
            return None
        index = self._ring.bisect_left(block) % len(self._ring)
        return self._members[self._ring.peekitem(index)[1]]
