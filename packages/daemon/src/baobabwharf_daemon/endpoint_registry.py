"""Register endpoints and synchronise them with the VMs of the same region."""

import asyncio
from typing import Any, TypeVar, final

import msgspec
from baobabwharf_core.announcements import Announcement, Heartbeat, LeaseAnswer
from baobabwharf_core.clock import Clock
from baobabwharf_core.codec import decode_each, encode_each
from baobabwharf_core.fleet_config import VmRecord
from baobabwharf_core.ids import EndpointId, VmId
from baobabwharf_core.input_types import DurationIntegerMs
from baobabwharf_core.refusals import Refusal, RefusalCode
from baobabwharf_decisions.endpoint_directory import EndpointDirectory
from baobabwharf_decisions.endpoints import (
    HEARTBEAT_MS,
    LEASE_MS,
    HeartbeatOutcome,
)
from expression import Error, Ok, Result

from baobabwharf_daemon.interfaces import EndpointRegistry, MembershipView
from baobabwharf_daemon.log import get_logger
from baobabwharf_daemon.metrics import SKIPPED_RECORDS
from baobabwharf_daemon.rpc import RpcClient, RpcServer
from baobabwharf_daemon.settings import Settings

SYNC_PATH = '/Registry/Sync'
_SYNC_TIMEOUT_MS = 1000
# Limit of one batch; the next heartbeat replaces one that was dropped.
_MAX_PENDING_MESSAGES = 5000

AgedT = TypeVar('AgedT')


class AgedAnnouncement(msgspec.Struct, frozen=True, array_like=True):
    """Carry an announcement that was received age_ms ago."""

    announcement: Announcement
    age_ms: DurationIntegerMs


class AgedHeartbeat(msgspec.Struct, frozen=True, array_like=True):
    """Carry a heartbeat that was received age_ms ago."""

    beat: Heartbeat
    age_ms: DurationIntegerMs


class SyncRequest(msgspec.Struct, frozen=True, array_like=True):
    """Carry what endpoints sent to this VM to the VMs of its region.

    AgedAnnouncement and AgedHeartbeat are decoded one by one, so that an
    invalid one does not affect the others.
    """

    origin: VmId
    announcements: tuple[msgspec.Raw, ...] = ()
    beats: tuple[msgspec.Raw, ...] = ()
    want_all: bool = False


class SyncReply(msgspec.Struct, frozen=True, array_like=True):
    """List endpoints unknown to this VM and, if requested, all known ones."""

    unknown: tuple[EndpointId, ...] = ()
    announcements: tuple[msgspec.Raw, ...] = ()
    beats: tuple[msgspec.Raw, ...] = ()


class _ReceivedState(msgspec.Struct):
    announcement: Announcement
    beat: Heartbeat | None
    received_ms: int


