"""Test decisions about requests of a deployment, without I/O."""

import random

import msgspec
from baobabwharf_core import changes
from baobabwharf_core.deployment import (
    DeployedCustomer,
    DeployedRoute,
    DeployedService,
    Deployment,
    RouteKind,
    RouteShare,
)
from baobabwharf_core.fleet_config import FleetConfig, VmRecord
from baobabwharf_decisions.fleet_state.configuration import apply_change
from baobabwharf_decisions.membership.proxy_vms import (
    forwarding_vms_by_region,
    forwarding_vms_of,
)
from baobabwharf_decisions.proxying.attempt_outcomes import (
    AttemptCounts,
    AttemptEnd,
)
from baobabwharf_decisions.proxying.cold_rate_limit import ColdRateLimit
from baobabwharf_decisions.proxying.endpoint_table import (
    EndpointRecord,
    EndpointTable,
)
from baobabwharf_decisions.proxying.region_backoff import (
    RegionBackoff,
    RegionCandidate,
    preferred_region,
    region_candidates,
)
from baobabwharf_decisions.proxying.retry_budget import VmRetryBudget
from baobabwharf_decisions.proxying.routes import (
    RouteTable,
    allowed_regions,
    choose_service,
    key_digest,
)
from behave import given, then, when
from behave.runner import Context


def route(prefix: str, **overrides: object) -> DeployedRoute:
    filled = {
        'name': f'route {prefix}',
        'host': 'h.example',
        'path_prefix': prefix,
        'kind': RouteKind.IDEMPOTENT,
        'timeout_ms': 1000,
        'target_ms': 400,
        'priority': 0,
        'shares': (RouteShare('s', 1),),
        **overrides,
    }
    return DeployedRoute(**filled)


def customer(name: str, *homes: str) -> DeployedCustomer:
    digest = key_digest(f'key-{name}'.encode())
    return DeployedCustomer(name, (digest,), home_regions=homes)


def deployment(version: int, *routes: DeployedRoute) -> Deployment:
    return Deployment(
        version,
        routes or (route('/a/'),),
        (DeployedService('s'),),
        (customer('one'), customer('two')),
        document=f'{version}'.encode(),
    )


class RouteSubject:
    """Hold the routes of a deployment."""

    def __init__(self, *prefixes: str) -> None:
        self.table = RouteTable(deployment(1, *map(route, prefixes)))

    def prefix(self, path: str) -> str | None:
        found = self.table.find('H.example', path)
        return found.ok.path_prefix if found.is_ok() else None


class FleetSubject:
    """Hold the configuration of a fleet."""

    faults = {
        'unknown service': deployment(
            9, route('/a/', shares=(RouteShare('t', 1),))
        ),
        'same path prefix': deployment(
            9, route('/a/'), route('/a/', name='other')
        ),
        'no weight': deployment(9, route('/a/', shares=(RouteShare('s', 0),))),
        'no time-out': deployment(9, route('/a/', timeout_ms=0)),
        'shared key': msgspec.structs.replace(
            deployment(9),
            customers=(customer('one'), customer('one')),
        ),
    }

    def __init__(self, version: int) -> None:
        self.config = FleetConfig()
        assert self.install(deployment(version))

    def install(self, wanted: Deployment) -> bool:
        return self.apply(changes.InstallDeployment(wanted))

    def apply(self, change: changes.Change) -> bool:
        applied = apply_change(self.config, change)
        if applied.is_ok():
            self.config = applied.ok
        return applied.is_ok()


class EndpointTableSubject:
    """Hold an endpoint table and check which records it accepts."""

    def __init__(self) -> None:
        self.endpoint_table = EndpointTable()

    def take(
        self, name: str, incarnation: int, sequence: int, **overrides: object
    ) -> bool:
        filled = {'address': f'{name}:80', **overrides}
        record = EndpointRecord(
            name, 's', zone='z', region='r', slots=6, incarnation=incarnation,
            sequence=sequence, **filled,
        )  # fmt: skip
        self.endpoint_table.update(record, now_ms=1000)
        held = self.endpoint_table.entries.get(name)
        return held is not None and held.record == record


@given('a deployment with the prefixes {prefixes}')
def given_prefixes(context: Context, prefixes: str) -> None:
    context.routes = RouteSubject(*prefixes.split())


@then('path "{path}" takes the route of prefix "{prefix}"')
def takes_route(context: Context, path: str, prefix: str) -> None:
    assert context.routes.prefix(path) == prefix


