"""Inject faults into VMs and the links between them."""

import asyncio
import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from baobabwharf_testkit.fleet import Fleet
from baobabwharf_testkit.soak_actions import Action, EventPrinter

_RESTART_TIMEOUT_MS = 30_000
_REBUILD_POLLS = 60
_REBUILD_POLL_S = 0.5
_STATUS_PATH = '/operator/v1/status'
_VOTER_ROLES = frozenset(('leader', 'follower'))


class VmFaultInjector:
    """Kill, suspend and partition VMs, and undo it.

    Several action loops may share it: each VM and the links have one fault at
    a time, and a data folder is deleted only while all other disk VMs vote.
    """

    def __init__(self, fleet: Fleet, printer: EventPrinter, seed: str) -> None:
        self._fleet = fleet
        self._printer = printer
        self._random = random.Random(seed)
        self._vms_with_fault: set[str] = set()
        self._links_lock = asyncio.Lock()
        self._disks_lock = asyncio.Lock()

    def actions(self) -> list[Action]:
        """Return all actions."""
        return [
            self.kill_vm,
            self.stop_vm,
            self.suspend_vm,
            self.partition_region,
            self.drop_one_way,
            self.reset_links,
            self.delete_data_folder,
        ]

    def planned_actions(self) -> list[Action]:
        """Return the actions of planned maintenance."""
        return [self.stop_vm]

    async def kill_vm(self) -> None:
        """Kill a VM and start it again."""
        async with self._reserve_vm(list(self._fleet.vms)) as vm_id:
            self._printer.report(f'VM {vm_id} is killed.')
            self._fleet.vms[vm_id].process.kill()
            await self._pause(1, 4)
            await self._fleet.restart(vm_id, _RESTART_TIMEOUT_MS)
            self._printer.report(f'VM {vm_id} is back.')

    async def stop_vm(self) -> None:
        """Stop a VM gracefully and start it again."""
        async with self._reserve_vm(list(self._fleet.vms)) as vm_id:
            self._printer.report(f'VM {vm_id} is stopped.')
            code = await self._fleet.vms[vm_id].process.terminate(
                _RESTART_TIMEOUT_MS
            )
            self._printer.report(f'VM {vm_id} ended with code {code}.')
            await self._pause(0, 1)
            await self._fleet.restart(vm_id, _RESTART_TIMEOUT_MS)
            self._printer.report(f'VM {vm_id} is back.')

    async def suspend_vm(self) -> None:
        """Suspend a VM and resume it."""
        async with self._reserve_vm(list(self._fleet.vms)) as vm_id:
            process = self._fleet.vms[vm_id].process
            self._printer.report(f'VM {vm_id} is suspended.')
            process.suspend()
            try:
                await self._pause(1, 6)
            finally:
                process.resume()
            self._printer.report(f'VM {vm_id} is resumed.')

    async def delete_data_folder(self) -> None:
        """Delete the data folder of a VM and wait until it votes again."""
        async with self._disks_lock:
            if not await self._all_vote(*self._vms_with_disk()):
                self._printer.report(
                    'No data folder is deleted: a disk VM does not vote.'
                )
                return
            async with self._reserve_vm(self._vms_with_disk()) as vm_id:
                await self._delete_data_folder(vm_id)

    async def partition_region(self) -> None:
        """Partition a region from the others, then end the partition."""
        async with self._links_lock:
            region, inside, outside = self._draw_region()
            self._printer.report(f'Region {region} is partitioned.')
            self._fleet.links.partition(inside, outside)
            await self._pause(2, 6)
            self._fleet.links.end_drops()
            self._printer.report(f'Region {region} is connected again.')

    async def drop_one_way(self) -> None:
        """Drop what one region sends, then end the drop."""
        async with self._links_lock:
            region, inside, outside = self._draw_region()
            self._printer.report(f'Nothing sent from region {region} arrives.')
            self._fleet.links.drop_one_way(inside, outside)
            await self._pause(2, 5)
            self._fleet.links.end_drops()
            self._printer.report(f'What region {region} sends arrives again.')

    async def reset_links(self) -> None:
        """Reset the connections of a region."""
        region, inside, outside = self._draw_region()
        self._fleet.links.reset(inside, outside)
        self._printer.report(f'The connections of region {region} were reset.')

    async def _delete_data_folder(self, vm_id: str) -> None:
        self._printer.report(f'VM {vm_id} is killed and loses its data folder.')
        self._fleet.vms[vm_id].process.kill()
        self._fleet.delete_data_folder(vm_id)
        await self._pause(0.5, 2)
        await self._fleet.restart(vm_id, _RESTART_TIMEOUT_MS)
        self._printer.report(f'VM {vm_id} is back.')
        for _ in range(_REBUILD_POLLS):
            if await self._all_vote(vm_id):
                self._printer.report(f'VM {vm_id} votes again.')
                return
            await asyncio.sleep(_REBUILD_POLL_S)
        self._printer.report(f'VM {vm_id} does not vote.')

    async def _all_vote(self, *vm_ids: str) -> bool:
        """Return whether each of the VMs reports that it votes."""
        roles = [await self._role(vm_id) for vm_id in vm_ids]
        return all(role in _VOTER_ROLES for role in roles)

    async def _role(self, vm_id: str) -> str:
        operator = self._fleet.operator(vm_id)
        status = await operator.get(_STATUS_PATH)
        await operator.close()
        entries = status['vms'] if status else []
        roles = {entry['vm_id']: entry['role'] for entry in entries}
        return str(roles.get(vm_id, ''))

    @asynccontextmanager
    async def _reserve_vm(self, vm_ids: list[str]) -> AsyncIterator[str]:
        """Reserve a random VM that has no fault now."""
        free = sorted(set(vm_ids) - self._vms_with_fault)
        vm_id = self._random.choice(free)
        self._vms_with_fault.add(vm_id)
        try:
            yield vm_id
        finally:
            self._vms_with_fault.discard(vm_id)

    async def _pause(self, min_s: float, max_s: float) -> None:
        await asyncio.sleep(self._random.uniform(min_s, max_s))

    def _vms_with_disk(self) -> list[str]:
        vms = self._fleet.vms
        return [vm_id for vm_id, vm in vms.items() if vm.plan.has_disk]

    def _draw_region(self) -> tuple[str, set[str], set[str]]:
        vms = self._fleet.vms
        regions = sorted({vm.plan.region for vm in vms.values()})
        region = self._random.choice(regions)
        inside = {
            vm_id for vm_id, vm in vms.items() if vm.plan.region == region
        }
        return region, inside, set(vms) - inside
