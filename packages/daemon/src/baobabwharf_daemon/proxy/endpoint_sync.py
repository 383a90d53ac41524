"""Replicate endpoint records from disk VMs to the VMs of their region."""

import asyncio
import itertools
from collections.abc import Iterable, Sequence
from pathlib import Path
from typing import TypeVar, final

import msgspec
from baobabwharf_core.clock import Clock
from baobabwharf_core.codec import decode_each, encode_each
from baobabwharf_core.fleet_config import VmRecord
from baobabwharf_core.ids import EndpointId, RegionId, VmId
from baobabwharf_decisions.proxying.endpoint_table import (
    EndpointRecord,
    EndpointTable,
)

from baobabwharf_daemon.address_book import AddressBook
from baobabwharf_daemon.decision_log import DecisionLog
from baobabwharf_daemon.fail_fast import spawn
from baobabwharf_daemon.metrics import SKIPPED_RECORDS
from baobabwharf_daemon.proxy.endpoint_messages import (
    FETCH_PATH,
    PUSH_PATH,
    Departure,
    EndpointFetchRequest,
    EndpointPush,
    EndpointPushReply,
    Renewal,
)
from baobabwharf_daemon.proxy.endpoint_store import EndpointStore
from baobabwharf_daemon.proxy.endpoint_sync_client import EndpointSyncClient
from baobabwharf_daemon.rpc import RpcClient, RpcServer
from baobabwharf_daemon.task import Task

# A change that a VM missed is repaired by the next renewal.
_RENEW_S = 1.0
_FETCH_PAUSE_S = 0.3
# A VM drops endpoints whose heartbeats stopped for this long.  It is long, so
# that endpoints stay known while no disk VM is available; failing connections
# take a dead endpoint out of use much earlier.
_ENDPOINT_SILENCE_TIMEOUT_MS = 30_000
# Endpoints restored from disk are dropped without a heartbeat for this long;
# heartbeats come every second or two.
_RESTORED_EXPIRY_MS = 5000
# Departures are repeated for this time, in which a VM that starts gets known.
_LEFT_REPEAT_MS = 10_000
# Unchanged endpoints are rewritten this often, so that the file does not get
# too old to be used.
_STORE_S = 5

_ItemT = TypeVar('_ItemT')


