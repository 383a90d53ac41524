"""Run the replica of a disk VM."""

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
from baobabwharf_daemon.formation import Formation
from baobabwharf_daemon.leader_duties import LeaderDuties
from baobabwharf_daemon.log import get_logger
from baobabwharf_daemon.replica_calls import ReplicaCalls
from baobabwharf_daemon.replica_engine import ReplicaEngine
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
from baobabwharf_daemon.replica_writer import ReplicaWriter
from baobabwharf_daemon.rpc import RpcServer
from baobabwharf_daemon.task import Task

_TICK_S = 0.05
_DUTY_S = 1.0
_RELOAD_S = 1.0
# Shorter than the caller's timeout, so that it learns what is known.
_SUBMIT_TIMEOUT_S = 1.5
_HAND_OVER_POLLS = 20

_log = get_logger('consensus')


@final
class ConsensusTask(Task):
    """Own the engine and serve its calls on the peer listener."""

    def __init__(
        self,
        engine: ReplicaEngine,
        calls: ReplicaCalls,
        formation: Formation,
        duties: LeaderDuties,
        writer: ReplicaWriter,
        links: ReplicaLinks,
    ) -> None:
        self._engine = engine
        self._calls = calls
        self._formation = formation
        self._duties = duties
        self._writer = writer
        self._links = links
        self._loops: list[asyncio.Task[None]] = []

    @property
    def core_status(self) -> CoreStatus | None:
        """Return the status of the core, None while it is stopped."""
        return self._engine.status

    @property
    def role(self) -> str:
        """Return the role of the replica, or the stage before it has one."""
        status = self._engine.status
        if status is None:
            return self._formation.stage.value
        return status.role

    def age_ms(self, clock: Clock) -> int | None:
        """Return when the leader was last heard, None before that."""
        status = self._engine.status
        if status is None or status.leader_heard_ms is None:
            return None
        return clock.now_ms() - status.leader_heard_ms

    def register(self, server: RpcServer) -> None:
        """Serve the calls of other VMs; call before the listener starts."""
        server.register_unary(
            DELIVER_PATH, Delivery, Delivered, self._on_delivery
        )
        server.register_unary(
            STATUS_PATH, StatusRequest, ReplicaStatus, self.status
        )
        server.register_unary(
            JOIN_PATH, JoinRequest, JoinReply, self._duties.join
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
        """Begin to form or rejoin the group; does not wait for it."""
        self._loops = [
            spawn(self._run_replica()),
            spawn(self._engine.write_forever()),
            spawn(_repeat(self._tick, _TICK_S)),
            spawn(_repeat(self._duties.work, _DUTY_S)),
        ]

    async def stop(self) -> None:
        """Hand leadership over and close the files."""
        if self._calls.hand_over():
            await self._await_other_leader()
        for loop in self._loops:
            loop.cancel()
        await asyncio.gather(*self._loops, return_exceptions=True)
        self._engine.suspend()
        self._links.close()
        await self._writer.close()

    async def status(self, request: StatusRequest) -> ReplicaStatus:
        """Tell the stage and the leader."""
        stage = self._formation.stage.value
        status = self._engine.status
        if status is None:
            return ReplicaStatus(stage)
        return ReplicaStatus(
            stage, status.is_leader, status.leader_id, status.term
        )

    async def propose(self, request: ProposeRequest) -> ProposeReply:
        """Commit an operation if this replica leads."""
        operation = request.operation
        # A group that is still too small can't bear the losses that it is
        # meant to bear.
        if _needs_whole_group(operation) and not self._duties.is_formed():
            sentence = 'Disk VMs are still joining the group.'
            return ProposeReply(ReplyKind.REFUSED, sentence=sentence)
        return await self._calls.submit(request.operation, _SUBMIT_TIMEOUT_S)

    async def outcome(self, request: OutcomeRequest) -> OutcomeReply:
        """Read the first answer to a request id."""
        return await self._calls.read_outcome(
            request.request_id, _SUBMIT_TIMEOUT_S
        )

    async def document(self, request: DocumentRequest) -> DocumentReply:
        """Read the document of the newest deployment."""
        return await self._calls.read_document(_SUBMIT_TIMEOUT_S)

    async def _on_delivery(self, delivery: Delivery) -> Delivered:
        self._engine.receive(delivery.messages)
        return Delivered()

    async def _tick(self) -> None:
        self._engine.tick()

    async def _run_replica(self) -> None:
        while True:
            if self._engine.status is None:
                await self._bring_up()
            await asyncio.sleep(_RELOAD_S)

    async def _bring_up(self) -> None:
        try:
            await self._formation.bring_up(self._engine)
        except OSError as fault:
            _log.error('Replica can not start: %s', fault)

    async def _await_other_leader(self) -> None:
        polls = _HAND_OVER_POLLS
        while polls and self._leads():
            await asyncio.sleep(_TICK_S)
            polls -= 1

    def _leads(self) -> bool:
        status = self._engine.status
        return status is not None and status.is_leader


def _needs_whole_group(operation: Operation) -> bool:
    if not isinstance(operation, ApplyChange):
        return False
    change = operation.request.change
    return isinstance(change, InstallDeployment | SetEvacuation)


async def _repeat(work: Callable[[], Awaitable[None]], pause_s: float) -> None:
    while True:
        await work()
        await asyncio.sleep(pause_s)
