"""Send endpoint records to other VMs and fetch them."""

import asyncio
from collections.abc import Callable, Iterable
from typing import final

from baobabwharf_core.codec import encode_each
from baobabwharf_core.fleet_config import VmRecord
from baobabwharf_core.ids import EndpointId, RegionId
from baobabwharf_decisions.proxying.endpoint_table import EndpointRecord

from baobabwharf_daemon.proxy.endpoint_messages import (
    FETCH_PATH,
    PUSH_PATH,
    EndpointFetchRequest,
    EndpointPush,
    EndpointPushReply,
)
from baobabwharf_daemon.rpc import RpcClient

# Above the round trip between the farthest regions; a lost push is repaired by
# the next renewal.
_TIMEOUT_MS = 1000

RecordSource = Callable[[Iterable[EndpointId]], tuple[EndpointRecord, ...]]


@final
class EndpointSyncClient:
    """Call other VMs and track the running pushes."""

    def __init__(self, client: RpcClient, records: RecordSource) -> None:
        self._client = client
        self._records = records
        self._running: set[asyncio.Task[None]] = set()

    def push(self, vm: VmRecord, push: EndpointPush) -> None:
        """Start a push to a VM and return at once."""
        call = asyncio.create_task(self._push(vm, push))
        self._running.add(call)
        call.add_done_callback(self._running.discard)

    async def fetch(self, vm: VmRecord, region: RegionId) -> EndpointPush:
        """Return the endpoints of a region known to a VM, none on failure."""
        reply = await self._client.call(
            vm.peer_address,
            FETCH_PATH,
            EndpointFetchRequest(region),
            EndpointPush,
            _TIMEOUT_MS,
        )
        return reply.default_value(EndpointPush())

    def cancel(self) -> None:
        """Cancel the running pushes."""
        for call in self._running:
            call.cancel()

    async def _push(self, vm: VmRecord, push: EndpointPush) -> None:
        reply = await self._client.call(
            vm.peer_address, PUSH_PATH, push, EndpointPushReply, _TIMEOUT_MS
        )
        if reply.is_error():
            self._client.reset(vm.peer_address)
            return
        missing = self._records(reply.ok.unknown)
        if missing:
            await self._client.call(
                vm.peer_address,
                PUSH_PATH,
                EndpointPush(encode_each(missing)),
                EndpointPushReply,
                _TIMEOUT_MS,
            )