@final
class EndpointSync(Task):
    """Own the endpoint records of this VM and replicate them."""

    def __init__(
        self,
        vms: AddressBook,
        client: RpcClient,
        clock: Clock,
        log: DecisionLog,
        folder: Path | None,
    ) -> None:
        self._vms = vms
        self._store = EndpointStore(folder, clock)
        self._clock = clock
        self._log = log
        self._records_to_renew: dict[EndpointId, EndpointRecord] = {}
        # Regions of endpoints that left, and when.
        self._left: dict[EndpointId, tuple[RegionId, int]] = {}
        self._loops: list[asyncio.Task[None]] = []
        self._client = EndpointSyncClient(client, self._records)
        self.endpoint_table = EndpointTable()

    def register(self, server: RpcServer) -> None:
        """Register the RPC handlers."""
        server.register_unary(
            PUSH_PATH, EndpointPush, EndpointPushReply, self._on_push
        )
        server.register_unary(
            FETCH_PATH, EndpointFetchRequest, EndpointPush, self._on_fetch
        )

    async def start(self) -> None:
        """Start renewals; a disk VM restores its endpoints, others fetch."""
        self._loops = [spawn(self._renew_forever())]
        if self._vms.own.has_disk:
            self._restore()
            self._loops.append(spawn(self._store_forever()))
        else:
            self._loops.append(spawn(self._fetch_initial()))

    async def stop(self) -> None:
        """Cancel all loops and calls."""
        self._client.cancel()
        for loop in self._loops:
            loop.cancel()
        await asyncio.gather(*self._loops, return_exceptions=True)

    def on_heartbeat(self, record: EndpointRecord) -> None:
        """Apply a record that an endpoint sent to this VM."""
        changed = self.endpoint_table.update(record, self._clock.now_ms())
        entry = self.endpoint_table.entries.get(record.endpoint_id)
        if entry is None or entry.record != record:
            return
        self._records_to_renew[record.endpoint_id] = record
        if changed:
            _log_change(self._log, record)
            push = EndpointPush(encode_each((record,)))
            self._push_to_vms(push, record.region)

    def on_leave(self, endpoint_id: EndpointId) -> None:
        """Remove an endpoint that deregisters."""
        entry = self.endpoint_table.entries.get(endpoint_id)
        self._records_to_renew.pop(endpoint_id, None)
        if entry is None:
            return
        now_ms = self._clock.now_ms()
        self.endpoint_table.leave(endpoint_id, now_ms)
        self._left[endpoint_id] = (entry.record.region, now_ms)
        self._log.record('endpoint_left', endpoint=endpoint_id)
        push = EndpointPush(left=(endpoint_id,))
        self._push_to_vms(push, entry.record.region)

    def drop_endpoint(self, endpoint_id: EndpointId, reason: str) -> None:
        """Drop an endpoint that is no longer found at its address."""
        if self.endpoint_table.drop(endpoint_id):
            self._log.record(
                'endpoint_dropped', endpoint=endpoint_id, reason=reason
            )

    def note_leaving(self, record: EndpointRecord) -> None:
        """Stop using an endpoint that said in an answer that it is leaving.

        The disk VMs are told; their next renewals tell the other VMs.
        """
        if not self._apply_departure(_departure_of(record), 'answer'):
            return
        push = EndpointPush(departures=encode_each((_departure_of(record),)))
        for vm in self._vms.other_disk_vms():
            self._client.push(vm, push)

    def _apply_departure(self, departure: Departure, source: str) -> bool:
        endpoint_id = departure.endpoint_id
        changed = self.endpoint_table.note_leaving(
            endpoint_id, departure.incarnation, self._clock.now_ms()
        )
        if changed:
            self._log.record(
                'endpoint_leaving',
                endpoint=endpoint_id,
                incarnation=departure.incarnation,
                source=source,
            )
        return changed

    def _restore(self) -> None:
        records = self._store.load()
        now_ms = self._clock.now_ms()
        received_ms = (
            now_ms - _ENDPOINT_SILENCE_TIMEOUT_MS + _RESTORED_EXPIRY_MS
        )
        self.endpoint_table.restore(records, received_ms, now_ms)
        self._log.record('endpoints_restored', count=len(records))

    async def _store_forever(self) -> None:
        stored: list[EndpointRecord] = []
        for second in itertools.count():
            await asyncio.sleep(_RENEW_S)
            records = [
                entry.record for entry in self.endpoint_table.entries.values()
            ]
            if second % _STORE_S and _same_states(stored, records):
                continue
            stored = records
            await self._store.save(records)

    async def _on_push(self, push: EndpointPush) -> EndpointPushReply:
        now_ms = self._clock.now_ms()
        for record in _decode_each(self._log, push.records, EndpointRecord):
            if self.endpoint_table.update(record, now_ms):
                _log_change(self._log, record)
        for departure in _decode_each(self._log, push.departures, Departure):
            self._apply_departure(departure, 'vm')
        for endpoint_id in push.left:
            if self.endpoint_table.leave(endpoint_id, now_ms):
                self._log.record('endpoint_left', endpoint=endpoint_id)
        unknown = [
            renewal.endpoint_id
            for renewal in _decode_each(self._log, push.renewals, Renewal)
            if not self.endpoint_table.renew(
                renewal.endpoint_id,
                renewal.order,
                renewal.cold_left_ms,
                renewal.state,
                now_ms,
            )
        ]
        return EndpointPushReply(tuple(unknown))

    async def _on_fetch(self, request: EndpointFetchRequest) -> EndpointPush:
        records = [
            entry.record
            for entry in self.endpoint_table.entries.values()
            if entry.record.region == request.region
        ]
        return EndpointPush(
            encode_each(records),
            departures=_departures(self.endpoint_table, records),
        )

    def _push_to_vms(self, push: EndpointPush, region: RegionId) -> None:
        for vm in self._vms.live().values():
            if vm.vm_id != self._vms.own.vm_id and _needs_endpoints_of(
                vm, region
            ):
                self._client.push(vm, push)

    def _records(
        self, endpoint_ids: Iterable[EndpointId]
    ) -> tuple[EndpointRecord, ...]:
        found = map(self.endpoint_table.entries.get, endpoint_ids)
        return tuple(entry.record for entry in found if entry is not None)

    async def _renew_forever(self) -> None:
        while True:
            await asyncio.sleep(_RENEW_S)
            now_ms = self._clock.now_ms()
            for endpoint_id in self.endpoint_table.expire(
                _ENDPOINT_SILENCE_TIMEOUT_MS, now_ms
            ):
                self._log.record('endpoint_silent', endpoint=endpoint_id)
            records = tuple(self._records_to_renew.values())
            self._records_to_renew.clear()
            # An endpoint that is back was started again.
            self._left = {
                left_id: (region, at_ms)
                for left_id, (region, at_ms) in self._left.items()
                if now_ms - at_ms <= _LEFT_REPEAT_MS
                and left_id not in self.endpoint_table.entries
            }
            regions = {record.region for record in records}
            regions.update(region for region, _at_ms in self._left.values())
            for region in sorted(regions):
                self._send_renewals(region, records)

    def _send_renewals(
        self, region: RegionId, records: Sequence[EndpointRecord]
    ) -> None:
        in_region = [record for record in records if record.region == region]
        renewals = encode_each(map(_renewal_of, in_region))
        left = tuple(
            endpoint_id
            for endpoint_id, (left_region, _at_ms) in self._left.items()
            if left_region == region
        )
        push = EndpointPush(
            renewals=renewals,
            left=left,
            departures=_departures(self.endpoint_table, in_region),
        )
        for vm in self._vms.live().values():
            if vm.region == region and vm.vm_id != self._vms.own.vm_id:
                self._client.push(vm, push)

    async def _fetch_initial(self) -> None:
        """Poll the disk VMs until one of them returns endpoints."""
        while not self.endpoint_table.entries:
            disk_vms = self._vms.other_disk_vms()
            region = self._vms.own.region
            fetches = [self._client.fetch(vm, region) for vm in disk_vms]
            for reply in asyncio.as_completed(fetches):
                # Replies are handled as they come, so that an unreachable
                # disk VM does not delay the others.
                await self._on_push(await reply)
            await asyncio.sleep(_FETCH_PAUSE_S)


