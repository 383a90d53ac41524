"""Disturb VMs and the links between them."""

import asyncio
import random

from baobabwharf_testkit.fleet import Fleet
from baobabwharf_testkit.soak_lane import Action, Narrator

_RETURN_MS = 30_000


class VmDisturber:
    """Kill, freeze and partition VMs and undo it."""

    def __init__(self, fleet: Fleet, narrator: Narrator, seed: str) -> None:
        self._fleet = fleet
        self._narrator = narrator
        self._random = random.Random(seed)

    def actions(self) -> list[Action]:
        """Return what can happen."""
        return [
            self.kill_vm,
            self.freeze_vm,
            self.partition_region,
            self.drop_one_way,
            self.reset_links,
            self.lose_data,
        ]

    async def kill_vm(self) -> None:
        """Kill a VM and start it again."""
        vm_id = self._draw_vm()
        self._narrator.tell(f'VM {vm_id} is killed.')
        self._fleet.vms[vm_id].process.kill()
        await self._pause(1, 4)
        await self._fleet.restart(vm_id, _RETURN_MS)
        self._narrator.tell(f'VM {vm_id} is back.')

    async def freeze_vm(self) -> None:
        """Freeze a VM and thaw it."""
        vm_id = self._draw_vm()
        process = self._fleet.vms[vm_id].process
        self._narrator.tell(f'VM {vm_id} is frozen.')
        process.freeze()
        try:
            await self._pause(1, 6)
        finally:
            process.thaw()
        self._narrator.tell(f'VM {vm_id} is thawed.')

    async def partition_region(self) -> None:
        """Partition a region from the others and heal it."""
        region, inside, outside = self._draw_region()
        self._narrator.tell(f'Region {region} is partitioned.')
        self._fleet.links.partition(inside, outside)
        await self._pause(2, 6)
        self._fleet.links.heal()
        self._narrator.tell(f'Region {region} is connected again.')

    async def drop_one_way(self) -> None:
        """Drop what one region sends and heal it."""
        region, inside, outside = self._draw_region()
        self._narrator.tell(f'Nothing sent from region {region} arrives.')
        self._fleet.links.drop_one_way(inside, outside)
        await self._pause(2, 5)
        self._fleet.links.heal()
        self._narrator.tell(f'Region {region} is heard again.')

    async def reset_links(self) -> None:
        """Reset the connections of a region."""
        region, inside, outside = self._draw_region()
        self._fleet.links.reset(inside, outside)
        self._narrator.tell(f'The connections of region {region} were reset.')

    async def lose_data(self) -> None:
        """Lose the data folder of a VM and start it again."""
        with_disk = [
            vm_id for vm_id, vm in self._fleet.vms.items() if vm.plan.has_disk
        ]
        vm_id = self._random.choice(with_disk)
        self._narrator.tell(f'VM {vm_id} is killed and loses its data folder.')
        self._fleet.vms[vm_id].process.kill()
        self._fleet.lose_data(vm_id)
        await self._pause(0.5, 2)
        await self._fleet.restart(vm_id, _RETURN_MS)
        self._narrator.tell(f'VM {vm_id} is back.')

    async def _pause(self, least_s: float, most_s: float) -> None:
        await asyncio.sleep(self._random.uniform(least_s, most_s))

    def _draw_vm(self) -> str:
        return self._random.choice(sorted(self._fleet.vms))

    def _draw_region(self) -> tuple[str, set[str], set[str]]:
        vms = self._fleet.vms
        regions = sorted({vm.plan.region for vm in vms.values()})
        region = self._random.choice(regions)
        inside = {
            vm_id for vm_id, vm in vms.items() if vm.plan.region == region
        }
        return region, inside, set(vms) - inside
