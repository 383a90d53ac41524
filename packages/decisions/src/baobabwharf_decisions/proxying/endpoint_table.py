"""Store the records of registered endpoints.

A record replaces an older one of the same endpoint, ordered by incarnation and
then by sequence.  A newer incarnation at an address removes all older endpoints
at that address, since addresses are reused.
"""

import zlib
from collections.abc import Iterable
from typing import Annotated, final

import msgspec
from baobabwharf_core.codec import encode
from baobabwharf_core.ids import (
    EndpointId,
    Incarnation,
    RegionId,
    ServiceId,
    ZoneId,
)
from baobabwharf_core.input_types import (
    EXACT_INTEGER,
    HEADER_TOKEN,
    NAME,
    Address,
    DurationIntegerMs,
    ExactInteger,
    RemainingIntegerMs,
    SmallCount,
)

# Deregistered endpoints are remembered for this time, so that delayed
# heartbeats do not add them again; heartbeats are delayed by seconds at most.
_DEREGISTERED_RETENTION_MS = 60_000
# Many times the endpoints of a large fleet; bounds the memory for records of
# other programs.
MAX_ENDPOINTS = 10_000


class EndpointRecord(msgspec.Struct, frozen=True):
    """Describe a registered endpoint; times are remaining milliseconds."""

    endpoint_id: Annotated[EndpointId, HEADER_TOKEN]
    service: Annotated[ServiceId, NAME]
    address: Address
    zone: Annotated[ZoneId, NAME]
    region: Annotated[RegionId, NAME]
    slots: SmallCount
    incarnation: Annotated[Incarnation, EXACT_INTEGER]
    sequence: ExactInteger
    draining: bool = False
    cold_left_ms: DurationIntegerMs = 0
    leaves_in_ms: RemainingIntegerMs | None = None

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
        # Incarnations that said that they are leaving, and when it was noted.
        self._leaving: dict[EndpointId, tuple[int, int]] = {}
        self._ids_at: dict[str, set[EndpointId]] = {}
        # Other programs may register many endpoints of services that nobody
        # asks for; they must not slow down the choice of an endpoint.
        self._by_service: dict[ServiceId, dict[EndpointId, EndpointEntry]] = {}
        # Services of the deployment, empty until it is known.
        self.services: frozenset[ServiceId] = frozenset()

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
        if known is None and len(self._entries) >= MAX_ENDPOINTS:
            return False
        self._remove(record.endpoint_id)
        if self._is_of_deployment(record):
            self._drop_others_at_address(record)
        cold_until_ms = now_ms + record.cold_left_ms
        if known is not None and known.record.incarnation == record.incarnation:
            # The heartbeat may have been sent before the endpoint was marked
            # cold.
            cold_until_ms = max(cold_until_ms, known.cold_until_ms)
        entry = EndpointEntry(record, now_ms, cold_until_ms)
        self._entries[record.endpoint_id] = entry
        of_service = self._by_service.setdefault(record.service, {})
        of_service[record.endpoint_id] = entry
        at_address = self._ids_at.setdefault(record.address, set())
        at_address.add(record.endpoint_id)
        return known is None or not known.record.same_state(record)

    def renew(
        self,
        endpoint_id: EndpointId,
        order: tuple[int, int],
        cold_left_ms: int,
        state_checksum: int | None,
        now_ms: int,
    ) -> bool:
        """Apply a heartbeat; return whether the record of it is known.

        Without a checksum, the state is assumed to be unchanged.
        """
        entry = self._entries.get(endpoint_id)
        if entry is None or entry.record.incarnation != order[0]:
            return False
        if entry.record.order < order:
            if state_checksum not in {None, entry.record.state_checksum}:
                return False
            entry.record = msgspec.structs.replace(
                entry.record, sequence=order[1]
            )
            entry.received_ms = now_ms
            cold_until_ms = now_ms + cold_left_ms
            entry.cold_until_ms = max(entry.cold_until_ms, cold_until_ms)
        return True

    def restore(
        self, records: Iterable[EndpointRecord], received_ms: int, now_ms: int
    ) -> None:
        """Store records of an earlier process, as received at received_ms."""
        for record in records:
            if self.update(record, now_ms):
                self._entries[record.endpoint_id].received_ms = received_ms

    def leave(self, endpoint_id: EndpointId, now_ms: int) -> bool:
        """Remove an endpoint that deregistered, and ignore its late records."""
        entry = self._remove(endpoint_id)
        if entry is not None:
            self._deregistered[endpoint_id] = (entry.record.incarnation, now_ms)
        return entry is not None

    def note_leaving(
        self, endpoint_id: EndpointId, incarnation: int, now_ms: int
    ) -> bool:
        """Record that an endpoint is leaving, whatever it registers later.

        Only a newer incarnation is used again.  Return whether it is news.
        """
        known = self._leaving.get(endpoint_id)
        if known is not None and known[0] >= incarnation:
            return False
        self._leaving[endpoint_id] = (incarnation, now_ms)
        return True

    def is_leaving(self, record: EndpointRecord) -> bool:
        """Return whether this incarnation said that it is leaving."""
        known = self._leaving.get(record.endpoint_id)
        return known is not None and record.incarnation <= known[0]

    def drop(self, endpoint_id: EndpointId) -> bool:
        """Remove an endpoint until its next heartbeat."""
        return self._remove(endpoint_id) is not None

    def expire(self, silence_timeout_ms: int, now_ms: int) -> list[EndpointId]:
        """Remove and return the endpoints without a recent heartbeat."""
        silent = [
            endpoint_id
            for endpoint_id, entry in self._entries.items()
            if now_ms - entry.received_ms > silence_timeout_ms
        ]
        for silent_id in silent:
            self._remove(silent_id)
        self._deregistered = _drop_old(self._deregistered, now_ms)
        for endpoint_id, (incarnation, _at_ms) in self._leaving.items():
            if endpoint_id in self._entries:
                self._leaving[endpoint_id] = (incarnation, now_ms)
        self._leaving = _drop_old(self._leaving, now_ms)
        return silent

    def mark_cold(self, zones: Iterable[ZoneId], until_ms: int) -> None:
        """Treat the endpoints of availability zones as cold until until_ms."""
        chosen = frozenset(zones)
        for entry in self._entries.values():
            if entry.record.zone in chosen:
                entry.cold_until_ms = max(entry.cold_until_ms, until_ms)

    def of_service(self, service: ServiceId) -> list[EndpointEntry]:
        """Return the entries of a service's endpoints."""
        return list(self._by_service.get(service, {}).values())

    def _is_deregistered(self, record: EndpointRecord) -> bool:
        deregistered = self._deregistered.get(record.endpoint_id)
        return (
            deregistered is not None and record.incarnation <= deregistered[0]
        )

    def _superseded(self, record: EndpointRecord) -> bool:
        return any(
            other.incarnation > record.incarnation
            and self._is_of_deployment(other)
            for other in self._others_at_address(record)
        )

    def _drop_others_at_address(self, record: EndpointRecord) -> None:
        for other in self._others_at_address(record):
            self._remove(other.endpoint_id)

    def _others_at_address(
        self, record: EndpointRecord
    ) -> list[EndpointRecord]:
        return [
            self._entries[endpoint_id].record
            for endpoint_id in self._ids_at.get(record.address, ())
            if endpoint_id != record.endpoint_id
        ]

    def _is_of_deployment(self, record: EndpointRecord) -> bool:
        """Return whether the record can take an address from another one.

        One of an unknown service may have been sent by another program.
        """
        return not self.services or record.service in self.services

    def _remove(self, endpoint_id: EndpointId) -> EndpointEntry | None:
        entry = self._entries.pop(endpoint_id, None)
        if entry is not None:
            at_address = self._ids_at[entry.record.address]
            at_address.discard(endpoint_id)
            if not at_address:
                self._ids_at.pop(entry.record.address)
            of_service = self._by_service[entry.record.service]
            of_service.pop(endpoint_id)
            if not of_service:
                self._by_service.pop(entry.record.service)
        return entry


def _drop_old(
    noted: dict[EndpointId, tuple[int, int]], now_ms: int
) -> dict[EndpointId, tuple[int, int]]:
    return {
        endpoint_id: (incarnation, at_ms)
        for endpoint_id, (incarnation, at_ms) in noted.items()
        if now_ms - at_ms <= _DEREGISTERED_RETENTION_MS
    }


def _without_volatile_fields(record: EndpointRecord) -> EndpointRecord:
    return msgspec.structs.replace(
        record, sequence=0, cold_left_ms=min(record.cold_left_ms, 1)
    )
