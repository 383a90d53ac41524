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
    """Report the result of a message about an endpoint."""

    outcome: HeartbeatOutcome
    state: str = ''


class EndpointDirectory:
    """Hold the endpoints that this VM knows."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._endpoints: dict[EndpointId, EndpointState] = {}
        self._groups: dict[GroupKey, EndpointGroup] = {}
        self._prefix_index = PrefixIndex()
        self._panic_services: set[ServiceId] = set()
        # Live VMs of the region, this one included.
        self.vms = 1

    @property
    def endpoints(self) -> dict[EndpointId, EndpointState]:
        """Return all endpoints."""
        return self._endpoints

    @property
    def groups(self) -> dict[GroupKey, EndpointGroup]:
        """Return the endpoints by service and model."""
        return self._groups

    @property
    def prefix_index(self) -> PrefixIndex:
        """Return which endpoints hold which prompt prefixes."""
        return self._prefix_index

    def announce(
        self, announcement: Announcement, now_ms: int, age_ms: int = 0
    ) -> UpdateResult:
        """Add or renew an endpoint; an older incarnation is stale."""
        endpoint = self._endpoints.get(announcement.endpoint_id)
        if endpoint is None:
            return self._add(announcement, now_ms, age_ms)
        current = endpoint.announcement.incarnation
        if announcement.incarnation < current:
            return UpdateResult(HeartbeatOutcome.STALE, endpoint.state)
        if announcement.incarnation > current:
            self._remove(endpoint)
            return self._add(announcement, now_ms, age_ms)
        lease_until_ms = now_ms - age_ms + LEASE_MS
        endpoint.lease_until_ms = max(endpoint.lease_until_ms, lease_until_ms)
        if now_ms < endpoint.lease_until_ms:
            endpoint.step('announce', now_ms)
        self._rerank(endpoint, now_ms)
        return UpdateResult(HeartbeatOutcome.ACCEPTED, endpoint.state)

    def heartbeat(
        self, heartbeat: Heartbeat, now_ms: int, age_ms: int = 0
    ) -> UpdateResult:
        """Renew a lease; an expired endpoint must announce itself again."""
        endpoint = self._endpoints.get(heartbeat.endpoint_id)
        if (
            endpoint is None
            or heartbeat.incarnation > endpoint.announcement.incarnation
        ):
            return UpdateResult(HeartbeatOutcome.UNKNOWN)
        if endpoint.state == 'expired' or now_ms >= endpoint.lease_until_ms:
            self._expire(endpoint, now_ms)
            return UpdateResult(HeartbeatOutcome.UNKNOWN, endpoint.state)
        if heartbeat.incarnation < endpoint.announcement.incarnation:
            return UpdateResult(HeartbeatOutcome.STALE, endpoint.state)
        if heartbeat.sequence <= endpoint.heartbeat_sequence:
            return UpdateResult(HeartbeatOutcome.STALE, endpoint.state)
        endpoint.heartbeat_sequence = heartbeat.sequence
        self._apply_heartbeat(endpoint, heartbeat, now_ms, age_ms)
        return UpdateResult(HeartbeatOutcome.ACCEPTED, endpoint.state)

    def record_sent(
        self, endpoint_id: EndpointId, prefill_ms: float, now_ms: int
    ) -> None:
        """Record a request that this VM sends to an endpoint."""
        endpoint = self._endpoints[endpoint_id]
        endpoint.record_sent(prefill_ms, now_ms)
        self._rerank(endpoint, now_ms)

    def release(self, endpoint_id: EndpointId, now_ms: int) -> None:
        """Release an attempt whose outcome says nothing about its endpoint."""
        endpoint = self._endpoints.get(endpoint_id)
        if endpoint is not None:
            endpoint.load.ended(now_ms)
            self._rerank(endpoint, now_ms)

    def ended(self, outcome: AttemptOutcome, now_ms: int) -> None:
        """Release an attempt and update its endpoint from the outcome."""
        endpoint = self._endpoints.get(outcome.endpoint_id)
        if endpoint is None:
            return
        endpoint.load.ended(now_ms)
        endpoint.speed.update(outcome)
        if outcome.succeeded:
            endpoint.health.consecutive_failures = 0
        elif endpoint.record_failure(now_ms):
            self._update_panic(endpoint.announcement.service, now_ms)
        self._rerank(endpoint, now_ms)

    def order_drain(
        self, endpoint_id: EndpointId, begin: bool, now_ms: int
    ) -> bool:
        """Begin or end a drain for a change of role."""
        endpoint = self._endpoints.get(endpoint_id)
        if endpoint is None:
            return False
        event = 'drain_ordered' if begin else 'drain_ended'
        done = endpoint.step(event, now_ms)
        self._rerank(endpoint, now_ms)
        return done

    def tick(self, now_ms: int) -> None:
        """Apply all changes that are due by time."""
        for endpoint in tuple(self._endpoints.values()):
            endpoint.load.vms = self.vms
            if now_ms >= endpoint.lease_until_ms:
                self._expire(endpoint, now_ms)
            else:
                endpoint.end_timed_states(now_ms)
        for key, group in self._groups.items():
            group.refresh()
            if key[1] is None:
                self._update_panic(key[0], now_ms)
        for endpoint in self._endpoints.values():
            if endpoint.state != 'serving' or endpoint.rank is None:
                self._rerank(endpoint, now_ms)

    def may_use(self, endpoint: EndpointState, now_ms: int) -> bool:
        """Return whether new requests may be sent to an endpoint."""
        panic = endpoint.announcement.service in self._panic_services
        return endpoint.usable(now_ms, panic)

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
        self,
        endpoint: EndpointState,
        heartbeat: Heartbeat,
        now_ms: int,
        age_ms: int,
    ) -> None:
        lease_until_ms = now_ms - age_ms + LEASE_MS
        endpoint.lease_until_ms = max(endpoint.lease_until_ms, lease_until_ms)
        endpoint.load.report(heartbeat.load, now_ms - age_ms)
        for event in heartbeat.cache_events:
            added, removed = endpoint.cache.apply(event)
            self._prefix_index.add(endpoint.endpoint_id, added)
            self._prefix_index.remove(endpoint.endpoint_id, removed)
        endpoint.step('leaving' if heartbeat.leaving else 'heartbeat', now_ms)
        self._rerank(endpoint, now_ms)

    def _expire(self, endpoint: EndpointState, now_ms: int) -> None:
        endpoint.step('lease_expired', now_ms)
        self._rerank(endpoint, now_ms)
        if now_ms - endpoint.changed_ms >= _FORGET_MS:
            endpoint.step('removed', now_ms)
            self._remove(endpoint)

    def _remove(self, endpoint: EndpointState) -> None:
        for key in _group_keys(endpoint.announcement):
            self._groups[key].requests -= endpoint.counted_requests
            self._groups[key].remove(endpoint)
            if not self._groups[key].members:
                self._groups.pop(key)
        endpoint.rank = None
        endpoint.counted_requests = 0
        self._prefix_index.remove(
            endpoint.endpoint_id, list(endpoint.cache.blocks)
        )
        self._endpoints.pop(endpoint.endpoint_id)

    def _update_panic(self, service: ServiceId, now_ms: int) -> None:
        if self._groups[service, None].in_panic_mode(now_ms):
            self._panic_services.add(service)
        else:
            self._panic_services.discard(service)

    def _rerank(self, endpoint: EndpointState, now_ms: int) -> None:
        ranked = self.may_use(endpoint, now_ms) and endpoint.room(now_ms) > 0
        rank = endpoint.current_rank() if ranked else None
        counted_requests = (
            endpoint.load.requests if endpoint.state in USABLE else 0
        )
        if (
            rank == endpoint.rank
            and counted_requests == endpoint.counted_requests
        ):
            return
        groups = [
            self._groups[key] for key in _group_keys(endpoint.announcement)
        ]
        for group in groups:
            group.requests += counted_requests - endpoint.counted_requests
        endpoint.counted_requests = counted_requests
        for group in groups:
            group.unrank(endpoint)
        endpoint.rank = rank
        if rank is not None:
            for group in groups:
                group.rank(endpoint)


def _group_keys(announcement: Announcement) -> list[GroupKey]:
    names = (*announcement.models, *announcement.adapters)
    keys: list[GroupKey] = [(announcement.service, None)]
    keys.extend((announcement.service, ModelId(name)) for name in names)
    return keys
