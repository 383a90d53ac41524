"""Test invariants of the routing decisions in random runs."""

import random
from collections import Counter
from unittest import mock

import msgspec
from baobabwharf_core.announcements import (
    Announcement,
    CacheEvent,
    CacheEventKind,
    Heartbeat,
    LoadReport,
)
from baobabwharf_core.refusals import Executed
from baobabwharf_core.requests import AttemptOutcome, RequestAttributes
from baobabwharf_decisions.deadlines import Deadlines
from baobabwharf_decisions.dispatcher import Dispatcher
from baobabwharf_decisions.endpoint_directory import EndpointDirectory
from baobabwharf_decisions.endpoints import EndpointState
from baobabwharf_decisions.prefixes import CacheView
from baobabwharf_decisions.retries import RetryBudget, decide_retry
from baobabwharf_decisions.routing import (
    LocalEstimate,
    RegionRouter,
    RegionVmCounts,
)
from baobabwharf_decisions.summaries import (
    GroupSummary,
    RegionSummary,
    summarise,
)
from baobabwharf_testkit import policy_bench, policy_load
from baobabwharf_testkit.policy_bench import Run
from behave import then, when
from behave.runner import Context

REGIONS = ('a', 'b', 'c')
LEASE_MS = 3000
STEPS = 1500


class Vm:
    """Hold the decision objects of one VM."""

    def __init__(self, region: str, rng: random.Random) -> None:
        self.region = region
        self.rng = rng
        self.directory = EndpointDirectory(rng)
        self.dispatcher = Dispatcher(region, self.directory, rng)
        self.router = RegionRouter(region, {}, rng)
        self.deadlines = Deadlines()
        self.budget = RetryBudget()


class ActualEndpoint:
    """Hold the actual state of one endpoint, as opposed to what VMs know."""

    def __init__(self, name: str, region: str) -> None:
        self.name = name
        self.region = region
        self.incarnation = 1
        self.heartbeats = 0
        self.last_heartbeat_ms = -LEASE_MS
        self.left = False
        self.silent = False
        self.sequence = 0
        self.cache: set[int] = set()
        self.unsent: list[CacheEvent] = []

    def change_cache(self, rng: random.Random) -> None:
        for _index in range(rng.randrange(4)):
            block = rng.randrange(12)
            kind = CacheEventKind.STORED
            if block in self.cache:
                kind = CacheEventKind.EVICTED
            self.cache ^= {block}
            self.sequence += 1
            self.unsent.append(CacheEvent(self.sequence, kind, block))


class TrackedRequest(msgspec.Struct, eq=False):
    """Hold a request with its actual residency and deadline."""

    attributes: RequestAttributes
    residency: tuple[str, ...]
    deadline_ms: int
    crossings: int = 0
    attempts: int = 0
    endpoint: str = ''
    vm: Vm | None = None