@final
class SyncedEndpointRegistry(EndpointRegistry):
    """Fill the directory of this VM and forward endpoint messages to peers."""

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        directory: EndpointDirectory,
        server: RpcServer,
        client: RpcClient,
        membership: MembershipView,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._directory = directory
        self._client = client
        self._membership = membership
        self._log = get_logger('registry')
        self._received: dict[EndpointId, _ReceivedState] = {}
        self._pending: list[tuple[int, Announcement | Heartbeat]] = []
        self._synced_peers: set[VmId] = set()
        server.register_unary(SYNC_PATH, SyncRequest, SyncReply, self._serve)

    def announce(
        self, announcement: Announcement
    ) -> Result[LeaseAnswer, Refusal]:
        """Register an endpoint whose key has been verified."""
        if announcement.region != self._settings.region:
            return _refuse(f'this VM belongs to {self._settings.region}')
        if announcement.slots < 1:
            return _refuse('slots must be at least 1')
        now_ms = self._clock.now_ms()
        step = self._directory.announce(announcement, now_ms)
        if step.outcome is HeartbeatOutcome.STALE:
            return _refuse('a newer incarnation has announced itself')
        received = _ReceivedState(announcement, None, now_ms)
        self._received[announcement.endpoint_id] = received
        self._enqueue(now_ms, announcement)
        self._log.info(
            'Endpoint %s of service %s announced itself.',
            announcement.endpoint_id,
            announcement.service,
        )
        return Ok(self._lease_answer())

    def heartbeat(self, beat: Heartbeat) -> Result[LeaseAnswer, Refusal]:
        """Renew the lease; an unknown endpoint must announce itself."""
        now_ms = self._clock.now_ms()
        step = self._directory.heartbeat(beat, now_ms)
        if step.outcome is HeartbeatOutcome.UNKNOWN:
            return Error(
                Refusal(
                    RefusalCode.SERVICE_UNKNOWN,
                    detail='the endpoint is not known and must announce itself',
                )
            )
        if step.outcome is HeartbeatOutcome.ACCEPTED:
            self._store_heartbeat(beat, now_ms)
            self._enqueue(now_ms, beat)
        return Ok(self._lease_answer())

    def describe(self) -> tuple[dict[str, Any], ...]:
        """Return one JSON object for each known endpoint, for operators."""
        now_ms = self._clock.now_ms()
        return tuple(
            {
                'endpoint_id': known.endpoint_id,
                'service': known.announcement.service,
                'zone': known.announcement.zone,
                'models': list(known.announcement.models),
                'state': known.state,
                'lease_ms': max(0, known.lease_until_ms - now_ms),
                'slots': known.announcement.slots,
                'requests': known.load.requests,
                'own_requests': known.load.own,
                'mean_ms': round(known.speed.service_ms, 1),
                'cache_gaps': known.cache.gaps,
            }
            for known in self._directory.endpoints.values()
        )

    async def sync(self) -> None:
        """Send pending messages to the other VMs of the region."""
        now_ms = self._clock.now_ms()
        pending = self._pending
        self._pending = []
        peers = self._peers()
        self._synced_peers.intersection_update(peer.vm_id for peer in peers)
        # An unresponsive peer must not delay the heartbeats for the others.
        await asyncio.gather(
            *(self._sync_with(peer, pending, now_ms) for peer in peers)
        )

    async def _sync_with(
        self,
        peer: VmRecord,
        pending: list[tuple[int, Announcement | Heartbeat]],
        now_ms: int,
    ) -> None:
        want_all = peer.vm_id not in self._synced_peers
        if pending or want_all:
            request = self._sync_request(pending, want_all, now_ms)
            await self._send_sync(peer, request)

    def _peers(self) -> list[VmRecord]:
        return [
            vm
            for vm in self._membership.live_vms()
            if vm.region == self._settings.region
            and vm.vm_id != self._settings.vm_id
        ]

    def _sync_request(
        self,
        pending: list[tuple[int, Announcement | Heartbeat]],
        want_all: bool,
        now_ms: int,
    ) -> SyncRequest:
        announcements: list[AgedAnnouncement] = []
        beats: list[AgedHeartbeat] = []
        for received_ms, message in pending:
            if isinstance(message, Announcement):
                aged = AgedAnnouncement(message, now_ms - received_ms)
                announcements.append(aged)
            else:
                beats.append(AgedHeartbeat(message, now_ms - received_ms))
        return SyncRequest(
            VmId(self._settings.vm_id),
            encode_each(announcements),
            encode_each(beats),
            want_all,
        )

    async def _send_sync(self, peer: VmRecord, request: SyncRequest) -> None:
        answer = await self._client.call(
            peer.peer_address,
            SYNC_PATH,
            request,
            SyncReply,
            _SYNC_TIMEOUT_MS,
        )
        if answer.is_error():
            self._synced_peers.discard(peer.vm_id)
            return
        reply = answer.ok
        self._synced_peers.add(peer.vm_id)
        self._apply(peer.vm_id, reply.announcements, reply.beats)
        for endpoint_id in reply.unknown:
            received = self._received.get(endpoint_id)
            if received is not None:
                self._enqueue(received.received_ms, received.announcement)

    async def _serve(self, request: SyncRequest) -> SyncReply:
        unknown = self._apply(
            request.origin, request.announcements, request.beats
        )
        if not request.want_all:
            return SyncReply(unknown)
        now_ms = self._clock.now_ms()
        alive = [
            received
            for received in self._received.values()
            if now_ms - received.received_ms < LEASE_MS
        ]
        return SyncReply(
            unknown,
            encode_each(
                AgedAnnouncement(
                    received.announcement, now_ms - received.received_ms
                )
                for received in alive
            ),
            encode_each(
                AgedHeartbeat(received.beat, now_ms - received.received_ms)
                for received in alive
                if received.beat is not None
            ),
        )

    def _apply(
        self,
        origin: VmId,
        announcements: tuple[msgspec.Raw, ...],
        beats: tuple[msgspec.Raw, ...],
    ) -> tuple[EndpointId, ...]:
        now_ms = self._clock.now_ms()
        for aged in self._decode_each(origin, announcements, AgedAnnouncement):
            if aged.announcement.region == self._settings.region:
                self._directory.announce(aged.announcement, now_ms, aged.age_ms)
        unknown = [
            aged_beat.beat.endpoint_id
            for aged_beat in self._decode_each(origin, beats, AgedHeartbeat)
            if self._directory.heartbeat(
                aged_beat.beat, now_ms, aged_beat.age_ms
            ).outcome
            is HeartbeatOutcome.UNKNOWN
        ]
        return tuple(unknown)

    def _decode_each(
        self,
        origin: VmId,
        payloads: tuple[msgspec.Raw, ...],
        message_type: type[AgedT],
    ) -> list[AgedT]:
        decoded, faults = decode_each(payloads, message_type)
        for fault in faults:
            SKIPPED_RECORDS.inc({'kind': message_type.__name__})
            self._log.warning('Skipping a message of VM %s: %s', origin, fault)
        return decoded

    def _store_heartbeat(self, beat: Heartbeat, now_ms: int) -> None:
        received = self._received.get(beat.endpoint_id)
        if received is None:
            known = self._directory.endpoints[beat.endpoint_id]
            received = _ReceivedState(known.announcement, None, now_ms)
            self._received[beat.endpoint_id] = received
        received.beat = beat
        received.received_ms = now_ms

    def _enqueue(self, now_ms: int, message: Announcement | Heartbeat) -> None:
        if len(self._pending) < _MAX_PENDING_MESSAGES:
            self._pending.append((now_ms, message))

    def _lease_answer(self) -> LeaseAnswer:
        urls = tuple(
            vm.caller_url
            for vm in self._membership.live_vms()
            if vm.region == self._settings.region
        )
        return LeaseAnswer(LEASE_MS, HEARTBEAT_MS, urls)


def _refuse(detail: str) -> Result[LeaseAnswer, Refusal]:
    return Error(Refusal(RefusalCode.INVALID_REQUEST, detail=detail))
