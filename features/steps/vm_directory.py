"""Ask the directory while entry VMs of some regions are missing."""

import collections
import itertools
import json
import tempfile
from pathlib import Path

import msgspec
from baobabwharf_core.deployment import DeployedRoute, Deployment, RouteKind
from baobabwharf_core.fleet_config import VmRecord
from baobabwharf_daemon.proxy.vm_directory import entry_addresses
from baobabwharf_daemon.vm_records import own_record
from baobabwharf_decisions.proxying.routes import RouteTable
from behave import given, then, when
from behave.runner import Context
from platform_decoding import node

_REGIONS = ('tunis', 'sfax', 'sousse')
_HOST = 'H.example'


def _route(number: int, homes: str) -> DeployedRoute:
    regions = tuple(homes.split(',')) if homes else ()
    prefix = f'/{number}/'
    kind = RouteKind.IDEMPOTENT
    return DeployedRoute(
        prefix, _HOST, prefix, kind, 1, 1, 0, (), home_regions=regions
    )


def _vm(region: str, *, has_disk: bool, port: int = 1) -> VmRecord:
    name = f'{region}-{"disk" if has_disk else "entry"}-{port}'
    url = f'http://{region}:{port}'
    return VmRecord(name, region, 'z', has_disk, '', '', url)


@given('routes of a host with homes "{first}" and "{second}"')
@given('routes of a host with homes "" and ""')
def routes(context: Context, first: str = '', second: str = '') -> None:
    # A route of another host must not matter.
    other = DeployedRoute(
        'o',
        'other.example',
        '/',
        RouteKind.IDEMPOTENT,
        1,
        1,
        0,
        (),
        home_regions=('nowhere',),
    )
    context.route_table = RouteTable(
        Deployment(1, (_route(1, first), _route(2, second), other))
    )


@then('callers of that host get their own region, else any region')
@then(
    'callers of that host get their own region, else {homes}, else any region'
)
def led(context: Context, homes: str = '') -> None:
    expected_homes = set(homes.split(' or ')) if homes else set()
    found_homes = context.route_table.home_regions(_HOST.lower())
    disks = [_vm(region, has_disk=True) for region in _REGIONS]
    for count in range(len(_REGIONS) + 1):
        for live_regions in itertools.combinations(_REGIONS, count):
            entries = [_vm(region, has_disk=False) for region in live_regions]
            live = set(live_regions)
            for region in _REGIONS:
                named = entry_addresses(
                    [*disks, *entries], (), region, found_homes
                )
                expected = (live & {region}) or (live & expected_homes) or live
                assert set(named) == {f'{one}:1' for one in expected}, named


def _region_sets() -> list[set[str]]:
    return [
        set(chosen)
        for count in range(len(_REGIONS) + 1)
        for chosen in itertools.combinations(_REGIONS, count)
    ]


@then(
    'callers with neither live there get stopping VMs of {home} or of their '
    'own region'
)
def led_to_stopping(context: Context, home: str) -> None:
    homes = context.route_table.home_regions(_HOST.lower())
    for live, stopping in itertools.product(_region_sets(), repeat=2):
        entries = [_vm(region, has_disk=False) for region in live]
        leaving = [_vm(region, has_disk=False, port=2) for region in stopping]
        leaving += [_vm(region, has_disk=True, port=3) for region in _REGIONS]
        for region in _REGIONS:
            named = entry_addresses(entries, leaving, region, homes)
            expected = {f'{one}:1' for one in live & {region}}
            expected = expected or {f'{one}:1' for one in live & {home}}
            bound = stopping & {home, region}
            expected = expected or {f'{one}:2' for one in bound}
            expected = expected or {f'{one}:1' for one in live}
            assert set(named) == expected, (named, live, stopping, region)


@given('entry VMs of a region with capacities {capacities}')
def unlike_vms(context: Context, capacities: str) -> None:
    numbers = [int(one) for one in capacities.replace(' and ', ', ').split(',')]
    # Many of each, as a caller picks one of the listed.
    context.entry_vms = [
        msgspec.structs.replace(
            _vm('tunis', has_disk=False, port=port), capacity=capacity
        )
        for port, capacity in enumerate(numbers * 6)
    ]


@when('a caller resolves the host in each of {count:d} seconds')
def resolves(context: Context, count: int) -> None:
    context.answers = [
        entry_addresses(context.entry_vms, (), 'tunis', frozenset(), second)
        for second in range(count)
    ]


@then('a VM is picked in proportion to its capacity, within a fifth')
def in_proportion(context: Context) -> None:
    picked = collections.Counter()
    for listed in context.answers:
        for address in listed:
            picked[address] += 1 / len(listed)
    total = sum(vm.capacity for vm in context.entry_vms)
    for vm in context.entry_vms:
        share = picked[vm.caller_url[7:]] / len(context.answers)
        assert 0.8 <= share / (vm.capacity / total) <= 1.2, (vm.capacity, share)


@then('the largest VM is always listed')
def largest_listed(context: Context) -> None:
    largest = max(context.entry_vms, key=lambda vm: vm.capacity)
    assert all(largest.caller_url[7:] in one for one in context.answers)


@then('all VMs are always listed')
def all_listed(context: Context) -> None:
    assert {len(one) for one in context.answers} == {len(context.entry_vms)}


@then(
    'a settings file with the limits {limits} states a capacity of {expected:d}'
)
def stated_capacity(context: Context, limits: str, expected: int) -> None:
    context.path = Path(tempfile.mkdtemp())
    stated = json.loads(limits)
    loaded = node(context, limits=stated).ok.settings
    assert own_record(loaded).capacity == expected, loaded.capacity
    # VMs whose limits are not stated are listed as before.
    assert own_record(node(context).ok.settings).capacity == 0
