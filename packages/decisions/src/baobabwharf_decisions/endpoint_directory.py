"""Track the endpoints of a region by announcement and heartbeat."""

import random

import msgspec
from baobabwharf_core.announcements import Announcement, Heartbeat
from baobabwharf_core.ids import EndpointId, ModelId, ServiceId
from baobabwharf_core.requests import AttemptOutcome

from baobabwharf_decisions.endpoint_groups import EndpointGroup
from baobabwharf_decisions.endpoints import (
    LEASE_MS,
    USABLE,
    EndpointState,
    HeartbeatOutcome,
    new_endpoint,
)
from baobabwharf_decisions.prefixes import PrefixIndex

_FORGET_MS = 60_000

GroupKey = tuple[ServiceId, ModelId | None]


class UpdateResult(msgspec.Struct, frozen=True):
    """Result of a message about an endpoint."""

    outcome: HeartbeatOutcome
    state: str = ''


class EndpointDirectory:
    """Hold the endpoints that this VM knows."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._endpoints: dict[EndpointId, EndpointState] = {}
        self._groups: dict[GroupKey, EndpointGroup] = {}
        self._index = PrefixIndex()
        self._panic: set[ServiceId] = set()
        # Live VMs of the region, this one included.
        self.vms = 1

    @property
    def endpoints(self) -> dict[EndpointId, EndpointState]:
        """Return all known endpoints."""
        return self._endpoints

    @property
    def groups(self) -> dict[GroupKey, EndpointGroup]:
        """Return the endpoints by service and model."""
        return self._groups

    @property
    def index(self) -> PrefixIndex:
        """Return the index of prefix holders."""
        return self._index

    def announce(
        self, announcement: Announcement, now_ms: int, age_ms: int = 0
    ) -> UpdateResult:
        """Add or renew an endpoint; an older incarnation is stale."""
        known = self._endpoints.get(announcement.endpoint_id)
        if known is None:
            return self._add(announcement, now_ms, age_ms)
        current = known.announcement.incarnation
        if announcement.incarnation < current:
            return UpdateResult(HeartbeatOutcome.STALE, known.state)
        if announcement.incarnation > current:
            self._remove(known)
            return self._add(announcement, now_ms, age_ms)
        lease_until_ms = now_ms - age_ms + LEASE_MS
        known.lease_until_ms = max(known.lease_until_ms, lease_until_ms)
        if now_ms < known.lease_until_ms:
            known.step('announce', now_ms)
        self._rerank(known, now_ms)
        return UpdateResult(HeartbeatOutcome.ACCEPTED, known.state)

    def heartbeat(
        self, beat: Heartbeat, now_ms: int, age_ms: int = 0
    ) -> UpdateResult:
        """Renew a lease; an expired endpoint must announce itself again."""
        known = self._endpoints.get(beat.endpoint_id)
        if known is None or beat.incarnation > known.announcement.incarnation:
            return UpdateResult(HeartbeatOutcome.UNKNOWN)
        if known.state == 'expired' or now_ms >= known.lease_until_ms:
            self._expire(known, now_ms)
            return UpdateResult(HeartbeatOutcome.UNKNOWN, known.state)
        if beat.incarnation < known.announcement.incarnation:
            return UpdateResult(HeartbeatOutcome.STALE, known.state)
        if beat.sequence <= known.heartbeat_sequence:
            return UpdateResult(HeartbeatOutcome.STALE, known.state)
        known.heartbeat_sequence = beat.sequence
        self._apply_heartbeat(known, beat, now_ms, age_ms)
        return UpdateResult(HeartbeatOutcome.ACCEPTED, known.state)

    def sent(
        self, endpoint_id: EndpointId, prefill_ms: float, now_ms: int
    ) -> None:
        """Record a request that this VM sends to an endpoint."""
        known = self._endpoints[endpoint_id]
        known.sent(prefill_ms, now_ms)
        self._rerank(known, now_ms)

    def release(self, endpoint_id: EndpointId, now_ms: int) -> None:
        """Release an attempt whose outcome says nothing about its endpoint."""
        known = self._endpoints.get(endpoint_id)
        if known is not None:
            known.load.ended(now_ms)
            self._rerank(known, now_ms)

    def ended(self, outcome: AttemptOutcome, now_ms: int) -> None:
        """Release an attempt and update its endpoint from the outcome."""
        known = self._endpoints.get(outcome.endpoint_id)
        if known is None:
            return
        known.load.ended(now_ms)
        known.speed.learn(outcome)
        if outcome.succeeded:
            known.health.failures_in_row = 0
        elif known.record_failure(now_ms):
            self._update_panic(known.announcement.service, now_ms)
        self._rerank(known, now_ms)

    def order_drain(
        self, endpoint_id: EndpointId, begin: bool, now_ms: int
    ) -> bool:
        """Begin or end a drain for a change of role."""
        known = self._endpoints.get(endpoint_id)
        if known is None:
            return False
        event = 'drain_ordered' if begin else 'drain_ended'
        done = known.step(event, now_ms)
        self._rerank(known, now_ms)
        return done

    def tick(self, now_ms: int) -> None:
        """Apply all changes that are due by time."""
        for known in tuple(self._endpoints.values()):
            known.load.vms = self.vms
            if now_ms >= known.lease_until_ms:
                self._expire(known, now_ms)
            else:
                known.end_timed_states(now_ms)
        for key, group in self._groups.items():
            group.refresh()
            if key[1] is None:
                self._update_panic(key[0], now_ms)
        for known in self._endpoints.values():
            if known.state != 'serving' or known.rank is None:
                self._rerank(known, now_ms)

    def may_use(self, known: EndpointState, now_ms: int) -> bool:
        """Return whether new requests may be sent to an endpoint."""
        panic = known.announcement.service in self._panic
        return known.usable(now_ms, panic)

    def _add(
        self, announcement: Announcement, now_ms: int, age_ms: int
    ) -> UpdateResult:
        endpoint = new_endpoint(
            announcement, self._rng.random(), now_ms - age_ms
        )
        self._endpoints[announcement.endpoint_id] = endpoint
        for key in _group_keys(announcement):
            self._groups.setdefault(key, EndpointGroup()).add(endpoint)
        return UpdateResult(HeartbeatOutcome.ACCEPTED, endpoint.state)

    def _apply_heartbeat(
        self, known: EndpointState, beat: Heartbeat, now_ms: int, age_ms: int
    ) -> None:
        lease_until_ms = now_ms - age_ms + LEASE_MS
        known.lease_until_ms = max(known.lease_until_ms, lease_until_ms)
        known.load.report(beat.load, now_ms - age_ms)
        for event in beat.cache_events:
            added, removed = known.cache.apply(event)
            self._index.add(known.endpoint_id, added)
            self._index.remove(known.endpoint_id, removed)
        known.step('leaving' if beat.leaving else 'heartbeat', now_ms)
        self._rerank(known, now_ms)

    def _expire(self, known: EndpointState, now_ms: int) -> None:
        known.step('lease_expired', now_ms)
        self._rerank(known, now_ms)
        if now_ms - known.changed_ms >= _FORGET_MS:
            known.step('removed', now_ms)
            self._remove(known)

    def _remove(self, known: EndpointState) -> None:
        for key in _group_keys(known.announcement):
            self._groups[key].requests -= known.counted_requests
            self._groups[key].remove(known)
            if not self._groups[key].members:
                self._groups.pop(key)
        known.rank = None
        known.counted_requests = 0
        self._index.remove(known.endpoint_id, list(known.cache.blocks))
        self._endpoints.pop(known.endpoint_id)

    def _update_panic(self, service: ServiceId, now_ms: int) -> None:
        if self._groups[service, None].panic(now_ms):
            self._panic.add(service)
        else:
            self._panic.discard(service)

    def _rerank(self, known: EndpointState, now_ms: int) -> None:
        ranked = self.may_use(known, now_ms) and known.room(now_ms) > 0
        rank = known.current_rank() if ranked else None
        counted_requests = known.load.requests if known.state in USABLE else 0
        if rank == known.rank and counted_requests == known.counted_requests:
            return
        groups = [self._groups[key] for key in _group_keys(known.announcement)]
        for each in groups:
            each.requests += counted_requests - known.counted_requests
        known.counted_requests = counted_requests
        for group in groups:
            group.unrank(known)
        known.rank = rank
        if rank is not None:
            for group in groups:
                group.rank(known)


def _group_keys(announcement: Announcement) -> list[GroupKey]:
    names = (*announcement.models, *announcement.adapters)
    keys: list[GroupKey] = [(announcement.service, None)]
    keys.extend((announcement.service, ModelId(name)) for name in names)
    return keys