@then('path "{path}" takes no route')
def takes_no_route(context: Context, path: str) -> None:
    assert context.routes.prefix(path) is None


@then('key "{key}" belongs to customer "{name}" on path "{path}"')
def belongs(context: Context, key: str, name: str, path: str) -> None:
    table = context.routes.table
    found = table.authenticate(table.find('h.example', path).ok, key.encode())
    assert found.ok.customer_id == name


@then('an unknown key and a missing key are refused on path "{path}"')
def refuses_keys(context: Context, path: str) -> None:
    table = context.routes.table
    found = table.find('h.example', path).ok
    assert table.authenticate(found, b'other').error.status == 401
    assert table.authenticate(found, None).error.status == 401


@given('a route split {first:d} to {second:d} between two services')
def split_route(context: Context, first: int, second: int) -> None:
    shares = (RouteShare('big', first), RouteShare('small', second))
    context.split = route('/a/', shares=shares)


@then(
    'of {count:d} request ids between {low:d} and {high:d} take the smaller share'
)
def counts_split(context: Context, count: int, low: int, high: int) -> None:
    chosen = [choose_service(context.split, f'id-{n}') for n in range(count)]
    assert low <= chosen.count('small') <= high, chosen.count('small')


@then('one request id always takes the same service')
def splits_stably(context: Context) -> None:
    assert (
        len({choose_service(context.split, 'id-1') for _try in range(9)}) == 1
    )


@then(
    'a route with home regions {first} and a customer with home regions {second} allow {allowed}'
)
def both_homes(context: Context, first: str, second: str, allowed: str) -> None:
    homes = allowed_regions(
        route('/a/', home_regions=tuple(first.split(','))),
        customer('one', *second.split(',')),
    )
    assert homes == frozenset(allowed.split(','))


@then(
    'a route with home region {first} and a customer without home region allow {allowed}'
)
def route_homes(context: Context, first: str, allowed: str) -> None:
    homes = allowed_regions(
        route('/a/', home_regions=(first,)), customer('one')
    )
    assert homes == frozenset((allowed,))


@then('a route and a customer without home regions allow all regions')
def no_homes(context: Context) -> None:
    assert allowed_regions(route('/a/'), customer('one')) is None
    assert allowed_regions(route('/a/'), None) is None


@given('a fleet that holds deployment version {version:d}')
def holds_version(context: Context, version: int) -> None:
    context.fleet_config = FleetSubject(version)


@then('version {low:d} and another text under version {held:d} change nothing')
def changes_nothing(context: Context, low: int, held: int) -> None:
    fleet = context.fleet_config
    before = fleet.config
    other = msgspec.structs.replace(deployment(held), document=b'other')
    assert not fleet.install(deployment(low))
    assert not fleet.install(other)
    assert fleet.config == before


@then('version {version:d} is in force after it is installed')
def in_force(context: Context, version: int) -> None:
    assert context.fleet_config.install(deployment(version))
    assert context.fleet_config.config.deployment.version == version


@then('a deployment with {fault} is refused and version {version:d} stays')
def refuses_fault(context: Context, fault: str, version: int) -> None:
    fleet = context.fleet_config
    assert not fleet.install(fleet.faults[fault])
    assert fleet.config.deployment.version == version


@when('zone "{zone}" is evacuated twice')
def evacuates(context: Context, zone: str) -> None:
    change = changes.SetEvacuation(zone, True)
    assert context.fleet_config.apply(change)
    assert not context.fleet_config.apply(change)


@when('zone "{zone}" is restored')
def restores(context: Context, zone: str) -> None:
    assert context.fleet_config.apply(changes.SetEvacuation(zone, False))


@then('the evacuated zones are "{zones}"')
@then('the evacuated zones are ""')
def evacuated_zones(context: Context, zones: str = '') -> None:
    expected = tuple(zones.split(',')) if zones else ()
    assert context.fleet_config.config.evacuated == expected


@given(
    'an endpoint table with endpoint "{name}" of incarnation {incarnation:d} at sequence {sequence:d}'
)
def given_endpoint_table(
    context: Context, name: str, incarnation: int, sequence: int
) -> None:
    context.endpoints = EndpointTableSubject()
    assert context.endpoints.take(name, incarnation, sequence)


@then(
    'the endpoint table ignores endpoint "{name}" of incarnation {incarnation:d} at sequence {sequence:d}'
)
def ignores(
    context: Context, name: str, incarnation: int, sequence: int
) -> None:
    assert not context.endpoints.take(name, incarnation, sequence)


