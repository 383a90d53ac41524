"""Steps that inject faults into disk VMs and compare the state that VMs hold."""

import asyncio
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from baobabwharf_core.changes import ChangeCode, CreateCustomer
from baobabwharf_core.fleet_config import Customer
from baobabwharf_core.ids import CustomerId
from baobabwharf_testkit.fleet import Fleet
from baobabwharf_testkit.fleet_plan import FleetPlan, region_vms
from baobabwharf_testkit.loop_thread import LoopThread
from behave import given, then, when
from behave.runner import Context

_SEED = 5
_REGIONS = ('tunis-a', 'sfax-a', 'sousse-a')
_CONVERGENCE_TIMEOUT_S = 20.0
_POLL_INTERVAL_S = 0.1
_CHANGES = 12
_CHANGES_BEFORE_FAULT = 4


class DurableFleetSubject:
    """Run a fleet behind fault proxies and record every accepted change."""

    def __init__(self) -> None:
        print(f'Durable state seed {_SEED}.')
        self.loop = LoopThread()
        self.folder = tempfile.TemporaryDirectory(prefix='baobabwharf-')
        plan = FleetPlan(vms=region_vms(_REGIONS), proxied=True)
        self.fleet = Fleet(plan, Path(self.folder.name), _SEED)
        self.accepted: set[str] = set()
        self.revisions: dict[str, int] = {}
        self.revision_regressions: list[str] = []
        self.change_count = 0
        try:
            self.loop.run(self.fleet.start())
        except BaseException:
            self.fleet.kill_all()
            raise

    @property
    def vms(self) -> list[str]:
        return list(self.fleet.vms)

    @property
    def disks(self) -> list[str]:
        return [vm for vm in self.vms if vm.endswith('vm1')]

    @property
    def running(self) -> list[str]:
        return [vm for vm in self.vms if self.fleet.vms[vm].process.running]

    async def get(self, vm_id: str, path: str) -> Any:
        operator = self.fleet.operator(vm_id)
        try:
            return await asyncio.wait_for(operator.get(path), 3)
        except TimeoutError:
            return None
        finally:
            await operator.close()

    async def role(self, vm_id: str) -> str:
        status = await self.get(vm_id, '/operator/v1/status')
        entries = status['vms'] if status else []
        roles = [entry['role'] for entry in entries if entry['vm_id'] == vm_id]
        return roles[0] if roles else ''

    async def leader(self, among: list[str]) -> str:
        end = time.monotonic() + _CONVERGENCE_TIMEOUT_S
        while time.monotonic() < end:
            for vm_id in among:
                if await self.role(vm_id) == 'leader':
                    return vm_id
            await asyncio.sleep(_POLL_INTERVAL_S)
        raise AssertionError(f'No leader among {among}.')

    async def change(self, *vm_ids: str, attempts: int = 40) -> str:
        """Submit a change and return its code; record an accepted one."""
        self.change_count += 1
        name = f'customer-{self.change_count}'
        operator = self.fleet.operator(*vm_ids)
        try:
            outcome = await operator.change(
                CreateCustomer(Customer(CustomerId(name), 100, 100)),
                attempts=attempts,
            )
        finally:
            await operator.close()
        if outcome.code is ChangeCode.ACCEPTED:
            self.accepted.add(name)
        return outcome.code.value

    async def submit_changes_during(
        self, fault: Callable[[], None], through: list[str]
    ) -> None:
        """Submit changes and inject the fault in the middle of them."""
        for number in range(_CHANGES):
            if number == _CHANGES_BEFORE_FAULT:
                fault()
            code = await self.change(*through)
            assert code == 'accepted', code

    async def customers_on(self, vm_id: str) -> set[str]:
        config = await self.get(vm_id, '/operator/v1/config')
        if config is None:
            return set()
        before = self.revisions.get(vm_id, 0)
        if config['revision'] < before:
            self.revision_regressions.append(
                f'{vm_id}: {before} {config["revision"]}'
            )
        self.revisions[vm_id] = config['revision']
        return set(config['customers'])

    async def wait_until(
        self, condition: Callable[[], Awaitable[bool]]
    ) -> bool:
        end = time.monotonic() + _CONVERGENCE_TIMEOUT_S
        while time.monotonic() < end:
            if await condition():
                return True
            await asyncio.sleep(_POLL_INTERVAL_S)
        return False

    async def becomes_voter(self, vm_id: str) -> bool:
        async def has_voting_role() -> bool:
            return await self.role(vm_id) in {'follower', 'leader'}

        return await self.wait_until(has_voting_role)

    async def all_hold(self, vm_ids: list[str], names: set[str]) -> bool:
        return all(
            [names <= await self.customers_on(vm_id) for vm_id in vm_ids]
        )

    def others(self, vm_id: str) -> list[str]:
        return [other for other in self.vms if other != vm_id]

    def close(self) -> None:
        try:
            self.loop.run(self.fleet.stop())
        finally:
            self.fleet.kill_all()
            self.loop.close()
            self.folder.cleanup()