def _decode_each(
    log: DecisionLog, payloads: Iterable[msgspec.Raw], kind: type[_ItemT]
) -> list[_ItemT]:
    """Decode the items of a push; log and skip the invalid ones."""
    decoded, faults = decode_each(payloads, kind)
    for fault in faults:
        SKIPPED_RECORDS.inc({'kind': kind.__name__})
        log.record('record_skipped', kind=kind.__name__, reason=fault)
    return decoded


def _log_change(log: DecisionLog, record: EndpointRecord) -> None:
    log.record(
        'endpoint_changed',
        endpoint=record.endpoint_id,
        service=record.service,
        address=record.address,
        draining=record.draining,
        cold_left_ms=record.cold_left_ms,
        sequence=record.sequence,
    )


def _departures(
    table: EndpointTable, records: Iterable[EndpointRecord]
) -> tuple[msgspec.Raw, ...]:
    return encode_each(
        _departure_of(record) for record in records if table.is_leaving(record)
    )


def _departure_of(record: EndpointRecord) -> Departure:
    return Departure(record.endpoint_id, record.incarnation)


def _renewal_of(record: EndpointRecord) -> Renewal:
    return Renewal(
        record.endpoint_id,
        record.order,
        record.cold_left_ms,
        record.state_checksum,
    )


def _same_states(
    old: Sequence[EndpointRecord], new: Sequence[EndpointRecord]
) -> bool:
    return len(old) == len(new) and all(
        before.same_state(after) for before, after in zip(old, new, strict=True)
    )


def _needs_endpoints_of(vm: VmRecord, region: RegionId) -> bool:
    return vm.has_disk or vm.region == region


def redirect_target(
    own: VmRecord, live: Iterable[VmRecord], region: RegionId
) -> VmId | None:
    """Return a disk VM in the endpoint's region if this VM is elsewhere."""
    if own.region == region:
        return None
    candidates = [
        vm.vm_id for vm in live if vm.has_disk and vm.region == region
    ]
    return min(candidates, default=None)