@then(
    'the endpoint table takes endpoint "{name}" of incarnation {incarnation:d} at sequence {sequence:d}'
)
def takes(context: Context, name: str, incarnation: int, sequence: int) -> None:
    assert context.endpoints.take(name, incarnation, sequence)


@when('endpoint "{name}" leaves the endpoint table')
def leaves(context: Context, name: str) -> None:
    assert context.endpoints.endpoint_table.leave(name, now_ms=1000)


@when(
    'endpoint "{name}" of incarnation {incarnation:d} registers at the address of "{other}"'
)
def reuses(context: Context, name: str, incarnation: int, other: str) -> None:
    assert context.endpoints.take(name, incarnation, 1, address=f'{other}:80')


@then('the endpoint table holds only "{name}"')
def holds_only(context: Context, name: str) -> None:
    assert set(context.endpoints.endpoint_table.entries) == {name}


@when(
    'the endpoint table marks the zone of "{name}" as cold until {until_ms:d} ms'
)
def marks_cold(context: Context, name: str, until_ms: int) -> None:
    context.endpoints.endpoint_table.mark_cold(('z',), until_ms)


@when(
    'endpoint "{name}" of incarnation {incarnation:d} registers at sequence {sequence:d} with {cold_ms:d} ms cold'
)
def registers_cold(
    context: Context, name: str, incarnation: int, sequence: int, cold_ms: int
) -> None:
    assert context.endpoints.take(
        name, incarnation, sequence, cold_left_ms=cold_ms
    )


@then('endpoint "{name}" is cold until {until_ms:d} ms')
def cold_until(context: Context, name: str, until_ms: int) -> None:
    entry = context.endpoints.endpoint_table.entries[name]
    assert entry.cold_until_ms == until_ms, entry


@given(
    '{count:d} VMs of a region that limit a cold endpoint to {rate:d} requests a second'
)
def rate_limiting_vms(context: Context, count: int, rate: int) -> None:
    names = [f'vm-{number}' for number in range(count)]
    context.rate_limits = [ColdRateLimit(name) for name in names]
    context.cold_sent = []
    generator = random.Random(1)
    for now_ms in range(0, 10_000, 5):
        limit = generator.choice(context.rate_limits)
        if limit.may_send('cold', rate, names, now_ms):
            limit.note_sent('cold', now_ms)
            context.cold_sent.append(now_ms)


@then('in 10 s no window of 1 s holds more than {most:d} requests of all VMs')
def cold_window(context: Context, most: int) -> None:
    sent = context.cold_sent
    for start_ms in sent:
        window = [at for at in sent if start_ms <= at < start_ms + 1000]
        assert len(window) <= most, window


@then('in 10 s the endpoint gets at least {least:d} requests')
def cold_count(context: Context, least: int) -> None:
    assert len(context.cold_sent) >= least, len(context.cold_sent)


@given('{count:d} VMs that retry every failed request')
def retrying_vms(context: Context, count: int) -> None:
    context.budgets = [VmRetryBudget() for _vm in range(count)]
    for budget in context.budgets:
        budget.set_vm_count(count)


@then('of {count:d} failing requests at most {most:d} in 100 are retried')
def bounded_retries(context: Context, count: int, most: int) -> None:
    retried = 0
    for number in range(count):
        budget = context.budgets[number % len(context.budgets)]
        budget.note_request('s')
        retried += budget.take('s')
    assert 0 < retried <= count * most // 100, retried


@given('a request that may be sent {most:d} times and is {kind}')
def given_attempts(context: Context, most: int, kind: str) -> None:
    context.attempts = AttemptCounts(most, kind == 'repeatable')


@when('its attempts end with {ends}')
def attempts_end(context: Context, ends: str) -> None:
    for name in ends.split(','):
        context.last_end = AttemptEnd(name)
        context.attempts.note_end(context.last_end)


@then('it is refused as executed {executed} and may be retried: {again}')
def refused_as(context: Context, executed: str, again: str) -> None:
    refusal = context.attempts.refusal(context.last_end, 100)
    assert refusal.executed.value == executed
    says_not_executed = refusal.status in {408, 421, 429, 503}
    assert says_not_executed == (executed == 'no'), refusal
    assert context.attempts.may_retry(context.last_end) == (again == 'yes')


@given('the regions {regions} and {count:d} sessions')
def given_regions(context: Context, regions: str, count: int) -> None:
    pairs = [place.split(':') for place in regions.split()]
    context.region_slots = {name: int(slots) for name, slots in pairs}
    context.sessions = [f'session-{number}' for number in range(count)]


