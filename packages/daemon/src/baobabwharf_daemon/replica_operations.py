"""Commit operations and serve linearisable reads on the local replica."""

from collections.abc import Callable
from typing import final

from baobabwharf_core.clock import Clock
from baobabwharf_core.codec import encode
from baobabwharf_core.ids import LogIndex, RequestId, VmId
from baobabwharf_decisions.consensus.messages import MembershipChange
from baobabwharf_decisions.fleet_state.commands import Command, Operation
from expression import Error, Result

from baobabwharf_daemon.document_messages import (
    DocumentReply,
)
from baobabwharf_daemon.log import get_logger
from baobabwharf_daemon.replica_messages import (
    OutcomeReply,
    ProposeReply,
    ReplyKind,
)
from baobabwharf_daemon.replica_runner import ReplicaRunner

_MAX_PENDING_OPERATIONS = 4096
# What waits for a majority is held in memory by every replica.
_MAX_UNCOMMITTED_BYTES = 16 * 1024 * 1024

FreeSpaceCheck = Callable[[], Result[None, str]]

_log = get_logger('consensus')


@final
class ReplicaOperations:
    """Run operations and reads on the runner; only the leader serves them."""

    def __init__(
        self,
        runner: ReplicaRunner,
        clock: Clock,
        check_free_space: FreeSpaceCheck,
    ) -> None:
        self._runner = runner
        self._clock = clock
        self._check_free_space = check_free_space

    async def submit(
        self, operation: Operation, timeout_s: float
    ) -> ProposeReply:
        """Commit an operation if this replica leads."""
        core = self._runner.core
        if core is None or not core.is_leader:
            return ProposeReply(ReplyKind.NOT_LEADER, leader_id=self._leader())
        capacity = self._check_capacity()
        if capacity.is_error():
            return ProposeReply(ReplyKind.REFUSED, sentence=capacity.error)
        command = Command(self._clock.wall_ms(), operation)
        index = core.propose(encode(command))
        if index is None:
            return ProposeReply(ReplyKind.NOT_LEADER)
        waiters = self._runner.waiters
        waiter = waiters.expect(index, core.status.term)
        self._runner.process_output()
        return await waiters.wait(waiter, timeout_s)

    async def read_outcome(
        self, request_id: RequestId, timeout_s: float
    ) -> OutcomeReply:
        """Return the first answer to a request id (linearisable read)."""
        kind = await self._confirm_read(timeout_s)
        if kind is not ReplyKind.ANSWERED:
            return OutcomeReply(kind, leader_id=self._leader())
        outcome = self._runner.machine.first_outcome(request_id)
        return OutcomeReply(ReplyKind.ANSWERED, outcome)

    async def read_document(self, timeout_s: float) -> DocumentReply:
        """Return the document of the deployment (linearisable read)."""
        kind = await self._confirm_read(timeout_s)
        if kind is not ReplyKind.ANSWERED:
            return DocumentReply(kind, leader_id=self._leader())
        deployment = self._runner.machine.config.deployment
        document = None if deployment is None else deployment.document
        return DocumentReply(ReplyKind.ANSWERED, document)

    def change_membership(
        self, step: MembershipChange, vm_id: VmId
    ) -> LogIndex | None:
        """Start a membership change; return None if it cannot start now."""
        core = self._runner.core
        if core is None:
            return None
        index = core.change_membership(step, vm_id)
        if index is not None:
            _log.info('Started membership change %s of %s.', step.value, vm_id)
        self._runner.process_output()
        return index

    def transfer_leadership(self) -> bool:
        """Start to transfer leadership to the voter with the most recent log.

        Return whether a transfer was started.
        """
        core = self._runner.core
        started = core is not None and core.transfer()
        self._runner.process_output()
        return started

    async def _confirm_read(self, timeout_s: float) -> ReplyKind:
        core = self._runner.core
        waiters = self._runner.waiters
        read_id, waiter = waiters.expect_read()
        if core is None or not core.read(read_id):
            waiters.resolve_read(read_id, False)
            return ReplyKind.NOT_LEADER
        self._runner.process_output()
        confirmed = await waiters.wait_read(waiter, timeout_s)
        return ReplyKind.ANSWERED if confirmed else ReplyKind.UNKNOWN

    def _leader(self) -> VmId | None:
        status = self._runner.status
        return None if status is None else status.leader_id

    def _check_capacity(self) -> Result[None, str]:
        if len(self._runner.waiters) >= _MAX_PENDING_OPERATIONS:
            return Error('Too many operations wait for the replicas.')
        if self._uncommitted_bytes() > _MAX_UNCOMMITTED_BYTES:
            return Error('Too many bytes wait for the replicas.')
        return self._check_free_space()

    def _uncommitted_bytes(self) -> int:
        core = self._runner.core
        if core is None:
            return 0
        return core.log.size_bytes - core.log.size_up_to(core.status.commit)
