"""Test the choice of an upstream and the copy of the configuration."""

import asyncio
from types import SimpleNamespace

from baobabwharf_core.changes import SetCap
from baobabwharf_core.clock import SystemClock
from baobabwharf_core.fleet_config import (
    Customer,
    FleetConfig,
    KeyRecord,
    VmRecord,
)
from baobabwharf_daemon.replica_messages import Confirmation, WatchReply
from baobabwharf_daemon.upstream_follower import UpstreamFollower
from baobabwharf_decisions.config_replication import ConfigCopy, choose_upstream
from behave import given, then, when
from behave.runner import Context
from expression import Error, Ok


class ReplicationSubject:
    """Hold the VMs of a fleet and a configuration copy."""

    def __init__(self) -> None:
        self.vms: dict[str, VmRecord] = {}
        self.down: set[str] = set()
        self.copy = ConfigCopy()

    def add(self, text: str) -> None:
        name = text.removesuffix('(disk)')
        disk = name != text
        self.vms[name] = VmRecord(
            name, name[0], 'zone', disk, f'{name}:1', f'{name}:2', 'url'
        )

    def upstream(self, name: str) -> str:
        live = [vm for vm in self.vms.values() if vm.vm_id not in self.down]
        found = choose_upstream(self.vms[name], live, frozenset())
        assert found is not None
        avoided = choose_upstream(
            self.vms[name], self.vms.values(), frozenset(self.down)
        )
        assert found == avoided, 'A failed VM must be treated as dead.'
        return found.vm_id

    @staticmethod
    def config(revision: int, **tables: object) -> FleetConfig:
        customers = {'rotawen': Customer('rotawen', 1, 1)}
        return FleetConfig(revision, customers, **tables)


@given('the live VMs {names} and of them {down} down')
def live_vms(context: Context, names: str, down: str) -> None:
    context.replication = ReplicationSubject()
    for name in names.split():
        context.replication.add(name)
    context.replication.down = set(down.split(',')) - {'-'}


@then('VM "{own}" follows "{upstream}"')
def follows(context: Context, own: str, upstream: str) -> None:
    assert context.replication.upstream(own) == upstream


@given('a followed copy with revisions up to {revision:d}')
def followed_copy(context: Context, revision: int) -> None:
    context.replication = ReplicationSubject()
    for number in range(revision + 1):
        assert context.replication.copy.offer(
            context.replication.config(number)
        )


@then('the followed copy refuses every older revision')
def refuses_older(context: Context) -> None:
    subject = context.replication
    newest = subject.copy.config
    for number in range(newest.revision + 1):
        assert not subject.copy.offer(subject.config(number))
    assert subject.copy.config is newest


@then('the followed copy takes a delta for the next revision only')
def takes_next(context: Context) -> None:
    copy = context.replication.copy
    change = SetCap('rotawen', 7, 7)
    following = copy.config.revision + 1
    for revision in (following - 1, following + 1):
        assert not copy.advance(revision, change)
    assert copy.advance(following, change)
    assert copy.config.customers['rotawen'].burst_tokens == 7


@when('the followed copy learns that key "{digest}" is withdrawn')
def learns(context: Context, digest: str) -> None:
    fresh = context.replication.copy.withdraw((digest.encode(),))
    assert fresh == {digest.encode()}
    assert not context.replication.copy.withdraw((digest.encode(),))


@then('a state in which key "{digest}" works does not undo the withdrawal')
def stays_withdrawn(context: Context, digest: str) -> None:
    subject = context.replication
    key = KeyRecord('key', 'rotawen', digest.encode())
    revision = subject.copy.config.revision + 1
    assert subject.copy.offer(subject.config(revision, keys={'key': key}))
    assert subject.copy.is_withdrawn(digest.encode())


class UpstreamFollowerSubject:
    """Run the follower task against a scripted client."""

    def __init__(self, *names: str) -> None:
        subject = ReplicationSubject()
        subject.add('a9')
        for name in names:
            subject.add(name)
        self.asked: list[str] = []
        self.age_ms = 0
        self.copy = ConfigCopy()
        own = subject.vms.pop('a9')
        live = {own.vm_id: own, **subject.vms}
        self.own = own
        address_book = SimpleNamespace(
            own=own, live=lambda: live, known=lambda: live
        )
        handler = SimpleNamespace(
            has_local_state=lambda: False,
            accept_item=lambda item: True,
            ready=True,
            config=ReplicationSubject.config(4),
        )
        self.follower = UpstreamFollower(
            address_book, self, SystemClock(), handler
        )

    async def call(self, *arguments: object) -> object:
        return Error(None)

    async def stream(self, address: str, *arguments: object):
        self.asked.append(address)
        while True:
            yield Ok(WatchReply((Confirmation(4, self.age_ms),)))
            await asyncio.sleep(0.05)

    def reset(self, address: str) -> None:
        """Do nothing: there are no connections."""

    def run(self, seconds: float) -> None:
        async def bounded() -> None:
            task = asyncio.create_task(self.follower.run_forever())
            await asyncio.sleep(seconds)
            task.cancel()

        asyncio.run(bounded())


@given('a VM that follows {first} while {second} and {third} live')
def following_vm(context: Context, first: str, second: str, third: str) -> None:
    context.upstream_follower = UpstreamFollowerSubject(first, second, third)


@when('its upstream confirms revision 4 with an age of {age_ms:d} ms')
def upstream_is_old(context: Context, age_ms: int) -> None:
    context.upstream_follower.age_ms = age_ms
    context.upstream_follower.run(1)


@then('the VM follows another upstream within 1 s')
def leaves_upstream(context: Context) -> None:
    asked = context.upstream_follower.asked
    assert asked[0] == 'a1:1' and 'a2:1' in asked, asked
