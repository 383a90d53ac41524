"""Spread the endpoints that register at disk VMs to the VMs of their region."""

import asyncio
import itertools
from collections.abc import Iterable, Sequence
from pathlib import Path
from typing import final

import msgspec
from baobabwharf_core.clock import Clock
from baobabwharf_core.ids import EndpointId, RegionId, VmId
from baobabwharf_core.model import VmRecord
from baobabwharf_decisions.proxying.endpoint_book import (
    EndpointBook,
    EndpointRecord,
)

from baobabwharf_daemon.address_book import AddressBook
from baobabwharf_daemon.decision_log import DecisionLog
from baobabwharf_daemon.fail_fast import spawn
from baobabwharf_daemon.proxy.endpoint_calls import EndpointCalls
from baobabwharf_daemon.proxy.endpoint_messages import (
    FETCH_PATH,
    PUSH_PATH,
    EndpointFetch,
    EndpointPush,
    EndpointPushed,
    Renewal,
)
from baobabwharf_daemon.proxy.endpoint_store import EndpointStore
from baobabwharf_daemon.rpc import RpcClient, RpcServer
from baobabwharf_daemon.task import Task

# Lost pushes are made up for by the next renewals.
_RENEW_S = 1.0
_FETCH_PAUSE_S = 0.3
# A VM keeps endpoints through a loss of all disk VMs; failing connections
# take a dead endpoint out of use long before.
_SILENT_MS = 30_000
# Endpoints known from before a restart are dropped if they do not speak for
# so long; a heartbeat is due every second or two.
_RESTORED_MS = 5000
# Unchanged endpoints are stored again before they count as too old.
_STORE_S = 5


