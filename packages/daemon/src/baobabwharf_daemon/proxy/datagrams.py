"""Send frequently changing state to other VMs in UDP datagrams."""

import abc
import asyncio
from collections.abc import Iterable
from typing import Any

import msgspec
from baobabwharf_core.fleet_config import VmRecord

from baobabwharf_daemon.fail_fast import spawn
from baobabwharf_daemon.log import get_logger
from baobabwharf_daemon.metrics import SKIPPED_RECORDS
from baobabwharf_daemon.task import Task
from baobabwharf_daemon.vm_records import host_of

_log = get_logger('datagrams')


class DatagramTask(Task, asyncio.DatagramProtocol):
    """Own a UDP socket; a later datagram makes up for a lost one."""

    def __init__(self, own: VmRecord, port: int) -> None:
        self._own = own
        self._port = port
        self._transport: Any = None
        self._loop: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Open the socket and start sending."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=(host_of(self._own), self._port)
        )
        self._loop = spawn(self._send_forever())

    async def stop(self) -> None:
        """Close the socket."""
        if self._loop is not None:
            self._loop.cancel()
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the socket."""
        self._transport = transport

    def error_received(self, exc: Exception) -> None:
        """Ignore the error, such as the ICMP error of a stopped VM."""
        _log.debug('Sending a datagram failed: %s', exc)

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Pass a datagram to the handler; log one that can't be used."""
        try:
            self.handle_datagram(data, addr[0])
        except (msgspec.DecodeError, ArithmeticError, LookupError) as fault:
            SKIPPED_RECORDS.inc({'kind': 'datagram'})
            _log.warning('Ignoring a datagram from %s: %r', addr, fault)

    def other_hosts(self, vms: Iterable[VmRecord]) -> list[str]:
        """Return the hosts of the VMs except this one."""
        return [host_of(vm) for vm in vms if vm.vm_id != self._own.vm_id]

    def send(self, content: bytes, hosts: Iterable[str]) -> None:
        """Send a datagram to the same port of other VMs."""
        for host in hosts:
            self._transport.sendto(content, (host, self._port))

    @abc.abstractmethod
    def handle_datagram(self, content: bytes, host: str) -> None:
        """Handle a datagram; raise msgspec.DecodeError if it is invalid."""

    @abc.abstractmethod
    def send_due(self) -> float:
        """Send what is due; return the delay in s until the next call."""

    async def _send_forever(self) -> None:
        while True:
            delay_s = self.send_due()
            await asyncio.sleep(delay_s)
