"""Tell other VMs by datagrams what changes all the time."""

import abc
import asyncio
from collections.abc import Iterable
from typing import Any

import msgspec
from baobabwharf_core.model import VmRecord

from baobabwharf_daemon.fail_fast import spawn
from baobabwharf_daemon.log import get_logger
from baobabwharf_daemon.task import Task
from baobabwharf_daemon.vm_records import host_of

_log = get_logger('datagrams')


class DatagramTask(Task, asyncio.DatagramProtocol):
    """Own a datagram socket; what is lost is told again later."""

    def __init__(self, own: VmRecord, port: int) -> None:
        self._own = own
        self._port = port
        self._transport: Any = None
        self._loop: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Open the socket and begin to tell."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=(host_of(self._own), self._port)
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
        """Take what another VM tells."""
        try:
            self.take(data, addr[0])
        except msgspec.DecodeError as fault:
            _log.warning('An unreadable datagram of %s: %s', addr, fault)

    def others(self, vms: Iterable[VmRecord]) -> list[str]:
        """Return the hosts of VMs, this one left out."""
        return [host_of(vm) for vm in vms if vm.vm_id != self._own.vm_id]

    def send(self, content: bytes, hosts: Iterable[str]) -> None:
        """Send a datagram to the same port of other VMs."""
        for host in hosts:
            self._transport.sendto(content, (host, self._port))

    @abc.abstractmethod
    def take(self, content: bytes, host: str) -> None:
        """Take a datagram; raise msgspec.DecodeError if it is unreadable."""

    @abc.abstractmethod
    def tell(self) -> float:
        """Send what is due; return the pause in s until the next call."""

    async def _tell_forever(self) -> None:
        while True:
            pause_s = self.tell()
            await asyncio.sleep(pause_s)
