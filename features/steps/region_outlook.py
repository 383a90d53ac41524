"""Forward requests of a region at its peak, with reports of the others."""

import asyncio
import collections
import random
from types import SimpleNamespace

from baobabwharf_core.fleet_config import VmRecord
from baobabwharf_daemon.proxy.adaptive_selector import AdaptiveSelector
from baobabwharf_daemon.proxy.http_messages import ResponseHead
from baobabwharf_daemon.proxy.region_reports import (
    REGION_LOAD_HEADER,
    read_region_report,
)
from baobabwharf_daemon.proxy.region_selector import RegionSelector
from baobabwharf_daemon.proxy.request_plan import (
    ForwardMetadata,
    RequestPlan,
    build_plan,
)
from baobabwharf_daemon.proxy.selection import Exclusions
from baobabwharf_decisions.proxying.placement_messages import (
    Granted,
    PlacementGrant,
)
from baobabwharf_decisions.proxying.region_outlook import RegionReport
from behave import given, then, when
from behave.runner import Context
from indirect_totals import ChangingView, VirtualClock

_REQUESTS = 60
_NOBODY = frozenset()


def vm(name: str, region: str) -> VmRecord:
    return VmRecord(name, region, region, False, f'{name}:1', f'{name}:2', '')


def plan(
    clock: VirtualClock,
    left_ms: int,
    homes: tuple[str, ...] | None = None,
    *,
    forwarded: bool = False,
) -> RequestPlan:
    metadata = ForwardMetadata(
        'q', 's', '/', 0, 3000, left_ms, 3, True, True, False, None, homes
    )
    return build_plan(metadata, clock.now_ms(), forwarded=forwarded)


def region_selector(
    own: VmRecord, vms: list[VmRecord], clock: VirtualClock
) -> RegionSelector:
    selector = RegionSelector(own, clock, ChangingView(vms), random.Random(1))
    for region in {one.region for one in vms}:
        selector.slots[region, 's'] = 100
    return selector


def asked(
    context: Context, left_ms: int, homes: tuple[str, ...] | None = None
) -> set[str]:
    """Return the regions that requests go to; all are answered."""
    found = set()
    for _request in range(_REQUESTS):
        request = plan(context.clock, left_ms, homes)
        target = context.regions.select_in_time(request, _NOBODY, left_ms)
        if target is not None:
            found.add(target.region)
            context.regions.outlook.note_answer(target.region)
    return found


@given('a VM of north that may forward to south and west')
def forwarding_vm(context: Context) -> None:
    context.clock = VirtualClock()
    vms = [
        vm(f'{region}{number}', region)
        for region in ('north', 'south', 'west')
        for number in range(5)
    ]
    context.regions = region_selector(vms[0], vms, context.clock)


@when(
    'south reports a wait of {south:d} ms and west one of {west:d} ms, '
    '{path:d} ms away'
)
def reported(context: Context, south: int, west: int, path: int) -> None:
    for region, wait_ms in (('south', south), ('west', west)):
        request = plan(context.clock, 500)
        report = RegionReport(wait_ms, 200)
        context.regions.note_report(request, region, report, 200 + path)


@then('requests with {left:d} ms left are not forwarded')
def not_forwarded(context: Context, left: int) -> None:
    assert not asked(context, left)


@then('requests with {left:d} ms left go to {regions}')
def go_to(context: Context, left: int, regions: str) -> None:
    assert asked(context, left) == set(regions.split(' and '))


@then('{later:d} ms later requests with {left:d} ms left go to {regions}')
def go_later(context: Context, later: int, left: int, regions: str) -> None:
    context.clock.at_ms += later
    go_to(context, left, regions)


@then('requests with {left:d} ms left and homes {homes} go to {regions}')
def stay_home(context: Context, left: int, homes: str, regions: str) -> None:
    found = asked(context, left, tuple(homes.split(',')))
    assert found == set(regions.split(' and ')), found


@when(
    'requests to south get no answer for {length:d} s while those to west do, '
    '{sign}'
)
def unanswered(context: Context, length: int, sign: str) -> None:
    regions = context.regions
    context.lost_ms = []
    for _request in range(length * 100):
        request = plan(context.clock, 500)
        target = regions.select_in_time(request, _NOBODY, 500)
        assert target is not None
        if target.region == 'west':
            regions.outlook.note_answer('west')
        else:
            context.lost_ms.append(context.clock.at_ms)
            if sign == 'since they are not sent':
                regions.note_unreachable(target.vm_id)
        context.clock.at_ms += 10


