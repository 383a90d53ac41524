"""Find the Raft leader and send operations to it."""

import asyncio
import random
from typing import final

import msgspec
from baobabwharf_core.clock import Clock
from baobabwharf_core.fleet_config import VmRecord
from baobabwharf_core.ids import VmId
from baobabwharf_decisions.fleet_state.commands import Operation

from baobabwharf_daemon.address_book import AddressBook
from baobabwharf_daemon.consensus_task import ConsensusTask
from baobabwharf_daemon.document_messages import (
    DOCUMENT_PATH,
    DocumentReply,
    DocumentRequest,
)
from baobabwharf_daemon.replica_messages import (
    OUTCOME_PATH,
    PROPOSE_PATH,
    STATUS_PATH,
    OutcomeReply,
    OutcomeRequest,
    ProposeReply,
    ProposeRequest,
    ReplicaStatus,
    ReplyKind,
    StatusRequest,
)
from baobabwharf_daemon.rpc import RpcClient

_CALL_TIMEOUT_MS = 2000
_STATUS_TIMEOUT_MS = 500
_RETRY_PAUSE_S = 0.1
# A leader that answered more recently than this is used without a status call.
_LEADER_CACHE_MS = 1000

_FINAL_KINDS = frozenset((ReplyKind.ANSWERED, ReplyKind.REFUSED))


class _Leader(msgspec.Struct, frozen=True):
    vm_id: VmId
    confirmed_ms: int


