"""Store the records of registered endpoints.

A record replaces an older one of the same endpoint, ordered by incarnation and
then by sequence.  A newer incarnation at an address removes all older endpoints
at that address, since addresses are reused.
"""

import zlib
from collections.abc import Iterable
from typing import final

import msgspec
from baobabwharf_core.codec import encode
from baobabwharf_core.ids import (
    EndpointId,
    Incarnation,
    RegionId,
    ServiceId,
    ZoneId,
)

# Deregistered endpoints are remembered for this time, so that delayed
# heartbeats do not add them again; heartbeats are delayed by seconds at most.
_DEREGISTERED_RETENTION_MS = 60_000


class EndpointRecord(msgspec.Struct, frozen=True):
    """Describe a registered endpoint; times are remaining milliseconds."""

    endpoint_id: EndpointId
    service: ServiceId
    address: str
    zone: ZoneId
    region: RegionId
    slots: int
    incarnation: Incarnation
    sequence: int
    draining: bool = False
    cold_left_ms: int = 0
    leaves_in_ms: int | None = None

    @property
    def order(self) -> tuple[int, int]:
        """Return the sort key; the newer of two records has the greater one."""
        return (self.incarnation, self.sequence)

    def same_state(self, other: 'EndpointRecord') -> bool:
        """Return whether at most the sequence and the cold time differ.

        A change from cold to not cold, or back, counts as a difference.
        """
        return _without_volatile_fields(self) == _without_volatile_fields(other)

    @property
    def state_checksum(self) -> int:
        """Return a number that is equal for records of the same state."""
        return zlib.crc32(encode(_without_volatile_fields(self)))


class EndpointEntry(msgspec.Struct):
    """Pair a record with times of the local monotonic clock."""

    record: EndpointRecord
    received_ms: int
    cold_until_ms: int


@final
class EndpointTable:
    """Hold the newest record of each endpoint by id."""

    def __init__(self) -> None:
        self._entries: dict[EndpointId, EndpointEntry] = {}
        self._deregistered: dict[EndpointId, tuple[int, int]] = {}

    @property
    def entries(self) -> dict[EndpointId, EndpointEntry]:
        """Return the entries by endpoint; callers must not modify the dict."""
        return self._entries

    def update(self, record: EndpointRecord, now_ms: int) -> bool:
        """Store a record unless it is stale; return whether the state changed."""
        if self._is_deregistered(record) or self._superseded(record):
            return False
        known = self._entries.get(record.endpoint_id)
        if known is not None and known.record.order >= record.order:
            return False
        self._drop_others_at_address(record)
        cold_until_ms = now_ms + record.cold_left_ms
        if known is not None and known.record.incarnation == record.incarnation:
            # The heartbeat may have been sent before the endpoint was marked
            # cold.
            cold_until_ms = max(cold_until_ms, known.cold_until_ms)
        self._entries[record.endpoint_id] = EndpointEntry(
            record, now_ms, cold_until_ms
        )
        return known is None or not known.record.same_state(record)

    def restore(
        self, records: Iterable[EndpointRecord], received_ms: int, now_ms: int
    ) -> None:
        """Store records of an earlier process, as received at received_ms."""
        for record in records:
            if self.update(record, now_ms):
                self._entries[record.endpoint_id].received_ms = received_ms

    def leave(self, endpoint_id: EndpointId, now_ms: int) -> bool:
        """Remove an endpoint that deregistered, and ignore its late records."""
        entry = self._entries.pop(endpoint_id, None)
        if entry is not None:
            self._deregistered[endpoint_id] = (entry.record.incarnation, now_ms)
        return entry is not None

    def drop(self, endpoint_id: EndpointId) -> bool:
        """Remove an endpoint until its next heartbeat."""
        return self._entries.pop(endpoint_id, None) is not None

    def expire(self, silence_timeout_ms: int, now_ms: int) -> list[EndpointId]:
        """Remove and return the endpoints without a recent heartbeat."""
        silent = [
            endpoint_id
            for endpoint_id, entry in self._entries.items()
            if now_ms - entry.received_ms > silence_timeout_ms
        ]
        for silent_id in silent:
            self._entries.pop(silent_id)
        self._deregistered = {
            endpoint_id: (incarnation, at_ms)
            for endpoint_id, (incarnation, at_ms) in self._deregistered.items()
            if now_ms - at_ms <= _DEREGISTERED_RETENTION_MS
        }
        return silent

    def mark_cold(self, zones: Iterable[ZoneId], until_ms: int) -> None:
        """Treat the endpoints of availability zones as cold until until_ms."""
        chosen = frozenset(zones)
        for entry in self._entries.values():
            if entry.record.zone in chosen:
                entry.cold_until_ms = max(entry.cold_until_ms, until_ms)

    def of_service(self, service: ServiceId) -> list[EndpointEntry]:
        """Return the entries of a service's endpoints."""
        return [
            entry
            for entry in self._entries.values()
            if entry.record.service == service
        ]

    def _is_deregistered(self, record: EndpointRecord) -> bool:
        deregistered = self._deregistered.get(record.endpoint_id)
        return (
            deregistered is not None and record.incarnation <= deregistered[0]
        )

    def _superseded(self, record: EndpointRecord) -> bool:
        return any(
            entry.record.address == record.address
            and entry.record.endpoint_id != record.endpoint_id
            and entry.record.incarnation > record.incarnation
            for entry in self._entries.values()
        )

    def _drop_others_at_address(self, record: EndpointRecord) -> None:
        stale = [
            endpoint_id
            for endpoint_id, entry in self._entries.items()
            if entry.record.address == record.address
            and endpoint_id != record.endpoint_id
        ]
        for endpoint_id in stale:
            self._entries.pop(endpoint_id)


def _without_volatile_fields(record: EndpointRecord) -> EndpointRecord:
    return msgspec.structs.replace(
        record, sequence=0, cold_left_ms=min(record.cold_left_ms, 1)
    )