@then('each region keeps its share of the sessions within {points:d} in 100')
def keeps_share(context: Context, points: int) -> None:
    slots = context.region_slots
    homes = [preferred_region(slots, name) for name in context.sessions]
    for region, weight in slots.items():
        wanted = weight / sum(slots.values())
        share = homes.count(region) / len(homes)
        assert abs(share - wanted) <= points / 100, (region, share, wanted)


@then('without {gone} only the sessions of {same} move')
def only_moves(context: Context, gone: str, same: str) -> None:
    slots = context.region_slots
    fewer = {name: slots[name] for name in slots if name != gone}
    for session in context.sessions:
        before = preferred_region(slots, session)
        assert before == gone or preferred_region(fewer, session) == before


@given('a region that refused urgency {urgency:d} at {at_ms:d} ms')
def refused_region(context: Context, urgency: int, at_ms: int) -> None:
    context.backoff = RegionBackoff(random.Random(1))
    context.backoff.note_refusal('sfax', 's', urgency, at_ms)


def chosen(context: Context, urgency: int, now_ms: int) -> bool:
    candidate = RegionCandidate('sfax', 'vm', 6)
    found = context.backoff.choose((candidate,), 's', urgency, now_ms)
    return found is not None


@then(
    'at {now_ms:d} ms the region is chosen for urgency {one:d} but not for {other:d}'
)
def chosen_for(context: Context, now_ms: int, one: int, other: int) -> None:
    assert chosen(context, one, now_ms)
    assert not chosen(context, other, now_ms)


@then('at {now_ms:d} ms the region is chosen for urgency {urgency:d}')
def chosen_again(context: Context, now_ms: int, urgency: int) -> None:
    assert chosen(context, urgency, now_ms)


@then(
    'at {now_ms:d} ms the region is chosen for urgency {urgency:d} if no other may serve'
)
def chosen_as_only(context: Context, now_ms: int, urgency: int) -> None:
    candidates = region_candidates(
        {('sfax', 's'): 6},
        {'sfax': ['vm']},
        's',
        frozenset(('sfax',)),
        'tunis',
        frozenset(),
    )
    found = context.backoff.choose(candidates, 's', urgency, now_ms)
    assert found is not None


@when("its VM can't be reached at {at_ms:d} ms")
def unreachable(context: Context, at_ms: int) -> None:
    context.backoff.note_unreachable('vm', at_ms)


@then(
    'at {now_ms:d} ms another VM of the region is chosen for urgency {urgency:d}'
)
def other_vm(context: Context, now_ms: int, urgency: int) -> None:
    candidates = [RegionCandidate('sfax', name, 6) for name in ('vm', 'other')]
    chosen_vms = {
        context.backoff.choose(candidates, 's', urgency, now_ms).vm_id
        for _try in range(20)
    }
    assert chosen_vms == {'other'}, chosen_vms


class RegionSubject:
    """Hold the live VMs of two regions."""

    def __init__(self, entries: int, disks: int) -> None:
        self.entries = [self.vm(f'e{one}', 'r') for one in range(entries)]
        self.disks = [
            self.vm(f'd{one}', 'r', has_disk=True) for one in range(disks)
        ]
        self.far = [self.vm('f', 'far'), self.vm('g', 'far', has_disk=True)]

    def vm(self, name: str, region: str, *, has_disk: bool = False) -> VmRecord:
        return VmRecord(name, region, 'z', has_disk, name, name, name)

    def proxies(self) -> list[str]:
        live = self.entries + self.disks + self.far
        found = [vm.vm_id for vm in forwarding_vms_of(live, 'r')]
        by_region = forwarding_vms_by_region(live)
        assert found == [vm.vm_id for vm in by_region['r']]
        assert [vm.vm_id for vm in by_region['far']] == ['f']
        return found


@given('a region with {entries:d} entry VMs and {disks:d} disk VM')
def given_region(context: Context, entries: int, disks: int) -> None:
    context.region = RegionSubject(entries, disks)


@then('its entry VMs forward requests to its endpoints')
def entries_forward(context: Context) -> None:
    assert context.region.proxies() == ['e0', 'e1']


@when('both entry VMs restart')
def entries_restart(context: Context) -> None:
    context.region.entries.clear()


@then('its disk VM forwards requests to its endpoints')
def disk_forwards(context: Context) -> None:
    assert context.region.proxies() == ['d0']
