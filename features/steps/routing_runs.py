"""Check invariants of the routing decisions in random runs."""

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
from baobabwharf_core.requests import AttemptOutcome, RequestFacts
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
    """Hold the decisions of one VM."""

    def __init__(self, region: str, rng: random.Random) -> None:
        self.region = region
        self.rng = rng
        self.directory = EndpointDirectory(rng)
        self.dispatcher = Dispatcher(region, self.directory, rng)
        self.router = RegionRouter(region, {}, rng)
        self.deadlines = Deadlines()
        self.budget = RetryBudget()


class Truth:
    """Know what really holds of one endpoint."""

    def __init__(self, name: str, region: str) -> None:
        self.name = name
        self.region = region
        self.incarnation = 1
        self.beats = 0
        self.last_beat_ms = -LEASE_MS
        self.left = False
        self.silent = False
        self.sequence = 0
        self.cache: set[int] = set()
        self.unsent: list[CacheEvent] = []

    def churn(self, rng: random.Random) -> None:
        for _index in range(rng.randrange(4)):
            block = rng.randrange(12)
            kind = CacheEventKind.STORED
            if block in self.cache:
                kind = CacheEventKind.EVICTED
            self.cache ^= {block}
            self.sequence += 1
            self.unsent.append(CacheEvent(self.sequence, kind, block))


class Flight(msgspec.Struct, eq=False):
    """Follow one request and what is true of it."""

    facts: RequestFacts
    residency: tuple[str, ...]
    deadline_ms: int
    crossings: int = 0
    attempts: int = 0
    endpoint: str = ''
    vm: Vm | None = None