@final
class EndpointSync(Task):
    """Own the book of endpoints of this VM."""

    def __init__(
        self,
        book: AddressBook,
        client: RpcClient,
        clock: Clock,
        log: DecisionLog,
        folder: Path | None,
    ) -> None:
        self._vms = book
        self._store = EndpointStore(folder, clock)
        self._clock = clock
        self._log = log
        self._beats: dict[EndpointId, EndpointRecord] = {}
        self._loops: list[asyncio.Task[None]] = []
        self._calls = EndpointCalls(client, self._records)
        self.book = EndpointBook()

    def register(self, server: RpcServer) -> None:
        """Serve the calls of other VMs."""
        server.register_unary(
            PUSH_PATH, EndpointPush, EndpointPushed, self._on_push
        )
        server.register_unary(
            FETCH_PATH, EndpointFetch, EndpointPush, self._on_fetch
        )

    async def start(self) -> None:
        """Begin to renew, and to fetch on a VM without a disk."""
        self._loops = [spawn(self._renew_forever())]
        if self._vms.own.has_disk:
            self._restore()
            self._loops.append(spawn(self._store_forever()))
        else:
            self._loops.append(spawn(self._fetch_first()))

    async def stop(self) -> None:
        """Stop renewing."""
        self._calls.cancel()
        for loop in self._loops:
            loop.cancel()
        await asyncio.gather(*self._loops, return_exceptions=True)

    def heard(self, record: EndpointRecord) -> None:
        """Take a record that an endpoint sent to this VM."""
        changed = self.book.take(record, self._clock.now_ms())
        entry = self.book.entries.get(record.endpoint_id)
        if entry is None or entry.record != record:
            return
        self._beats[record.endpoint_id] = record
        if changed:
            self._note(record)
            self._spread(EndpointPush((record,)), record.region)

    def left(self, endpoint_id: EndpointId) -> None:
        """Take the word of an endpoint that it leaves."""
        entry = self.book.entries.get(endpoint_id)
        self._beats.pop(endpoint_id, None)
        if entry is None:
            return
        self.book.leave(endpoint_id, self._clock.now_ms())
        self._log.record('endpoint_left', endpoint=endpoint_id)
        push = EndpointPush(left=(endpoint_id,))
        self._spread(push, entry.record.region)

    def forget(self, endpoint_id: EndpointId, reason: str) -> None:
        """Drop an endpoint that is not at its address any more."""
        if self.book.drop(endpoint_id):
            self._log.record(
                'endpoint_dropped', endpoint=endpoint_id, reason=reason
            )

    def _restore(self) -> None:
        records = self._store.load()
        now_ms = self._clock.now_ms()
        heard_ms = now_ms - _SILENT_MS + _RESTORED_MS
        self.book.restore(records, heard_ms, now_ms)
        self._log.record('endpoints_restored', count=len(records))

    async def _store_forever(self) -> None:
        stored: list[EndpointRecord] = []
        for second in itertools.count():
            await asyncio.sleep(_RENEW_S)
            records = [one.record for one in self.book.entries.values()]
            if second % _STORE_S and _same_states(stored, records):
                continue
            stored = records
            await self._store.save(records)

    def _note(self, record: EndpointRecord) -> None:
        self._log.record(
            'endpoint_changed',
            endpoint=record.endpoint_id,
            service=record.service,
            address=record.address,
            draining=record.draining,
            cold_left_ms=record.cold_left_ms,
            sequence=record.sequence,
        )

    async def _on_push(self, push: EndpointPush) -> EndpointPushed:
        now_ms = self._clock.now_ms()
        for record in push.records:
            if self.book.take(record, now_ms):
                self._note(record)
        for endpoint_id in push.left:
            if self.book.leave(endpoint_id, now_ms):
                self._log.record('endpoint_left', endpoint=endpoint_id)
        unknown = [
            renewal.endpoint_id
            for renewal in push.renewals
            if not self._renew(renewal, now_ms)
        ]
        return EndpointPushed(tuple(unknown))

    async def _on_fetch(self, request: EndpointFetch) -> EndpointPush:
        return EndpointPush(
            tuple(
                entry.record
                for entry in self.book.entries.values()
                if entry.record.region == request.region
            )
        )

    def _renew(self, renewal: Renewal, now_ms: int) -> bool:
        entry = self.book.entries.get(renewal.endpoint_id)
        if entry is None:
            return False
        if entry.record.incarnation != renewal.order[0]:
            return False
        if entry.record.order < renewal.order:
            entry.record = msgspec.structs.replace(
                entry.record, sequence=renewal.order[1]
            )
            entry.heard_ms = now_ms
            cold_until_ms = now_ms + renewal.cold_left_ms
            entry.cold_until_ms = max(entry.cold_until_ms, cold_until_ms)
        return True

    def _spread(self, push: EndpointPush, region: RegionId) -> None:
        for vm in self._vms.live().values():
            if vm.vm_id != self._vms.own.vm_id and _wants(vm, region):
                self._calls.push(vm, push)

    def _records(
        self, endpoint_ids: Iterable[EndpointId]
    ) -> tuple[EndpointRecord, ...]:
        found = map(self.book.entries.get, endpoint_ids)
        return tuple(entry.record for entry in found if entry is not None)

    async def _renew_forever(self) -> None:
        while True:
            await asyncio.sleep(_RENEW_S)
            now_ms = self._clock.now_ms()
            for endpoint_id in self.book.expire(_SILENT_MS, now_ms):
                self._log.record('endpoint_silent', endpoint=endpoint_id)
            beats = tuple(self._beats.values())
            self._beats.clear()
            regions = {record.region for record in beats}
            for region in sorted(regions):
                self._send_renewals(region, beats)

    def _send_renewals(
        self, region: RegionId, beats: Sequence[EndpointRecord]
    ) -> None:
        renewals = tuple(
            Renewal(record.endpoint_id, record.order, record.cold_left_ms)
            for record in beats
            if record.region == region
        )
        for vm in self._vms.live().values():
            inside = vm.region == region
            if inside and vm.vm_id != self._vms.own.vm_id:
                self._calls.push(vm, EndpointPush(renewals=renewals))

    async def _fetch_first(self) -> None:
        """Ask the disk VMs until one of them knows endpoints."""
        while not self.book.entries:
            disks = self._vms.other_disk_vms()
            region = self._vms.own.region
            fetches = [self._calls.fetch(vm, region) for vm in disks]
            for reply in asyncio.as_completed(fetches):
                # A disk VM that is gone must not hold up the others.
                await self._on_push(await reply)
            await asyncio.sleep(_FETCH_PAUSE_S)


def _same_states(
    one: Sequence[EndpointRecord], other: Sequence[EndpointRecord]
) -> bool:
    return len(one) == len(other) and all(
        before.same_state(after)
        for before, after in zip(one, other, strict=True)
    )


def _wants(vm: VmRecord, region: RegionId) -> bool:
    return vm.has_disk or vm.region == region


def redirect_target(
    own: VmRecord, live: Iterable[VmRecord], region: RegionId
) -> VmId | None:
    """Return a disk VM of the endpoint's region, if this one is not there."""
    if own.region == region:
        return None
    near = [vm.vm_id for vm in live if vm.has_disk and vm.region == region]
    return min(near, default=None)
