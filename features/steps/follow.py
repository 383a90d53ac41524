"""Exercise the choice of an upstream and the copy of the configuration."""

from baobabwharf_core.changes import SetCap
from baobabwharf_core.model import Customer, FleetConfig, KeyRecord, VmRecord
from baobabwharf_decisions.follow import ConfigCopy, choose_upstream
from behave import given, then, when
from behave.runner import Context


class FollowSubject:
    """Hold live VMs and a copy."""

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
        assert found == avoided, 'A failed VM must count like a dead one.'
        return found.vm_id

    @staticmethod
    def config(revision: int, **tables: object) -> FleetConfig:
        customers = {'rotawen': Customer('rotawen', 1, 1)}
        return FleetConfig(revision, customers, **tables)


@given('the live VMs {names} and of them {down} down')
def live_vms(context: Context, names: str, down: str) -> None:
    context.follow = FollowSubject()
    for name in names.split():
        context.follow.add(name)
    context.follow.down = set(down.split(',')) - {'-'}


@then('VM "{own}" follows "{upstream}"')
def follows(context: Context, own: str, upstream: str) -> None:
    assert context.follow.upstream(own) == upstream


@given('a followed copy with revisions up to {revision:d}')
def followed_copy(context: Context, revision: int) -> None:
    context.follow = FollowSubject()
    for number in range(revision + 1):
        assert context.follow.copy.offer(context.follow.config(number))


@then('the followed copy refuses every older revision')
def refuses_older(context: Context) -> None:
    subject = context.follow
    newest = subject.copy.config
    for number in range(newest.revision + 1):
        assert not subject.copy.offer(subject.config(number))
    assert subject.copy.config is newest


@then('the followed copy takes a delta for the next revision only')
def takes_next(context: Context) -> None:
    copy = context.follow.copy
    change = SetCap('rotawen', 7, 7)
    following = copy.config.revision + 1
    for revision in (following - 1, following + 1):
        assert not copy.advance(revision, change)
    assert copy.advance(following, change)
    assert copy.config.customers['rotawen'].burst_tokens == 7


@when('the followed copy learns that key "{digest}" is withdrawn')
def learns(context: Context, digest: str) -> None:
    fresh = context.follow.copy.withdraw((digest.encode(),))
    assert fresh == {digest.encode()}
    assert not context.follow.copy.withdraw((digest.encode(),))


@then('a state in which key "{digest}" works does not undo the withdrawal')
def stays_withdrawn(context: Context, digest: str) -> None:
    subject = context.follow
    key = KeyRecord('key', 'rotawen', digest.encode())
    revision = subject.copy.config.revision + 1
    assert subject.copy.offer(subject.config(revision, keys={'key': key}))
    assert subject.copy.is_withdrawn(digest.encode())