class RoutingRun:
    """Drive several VMs at random and count each violated check."""

    def __init__(self, seed: int, fault: str) -> None:
        self.rng = random.Random(seed)
        self.fault = fault
        self.now_ms = 10_000
        self.violated: Counter[str] = Counter()
        self.counts: Counter[str] = Counter()
        self.vms = [Vm(name, self.rng) for name in REGIONS for _ in range(2)]
        self.actual_endpoints = {
            f'{region}{index}': ActualEndpoint(f'{region}{index}', region)
            for region in REGIONS
            for index in range(3)
        }
        self.running: list[TrackedRequest] = []
        self.waiting: dict = {}
        self.count = 0

    def check(self, name: str, holds: bool) -> None:
        if not holds:
            self.violated[name] += 1

    def run(self) -> None:
        for actual in self.actual_endpoints.values():
            self.announce(actual)
            self.heartbeat(actual)
        actions = (
            [self.request] * 6
            + [self.end] * 5
            + [self.heartbeat_any] * 5
            + [self.publish] * 2
            + [self.change_endpoint, self.advance, self.advance]
        )
        for _step in range(STEPS):
            self.rng.choice(actions)()
            self.place_waiting()
        self.check_spillover()

    def advance(self) -> None:
        self.now_ms += self.rng.randrange(400)
        for vm in self.vms:
            for ticket, refusal in vm.dispatcher.expire(self.now_ms):
                self.waiting.pop(ticket)
                self.check('refusal', refusal.executed is Executed.NO)
            if self.rng.random() < 0.5:
                vm.directory.tick(self.now_ms)

    def change_endpoint(self) -> None:
        actual = self.rng.choice(list(self.actual_endpoints.values()))
        draw = self.rng.random()
        if draw < 0.3:
            actual.silent = not actual.silent
        elif draw < 0.5 and not actual.silent:
            actual.left = True
            self.heartbeat(actual)
        elif actual.left or draw > 0.8:
            actual.incarnation += 1
            actual.left = actual.silent = False
            actual.heartbeats = 0
            actual.sequence = 0
            actual.cache.clear()
            actual.unsent.clear()
            self.announce(actual)
            self.heartbeat(actual)

    def announce(self, actual: ActualEndpoint) -> None:
        announcement = Announcement(
            actual.name,
            'chat',
            actual.region,
            'z',
            'http://127.0.0.1',
            actual.incarnation,
            ('m',),
            slots=3,
        )
        actual.last_heartbeat_ms = self.now_ms
        for vm in self.vms_in(actual.region):
            vm.directory.announce(announcement, self.now_ms)

    def heartbeat_any(self) -> None:
        self.heartbeat(self.rng.choice(list(self.actual_endpoints.values())))

    def heartbeat(self, actual: ActualEndpoint) -> None:
        if actual.silent:
            return
        actual.change_cache(self.rng)
        actual.heartbeats += 1
        events = tuple(actual.unsent)
        actual.unsent.clear()
        if self.rng.random() < 0.2:
            events = ()
        load = LoadReport(self.rng.randrange(4), 0, self.rng.randrange(500))
        heartbeat = Heartbeat(
            actual.name,
            actual.incarnation,
            actual.heartbeats,
            load,
            events,
            actual.left,
        )
        for vm in self.vms_in(actual.region):
            step = vm.directory.heartbeat(heartbeat, self.now_ms)
            if step.outcome.value == 'accepted':
                actual.last_heartbeat_ms = self.now_ms
                if events:
                    self.check_cache(vm, actual)

    def check_cache(self, vm: Vm, actual: ActualEndpoint) -> None:
        view = vm.directory.endpoints[actual.name].cache
        for block in range(12):
            if view.trusted_share((block,)) == 1:
                self.check('cache', block in actual.cache)

    def publish(self) -> None:
        region = self.rng.choice(REGIONS)
        publisher = self.vms_in(region)[0]
        summary = summarise(
            region, publisher.directory, (), self.now_ms, 2, self.now_ms
        )
        for vm in self.vms:
            if vm.region != region and self.rng.random() < 0.8:
                vm.router.on_summary(summary, self.now_ms)

    def request(self) -> None:
        self.count += 1
        residency = self.rng.choice(((), (), ('a',), ('b', 'c')))
        stale = () if self.rng.random() < 0.1 else residency
        deadline_ms = self.rng.choice((300, 2000, 20_000))
        attributes = RequestAttributes(
            f'q{self.count}',
            f'c{self.count % 4}',
            'chat',
            'interactive',
            stale,
            deadline_ms,
            self.rng.choice((500, 60_000)),
            'm',
            100,
            50,
            1000,
            (self.rng.randrange(12),),
            self.rng.random() < 0.5,
        )
        vm = self.rng.choice(self.vms)
        deadline_at_ms = vm.deadlines.of(attributes, self.now_ms)
        tracked = TrackedRequest(attributes, residency, deadline_at_ms)
        self.route(tracked, vm)

    def route(self, tracked: TrackedRequest, vm: Vm) -> None:
        attributes = tracked.attributes
        local = vm.dispatcher.local_estimate(attributes, self.now_ms)
        vm_counts = RegionVmCounts(dict.fromkeys(REGIONS, 2), vm.region)
        decision = vm.router.choose(
            attributes, local, vm_counts, 1.0, self.now_ms
        )
        if decision.is_error():
            self.counts['refused'] += 1
            self.check('refusal', decision.error.executed is Executed.NO)
        elif decision.ok.region == vm.region:
            self.admit(tracked, vm, frozenset())
        elif tracked.crossings < 3:
            self.forward(tracked, decision.ok.region)

    def forward(self, tracked: TrackedRequest, region: str) -> None:
        tracked.crossings += 1
        self.counts['forwarded'] += 1
        self.check('hops', tracked.crossings <= 1)
        hop = 0 if self.fault == 'second hop' else 1
        # The VM that calls the endpoint knows the current residency.
        residency = tracked.residency
        if self.fault == 'residency at entry':
            residency = ()
        left_ms = max(1, tracked.deadline_ms - self.now_ms)
        tracked.attributes = msgspec.structs.replace(
            tracked.attributes,
            hop=hop,
            residency=residency,
            deadline_ms=left_ms,
        )
        self.route(tracked, self.rng.choice(self.vms_in(region)))

    def admit(
        self, tracked: TrackedRequest, vm: Vm, excluded: frozenset
    ) -> None:
        attributes = tracked.attributes
        if attributes.hop == 0:
            actual = tracked.residency
            if actual and vm.region not in actual:
                # The entry VM acts on a stale residency.
                return
        tracked.vm = vm
        if self.fault == 'deadline restarted':
            deadline_ms = self.now_ms + attributes.deadline_ms
        else:
            deadline_ms = vm.deadlines.of(attributes, self.now_ms)
        if deadline_ms <= self.now_ms:
            return
        found = vm.dispatcher.place_now(attributes, excluded, self.now_ms)
        if found is not None:
            self.launch(tracked, found.endpoint.endpoint_id)
            return
        ticket = vm.dispatcher.enqueue(
            attributes, excluded, deadline_ms, self.now_ms
        )
        if ticket.is_ok():
            self.waiting[ticket.ok] = tracked
        else:
            self.counts['refused'] += 1
            self.check('refusal', ticket.error.executed is Executed.NO)

    def launch(self, tracked: TrackedRequest, name: str) -> None:
        actual = self.actual_endpoints[name]
        allowed = tracked.residency
        self.counts['placed'] += 1
        self.check('residency', not allowed or actual.region in allowed)
        silent_ms = self.now_ms - actual.last_heartbeat_ms
        self.check('lease', silent_ms < LEASE_MS and not actual.left)
        self.check('deadline', self.now_ms < tracked.deadline_ms)
        tracked.endpoint = name
        tracked.attempts += 1
        self.running.append(tracked)

    def end(self) -> None:
        if not self.running:
            return
        tracked = self.running.pop(self.rng.randrange(len(self.running)))
        vm = tracked.vm
        outcome = AttemptOutcome(
            tracked.endpoint,
            self.rng.random() < 0.7,
            self.rng.random() < 0.5,
            100,
            1000,
            20,
        )
        vm.directory.ended(outcome, self.now_ms)
        vm.dispatcher.settle_charge(tracked.attributes, outcome)
        if not outcome.succeeded:
            self.retry(tracked, vm, outcome)

    def retry(
        self, tracked: TrackedRequest, vm: Vm, outcome: AttemptOutcome
    ) -> None:
        attributes = tracked.attributes
        vm.budget.earn()
        vm.budget.earn()
        if self.fault == 'booking retried':
            attributes = msgspec.structs.replace(attributes, repeatable=True)
        left_ms = vm.deadlines.of(attributes, self.now_ms) - self.now_ms
        answer = decide_retry(
            attributes, outcome, tracked.attempts, left_ms, vm.budget, self.rng
        )
        if answer.is_error():
            said_no = answer.error.executed is Executed.NO
            self.check('refusal', not (said_no and outcome.sent))
            return
        self.counts['retried'] += 1
        may_repeat = tracked.attributes.repeatable or not outcome.sent
        self.check('retry', may_repeat)
        self.now_ms += answer.ok
        self.admit(tracked, vm, frozenset((outcome.endpoint_id,)))

    def place_waiting(self) -> None:
        for vm in self.vms:
            for ticket, found in vm.dispatcher.place_all_waiting(self.now_ms):
                tracked = self.waiting.pop(ticket)
                self.launch(tracked, found.endpoint.endpoint_id)

    def check_spillover(self) -> None:
        """Let four VMs of two overloaded regions act on one summary."""
        room = 8
        group = GroupSummary('chat', 'm', 20, 20 - room, 1000.0, 0.1)
        summary = RegionSummary('c', 1 << 60, 2, (group,))
        vm_counts = RegionVmCounts(dict.fromkeys(REGIONS, 2), 'a')
        overloaded = LocalEstimate(True, 50_000.0, 50_000.0)
        moved = 0
        for region in ('a', 'b'):
            for _index in range(2):
                router = RegionRouter(region, {}, self.rng)
                router.on_summary(summary, self.now_ms)
                for _request in range(40):
                    self.count += 1
                    attributes = overload_attributes(self.count)
                    decision = router.choose(
                        attributes, overloaded, vm_counts, 1.0, self.now_ms
                    )
                    moved += decision.ok.region == 'c'
        # Each of the four VMs may round its share of the room up.
        self.check('spill', moved <= room + 4)
        self.counts['spilled'] += moved

    def vms_in(self, region: str) -> list[Vm]:
        return [vm for vm in self.vms if vm.region == region]


