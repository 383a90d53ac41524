"""Tell the other entry VMs of the region what runs at its endpoints."""

import asyncio
from typing import Any, final

import msgspec
from baobabwharf_core.codec import decode, encode
from baobabwharf_core.ids import EndpointId, VmId
from baobabwharf_core.model import VmRecord
from baobabwharf_decisions.proxying.endpoint_load import LoadShare

from baobabwharf_daemon.defects import spawn
from baobabwharf_daemon.interfaces import MembershipView
from baobabwharf_daemon.log import get_logger
from baobabwharf_daemon.proxy.placer import Placer
from baobabwharf_daemon.task import Task

# A few prompts are read in that time, so placements rarely collide.
_PERIOD_S = 0.04
# With more VMs each one tells less often: about 50 datagrams a second a VM.
_PERIOD_PER_VM_S = 0.02
# An unchanged load is told again, since datagrams get lost.
_REPEAT_PERIODS = 8
# Shares of a VM that is gone or partitioned stop counting.
_SILENT_MS = 1500

_log = get_logger('load')


class LoadReport(msgspec.Struct, frozen=True):
    """Carry the shares of one VM; a lower sequence is older."""

    vm_id: VmId
    sequence: int
    shares: dict[EndpointId, LoadShare]


@final
class LoadExchange(Task, asyncio.DatagramProtocol):
    """Own the datagram socket."""

    def __init__(
        self,
        own: VmRecord,
        port: int,
        placer: Placer,
        members: MembershipView,
        start_ms: int,
    ) -> None:
        self._own = own
        self._port = port
        self._placer = placer
        self._members = members
        self._sequence = start_ms
        self._newest: dict[VmId, int] = {}
        self._told: dict[EndpointId, LoadShare] = {}
        self._unchanged = 0
        self._transport: Any = None
        self._loop: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Open the socket and begin to tell."""
        loop = asyncio.get_running_loop()
        host = self._own.peer_address.rpartition(':')[0]
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=(host, self._port)
        )
        self._loop = spawn(self._tell_forever())

    async def stop(self) -> None:
        """Close the socket."""
        if self._loop is not None:
            self._loop.cancel()
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the socket."""
        self._transport = transport

    def error_received(self, exc: Exception) -> None:
        """Go on: a VM that is gone refuses datagrams."""
        _log.debug('A datagram was refused: %s', exc)

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Take the report of another VM."""
        try:
            report = decode(data, LoadReport)
        except msgspec.DecodeError as fault:
            _log.warning('An unreadable report came from %s: %s', addr, fault)
            return
        if self._newest.get(report.vm_id, -1) < report.sequence:
            self._newest[report.vm_id] = report.sequence
            self._placer.take_shares(report.vm_id, report.shares)

    async def _tell_forever(self) -> None:
        while True:
            others = self._others()
            if others:
                self._tell(others)
            self._placer.forget_silent(_SILENT_MS)
            pause_s = max(_PERIOD_S, _PERIOD_PER_VM_S * len(others))
            await asyncio.sleep(pause_s)

    def _others(self) -> list[str]:
        return [
            vm.peer_address.rpartition(':')[0]
            for vm in self._members.live_vms()
            if vm.region == self._own.region
            and not vm.has_disk
            and vm.vm_id != self._own.vm_id
        ]

    def _tell(self, hosts: list[str]) -> None:
        shares = self._placer.own_shares()
        self._unchanged = self._unchanged + 1 if shares == self._told else 0
        if self._unchanged % _REPEAT_PERIODS:
            return
        self._told = shares
        self._sequence += 1
        report = encode(LoadReport(self._own.vm_id, self._sequence, shares))
        for host in hosts:
            self._transport.sendto(report, (host, self._port))
