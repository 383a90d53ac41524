"""Maintain the Raft membership and the claims of dead VMs on the leader."""

import asyncio
from typing import final

from baobabwharf_core.clock import Clock
from baobabwharf_core.fleet_config import VmRecord
from baobabwharf_core.ids import VmId
from baobabwharf_decisions.consensus.membership_plan import plan_next_change
from baobabwharf_decisions.consensus.messages import MembershipChange
from baobabwharf_decisions.fleet_state.commands import LoseOwner

from baobabwharf_daemon.address_book import AddressBook
from baobabwharf_daemon.replica_messages import (
    STATUS_PATH,
    JoinReply,
    JoinRequest,
    ReplicaStatus,
    StatusRequest,
)
from baobabwharf_daemon.replica_operations import ReplicaOperations
from baobabwharf_daemon.replica_runner import ReplicaRunner
from baobabwharf_daemon.replica_stage import Stage
from baobabwharf_daemon.rpc import RpcClient

# A VM that has been missing for this long counts as dead.  If it finishes a
# claim later all the same, that is still recorded.
_OWNER_DEAD_AFTER_MS = 10_000
_SUBMIT_TIMEOUT_S = 2.0
# The leader sends nothing more to a replica once its removal has begun, so a
# removed replica that has heard nothing for this long stops taking part.
_RETIRE_AFTER_SILENCE_MS = 5000
# Changes that need the full group wait at most this long for joining disk VMs.
_MAX_FORMING_MS = 6000
_STATUS_TIMEOUT_MS = 500


@final
class LeaderMaintenance:
    """Maintain the group while the replica of this VM leads."""

    def __init__(
        self,
        runner: ReplicaRunner,
        operations: ReplicaOperations,
        book: AddressBook,
        clock: Clock,
        client: RpcClient,
    ) -> None:
        self._runner = runner
        self._operations = operations
        self._book = book
        self._clock = clock
        self._client = client
        self._join_nonces: dict[VmId, int] = {}
        self._owners_missing_since_ms: dict[VmId, int] = {}
        self._leads_since_ms: int | None = None

    async def join(self, request: JoinRequest) -> JoinReply:
        """Add a VM that has no log as a learner, after removing its old member."""
        status = self._runner.status
        if status is None or not status.is_leader:
            return JoinReply(False)
        vm_id = request.vm_id
        if vm_id not in status.membership.members:
            self._add_learner(request)
            return JoinReply(False)
        if self._join_nonces.get(vm_id) != request.nonce:
            self._operations.change_membership(MembershipChange.REMOVE, vm_id)
            return JoinReply(False)
        return JoinReply(self._is_membership_committed())

    def is_formed(self) -> bool:
        """Return whether all live disk VMs vote or have had time to join."""
        status = self._runner.status
        if status is None or not status.is_leader:
            return True
        now_ms = self._clock.now_ms()
        if self._leads_since_ms is None:
            self._leads_since_ms = now_ms
        # A configured peer that is dead may have been replaced for good.
        disk_vm_ids = [
            vm.vm_id for vm in self._book.live().values() if vm.has_disk
        ]
        joined = set(status.membership.voters).issuperset(disk_vm_ids)
        return joined or now_ms - self._leads_since_ms > _MAX_FORMING_MS

    def maintain_members(self) -> None:
        """Start the membership change that is due, if any.

        Changes are made one at a time, so this is called often: a replaced VM
        weakens the group until its successor votes in its place.
        """
        core = self._runner.core
        if core is None or not core.is_leader:
            return
        self._remove_members_of_removed_vms()
        planned = plan_next_change(
            core.log.membership, core.followers, frozenset(self._book.live())
        )
        if planned is not None:
            self._operations.change_membership(planned.change, planned.vm_id)

    async def run_once(self) -> None:
        """Do the other maintenance; called about once a second."""
        status = self._runner.status
        self._retire_when_removed()
        if status is None or not status.is_leader:
            self._owners_missing_since_ms.clear()
            self._join_nonces.clear()
            self._leads_since_ms = None
            return
        await self._add_returned_replicas()
        await self._mark_claims_of_dead_vms()

    def _retire_when_removed(self) -> None:
        own = self._book.own.vm_id
        core = self._runner.core
        if core is None or own not in self._runner.machine.removed_vms:
            return
        heard_ms = core.status.leader_heard_ms or 0
        if core.is_leader:
            self._operations.transfer_leadership()
        elif self._clock.now_ms() - heard_ms >= _RETIRE_AFTER_SILENCE_MS:
            core.mark_removed()

    def _add_learner(self, request: JoinRequest) -> None:
        step = MembershipChange.ADD_LEARNER
        index = self._operations.change_membership(step, request.vm_id)
        if index is not None:
            self._join_nonces[request.vm_id] = request.nonce

    def _is_membership_committed(self) -> bool:
        core = self._runner.core
        if core is None:
            return False
        return core.log.membership_index <= core.status.commit

    def _remove_members_of_removed_vms(self) -> None:
        status = self._runner.status
        removed_vms = self._runner.machine.removed_vms
        if status is None:
            return
        for member in status.membership.members:
            if member in removed_vms:
                self._operations.change_membership(
                    MembershipChange.REMOVE, member
                )

    async def _add_returned_replicas(self) -> None:
        """Add live replicas that were removed while they were missing."""
        returned = await asyncio.gather(
            *(self._active_stranger(vm) for vm in self._strangers())
        )
        for vm_id in returned:
            if vm_id is not None:
                self._operations.change_membership(
                    MembershipChange.ADD_LEARNER, vm_id
                )

    def _strangers(self) -> list[VmRecord]:
        """Return the live disk VMs that are not members."""
        status = self._runner.status
        if status is None:
            return []
        excluded = self._runner.machine.removed_vms.union(
            status.membership.members
        )
        return [
            vm
            for vm in self._book.live().values()
            if vm.has_disk and vm.vm_id not in excluded
        ]

    async def _active_stranger(self, vm: VmRecord) -> VmId | None:
        """Return the id of a VM if its replica has a log.

        A replica without a log asks to join by itself, and its log must be
        empty when it is added.
        """
        reply = await self._client.call(
            vm.peer_address,
            STATUS_PATH,
            StatusRequest(self._book.own.vm_id),
            ReplicaStatus,
            _STATUS_TIMEOUT_MS,
        )
        if reply.is_error() or reply.ok.stage != Stage.ACTIVE.value:
            return None
        return vm.vm_id

    async def _mark_claims_of_dead_vms(self) -> None:
        now_ms = self._clock.now_ms()
        owners = self._runner.machine.claims.running_owners()
        missing = owners - set(self._book.live())
        self._owners_missing_since_ms = {
            owner: self._owners_missing_since_ms.get(owner, now_ms)
            for owner in sorted(missing)
        }
        for owner, since_ms in self._owners_missing_since_ms.items():
            if now_ms - since_ms >= _OWNER_DEAD_AFTER_MS:
                await self._operations.submit(
                    LoseOwner(owner), _SUBMIT_TIMEOUT_S
                )
