"""Run the Raft replica of a disk VM."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import final

from baobabwharf_core.changes import InstallDeployment, SetEvacuation
from baobabwharf_core.clock import Clock
from baobabwharf_decisions.consensus.messages import CoreStatus
from baobabwharf_decisions.fleet_state.commands import ApplyChange, Operation

from baobabwharf_daemon.document_messages import (
    DOCUMENT_PATH,
    DocumentReply,
    DocumentRequest,
)
from baobabwharf_daemon.fail_fast import spawn
from baobabwharf_daemon.leader_maintenance import LeaderMaintenance
from baobabwharf_daemon.log import get_logger
from baobabwharf_daemon.replica_bootstrap import ReplicaBootstrap
from baobabwharf_daemon.replica_links import ReplicaLinks
from baobabwharf_daemon.replica_messages import (
    DELIVER_PATH,
    JOIN_PATH,
    OUTCOME_PATH,
    PROPOSE_PATH,
    STATUS_PATH,
    Delivered,
    Delivery,
    JoinReply,
    JoinRequest,
    OutcomeReply,
    OutcomeRequest,
    ProposeReply,
    ProposeRequest,
    ReplicaStatus,
    ReplyKind,
    StatusRequest,
)
from baobabwharf_daemon.replica_operations import ReplicaOperations
from baobabwharf_daemon.replica_runner import ReplicaRunner
from baobabwharf_daemon.replica_writer import ReplicaWriter
from baobabwharf_daemon.rpc import RpcServer
from baobabwharf_daemon.task import Task

_TICK_INTERVAL_S = 0.05
_MAINTENANCE_INTERVAL_S = 1.0
# About the time in which a membership change is committed.
_MEMBERS_INTERVAL_S = 0.1
_RESTART_INTERVAL_S = 1.0
# Shorter than the caller's timeout, so that the caller gets a reply that says
# what is known instead of timing out.
_SUBMIT_TIMEOUT_S = 1.5
_TRANSFER_POLLS = 20

_log = get_logger('consensus')


@final
class ConsensusTask(Task):
    """Own the replica runner and serve its RPCs on the peer listener."""

    def __init__(
        self,
        runner: ReplicaRunner,
        operations: ReplicaOperations,
        bootstrap: ReplicaBootstrap,
        maintenance: LeaderMaintenance,
        writer: ReplicaWriter,
        links: ReplicaLinks,
    ) -> None:
        self._runner = runner
        self._operations = operations
        self._bootstrap = bootstrap
        self._maintenance = maintenance
        self._writer = writer
        self._links = links
        self._loops: list[asyncio.Task[None]] = []

    @property
    def core_status(self) -> CoreStatus | None:
        """Return the status of the Raft core, None while it is stopped."""
        return self._runner.status

    @property
    def role(self) -> str:
        """Return the Raft role, or the start-up stage while there is no role."""
        status = self._runner.status
        if status is None:
            return self._bootstrap.stage.value
        return status.role

    def leader_silence_ms(self, clock: Clock) -> int | None:
        """Return the time since the leader was last heard from.

        None while the core is stopped or before it has heard from one.
        """
        status = self._runner.status
        if status is None or status.leader_heard_ms is None:
            return None
        return clock.now_ms() - status.leader_heard_ms

    def register(self, server: RpcServer) -> None:
        """Register the RPC handlers; call before the listener starts."""
        server.register_unary(
            DELIVER_PATH, Delivery, Delivered, self._handle_delivery
        )
        server.register_unary(
            STATUS_PATH, StatusRequest, ReplicaStatus, self.status
        )
        server.register_unary(
            JOIN_PATH, JoinRequest, JoinReply, self._maintenance.join
        )
        server.register_unary(
            PROPOSE_PATH, ProposeRequest, ProposeReply, self.propose
        )
        server.register_unary(
            OUTCOME_PATH, OutcomeRequest, OutcomeReply, self.outcome
        )
        server.register_unary(
            DOCUMENT_PATH, DocumentRequest, DocumentReply, self.document
        )

    async def start(self) -> None:
        """Start to form or rejoin the Raft group, without waiting for it."""
        self._loops = [
            spawn(self._run_replica()),
            spawn(self._runner.write_forever()),
            spawn(_repeat(self._tick, _TICK_INTERVAL_S)),
            spawn(_repeat(self._maintenance.run_once, _MAINTENANCE_INTERVAL_S)),
            spawn(_repeat(self._maintain_members, _MEMBERS_INTERVAL_S)),
        ]

    async def stop(self) -> None:
        """Transfer leadership, stop the loops and close the files."""
        if self._operations.transfer_leadership():
            await self._wait_for_other_leader()
        for loop in self._loops:
            loop.cancel()
        await asyncio.gather(*self._loops, return_exceptions=True)
        self._runner.stop_core()
        self._links.close()
        await self._writer.close()

    async def status(self, request: StatusRequest) -> ReplicaStatus:
        """Return the stage of this replica and the leader it knows."""
        stage = self._bootstrap.stage.value
        status = self._runner.status
        if status is None:
            return ReplicaStatus(stage)
        return ReplicaStatus(
            stage, status.is_leader, status.leader_id, status.term
        )

    async def propose(self, request: ProposeRequest) -> ProposeReply:
        """Commit an operation if this replica leads."""
        operation = request.operation
        # While disk VMs are still joining, the group tolerates fewer failures
        # than it is designed for.
        if _needs_full_group(operation) and not self._maintenance.is_formed():
            sentence = 'Disk VMs are still joining the group.'
            return ProposeReply(ReplyKind.REFUSED, sentence=sentence)
        return await self._operations.submit(
            request.operation, _SUBMIT_TIMEOUT_S
        )

    async def outcome(self, request: OutcomeRequest) -> OutcomeReply:
        """Return the first answer recorded for a request id."""
        return await self._operations.read_outcome(
            request.request_id, _SUBMIT_TIMEOUT_S
        )

    async def document(self, request: DocumentRequest) -> DocumentReply:
        """Return the document of the newest deployment."""
        return await self._operations.read_document(_SUBMIT_TIMEOUT_S)

    async def _handle_delivery(self, delivery: Delivery) -> Delivered:
        self._runner.receive(delivery.messages)
        return Delivered()

    async def _tick(self) -> None:
        self._runner.tick()

    async def _maintain_members(self) -> None:
        self._maintenance.maintain_members()

    async def _run_replica(self) -> None:
        while True:
            if self._runner.status is None:
                await self._bring_up()
            await asyncio.sleep(_RESTART_INTERVAL_S)

    async def _bring_up(self) -> None:
        try:
            await self._bootstrap.bring_up(self._runner)
        except OSError as error:
            _log.error('Replica cannot start: %s', error)

    async def _wait_for_other_leader(self) -> None:
        polls_left = _TRANSFER_POLLS
        while polls_left and self._leads():
            await asyncio.sleep(_TICK_INTERVAL_S)
            polls_left -= 1

    def _leads(self) -> bool:
        status = self._runner.status
        return status is not None and status.is_leader


def _needs_full_group(operation: Operation) -> bool:
    if not isinstance(operation, ApplyChange):
        return False
    change = operation.request.change
    return isinstance(change, InstallDeployment | SetEvacuation)


async def _repeat(step: Callable[[], Awaitable[None]], pause_s: float) -> None:
    while True:
        await step()
        await asyncio.sleep(pause_s)