@then('south got at most {most:d} requests after the first second')
def few_lost(context: Context, most: int) -> None:
    late = [at_ms for at_ms in context.lost_ms if at_ms >= 1000]
    assert 0 < len(late) <= most, late


@then('south is asked again once it answers')
def asked_again(context: Context) -> None:
    context.clock.at_ms += 1000
    assert asked(context, 500) == {'south', 'west'}


@then('a response with the region load "{value}" reports nothing')
@then('a response with the region load "" reports nothing')
def unreadable(context: Context, value: str = '') -> None:
    headers = [(REGION_LOAD_HEADER, value.encode())]
    head = ResponseHead(200, b'OK', headers, 0)
    assert read_region_report(head) is None
    valid = [(REGION_LOAD_HEADER, b'12,5')]
    head = ResponseHead(200, b'OK', valid, 0)
    assert read_region_report(head) == RegionReport(12, 5)


class FakePlacements:
    """Refuse every ask and keep its bound."""

    def __init__(self) -> None:
        self.bounds: list[int] = []

    async def ask(self, _plan: object, bound: int, _excluded: object):
        self.bounds.append(bound)
        return Granted(PlacementGrant(1, None, 0, 0, 900), 'd')


@given('a VM of north that asks for engines')
def asking_vm(context: Context) -> None:
    forwarding_vm(context)
    context.placements = FakePlacements()
    selector = SimpleNamespace(
        regions=context.regions,
        may_serve_here=lambda _plan: True,
        endpoints=SimpleNamespace(unusable=lambda *_: _NOBODY),
        granted_target=lambda *_: None,
    )
    adaptive = AdaptiveSelector(
        selector, context.placements, context.clock, random.Random(1)
    )
    context.results = [
        asyncio.run(
            adaptive.select(
                plan(context.clock, 500, forwarded=forwarded),
                SimpleNamespace(),
                Exclusions(),
            )
        )
        for forwarded in (False, True)
    ]


@then("a forwarded request leaves more time than one of the region's callers")
def smaller_allowance(context: Context) -> None:
    own, forwarded = context.placements.bounds
    assert forwarded < own < 500, context.placements.bounds


@then('a forwarded request is not forwarded again')
def forwarded_once(context: Context) -> None:
    own, forwarded = context.results
    assert own.ok.region in {'south', 'west'}
    assert forwarded.is_error()


@given('{count:d} VMs of three regions')
def many_vms(context: Context, count: int) -> None:
    context.vms = [
        vm(f'10.0.0.{number}', ('north', 'south', 'west')[number % 3])
        for number in range(count)
    ]
    context.partners = partners(context.vms)


def partners(vms: list[VmRecord]) -> dict[tuple[str, str], set[str]]:
    """Return the VMs that each VM forwards to, by its id and their region."""
    found = collections.defaultdict(set)
    clock = VirtualClock()
    for own in vms:
        regions = region_selector(own, vms, clock)
        for _request in range(_REQUESTS):
            target = regions.select_in_time(plan(clock, 500), _NOBODY, 500)
            found[own.vm_id, target.region].add(target.vm_id)
    return found


@then('each VM forwards to {count:d} VMs of each other region')
def fixed_count(context: Context, count: int) -> None:
    assert len(context.partners) == 2 * len(context.vms)
    assert {len(one) for one in context.partners.values()} == {count}


@then('no VM is the partner of more than {most:d} others of a region')
def spread(context: Context, most: int) -> None:
    regions = {one.vm_id: one.region for one in context.vms}
    counts = collections.Counter(
        (regions[own], partner)
        for (own, _region), chosen in context.partners.items()
        for partner in chosen
    )
    assert max(counts.values()) <= most, counts.most_common(3)


@then('when one VM leaves only its partners replace it, by one VM each')
def few_move(context: Context) -> None:
    gone = context.vms[7].vm_id
    left = [one for one in context.vms if one.vm_id != gone]
    for key, now in partners(left).items():
        before = context.partners[key]
        assert len(before - now) == (gone in before), (key, before, now)