@final
class LeaderClient:
    """Send each operation to the leader, retrying until it is answered.

    An operation is sent only to a VM that reports that it leads.  So if no
    leader was reached, the operation was certainly not executed.
    """

    def __init__(
        self,
        book: AddressBook,
        client: RpcClient,
        clock: Clock,
        rng: random.Random,
        local: ConsensusTask | None,
    ) -> None:
        self._book = book
        self._client = client
        self._clock = clock
        self._rng = rng
        self._local = local
        self._leader: _Leader | None = None

    async def submit(
        self, operation: Operation, timeout_ms: int
    ) -> ProposeReply:
        """Return the answer.

        REFUSED means that the operation was not executed, UNKNOWN that it
        may have been or may still be.
        """
        deadline_ms = self._clock.now_ms() + timeout_ms
        may_have_run = False
        sentence = 'No leader with a majority can be reached.'
        while self._clock.now_ms() < deadline_ms:
            reply = await self._submit_once(operation)
            if reply.kind is ReplyKind.REFUSED:
                sentence = reply.sentence
            if reply.kind is ReplyKind.ANSWERED:
                return reply
            if reply.kind is ReplyKind.REFUSED and not may_have_run:
                return reply
            may_have_run = may_have_run or reply.kind is ReplyKind.UNKNOWN
            await self._pause()
        kind = ReplyKind.UNKNOWN if may_have_run else ReplyKind.REFUSED
        return ProposeReply(kind, sentence=sentence)

    async def read_outcome(
        self, request: OutcomeRequest, timeout_ms: int
    ) -> OutcomeReply:
        """Return the first answer to a request id, UNKNOWN after the timeout."""
        deadline_ms = self._clock.now_ms() + timeout_ms
        while self._clock.now_ms() < deadline_ms:
            leader = await self._find_leader()
            if leader is not None:
                reply = await self._read_outcome_at(leader, request)
                if reply.kind is ReplyKind.ANSWERED:
                    return reply
            await self._pause()
        return OutcomeReply(ReplyKind.UNKNOWN)

    async def read_document(self, timeout_ms: int) -> DocumentReply:
        """Return the newest deployment's document, UNKNOWN after the timeout."""
        deadline_ms = self._clock.now_ms() + timeout_ms
        request = DocumentRequest(self._book.own.vm_id)
        while self._clock.now_ms() < deadline_ms:
            leader = await self._find_leader()
            if leader is not None:
                reply = await self._read_document_at(leader, request)
                if reply.kind is ReplyKind.ANSWERED:
                    return reply
            await self._pause()
        return DocumentReply(ReplyKind.UNKNOWN)

    async def _read_document_at(
        self, leader: VmId, request: DocumentRequest
    ) -> DocumentReply:
        if leader == self._book.own.vm_id and self._local is not None:
            return await self._local.document(request)
        address = self._book.address_of(leader)
        if address is None:
            return DocumentReply(ReplyKind.NOT_LEADER)
        result = await self._client.call(
            address, DOCUMENT_PATH, request, DocumentReply, _CALL_TIMEOUT_MS
        )
        if result.is_error() or result.ok.kind is not ReplyKind.ANSWERED:
            self._leader = None
        return result.default_value(DocumentReply(ReplyKind.UNKNOWN))

    async def _submit_once(self, operation: Operation) -> ProposeReply:
        leader = await self._find_leader()
        if leader is None:
            return ProposeReply(ReplyKind.NOT_LEADER)
        request = ProposeRequest(operation)
        if leader == self._book.own.vm_id and self._local is not None:
            return await self._local.propose(request)
        address = self._book.address_of(leader)
        if address is None:
            return ProposeReply(ReplyKind.NOT_LEADER)
        result = await self._client.call(
            address, PROPOSE_PATH, request, ProposeReply, _CALL_TIMEOUT_MS
        )
        if result.is_error():
            self._leader = None
            return ProposeReply(ReplyKind.UNKNOWN, sentence=result.error.reason)
        self._update_leader(leader, result.ok)
        return result.ok

    async def _read_outcome_at(
        self, leader: VmId, request: OutcomeRequest
    ) -> OutcomeReply:
        if leader == self._book.own.vm_id and self._local is not None:
            return await self._local.outcome(request)
        address = self._book.address_of(leader)
        if address is None:
            return OutcomeReply(ReplyKind.NOT_LEADER)
        result = await self._client.call(
            address, OUTCOME_PATH, request, OutcomeReply, _CALL_TIMEOUT_MS
        )
        if result.is_error() or result.ok.kind is not ReplyKind.ANSWERED:
            self._leader = None
        return result.default_value(OutcomeReply(ReplyKind.UNKNOWN))

    def _update_leader(self, leader: VmId, reply: ProposeReply) -> None:
        if reply.kind in _FINAL_KINDS:
            self._leader = _Leader(leader, self._clock.now_ms())
        else:
            self._leader = None

    async def _find_leader(self) -> VmId | None:
        local_status = await self._local_status()
        if local_status is not None and local_status.leads:
            return self._book.own.vm_id
        cached = self._leader
        valid_from_ms = self._clock.now_ms() - _LEADER_CACHE_MS
        if cached is not None and cached.confirmed_ms > valid_from_ms:
            return cached.vm_id
        found = await self._ask_disk_vms()
        if found is not None:
            self._leader = _Leader(found, self._clock.now_ms())
        return found

    async def _ask_disk_vms(self) -> VmId | None:
        """Ask all disk VMs in parallel, so that a frozen one delays nothing."""
        calls = [
            asyncio.create_task(self._leader_id_of(vm))
            for vm in self._book.other_disk_vms()
        ]
        leader = None
        for answer in asyncio.as_completed(calls):
            leader = await answer
            if leader is not None:
                break
        for call in calls:
            call.cancel()
        return leader

    async def _leader_id_of(self, vm: VmRecord) -> VmId | None:
        status = await self._status_of(vm.peer_address)
        leads = status is not None and status.leads
        return vm.vm_id if leads else None

    async def _status_of(self, address: str) -> ReplicaStatus | None:
        reply = await self._client.call(
            address,
            STATUS_PATH,
            StatusRequest(self._book.own.vm_id),
            ReplicaStatus,
            _STATUS_TIMEOUT_MS,
        )
        return reply.ok if reply.is_ok() else None

    async def _local_status(self) -> ReplicaStatus | None:
        if self._local is None:
            return None
        return await self._local.status(StatusRequest(self._book.own.vm_id))

    async def _pause(self) -> None:
        await asyncio.sleep(_RETRY_PAUSE_S * (1 + self._rng.random()))