def overload_attributes(number: int) -> RequestAttributes:
    return RequestAttributes(
        f's{number}', 'c', 'chat', 'interactive', (), 60_000, 500, 'm', 100, 50
    )


FAULTS = {
    'cache gap believed': mock.patch.object(
        CacheView, '_notice_gap', lambda self, sequence: []
    ),
    'lease ignored': mock.patch.object(
        EndpointState,
        'usable',
        lambda self, now_ms, panic=False: self.state in {'serving', 'leaving'},
    ),
    'spill not damped': mock.patch.object(
        RegionRouter, '_has_room', lambda self, group, sent, sharing_vms: True
    ),
}


def run_all(context: Context, count: int, seed: int, fault: str) -> None:
    print(f'routing runs: seeds {seed} to {seed + count - 1}, fault {fault!r}')
    context.violated = Counter()
    context.counts = Counter()
    for each in range(seed, seed + count):
        run = RoutingRun(each, fault)
        patch = FAULTS.get(fault)
        if patch is None:
            run.run()
        else:
            with patch:
                run.run()
        context.violated += run.violated
        context.counts += run.counts


@when('routing runs {count:d} random runs from seed {seed:d}')
def run_random(context: Context, count: int, seed: int) -> None:
    run_all(context, count, seed, '')


@when(
    'routing runs {count:d} random runs from seed {seed:d} '
    'with the fault "{fault}"'
)
def run_faulty(context: Context, count: int, seed: int, fault: str) -> None:
    run_all(context, count, seed, fault)


