"""Tell other regions how many slots the endpoints of this one have."""

from typing import final

import msgspec
from baobabwharf_core.clock import Clock
from baobabwharf_core.codec import decode, encode
from baobabwharf_core.ids import RegionId, ServiceId, VmId
from baobabwharf_core.model import VmRecord
from baobabwharf_decisions.membership.items import Summary
from baobabwharf_decisions.membership.serving import proxies_of

from baobabwharf_daemon.log import get_logger
from baobabwharf_daemon.membership_task import MembershipTask
from baobabwharf_daemon.proxy.placer import Placer

_TOPIC = 'slots'
_PERIOD_MS = 500

_log = get_logger('slots')


@final
class RegionSlots:
    """Publish the slots of this region and take those of others."""

    def __init__(
        self, clock: Clock, own: VmRecord, placer: Placer, peers: MembershipTask
    ) -> None:
        self._clock = clock
        self._own = own
        self._placer = placer
        self._peers = peers
        self._published_ms = 0
        self._published = b''
        peers.listeners.add_summary_listener(self._take)

    def publish(self) -> None:
        """Publish the slots when they have changed, as a proxy."""
        now_ms = self._clock.now_ms()
        if now_ms - self._published_ms < _PERIOD_MS or not self._is_proxy():
            return
        payload = encode(self._placer.own_slots())
        if payload != self._published:
            self._published_ms = now_ms
            self._published = payload
            version = self._clock.wall_ms()
            self._peers.publish_summary(_TOPIC, version, payload)

    def _is_proxy(self) -> bool:
        proxies = proxies_of(self._peers.live_vms(), self._own.region)
        return any(vm.vm_id == self._own.vm_id for vm in proxies)

    def _take(self, summary: Summary) -> None:
        region = self._region_of(summary.origin)
        if summary.topic != _TOPIC or region is None:
            return
        try:
            slots = decode(summary.payload, dict[ServiceId, int])
        except msgspec.DecodeError as fault:
            _log.warning('Unreadable slots of %s: %s', summary.origin, fault)
            return
        known = self._placer.regions.slots
        for key in tuple(known):
            if key[0] == region:
                known.pop(key)
        for service, count in slots.items():
            known[region, service] = count

    def _region_of(self, vm_id: VmId) -> RegionId | None:
        for vm in self._peers.live_vms():
            if vm.vm_id == vm_id:
                return vm.region
        return None
