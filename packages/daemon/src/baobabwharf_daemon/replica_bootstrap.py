"""Bring a replica into the Raft group: bootstrap, restart or rebuild.

An initial voter with an empty folder may vote only while no group exists,
since a replica that lost its disk has also lost the record of its votes.  It
therefore becomes PREPARED once all other initial voters report BLANK or
PREPARED, and ACTIVE once all others report PREPARED or ACTIVE.  No replica is
ACTIVE before all are PREPARED, so a replica with an empty folder that sees an
ACTIVE one has lost its disk: it asks the leader to remove it and to add it
again as a learner.
"""

import asyncio
import random
from pathlib import Path
from typing import final

from baobabwharf_core.fleet_config import VmRecord
from baobabwharf_core.ids import VmId
from baobabwharf_decisions.consensus.messages import Membership, Snapshot

from baobabwharf_daemon.address_book import AddressBook
from baobabwharf_daemon.durable_files import make_folder
from baobabwharf_daemon.log import get_logger
from baobabwharf_daemon.replica_messages import (
    JOIN_PATH,
    STATUS_PATH,
    JoinReply,
    JoinRequest,
    ReplicaStatus,
    StatusRequest,
)
from baobabwharf_daemon.replica_runner import ReplicaRunner
from baobabwharf_daemon.replica_stage import Stage, read_stage, write_stage
from baobabwharf_daemon.replica_writer import ReplicaWriter
from baobabwharf_daemon.rpc import RpcClient

_POLL_INTERVAL_S = 0.1
_JOIN_POLL_INTERVAL_S = 0.3
_CALL_TIMEOUT_MS = 1000
_NONCE_BITS = 62
_BLANK_OR_PREPARED = frozenset((Stage.BLANK, Stage.PREPARED))
_PREPARED_OR_ACTIVE = frozenset((Stage.PREPARED, Stage.ACTIVE))

_log = get_logger('consensus')


@final
class ReplicaBootstrap:
    """Prepare the files of this VM's replica and decide when it may start."""

    def __init__(
        self,
        folder: Path,
        voters: tuple[VmId, ...],
        book: AddressBook,
        client: RpcClient,
        writer: ReplicaWriter,
        rng: random.Random,
    ) -> None:
        self._folder = folder
        self._voters = voters
        self._book = book
        self._client = client
        self._writer = writer
        self._rng = rng
        self._stage = Stage.BLANK

    @property
    def stage(self) -> Stage:
        """Return the start-up stage of this replica."""
        return self._stage

    async def bring_up(self, runner: ReplicaRunner) -> None:
        """Start the Raft core, waiting for other VMs as long as necessary.

        Raise OSError if the files cannot be read or written.
        """
        await self._writer.run_in_thread(lambda: make_folder(self._folder))
        free_space = self._writer.files.check_free_space()
        if free_space.is_error():
            raise OSError(free_space.error)
        await self._read_stage()
        if self._stage is Stage.BLANK:
            await self._prepare()
        if self._stage is Stage.PREPARED:
            await self._wait_for_prepared()
        if self._stage is Stage.LOST:
            await self._join()
        while not await self._load(runner):
            await self._join()

    async def _read_stage(self) -> None:
        stored = await self._writer.run_in_thread(
            lambda: read_stage(self._folder)
        )
        if stored.is_ok():
            self._stage = stored.ok
            return
        _log.error('%s The replica will be rebuilt.', stored.error)
        await self._set_stage(Stage.LOST)

    async def _set_stage(self, stage: Stage) -> None:
        await self._writer.run_in_thread(
            lambda: write_stage(self._folder, stage)
        )
        self._stage = stage
        _log.info('Replica enters stage %s.', stage.value)

    async def _prepare(self) -> None:
        own = self._book.own.vm_id
        while own in self._voters:
            stages = await self._stages_of_others()
            if Stage.ACTIVE in stages:
                _log.error('The folder is empty although the group exists.')
                break
            if _BLANK_OR_PREPARED.issuperset(stages):
                initial = Snapshot(membership=Membership(self._voters))
                await self._reset(initial)
                await self._set_stage(Stage.PREPARED)
                return
            await asyncio.sleep(_POLL_INTERVAL_S)
        await self._set_stage(Stage.LOST)

    async def _wait_for_prepared(self) -> None:
        stages = await self._stages_of_others()
        while not _PREPARED_OR_ACTIVE.issuperset(stages):
            await asyncio.sleep(_POLL_INTERVAL_S)
            stages = await self._stages_of_others()
        await self._set_stage(Stage.ACTIVE)

    async def _load(self, runner: ReplicaRunner) -> bool:
        loaded = await runner.load(self._book.own.vm_id)
        if loaded.is_ok():
            return True
        _log.error('%s The replica will be rebuilt.', loaded.error)
        await self._set_stage(Stage.LOST)
        await self._writer.run_in_thread(self._writer.files.rename_damaged_log)
        return False

    async def _join(self) -> None:
        await self._reset(Snapshot())
        nonce = self._rng.getrandbits(_NONCE_BITS)
        admitted = await self._ask_to_join(nonce)
        while not admitted:
            await asyncio.sleep(_JOIN_POLL_INTERVAL_S)
            admitted = await self._ask_to_join(nonce)
        await self._set_stage(Stage.ACTIVE)

    async def _reset(self, snapshot: Snapshot) -> None:
        await self._writer.run_in_thread(
            lambda: self._writer.files.reset(snapshot)
        )

    async def _ask_to_join(self, nonce: int) -> bool:
        """Ask all disk VMs in parallel, so that a dead one delays nothing."""
        request = JoinRequest(self._book.own.vm_id, nonce)
        calls = [
            asyncio.create_task(self._ask_vm_to_join(vm, request))
            for vm in self._book.other_disk_vms()
        ]
        admitted = False
        for answer in asyncio.as_completed(calls):
            admitted = await answer
            if admitted:
                break
        for call in calls:
            call.cancel()
        return admitted

    async def _ask_vm_to_join(self, vm: VmRecord, request: JoinRequest) -> bool:
        reply = await self._client.call(
            vm.peer_address, JOIN_PATH, request, JoinReply, _CALL_TIMEOUT_MS
        )
        return reply.is_ok() and reply.ok.admitted

    async def _stages_of_others(self) -> list[Stage]:
        others = [
            voter for voter in self._voters if voter != self._book.own.vm_id
        ]
        return list(await asyncio.gather(*map(self._stage_of, others)))

    async def _stage_of(self, vm_id: VmId) -> Stage:
        """Return the stage of a voter, LOST if it cannot be reached."""
        address = self._book.address_of(vm_id)
        if address is None:
            return Stage.LOST
        reply = await self._client.call(
            address,
            STATUS_PATH,
            StatusRequest(self._book.own.vm_id),
            ReplicaStatus,
            _CALL_TIMEOUT_MS,
        )
        return Stage(reply.ok.stage) if reply.is_ok() else Stage.LOST
