"""Spread the endpoints that register at disk VMs to the VMs of their region."""

import asyncio
from collections.abc import Iterable, Sequence
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
from baobabwharf_daemon.defects import spawn
from baobabwharf_daemon.rpc import RpcClient, RpcServer
from baobabwharf_daemon.task import Task

PUSH_PATH = '/baobabwharf.Endpoints/Push'
FETCH_PATH = '/baobabwharf.Endpoints/Fetch'
_TIMEOUT_MS = 1000
# Lost pushes are made up for by the next renewals.
_RENEW_S = 1.0
_FETCH_PAUSE_S = 0.3
# A VM keeps endpoints through a loss of all disk VMs; failing connections
# take a dead endpoint out of use long before.
_SILENT_MS = 30_000


class Renewal(msgspec.Struct, frozen=True):
    """Tell that an endpoint was heard with an unchanged state."""

    endpoint_id: EndpointId
    order: tuple[int, int]
    cold_left_ms: int


class EndpointPush(msgspec.Struct, frozen=True):
    """Carry changed records, renewals and endpoints that left."""

    records: tuple[EndpointRecord, ...] = ()
    renewals: tuple[Renewal, ...] = ()
    left: tuple[EndpointId, ...] = ()


class EndpointPushed(msgspec.Struct, frozen=True):
    """Confirm a push; unknown asks for the records of these endpoints."""

    unknown: tuple[EndpointId, ...] = ()


class EndpointFetch(msgspec.Struct, frozen=True):
    """Ask for the endpoints of a region."""

    region: RegionId


@final
class EndpointSync(Task):
    """Own the book of endpoints of this VM."""

    def __init__(
        self,
        book: AddressBook,
        client: RpcClient,
        clock: Clock,
        log: DecisionLog,
    ) -> None:
        self._vms = book
        self._client = client
        self._clock = clock
        self._log = log
        self._beats: dict[EndpointId, EndpointRecord] = {}
        self._loops: list[asyncio.Task[None]] = []
        self._calls: set[asyncio.Task[None]] = set()
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
        if not self._vms.own.has_disk:
            self._loops.append(spawn(self._fetch_first()))

    async def stop(self) -> None:
        """Stop renewing."""
        for loop in (*self._loops, *self._calls):
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
                self._start_call(vm, push)

    def _start_call(self, vm: VmRecord, push: EndpointPush) -> None:
        call = asyncio.create_task(self._push(vm, push))
        self._calls.add(call)
        call.add_done_callback(self._calls.discard)

    async def _push(self, vm: VmRecord, push: EndpointPush) -> None:
        reply = await self._client.call(
            vm.peer_address, PUSH_PATH, push, EndpointPushed, _TIMEOUT_MS
        )
        if reply.is_error():
            self._client.reset(vm.peer_address)
            return
        missing = self._records(reply.ok.unknown)
        if missing:
            await self._client.call(
                vm.peer_address,
                PUSH_PATH,
                EndpointPush(missing),
                EndpointPushed,
                _TIMEOUT_MS,
            )

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
            for region in {record.region for record in beats}:
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
                self._start_call(vm, EndpointPush(renewals=renewals))

    async def _fetch_first(self) -> None:
        """Ask the disk VMs until one of them knows endpoints."""
        while not self.book.entries:
            disks = self._vms.other_disk_vms()
            await asyncio.gather(*(self._fetch(vm) for vm in disks))
            await asyncio.sleep(_FETCH_PAUSE_S)

    async def _fetch(self, vm: VmRecord) -> None:
        reply = await self._client.call(
            vm.peer_address,
            FETCH_PATH,
            EndpointFetch(self._vms.own.region),
            EndpointPush,
            _TIMEOUT_MS,
        )
        if reply.is_ok():
            await self._on_push(reply.ok)


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
