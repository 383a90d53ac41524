"""Find the leader and send it operations."""

import asyncio
import random
from typing import final

import msgspec
from baobabwharf_core.clock import Clock
from baobabwharf_core.ids import VmId
from baobabwharf_core.model import VmRecord
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
_PAUSE_S = 0.1
# A leader that answered so recently is asked again without a status call.
_TRUST_MS = 1000

_FINAL = frozenset((ReplyKind.ANSWERED, ReplyKind.REFUSED))


class _Leader(msgspec.Struct, frozen=True):
    vm_id: VmId
    confirmed_ms: int


@final
class LeaderClient:
    """Send operations to the leader until one answers.

    An operation is only sent to a VM that says that it leads, so that while
    no leader can be reached it is certain that nothing was run.
    """

    def __init__(
        self,
        book: AddressBook,
        client: RpcClient,
        clock: Clock,
        generator: random.Random,
        local: ConsensusTask | None,
    ) -> None:
        self._book = book
        self._client = client
        self._clock = clock
        self._random = generator
        self._local = local
        self._leader: _Leader | None = None

    async def submit(
        self, operation: Operation, timeout_ms: int
    ) -> ProposeReply:
        """Return the answer; REFUSED if not run, UNKNOWN if it may be."""
        deadline_ms = self._clock.now_ms() + timeout_ms
        doubtful = False
        sentence = 'No leader with a majority can be reached.'
        while self._clock.now_ms() < deadline_ms:
            reply = await self._submit_once(operation)
            if reply.kind is ReplyKind.REFUSED:
                sentence = reply.sentence
            if reply.kind is ReplyKind.ANSWERED:
                return reply
            if reply.kind is ReplyKind.REFUSED and not doubtful:
                return reply
            doubtful = doubtful or reply.kind is ReplyKind.UNKNOWN
            await self._pause()
        kind = ReplyKind.UNKNOWN if doubtful else ReplyKind.REFUSED
        return ProposeReply(kind, sentence=sentence)

    async def read_outcome(
        self, request: OutcomeRequest, timeout_ms: int
    ) -> OutcomeReply:
        """Return the first answer to a request id, UNKNOWN on timeout."""
        deadline_ms = self._clock.now_ms() + timeout_ms
        while self._clock.now_ms() < deadline_ms:
            leader = await self._find_leader()
            if leader is not None:
                reply = await self._read_at(leader, request)
                if reply.kind is ReplyKind.ANSWERED:
                    return reply
            await self._pause()
        return OutcomeReply(ReplyKind.UNKNOWN)

    async def read_document(self, timeout_ms: int) -> DocumentReply:
        """Return the newest deployment's document, UNKNOWN on timeout."""
        deadline_ms = self._clock.now_ms() + timeout_ms
        request = DocumentRequest(self._book.own.vm_id)
        while self._clock.now_ms() < deadline_ms:
            leader = await self._find_leader()
            if leader is not None:
                reply = await self._document_at(leader, request)
                if reply.kind is ReplyKind.ANSWERED:
                    return reply
            await self._pause()
        return DocumentReply(ReplyKind.UNKNOWN)

    async def _document_at(
        self, leader: VmId, request: DocumentRequest
    ) -> DocumentReply:
        if leader == self._book.own.vm_id and self._local is not None:
            return await self._local.document(request)
        address = self._book.address_of(leader)
        if address is None:
            return DocumentReply(ReplyKind.NOT_LEADER)
        sent = await self._client.call(
            address, DOCUMENT_PATH, request, DocumentReply, _CALL_TIMEOUT_MS
        )
        if sent.is_error() or sent.ok.kind is not ReplyKind.ANSWERED:
            self._leader = None
        return sent.default_value(DocumentReply(ReplyKind.UNKNOWN))

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
        sent = await self._client.call(
            address, PROPOSE_PATH, request, ProposeReply, _CALL_TIMEOUT_MS
        )
        if sent.is_error():
            self._leader = None
            return ProposeReply(ReplyKind.UNKNOWN, sentence=sent.error.sentence)
        self._learn(leader, sent.ok)
        return sent.ok

    async def _read_at(
        self, leader: VmId, request: OutcomeRequest
    ) -> OutcomeReply:
        if leader == self._book.own.vm_id and self._local is not None:
            return await self._local.outcome(request)
        address = self._book.address_of(leader)
        if address is None:
            return OutcomeReply(ReplyKind.NOT_LEADER)
        sent = await self._client.call(
            address, OUTCOME_PATH, request, OutcomeReply, _CALL_TIMEOUT_MS
        )
        if sent.is_error() or sent.ok.kind is not ReplyKind.ANSWERED:
            self._leader = None
        return sent.default_value(OutcomeReply(ReplyKind.UNKNOWN))

    def _learn(self, leader: VmId, reply: ProposeReply) -> None:
        if reply.kind in _FINAL:
            self._leader = _Leader(leader, self._clock.now_ms())
        else:
            self._leader = None

    async def _find_leader(self) -> VmId | None:
        own = await self._local_status()
        if own is not None and own.leads:
            return self._book.own.vm_id
        known = self._leader
        trusted_ms = self._clock.now_ms() - _TRUST_MS
        if known is not None and known.confirmed_ms > trusted_ms:
            return known.vm_id
        found = await self._ask_all()
        if found is not None:
            self._leader = _Leader(found, self._clock.now_ms())
        return found

    async def _ask_all(self) -> VmId | None:
        """Ask all disk VMs at once; a frozen one does not hold up the rest."""
        calls = [
            asyncio.create_task(self._leads(vm))
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

    async def _leads(self, vm: VmRecord) -> VmId | None:
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
        await asyncio.sleep(_PAUSE_S * (1 + self._random.random()))