class RoutingRun:
    """Drive several VMs at random and note each broken check."""

    def __init__(self, seed: int, fault: str) -> None:
        self.rng = random.Random(seed)
        self.fault = fault
        self.now_ms = 10_000
        self.broken: Counter[str] = Counter()
        self.seen: Counter[str] = Counter()
        self.vms = [Vm(name, self.rng) for name in REGIONS for _ in range(2)]
        self.truths = {
            f'{region}{index}': Truth(f'{region}{index}', region)
            for region in REGIONS
            for index in range(3)
        }
        self.running: list[Flight] = []
        self.waiting: dict = {}
        self.count = 0

    def check(self, name: str, holds: bool) -> None:
        if not holds:
            self.broken[name] += 1

    def run(self) -> None:
        for truth in self.truths.values():
            self.announce(truth)
            self.beat(truth)
        actions = (
            [self.request] * 6
            + [self.end] * 5
            + [self.beat_any] * 5
            + [self.publish] * 2
            + [self.change_endpoint, self.advance, self.advance]
        )
        for _step in range(STEPS):
            self.rng.choice(actions)()
            self.pump()
        self.spill()

    def advance(self) -> None:
        self.now_ms += self.rng.randrange(400)
        for vm in self.vms:
            for ticket, refusal in vm.dispatcher.expire(self.now_ms):
                self.waiting.pop(ticket)
                self.check('refusal', refusal.executed is Executed.NO)
            if self.rng.random() < 0.5:
                vm.directory.tick(self.now_ms)

    def change_endpoint(self) -> None:
        truth = self.rng.choice(list(self.truths.values()))
        draw = self.rng.random()
        if draw < 0.3:
            truth.silent = not truth.silent
        elif draw < 0.5 and not truth.silent:
            truth.left = True
            self.beat(truth)
        elif truth.left or draw > 0.8:
            truth.incarnation += 1
            truth.left = truth.silent = False
            truth.beats = 0
            truth.sequence = 0
            truth.cache.clear()
            truth.unsent.clear()
            self.announce(truth)
            self.beat(truth)

    def announce(self, truth: Truth) -> None:
        announcement = Announcement(
            truth.name,
            'chat',
            truth.region,
            'z',
            'http://127.0.0.1',
            truth.incarnation,
            ('m',),
            slots=3,
        )
        truth.last_beat_ms = self.now_ms
        for vm in self.of(truth.region):
            vm.directory.announce(announcement, self.now_ms)

    def beat_any(self) -> None:
        self.beat(self.rng.choice(list(self.truths.values())))

    def beat(self, truth: Truth) -> None:
        if truth.silent:
            return
        truth.churn(self.rng)
        truth.beats += 1
        events = tuple(truth.unsent)
        truth.unsent.clear()
        if self.rng.random() < 0.2:
            events = ()
        load = LoadReport(self.rng.randrange(4), 0, self.rng.randrange(500))
        beat = Heartbeat(
            truth.name,
            truth.incarnation,
            truth.beats,
            load,
            events,
            truth.left,
        )
        for vm in self.of(truth.region):
            step = vm.directory.heartbeat(beat, self.now_ms)
            if step.outcome.value == 'accepted':
                truth.last_beat_ms = self.now_ms
                if events:
                    self.check_cache(vm, truth)

    def check_cache(self, vm: Vm, truth: Truth) -> None:
        view = vm.directory.endpoints[truth.name].cache
        for block in range(12):
            if view.trusted_share((block,)) == 1:
                self.check('cache', block in truth.cache)

    def publish(self) -> None:
        region = self.rng.choice(REGIONS)
        speaker = self.of(region)[0]
        summary = summarise(
            region, speaker.directory, (), self.now_ms, 2, self.now_ms
        )
        for vm in self.vms:
            if vm.region != region and self.rng.random() < 0.8:
                vm.router.on_summary(summary, self.now_ms)

    def request(self) -> None:
        self.count += 1
        residency = self.rng.choice(((), (), ('a',), ('b', 'c')))
        stale = () if self.rng.random() < 0.1 else residency
        deadline_ms = self.rng.choice((300, 2000, 20_000))
        facts = RequestFacts(
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
        deadline_at_ms = vm.deadlines.of(facts, self.now_ms)
        flight = Flight(facts, residency, deadline_at_ms)
        self.route(flight, vm)

    def route(self, flight: Flight, vm: Vm) -> None:
        facts = flight.facts
        home = vm.dispatcher.local_estimate(facts, self.now_ms)
        peers = RegionVmCounts(dict.fromkeys(REGIONS, 2), vm.region)
        choice = vm.router.choose(facts, home, peers, 1.0, self.now_ms)
        if choice.is_error():
            self.seen['refused'] += 1
            self.check('refusal', choice.error.executed is Executed.NO)
        elif choice.ok.region == vm.region:
            self.admit(flight, vm, frozenset())
        elif flight.crossings < 3:
            self.forward(flight, choice.ok.region)

    def forward(self, flight: Flight, region: str) -> None:
        flight.crossings += 1
        self.seen['forwarded'] += 1
        self.check('hops', flight.crossings <= 1)
        hop = 0 if self.fault == 'second hop' else 1
        # The VM that calls the endpoint knows the residency in force.
        residency = flight.residency
        if self.fault == 'residency at entry':
            residency = ()
        left_ms = max(1, flight.deadline_ms - self.now_ms)
        flight.facts = msgspec.structs.replace(
            flight.facts, hop=hop, residency=residency, deadline_ms=left_ms
        )
        self.route(flight, self.rng.choice(self.of(region)))

    def admit(self, flight: Flight, vm: Vm, excluded: frozenset) -> None:
        facts = flight.facts
        if facts.hop == 0:
            truth = flight.residency
            if truth and vm.region not in truth:
                # The entry VM acts on a stale residency of its own.
                return
        flight.vm = vm
        if self.fault == 'deadline restarted':
            deadline_ms = self.now_ms + facts.deadline_ms
        else:
            deadline_ms = vm.deadlines.of(facts, self.now_ms)
        if deadline_ms <= self.now_ms:
            return
        found = vm.dispatcher.place_now(facts, excluded, self.now_ms)
        if found is not None:
            self.launch(flight, found.endpoint.endpoint_id)
            return
        ticket = vm.dispatcher.enqueue(
            facts, excluded, deadline_ms, self.now_ms
        )
        if ticket.is_ok():
            self.waiting[ticket.ok] = flight
        else:
            self.seen['refused'] += 1
            self.check('refusal', ticket.error.executed is Executed.NO)

    def launch(self, flight: Flight, name: str) -> None:
        truth = self.truths[name]
        allowed = flight.residency
        self.seen['placed'] += 1
        self.check('residency', not allowed or truth.region in allowed)
        silent_ms = self.now_ms - truth.last_beat_ms
        self.check('lease', silent_ms < LEASE_MS and not truth.left)
        self.check('deadline', self.now_ms < flight.deadline_ms)
        flight.endpoint = name
        flight.attempts += 1
        self.running.append(flight)

    def end(self) -> None:
        if not self.running:
            return
        flight = self.running.pop(self.rng.randrange(len(self.running)))
        vm = flight.vm
        outcome = AttemptOutcome(
            flight.endpoint,
            self.rng.random() < 0.7,
            self.rng.random() < 0.5,
            100,
            1000,
            20,
        )
        vm.directory.ended(outcome, self.now_ms)
        vm.dispatcher.settle_charge(flight.facts, outcome)
        if not outcome.succeeded:
            self.retry(flight, vm, outcome)

    def retry(self, flight: Flight, vm: Vm, outcome: AttemptOutcome) -> None:
        facts = flight.facts
        vm.budget.earn()
        vm.budget.earn()
        if self.fault == 'booking retried':
            facts = msgspec.structs.replace(facts, repeatable=True)
        left_ms = vm.deadlines.of(facts, self.now_ms) - self.now_ms
        answer = decide_retry(
            facts, outcome, flight.attempts, left_ms, vm.budget, self.rng
        )
        if answer.is_error():
            said_no = answer.error.executed is Executed.NO
            self.check('refusal', not (said_no and outcome.sent))
            return
        self.seen['retried'] += 1
        may_repeat = flight.facts.repeatable or not outcome.sent
        self.check('retry', may_repeat)
        self.now_ms += answer.ok
        self.admit(flight, vm, frozenset((outcome.endpoint_id,)))

    def pump(self) -> None:
        for vm in self.vms:
            for ticket, found in vm.dispatcher.place_all_waiting(self.now_ms):
                flight = self.waiting.pop(ticket)
                self.launch(flight, found.endpoint.endpoint_id)

    def spill(self) -> None:
        """Let four VMs of two crowded regions act on one report."""
        room = 8
        group = GroupSummary('chat', 'm', 20, 20 - room, 1000.0, 0.1)
        summary = RegionSummary('c', 1 << 60, 2, (group,))
        peers = RegionVmCounts(dict.fromkeys(REGIONS, 2), 'a')
        crowded = LocalEstimate(True, 50_000.0, 50_000.0)
        moved = 0
        for region in ('a', 'b'):
            for _index in range(2):
                router = RegionRouter(region, {}, self.rng)
                router.on_summary(summary, self.now_ms)
                for _request in range(40):
                    self.count += 1
                    facts = crowd_facts(self.count)
                    choice = router.choose(
                        facts, crowded, peers, 1.0, self.now_ms
                    )
                    moved += choice.ok.region == 'c'
        # Each of the four VMs may round its part of the room up.
        self.check('spill', moved <= room + 4)
        self.seen['spilled'] += moved

    def of(self, region: str) -> list[Vm]:
        return [vm for vm in self.vms if vm.region == region]


def crowd_facts(number: int) -> RequestFacts:
    return RequestFacts(
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
        RegionRouter, '_has_room', lambda self, group, sent, share: True
    ),
}


