"""Know which endpoints of the region take requests now."""

from collections.abc import Iterable
from typing import final

from baobabwharf_core.clock import Clock
from baobabwharf_core.deployment import DeployedService
from baobabwharf_core.fleet_config import VmRecord
from baobabwharf_core.ids import EndpointId, ServiceId, VmId, ZoneId
from baobabwharf_decisions.membership.proxy_vms import forwarding_vms_of
from baobabwharf_decisions.proxying.cold_rate_limit import ColdRateLimit
from baobabwharf_decisions.proxying.endpoint_load import Candidate
from baobabwharf_decisions.proxying.endpoint_table import (
    EndpointEntry,
    EndpointRecord,
    EndpointTable,
)

from baobabwharf_daemon.interfaces import MembershipView
from baobabwharf_daemon.proxy.load_tracker import LoadTracker

# Requests to cold endpoints may arrive in a later second than they were sent.
_COLD_RATE_FACTOR = 1.2
# If fewer endpoints than this share are healthy, the fault is probably not in
# the endpoints, and all of them are used.
_MIN_HEALTHY_SHARE = 0.5


@final
class UsableEndpoints:
    """Filter the endpoints of this region by their state."""

    def __init__(
        self,
        own: VmRecord,
        clock: Clock,
        endpoint_table: EndpointTable,
        members: MembershipView,
    ) -> None:
        self._own = own
        self._clock = clock
        self._members = members
        self._cold_rate_limit = ColdRateLimit(own.vm_id)
        self._evacuated: frozenset[ZoneId] = frozenset()
        self.table = endpoint_table
        self.loads = LoadTracker(clock, endpoint_table)

    def evacuate(self, zones: Iterable[ZoneId], cold_ms: int) -> None:
        """Apply the evacuated zones; restored ones count as cold at first."""
        wanted = frozenset(zones)
        restored = self._evacuated - wanted
        if restored:
            self.table.mark_cold(restored, self._clock.now_ms() + cold_ms)
        self._evacuated = wanted

    def slots_of(self, service: ServiceId) -> int:
        """Return the slots of this region's endpoints of a service."""
        return sum(
            entry.record.slots
            for entry in self.table.of_service(service)
            if self._in_use(entry.record)
        )

    def candidates(
        self,
        service: DeployedService,
        excluded: frozenset[EndpointId],
        loads: LoadTracker,
    ) -> list[Candidate]:
        """Return the usable endpoints of this region with the given loads."""
        found = [
            _candidate(entry.record, service, loads)
            for entry in self.table.of_service(service.name)
            if self.is_usable(entry, service)
            and entry.record.endpoint_id not in excluded
        ]
        healthy = [one for one in found if not one.load.failing]
        return (
            healthy
            if len(healthy) >= len(found) * _MIN_HEALTHY_SHARE
            else found
        )

    def unusable(
        self, service: DeployedService, excluded: frozenset[EndpointId]
    ) -> list[EndpointId]:
        """Return the endpoints that this VM can't use for a request."""
        usable = {
            candidate.endpoint_id
            for candidate in self.candidates(service, excluded, self.loads)
        }
        return [
            entry.record.endpoint_id
            for entry in self.table.of_service(service.name)
            if self._in_use(entry.record)
            and entry.record.endpoint_id not in usable
        ]

    def note_sent(self, record: EndpointRecord) -> None:
        """Count a request against the rate limit of a cold endpoint."""
        now_ms = self._clock.now_ms()
        entry = self.table.entries.get(record.endpoint_id)
        if entry is not None and entry.cold_until_ms > now_ms:
            self._cold_rate_limit.note_sent(record.endpoint_id, now_ms)

    def _in_use(self, record: EndpointRecord) -> bool:
        return (
            record.region == self._own.region
            and not record.draining
            and not self.table.is_leaving(record)
            and record.zone not in self._evacuated
        )

    def is_usable(self, entry: EndpointEntry, service: DeployedService) -> bool:
        """Return whether an endpoint may be sent a request now."""
        record = entry.record
        now_ms = self._clock.now_ms()
        availability = self.loads.load(record).availability
        if availability.until_ms > now_ms or not self._in_use(record):
            return False
        if entry.cold_until_ms <= now_ms or not service.cold_rate_per_s:
            return True
        rate = service.cold_rate_per_s * _COLD_RATE_FACTOR
        vms = self._region_vms()
        return self._cold_rate_limit.may_send(
            record.endpoint_id, rate, vms, now_ms
        )

    def shortest_pause_ms(
        self, service: DeployedService, now_ms: int
    ) -> int | None:
        """Return the time until the first endpoint takes requests again.

        The result is None unless all endpoints in use asked for a pause.
        """
        pauses_ms = [
            self.loads.load(entry.record).availability.paused_until_ms - now_ms
            for entry in self.table.of_service(service.name)
            if self._in_use(entry.record)
        ]
        shortest_ms = min(pauses_ms, default=0)
        return shortest_ms if shortest_ms > 0 else None

    def _region_vms(self) -> list[VmId]:
        live = self._members.live_vms()
        return [vm.vm_id for vm in forwarding_vms_of(live, self._own.region)]


def _candidate(
    record: EndpointRecord, service: DeployedService, loads: LoadTracker
) -> Candidate:
    engine = service.engine
    return Candidate(
        record.endpoint_id,
        loads.load(record),
        record.slots,
        None if engine is None else engine.cache_tokens,
    )