def _inject_during_changes(
    context: Context, fault: Callable[[DurableFleetSubject, str], None]
) -> None:
    durable = context.durable
    context.faulty_vm = durable.loop.run(durable.leader(durable.disks))
    durable.loop.run(
        durable.submit_changes_during(
            lambda: fault(durable, context.faulty_vm),
            [vm for vm in durable.vms if vm not in durable.disks],
        )
    )


@given('the durable fleet runs')
def runs(context: Context) -> None:
    feature = context.feature
    if not hasattr(feature, 'durable'):
        feature.durable = DurableFleetSubject()
        context.add_cleanup(feature.durable.close, layer='feature')
    context.durable = feature.durable


@when('its leader is killed while operators make changes')
def killed(context: Context) -> None:
    _inject_during_changes(
        context, lambda subject, vm: subject.fleet.vms[vm].process.kill()
    )


@when('its leader is partitioned while operators make changes')
def partitioned(context: Context) -> None:
    _inject_during_changes(
        context,
        lambda subject, vm: subject.fleet.links.partition(
            {vm}, set(subject.others(vm))
        ),
    )


@when('its leader is frozen while operators make changes')
def frozen(context: Context) -> None:
    _inject_during_changes(
        context, lambda subject, vm: subject.fleet.vms[vm].process.suspend()
    )


@then('it has another leader')
def other_leader(context: Context) -> None:
    durable = context.durable
    among = [vm for vm in durable.disks if vm != context.faulty_vm]
    assert durable.loop.run(durable.leader(among)) != context.faulty_vm


@then('the killed durable VM starts again')
def starts_again(context: Context) -> None:
    durable = context.durable
    durable.loop.run(durable.fleet.restart(context.faulty_vm))


@then('the killed durable VM votes again')
def votes_again(context: Context) -> None:
    durable = context.durable
    assert durable.loop.run(durable.becomes_voter(context.faulty_vm))


@then('the frozen durable VM resumes')
def resumes(context: Context) -> None:
    context.durable.fleet.vms[context.faulty_vm].process.resume()


@then('the partitioned durable VM accepts no change')
def accepts_none(context: Context) -> None:
    durable = context.durable
    code = durable.loop.run(durable.change(context.faulty_vm, attempts=1))
    assert code in {'not_accepted', 'unknown'}, code
    context.refused = (f'customer-{durable.change_count}', code)


@then('the change refused by the partitioned durable VM is in force nowhere')
def in_force_nowhere(context: Context) -> None:
    name, code = context.refused
    if code != 'not_accepted':
        return
    durable = context.durable
    for vm_id in durable.vms:
        assert name not in durable.loop.run(durable.customers_on(vm_id))


@when('the durable fleet is connected again')
def connected(context: Context) -> None:
    durable = context.durable
    durable.loop.call(durable.fleet.links.end_drops)


@then('every VM of it holds every accepted change')
def hold_all(context: Context) -> None:
    durable = context.durable

    async def held() -> bool:
        return await durable.all_hold(durable.vms, durable.accepted)

    assert durable.accepted
    assert durable.loop.run(durable.wait_until(held)), durable.revisions


@then('the revision of no VM of it decreased')
def no_regression(context: Context) -> None:
    assert not context.durable.revision_regressions, (
        context.durable.revision_regressions
    )


@when('a disk VM of it loses its data folder and is rebuilt')
def rebuilt(context: Context) -> None:
    durable = context.durable
    leader = durable.loop.run(durable.leader(durable.disks))
    context.rebuilt = next(vm for vm in durable.disks if vm != leader)
    durable.fleet.vms[context.rebuilt].process.kill()
    durable.fleet.delete_data_folder(context.rebuilt)
    durable.loop.run(durable.fleet.restart(context.rebuilt))

    assert durable.loop.run(durable.becomes_voter(context.rebuilt))


@when('another disk VM of it is killed and loses its data folder')
def second_loss(context: Context) -> None:
    durable = context.durable
    context.faulty_vm = next(
        vm for vm in durable.disks if vm != context.rebuilt
    )
    durable.fleet.vms[context.faulty_vm].process.kill()
    durable.fleet.delete_data_folder(context.faulty_vm)


@then('the durable fleet accepts changes')
def accepts(context: Context) -> None:
    durable = context.durable
    code = durable.loop.run(durable.change(context.rebuilt))
    assert code == 'accepted', code


@when('a region of it is partitioned and all its VMs are restarted')
def region_restarts(context: Context) -> None:
    durable = context.durable
    context.before = set(durable.accepted)
    region = _REGIONS[-1]
    context.inside = [vm for vm in durable.vms if vm.startswith(region)]
    outside = [vm for vm in durable.vms if vm not in context.inside]
    links = durable.fleet.links
    durable.loop.call(
        lambda: links.partition(set(context.inside), set(outside))
    )
    for vm_id in context.inside:
        durable.fleet.vms[vm_id].process.kill()
    for vm_id in context.inside:
        durable.fleet.vms[vm_id].process.start()
    assert durable.loop.run(durable.change(*outside)) == 'accepted'


@then('the VMs of that region hold what was accepted before the partition')
def hold_before(context: Context) -> None:
    durable = context.durable

    async def held() -> bool:
        return await durable.all_hold(context.inside, context.before)

    assert durable.loop.run(durable.wait_until(held)), durable.revisions
