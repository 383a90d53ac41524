"""Send messages of the Raft core to other replicas."""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import final

from baobabwharf_core.ids import VmId
from baobabwharf_decisions.consensus.messages import Message

from baobabwharf_daemon.log import get_logger
from baobabwharf_daemon.replica_messages import (
    DELIVER_PATH,
    Delivered,
    Delivery,
)
from baobabwharf_daemon.rpc import RpcClient

_DELIVER_TIMEOUT_MS = 1000
# Calls in flight to one replica; larger than the send window of the core.
_MAX_CALLS_IN_FLIGHT = 64
_MAX_QUEUED_MESSAGES = 1024
_MAX_QUEUED_BYTES = 16 * 1024 * 1024
# A call holds one message at least, whatever its size.
_MAX_CALL_BYTES = 1024 * 1024
# After this many consecutive failed calls the connection is reopened, since a
# connection that was dropped silently gives no other sign.
_FAILURES_BEFORE_RESET = 3

AddressLookup = Callable[[VmId], str | None]

_log = get_logger('consensus')


@final
class ReplicaLink:
    """Send messages to one replica; drop those that cannot be sent."""

    def __init__(
        self, vm_id: VmId, client: RpcClient, address_of: AddressLookup
    ) -> None:
        self._vm_id = vm_id
        self._client = client
        self._address_of = address_of
        self._queue: deque[Message] = deque()
        self._queued_bytes = 0
        self._calls: set[asyncio.Task[None]] = set()
        self._failures = 0

    def enqueue(self, message: Message) -> None:
        """Queue a message; the batch is sent in the next event loop iteration.

        A message that the queue has no room for is dropped; the core repeats
        what gets no answer.
        """
        is_full = self._queued_bytes >= _MAX_QUEUED_BYTES
        if is_full or len(self._queue) >= _MAX_QUEUED_MESSAGES:
            return
        if not self._queue:
            asyncio.get_running_loop().call_soon(self._flush)
        self._queue.append(message)
        self._queued_bytes += message.size_bytes

    def close(self) -> None:
        """Cancel the calls in flight."""
        for call in self._calls:
            call.cancel()

    def _flush(self) -> None:
        while self._queue and len(self._calls) < _MAX_CALLS_IN_FLIGHT:
            call = asyncio.create_task(self._deliver(self._take_messages()))
            self._calls.add(call)
            call.add_done_callback(self._handle_call_done)

    def _take_messages(self) -> tuple[Message, ...]:
        taken: list[Message] = []
        size_bytes = 0
        while self._queue:
            size_bytes += self._queue[0].size_bytes
            if taken and size_bytes > _MAX_CALL_BYTES:
                break
            message = self._queue.popleft()
            self._queued_bytes -= message.size_bytes
            taken.append(message)
        return tuple(taken)

    def _handle_call_done(self, call: asyncio.Task[None]) -> None:
        self._calls.discard(call)
        self._flush()

    async def _deliver(self, messages: tuple[Message, ...]) -> None:
        address = self._address_of(self._vm_id)
        if address is None:
            return
        reply = await self._client.call(
            address,
            DELIVER_PATH,
            Delivery(messages),
            Delivered,
            _DELIVER_TIMEOUT_MS,
        )
        if reply.is_ok():
            self._failures = 0
            return
        self._failures += 1
        if self._failures == _FAILURES_BEFORE_RESET:
            _log.warning('No reply from %s: %s', self._vm_id, reply.error)
        if self._failures % _FAILURES_BEFORE_RESET == 0:
            self._client.reset(address)


@final
class ReplicaLinks:
    """Hold one link per remote replica."""

    def __init__(self, client: RpcClient, address_of: AddressLookup) -> None:
        self._client = client
        self._address_of = address_of
        self._links: dict[VmId, ReplicaLink] = {}

    def send(self, receiver: VmId, message: Message) -> None:
        """Send a message to a replica."""
        link = self._links.get(receiver)
        if link is None:
            link = ReplicaLink(receiver, self._client, self._address_of)
            self._links[receiver] = link
        link.enqueue(message)

    def close(self) -> None:
        """Close all links."""
        for link in self._links.values():
            link.close()
        self._links.clear()
