"""Exchange the numbers of endpoint slots with other regions."""

from typing import final

import msgspec
from baobabwharf_core.clock import Clock
from baobabwharf_core.codec import decode, encode
from baobabwharf_core.fleet_config import VmRecord
from baobabwharf_core.ids import RegionId, ServiceId, VmId
from baobabwharf_core.input_types import Amount
from baobabwharf_decisions.membership.gossip_store import Summary
from baobabwharf_decisions.membership.proxy_vms import forwarding_vms_of
from baobabwharf_decisions.membership.relay_selector import relay_candidates

from baobabwharf_daemon.log import get_logger
from baobabwharf_daemon.membership_task import MembershipTask
from baobabwharf_daemon.proxy.endpoint_selector import EndpointSelector

_TOPIC = 'slots'
_PERIOD_MS = 500
# All VMs of a region publish the same slots and each summary is gossiped to the
# whole fleet, so under overload control only this many publish; one may fail.
_PUBLISHERS = 2

_log = get_logger('slots')


@final
class RegionSlots:
    """Publish the slots of this region and receive those of the others."""

    def __init__(
        self,
        clock: Clock,
        own: VmRecord,
        selector: EndpointSelector,
        peers: MembershipTask,
        *,
        few_publishers: bool = False,
    ) -> None:
        self._clock = clock
        self._own = own
        self._selector = selector
        self._peers = peers
        self._few_publishers = few_publishers
        self._published_ms = 0
        self._published = b''
        self._newest: dict[RegionId, int] = {}
        peers.listeners.add_summary_listener(self._on_summary)

    def publish(self) -> None:
        """Publish the slots if they changed and this VM publishes them."""
        now_ms = self._clock.now_ms()
        if now_ms - self._published_ms < _PERIOD_MS:
            return
        if not self._is_publisher():
            if self._few_publishers:
                # Another VM publishes meanwhile, so old slots become invalid.
                self._published = b''
            return
        payload = encode(self._selector.own_slots())
        if payload != self._published:
            self._published_ms = now_ms
            self._published = payload
            version = self._clock.wall_ms()
            self._peers.publish_summary(_TOPIC, version, payload)

    def _is_publisher(self) -> bool:
        live = self._peers.live_vms()
        if self._few_publishers:
            publishers = relay_candidates(live, self._own.region)
            return self._own.vm_id in publishers[:_PUBLISHERS]
        proxies = forwarding_vms_of(live, self._own.region)
        return any(vm.vm_id == self._own.vm_id for vm in proxies)

    def _on_summary(self, summary: Summary) -> None:
        region = self._region_of(summary.origin)
        if summary.topic != _TOPIC or region is None:
            return
        if self._few_publishers:
            # A VM that has stopped publishing still repeats its last summary.
            if summary.version < self._newest.get(region, 0):
                return
            self._newest[region] = summary.version
        try:
            slots = decode(summary.payload, dict[ServiceId, Amount])
        except msgspec.DecodeError as fault:
            _log.warning(
                'Could not decode the slots published by %s: %s',
                summary.origin,
                fault,
            )
            return
        region_slots = self._selector.regions.slots
        for key in tuple(region_slots):
            if key[0] == region:
                region_slots.pop(key)
        for service, count in slots.items():
            region_slots[region, service] = count

    def _region_of(self, vm_id: VmId) -> RegionId | None:
        for vm in self._peers.live_vms():
            if vm.vm_id == vm_id:
                return vm.region
        return None