@then('no routing invariant is broken')
def none_broken(context: Context) -> None:
    assert not context.violated, context.violated


@then('the routing runs placed, forwarded, refused and retried requests')
def all_seen(context: Context) -> None:
    for name in ('placed', 'forwarded', 'refused', 'retried', 'spilled'):
        assert context.counts[name] > 20, context.counts


@then('the routing check "{check}" is broken')
def check_broken(context: Context, check: str) -> None:
    assert context.violated[check] > 0, context.violated


def count_away(requests: int, share: float) -> int:
    router = RegionRouter('a', {}, random.Random(1))
    group = GroupSummary('chat', 'm', 100_000, 0, 1000.0, 0.1)
    router.on_summary(RegionSummary('b', 1, 2, (group,)), 0)
    vm_counts = RegionVmCounts({'a': 1, 'b': 1}, 'a')
    overloaded = LocalEstimate(True, 50_000.0, 50_000.0)
    away = 0
    for number in range(requests):
        decision = router.choose(
            overload_attributes(number), overloaded, vm_counts, share, 10
        )
        away += decision.ok.region != 'a'
    return away


@when('routing sends {requests:d} requests of a class that may not leave')
def send_none(context: Context, requests: int) -> None:
    context.away = count_away(requests, 0.0)


@when(
    'routing sends {requests:d} requests with an away share of {share:g} '
    'under pressure'
)
def send_some(context: Context, requests: int, share: float) -> None:
    context.away = count_away(requests, share)


