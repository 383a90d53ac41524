"""Measure the bytes of control traffic between the VMs of a large fleet.

The fleet is one of 89 entry and 5 disk VMs in six zones of three regions; its
gossip and crash evidence run in simulated time with the real cores, all messages
are encoded as they are sent.
"""

import random
from collections import Counter, deque
from collections.abc import Callable, Iterable
from typing import Any, final

from baobabwharf_core.codec import encode
from baobabwharf_core.fleet_config import VmRecord
from baobabwharf_core.ids import Incarnation, RegionId, VmId, ZoneId
from baobabwharf_decisions.membership import (
    Callbacks,
    ExchangeReply,
    FreezeDetector,
    MembershipCore,
    Probe,
    Summary,
)
from baobabwharf_decisions.membership.member_table import ALIVE, SUSPECT

# Entry and disk VMs of each region, in proportion to its 15, 9 and 5 engines.
_VMS = {'north': (46, 2), 'south': (27, 2), 'west': (16, 1)}
_ZONES_PER_REGION = 2
# Bytes of the headers of IP and UDP.
UDP_HEADER = 28
# The same for a call or reply over an open HTTP/2 connection: frames, compressed
# headers, TCP and an acknowledgement.
RPC_HEADER = 150
_TICK_MS = 50
_MS_PER_S = 1000
_MAX_DROP_MS = 30_000
_CHANGE_OFFSET_MS = 1300


def large_fleet() -> list[VmRecord]:
    """Return the records of the fleet's VMs."""
    names: list[tuple[bool, str, int]] = []
    for name, (entries, disks) in _VMS.items():
        names += [(False, name, number) for number in range(entries)]
        names += [(True, name, number) for number in range(disks)]
    return [
        VmRecord(
            VmId(f'10.{index // 32}.0.{index}'),
            RegionId(region),
            ZoneId(f'{region}-{number % _ZONES_PER_REGION}'),
            has_disk,
            f'10.{index // 32}.0.{index}:30000',
            f'10.{index // 32}.0.{index}:30001',
            f'http://10.{index // 32}.0.{index}:8080',
            Incarnation(1_790_000_000_000 + index),
        )
        for index, (has_disk, region, number) in enumerate(names)
    ]


def path_between(one: VmRecord, other: VmRecord) -> str:
    """Name the widest boundary between two VMs."""
    if one.region != other.region:
        return 'regions'
    return 'same zone' if one.zone == other.zone else 'zones'


@final
class Bytes:
    """Count bytes by kind of message and path."""

    def __init__(self) -> None:
        self.by_kind: Counter[tuple[str, str]] = Counter()

    def add(
        self, kind: str, one: VmRecord, other: VmRecord, size: float
    ) -> None:
        """Count a message."""
        self.by_kind[kind, path_between(one, other)] += int(size)

    def total(self, path: str) -> int:
        """Return the bytes of all kinds on a path."""
        return sum(
            size
            for (_kind, found), size in self.by_kind.items()
            if found == path
        )


Publisher = Callable[[VmRecord], bool]


@final
class GossipTraffic:
    """Run the membership of the fleet and count what it sends."""

    def __init__(
        self,
        vms: list[VmRecord],
        seed: int,
        *,
        prefer_region: bool,
        publishes: Publisher,
    ) -> None:
        self.counted = Bytes()
        self._publishes = publishes
        self._now_ms = 0
        self.stopped: set[VmId] = set()
        self._records = {vm.vm_id: vm for vm in vms}
        self.cores = {
            vm.vm_id: MembershipCore(
                vm,
                tuple(vms),
                Callbacks(_discard, _discard, _discard),
                random.Random(seed + index),
                FreezeDetector(0, 0),
                prefer_region=prefer_region,
            )
            for index, vm in enumerate(vms)
        }

    def run(self, seconds: int, change_s: int) -> None:
        """Start the fleet; slots of one region at a time change."""
        while self._now_ms < seconds * _MS_PER_S:
            # Off the ticks at which all VMs repeat their summaries.
            if self._now_ms % (change_s * _MS_PER_S) == _CHANGE_OFFSET_MS:
                self._publish()
            self._tick()

    def run_until_dropped(self, vm_id: VmId) -> int:
        """Return the time in ms until no VM counts a stopped one as live."""
        start_ms = self._now_ms
        while any(
            core.state_of(vm_id) in {ALIVE, SUSPECT}
            for other, core in self.cores.items()
            if other != vm_id and self._now_ms - start_ms < _MAX_DROP_MS
        ):
            self._tick()
        return self._now_ms - start_ms

    def _tick(self) -> None:
        self._now_ms += _TICK_MS
        for vm_id, core in self.cores.items():
            if vm_id not in self.stopped:
                self._send(vm_id, core.tick(self._now_ms, self._now_ms))

    def _publish(self) -> None:
        payload = encode(
            {'drafts': self._now_ms, 'explanations': 1, 'plain': 2}
        )
        regions = list(_VMS)
        region = regions[self._now_ms // _MS_PER_S % len(regions)]
        for vm_id, record in self._records.items():
            if record.region == region and self._publishes(record):
                core = self.cores[vm_id]
                core.gossip_store.publish_summary(
                    _summary(vm_id, self._now_ms, payload)
                )

    def _send(self, first: VmId, probes: Iterable[Probe]) -> None:
        pending = deque((first, probe) for probe in probes)
        while pending:
            sender, probe = pending.popleft()
            reply = self._exchange(sender, probe)
            core = self.cores[sender]
            following = (
                core.failed(probe.probe_id, self._now_ms)
                if reply is None
                else core.answered(probe.probe_id, reply, self._now_ms)
            )
            pending.extend((sender, after) for after in following)

    def _exchange(self, sender: VmId, probe: Probe) -> ExchangeReply | None:
        """Return the reply to a probe, None from a stopped VM."""
        self._count(sender, probe.to, probe.message)
        if probe.to in self.stopped:
            return None
        to = self.cores[probe.to]
        to.merge(sender, probe.message, self._now_ms)
        reached = probe.message.target not in self.stopped
        reply = to.message_builder.reply(probe.message, reached)
        self._count(probe.to, sender, reply)
        return reply

    def _count(self, sender: VmId, to: VmId, message: Any) -> None:
        ends = self._records[sender], self._records[to]
        summaries = sum(len(encode(one)) for one in message.load.summaries)
        size = len(encode(message)) + RPC_HEADER
        self.counted.add('summaries', *ends, summaries)
        self.counted.add('probes', *ends, size - summaries)


def _summary(origin: VmId, version: int, payload: bytes) -> Summary:
    return Summary('slots', origin, version, payload)


def _discard(*_content: Any) -> None:
    """Ignore a callback that the run does not use."""