def run_all(context: Context, count: int, seed: int, fault: str) -> None:
    print(f'routing runs: seeds {seed} to {seed + count - 1}, fault {fault!r}')
    context.broken = Counter()
    context.seen = Counter()
    for each in range(seed, seed + count):
        run = RoutingRun(each, fault)
        patch = FAULTS.get(fault)
        if patch is None:
            run.run()
        else:
            with patch:
                run.run()
        context.broken += run.broken
        context.seen += run.seen


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
    assert not context.broken, context.broken


@then('the routing runs placed, forwarded, refused and retried requests')
def all_seen(context: Context) -> None:
    for name in ('placed', 'forwarded', 'refused', 'retried', 'spilled'):
        assert context.seen[name] > 20, context.seen


@then('the routing check "{check}" is broken')
def check_broken(context: Context, check: str) -> None:
    assert context.broken[check] > 0, context.broken


def count_away(requests: int, share: float) -> int:
    router = RegionRouter('a', {}, random.Random(1))
    group = GroupSummary('chat', 'm', 100_000, 0, 1000.0, 0.1)
    router.on_summary(RegionSummary('b', 1, 2, (group,)), 0)
    peers = RegionVmCounts({'a': 1, 'b': 1}, 'a')
    crowded = LocalEstimate(True, 50_000.0, 50_000.0)
    away = 0
    for number in range(requests):
        choice = router.choose(crowd_facts(number), crowded, peers, share, 10)
        away += choice.ok.region != 'a'
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
    """Let endpoints of a directory fail."""

    def __init__(self, failing: int) -> None:
        self.directory = EndpointDirectory(random.Random(1))
        for index in range(3):
            name = f'e{index}'
            self.directory.announce(
                Announcement(name, 'chat', 'a', 'z', 'http://x', 1, ('m',)), 0
            )
            self.beat(name, 1, 0)
        for index in range(failing):
            for _failure in range(5):
                failed = AttemptOutcome(f'e{index}', False, True)
                self.directory.ended(failed, 100)

    def beat(self, name: str, sequence: int, now_ms: int) -> None:
        beat = Heartbeat(name, 1, sequence, LoadReport(0, 0))
        self.directory.heartbeat(beat, now_ms)

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
    subject.beat('e0', 2, 2200)
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
    run = Run('samiti', 'half_lost', 'ours', 1)
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
    """Forward requests without telling the router of their end."""

    def __init__(self) -> None:
        self.router = RegionRouter('a', {}, random.Random(1))
        self.peers = RegionVmCounts({'a': 1, 'b': 1}, 'a')
        self.number = 0

    def forwards(self, now_ms: int) -> bool:
        self.number += 1
        group = GroupSummary('chat', 'm', 20, 0, 1000.0, 0.1)
        summary = RegionSummary('b', self.number, 1, (group,))
        self.router.on_summary(summary, now_ms)
        self.router.in_flight.expire(now_ms)
        home = LocalEstimate(True, 3000.0, 3000.0)
        facts = crowd_facts(self.number)
        choice = self.router.choose(facts, home, self.peers, 1.0, now_ms)
        return choice.ok.region == 'b'


@when('routing forwards {count:d} requests whose end is never reported')
def forward_unreported(context: Context, count: int) -> None:
    context.subject = UnreportedSubject()
    moved = [context.subject.forwards(1000) for _index in range(count)]
    assert sum(moved) >= 10, moved


@then('routing still forwards work to that region two mean times later')
def still_forwards(context: Context) -> None:
    later = [context.subject.forwards(4000) for _index in range(20)]
    assert sum(later) >= 10, later