@then('routing kept all of them at home')
def kept(context: Context) -> None:
    assert context.away == 0, context.away


@then('routing moved at least {least:d} and at most {most:d} of them')
def moved(context: Context, least: int, most: int) -> None:
    assert least <= context.away <= most, context.away


class EjectionSubject:
    """Hold a directory with some failing endpoints."""

    def __init__(self, failing: int) -> None:
        self.directory = EndpointDirectory(random.Random(1))
        for index in range(3):
            name = f'e{index}'
            self.directory.announce(
                Announcement(name, 'chat', 'a', 'z', 'http://x', 1, ('m',)), 0
            )
            self.heartbeat(name, 1, 0)
        for index in range(failing):
            for _failure in range(5):
                failed = AttemptOutcome(f'e{index}', False, True)
                self.directory.ended(failed, 100)

    def heartbeat(self, name: str, sequence: int, now_ms: int) -> None:
        heartbeat = Heartbeat(name, 1, sequence, LoadReport(0, 0))
        self.directory.heartbeat(heartbeat, now_ms)

    def usable(self, now_ms: int) -> list[str]:
        return [
            name
            for name, known in self.directory.endpoints.items()
            if self.directory.may_use(known, now_ms)
        ]


@then('routing ejects one failing endpoint of three')
def ejects(context: Context) -> None:
    subject = EjectionSubject(1)
    assert subject.usable(200) == ['e1', 'e2']
    subject.heartbeat('e0', 2, 2200)
    subject.directory.tick(2200)
    returned = subject.directory.endpoints['e0']
    assert returned.state == 'slow_start', returned.state
    assert returned.room(2200) == 1
    assert returned.room(2200 + 2500) == 4


@then('routing ignores ejection when most endpoints fail')
def panics(context: Context) -> None:
    assert EjectionSubject(2).usable(200) == ['e0', 'e1', 'e2']


@then('the routing comparison gives equal figures twice and spills a part')
def same_figures(context: Context) -> None:
    run = Run(deployment='samiti', scenario='half_lost', policy='ours', seed=1)
    short = mock.patch.object(policy_load, 'DURATION_MS', 100_000)
    early = mock.patch.multiple(
        policy_bench, DURATION_MS=100_000, EVENT_FROM_MS=50_000
    )
    with short, early:
        figures = policy_bench.execute(run)
        print(f'routing comparison: {figures}')
        assert figures == policy_bench.execute(run)
    assert 0 < figures['away'] < 0.5, figures


class UnreportedSubject:
    """Forward requests without reporting their end to the router."""

    def __init__(self) -> None:
        self.router = RegionRouter('a', {}, random.Random(1))
        self.vm_counts = RegionVmCounts({'a': 1, 'b': 1}, 'a')
        self.number = 0

    def forwards(self, now_ms: int) -> bool:
        self.number += 1
        group = GroupSummary('chat', 'm', 20, 0, 1000.0, 0.1)
        summary = RegionSummary('b', self.number, 1, (group,))
        self.router.on_summary(summary, now_ms)
        self.router.in_flight.expire(now_ms)
        local = LocalEstimate(True, 3000.0, 3000.0)
        attributes = overload_attributes(self.number)
        decision = self.router.choose(
            attributes, local, self.vm_counts, 1.0, now_ms
        )
        return decision.ok.region == 'b'


@when('routing forwards {count:d} requests whose end is never reported')
def forward_unreported(context: Context, count: int) -> None:
    context.subject = UnreportedSubject()
    moved = [context.subject.forwards(1000) for _index in range(count)]
    assert sum(moved) >= 10, moved


@then('routing still forwards work to that region two mean times later')
def still_forwards(context: Context) -> None:
    later = [context.subject.forwards(4000) for _index in range(20)]
    assert sum(later) >= 10, later
