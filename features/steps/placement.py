"""Place the requests of many VMs on emulated engines."""

import heapq
import itertools
import random
import statistics
from collections.abc import Callable

from baobabwharf_core.deployment import DeployedService, EngineSpec
from baobabwharf_core.ids import EndpointId, ServiceId, VmId
from baobabwharf_daemon.proxy.endpoint_chooser import EndpointChooser
from baobabwharf_daemon.proxy.request_plan import ForwardMetadata, build_plan
from baobabwharf_decisions.proxying.adaptive_placement import (
    COMPARE_ALL,
    AdaptivePlacement,
)
from baobabwharf_decisions.proxying.endpoint_load import (
    Candidate,
    EndpointLoad,
)
from baobabwharf_decisions.proxying.engine_profile import EngineSpeed
from baobabwharf_decisions.proxying.expected_time import (
    EngineRequest,
    ExpectedTime,
)
from baobabwharf_decisions.proxying.placement_ledger import PlacementLedger
from baobabwharf_decisions.proxying.placement_messages import (
    PlacementAsk,
    PlacementGrant,
    PlacementProgress,
)
from baobabwharf_decisions.proxying.prompt_cache import Prompt, PromptPart
from baobabwharf_decisions.proxying.prompt_placement import (
    URGENT_SHARE,
    PlacementRequest,
    PromptPlacement,
)
from baobabwharf_decisions.proxying.work_mix import WorkMix
from baobabwharf_testkit.engine_emulator import (
    CACHE_TOKENS,
    PREFILL_TOKENS_PER_MS,
    EmulatedRequest,
    Engine,
    RequestKind,
)
from behave import given, then, when
from behave.runner import Context

SLOTS = 128
TOKENS_PER_EVENT = 9
SERVICE = ServiceId('model')
VM = VmId('vm0')
VM_COUNT = 30
LOAD_AGE_MS = 200
REPORT_DELAY_MS = 20
# Network and scheduling, which the emulator does not have.
OVERHEAD_MS = 25
SHORT = RequestKind(
    'short', 13.3, 568, 1800, 27, 522, 3134, 0, 80, TOKENS_PER_EVENT
)
LONG = RequestKind(
    'long', 1.85, 5382, 6610, 378, 1545, 12_363, 2, 20, TOKENS_PER_EVENT
)
SERVICE_SPEC = DeployedService(
    SERVICE, engine=EngineSpec(SLOTS, CACHE_TOKENS, TOKENS_PER_EVENT)
)
Slowdown = Callable[[float], float]


class LedgerVms:
    """Place all VMs' requests through one ledger, with delayed reports."""

    def __init__(self, seed: int, engines: int) -> None:
        rng = random.Random(seed)
        self.ledger = PlacementLedger(AdaptivePlacement(rng, COMPARE_ALL))
        self.engines = [
            Candidate(
                EndpointId(f'e{number}'), EndpointLoad(CACHE_TOKENS), SLOTS
            )
            for number in range(engines)
        ]
        self._numbers = itertools.count(1)

    def place(self, vm_id: VmId, request: EngineRequest):
        ask = PlacementAsk(
            next(self._numbers),
            SERVICE,
            request.rank,
            int(request.bound_ms),
            request.deadline_left_ms,
            tuple((part.part_id, part.tokens) for part in request.prompt),
        )
        grant = self.ledger.grant(
            vm_id, ask, self.engines, TOKENS_PER_EVENT, request.now_ms
        )
        if grant.endpoint_id is None:
            return None
        return grant.endpoint_id, grant.first_event_ms, ask.number

    def note(self, vm_id, placed, first_event_ms, percent, now_ms, ended):
        progress = PlacementProgress(
            placed[2], first_event_ms, ended=ended, percent=percent
        )
        self.ledger.note(vm_id, progress, now_ms)

    def tell(self, now_ms: int) -> None:
        """Nothing is told but reports."""


class StaleVms:
    """Let each VM place by its own requests and by others' older loads."""

    def __init__(self, seed: int, engines: int, vms: int) -> None:
        rng = random.Random(seed)
        self._loads = {
            VmId(f'vm{vm}'): [
                EndpointLoad(CACHE_TOKENS) for _engine in range(engines)
            ]
            for vm in range(vms)
        }
        self._placement = AdaptivePlacement(rng)
        self._mix = {vm_id: WorkMix() for vm_id in self._loads}
        self._told_ms = 0

    def place(self, vm_id: VmId, request: EngineRequest):
        candidates = [
            Candidate(EndpointId(f'e{number}'), load, SLOTS)
            for number, load in enumerate(self._loads[vm_id])
        ]
        mix = self._mix[vm_id]
        share = mix.long_share(request.now_ms)
        placed = self._placement.choose(candidates, request, share)
        if placed is None:
            return None
        load = placed.candidate.load
        uncached = load.begin(request.prompt, request.now_ms, request.rank)
        is_long = placed.expectation.is_long
        mix.note(uncached, request.now_ms, is_long=is_long)
        expected_ms = placed.expectation.first_event_ms
        return (
            placed.candidate.endpoint_id,
            expected_ms,
            (load, uncached, request),
        )

    def note(self, vm_id, placed, first_event_ms, percent, now_ms, ended):
        load, uncached, request = placed[2]
        if ended:
            load.end()
        else:
            load.mark_prefilled(uncached, request.rank)
        if percent:
            load.reported.speed.note(percent, now_ms)

    def tell(self, now_ms: int) -> None:
        if now_ms - self._told_ms < LOAD_AGE_MS:
            return
        self._told_ms = now_ms
        for vm_id, loads in self._loads.items():
            for other, others in self._loads.items():
                if other != vm_id:
                    for load, own in zip(others, loads, strict=True):
                        load.note_share(vm_id, own.share(now_ms), now_ms)


class Region:
    """Send requests of many VMs to emulated engines."""

    def __init__(self, vms, seed, slowdowns, *, reporting=False) -> None:
        self.vms = vms
        self._rng = random.Random(seed)
        self._slowdowns = slowdowns
        self._reporting = reporting
        self.engines = [
            Engine(slots=SLOTS, slowdown=slowdown) for slowdown in slowdowns
        ]
        self._vm_ids = [VmId(f'vm{vm}') for vm in range(VM_COUNT)]
        self._open: list = []
        self._due: list = []
        self._order = itertools.count()
        # Kind, time of arrival, engine, expected and observed time.
        self.requests: list[dict] = []
        self.prefilled_tokens = 0

    def run(self, kinds, factor: float, duration_ms: int) -> 'Region':
        arrivals = sorted(
            (at_ms, number)
            for number, kind in enumerate(kinds)
            for at_ms in self._arrivals(kind, factor, duration_ms)
        )
        for at_ms, number in arrivals:
            self._advance(at_ms)
            self._arrive(kinds[number], at_ms)
        self._advance(duration_ms + max(kind.deadline_ms for kind in kinds))
        return self

    def in_time(self, kind: RequestKind, after_ms: int = 0) -> float:
        found = [
            one
            for one in self.requests
            if one['kind'] is kind and one['at_ms'] >= after_ms
        ]
        in_time = [
            one
            for one in found
            if one['observed'] is not None and one['observed'] <= kind.target_ms
        ]
        return len(in_time) / len(found)

    def ratios(self, after_ms: int, kind: RequestKind | None = None):
        return [
            one['observed'] / one['expected']
            for one in self.requests
            if one['at_ms'] >= after_ms
            and one['observed'] is not None
            and (kind is None or one['kind'] is kind)
        ]

    def slow_share(self, kind: RequestKind) -> float:
        """Return the share of requests that a slow machine was sent."""
        placed = [
            self._slowdowns[one['engine']](one['at_ms']) > 1
            for one in self.requests
            if one['kind'] is kind and one['engine'] is not None
        ]
        return sum(placed) / len(placed)

    def prefill_share(self, duration_ms: int) -> float:
        """Return the part of the engines' time that went into prefill."""
        capacity = len(self.engines) * duration_ms * PREFILL_TOKENS_PER_MS
        return self.prefilled_tokens / capacity

    def _arrivals(self, kind, factor, duration_ms):
        rate_per_ms = kind.rate_per_s * len(self.engines) * factor / 1000
        at_ms = self._rng.expovariate(rate_per_ms)
        while at_ms < duration_ms:
            yield at_ms
            at_ms += self._rng.expovariate(rate_per_ms)

    def _arrive(self, kind: RequestKind, at_ms: float) -> None:
        vm_id = self._rng.choice(self._vm_ids)
        prompt = self._prompt(kind)
        allowed = 0.9 - 0.08 * kind.urgency
        request = EngineRequest(
            prompt,
            kind.urgency,
            kind.target_ms * allowed,
            kind.deadline_ms,
            int(at_ms),
            TOKENS_PER_EVENT,
        )
        placed = self.vms.place(vm_id, request)
        record = {
            'kind': kind,
            'at_ms': at_ms,
            'observed': None,
            'expected': None,
            'engine': None,
        }
        self.requests.append(record)
        if placed is None:
            return
        number = int(placed[0][1:])
        record['engine'] = number
        record['expected'] = placed[1]
        emulated = EmulatedRequest(kind, prompt, at_ms)
        self.engines[number].add(emulated)
        self.prefilled_tokens += emulated.uncached_tokens
        self._open.append((emulated, vm_id, placed, record))

    def _advance(self, now_ms: float) -> None:
        for engine in self.engines:
            engine.run_until(now_ms)
        ended = {
            id(one[0]): one[1]
            for engine in self.engines
            for one in engine.ended
        }
        for engine in self.engines:
            engine.ended.clear()
        still_open = []
        for one in self._open:
            emulated, _vm_id, _placed, record = one
            first_ms = emulated.first_event_ms
            if first_ms is not None and record['observed'] is None:
                took_ms = first_ms - emulated.arrived_ms + OVERHEAD_MS
                record['observed'] = took_ms
                self._report(one, first_ms, int(took_ms))
            if id(emulated) in ended:
                self._report(one, ended[id(emulated)], None)
            else:
                still_open.append(one)
        self._open = still_open
        while self._due and self._due[0][0] <= now_ms:
            due_ms, _order, one, first_event_ms, percent = heapq.heappop(
                self._due
            )
            ended_now = first_event_ms is None
            self.vms.note(
                one[1], one[2], first_event_ms, percent, int(due_ms), ended_now
            )
        self.vms.tell(int(now_ms))

    def _report(self, one, at_ms, first_event_ms) -> None:
        percent = 0
        if self._reporting:
            percent = int(100 * self._slowdowns[one[3]['engine']](at_ms))
        entry = (
            at_ms + REPORT_DELAY_MS,
            next(self._order),
            one,
            first_event_ms,
            percent,
        )
        heapq.heappush(self._due, entry)

    def _prompt(self, kind: RequestKind) -> Prompt:
        session = self._rng.randrange(kind.sessions)
        own = int(kind.unique_tokens * self._rng.lognormvariate(-0.32, 0.8))
        return (
            PromptPart(f'{kind.name}-{session}', kind.session_tokens),
            PromptPart(f'own-{self._rng.random()}', max(1, own)),
        )


def steady(_now_ms: float) -> float:
    return 1.0


def shared(number: int) -> Slowdown:
    """Return a machine that takes 2.5 times as long for 600 ms of 4800."""
    return lambda now_ms: 2.5 if int(now_ms / 600 + number) % 8 == 0 else 1.0


def constant(factor: float) -> Slowdown:
    return lambda _now_ms: factor


@given('{engines:d} engines at {factor:g} times the usual load, seed {seed:d}')
def peak(context: Context, engines: int, factor: float, seed: int) -> None:
    context.region_runs = [
        Region(vms, seed, [steady] * engines).run([SHORT, LONG], factor, 8000)
        for vms in (
            LedgerVms(seed, engines),
            StaleVms(seed, engines, VM_COUNT),
        )
    ]


@then('at least {share:d} in 100 short prompts are in time through the ledger')
def short_in_time(context: Context, share: int) -> None:
    found = context.region_runs[0].in_time(SHORT, 2000)
    assert found >= share / 100, found


@then('at least {gain:d} in 100 more than by stale loads')
def more_in_time(context: Context, gain: int) -> None:
    found = [run.in_time(SHORT, 2000) for run in context.region_runs]
    assert found[0] >= found[1] + gain / 100, found


@then('the engines prefill for more than {share:d} in 100 of the time')
def busy(context: Context, share: int) -> None:
    found = context.region_runs[0].prefill_share(8000)
    assert found > share / 100, found


@given(
    'engines that take {factors} times as long at {factor:g} times the usual load, seed {seed:d}'
)
def unequal(context: Context, factors: str, factor: float, seed: int) -> None:
    slowdowns = [constant(float(each)) for each in factors.split(', ')] * 2
    run = Region(LedgerVms(seed, len(slowdowns)), seed, slowdowns)
    context.region_runs = [run.run([SHORT, LONG], factor, 10_000)]


@then(
    'after 5 s the median error is at most {error:d} in 100 and {share:d} in 100 are within a factor of two'
)
def accurate(context: Context, error: int, share: int) -> None:
    ratios = context.region_runs[0].ratios(5000)
    found = statistics.median(abs(ratio - 1) for ratio in ratios)
    within = sum(0.5 <= ratio <= 2 for ratio in ratios) / len(ratios)
    assert found <= error / 100 and within >= share / 100, (found, within)


@then('the learned factors rise in the order of the engines')
def ordered(context: Context) -> None:
    engines = context.region_runs[0].vms.engines
    factors = [one.load.profile.factor(10_000) for one in engines]
    half = len(factors) // 2
    means = [
        (one + other) / 2
        for one, other in zip(factors[:half], factors[half:], strict=True)
    ]
    assert means == sorted(means) and means[-1] > 1.4 * means[0], factors


@given('engines on shared machines, seed {seed:d}')
def shared_machines(context: Context, seed: int) -> None:
    slowdowns = [shared(number) for number in range(8)]
    context.region_runs = [
        Region(LedgerVms(seed, 8), seed, slowdowns, reporting=reporting).run(
            [SHORT, LONG], 2.0, 10_000
        )
        for reporting in (True, False)
    ]


@then('fewer short prompts begin on slow machines with reports than without')
def slow_avoided(context: Context) -> None:
    found = [run.slow_share(SHORT) for run in context.region_runs]
    assert found[0] < 0.8 * found[1], found


class AllEngines:
    """Let long prompts use all engines."""

    def note(self, tokens: int, now_ms: int, *, is_long: bool) -> None:
        """Need no figures."""

    def long_share(self, now_ms: int) -> float:
        return 1.0


@given(
    '{engines:d} engines that are sent {factor:g} times the usual load, long prompts to a share or to all, seed {seed:d}'
)
def shared_or_not(
    context: Context, engines: int, factor: float, seed: int
) -> None:
    vms = [LedgerVms(seed, engines), LedgerVms(seed, engines)]
    vms[1].ledger._work_mix = AllEngines()
    context.region_runs = [
        Region(each, seed, [steady] * engines).run([SHORT, LONG], factor, 8000)
        for each in vms
    ]


@then('at least {gain:d} in 100 more than with long prompts on all engines')
def more_with_share(context: Context, gain: int) -> None:
    more_in_time(context, gain)


class LedgerSubject:
    """Ask a ledger with one engine for single requests."""

    def __init__(self) -> None:
        rng = random.Random(1)
        self.ledger = PlacementLedger(AdaptivePlacement(rng, COMPARE_ALL))
        self.engine = Candidate(
            EndpointId('e'), EndpointLoad(CACHE_TOKENS), SLOTS, CACHE_TOKENS
        )
        self.number = 0

    def ask(
        self,
        tokens: int,
        rank: int = 0,
        now_ms: int = 0,
        vm_id: VmId = VM,
        output_tokens: int = 0,
    ) -> PlacementGrant:
        self.number += 1
        ask = PlacementAsk(
            self.number,
            SERVICE,
            rank,
            5000,
            8000,
            ((f'own-{self.number}', tokens),),
            output_tokens=output_tokens,
        )
        return self.ledger.grant(
            vm_id, ask, [self.engine], TOKENS_PER_EVENT, now_ms
        )

    def report(self, number: int, *, ended: bool, now_ms: int = 100) -> None:
        progress = PlacementProgress(number, 100, ended=ended)
        self.ledger.note(VM, progress, now_ms)


@given('a ledger with one engine')
def one_engine(context: Context) -> None:
    context.ledger_subject = LedgerSubject()


@given('a pending prompt of {tokens:d} tokens and priority {rank:d}')
def pending(context: Context, tokens: int, rank: int) -> None:
    assert context.ledger_subject.ask(tokens, rank).endpoint_id


@then(
    'a prompt of priority {first:d} waits at least {ms:d} ms less than one of {second:d}'
)
def waits_less(context: Context, first: int, ms: int, second: int) -> None:
    subject = context.ledger_subject
    load = subject.engine.load
    waits = []
    for rank in (first, second):
        request = EngineRequest((PromptPart('new', 2000),), rank, 5000, 8000, 0)
        waits.append(
            ExpectedTime(load, load.speed(0)).of(request).first_event_ms
        )
    assert waits[0] + ms <= waits[1], waits


@when('its VM ends')
def vm_ends(context: Context) -> None:
    context.ledger_subject.ledger.drop_vms(())


@when('no report comes until {ms:d} ms after the deadline')
def no_report(context: Context, ms: int) -> None:
    subject = context.ledger_subject
    # The sweep is part of the next grant, which does not count itself.
    subject.ask(10, now_ms=8000 + ms)
    subject.report(subject.number, ended=True, now_ms=8000 + ms)


@then('the engine has no running request and no pending prompt')
def nothing_open(context: Context) -> None:
    subject = context.ledger_subject
    load = subject.engine.load
    found = load.running, load.total_pending_tokens, subject.ledger.open_grants
    assert found == (0, 0, 0), found


@when('requests of {prompt:d} prompt and {output:d} output tokens are placed')
def fill_memory(context: Context, prompt: int, output: int) -> None:
    subject = context.ledger_subject
    placed = 0
    now_ms = 0
    # The engine has time for the prompts, so that only the memory is scarce.
    while subject.ask(prompt, 0, now_ms, output_tokens=output).endpoint_id:
        subject.report(subject.number, ended=False, now_ms=now_ms)
        placed += 1
        now_ms += 900
        assert placed * (prompt + output) <= CACHE_TOKENS, placed
    context.filled_ms = now_ms
    context.held_tokens = placed * (prompt + output)


@then('they take between {low:d} and 100 in 100 of its memory')
def within_memory(context: Context, low: int) -> None:
    share = context.held_tokens / CACHE_TOKENS
    assert low / 100 <= share <= 1, share


@then('after one has ended the next is placed')
def placed_again(context: Context) -> None:
    subject = context.ledger_subject
    now_ms = context.filled_ms
    subject.report(1, ended=True, now_ms=now_ms)
    assert subject.ask(50_000, 0, now_ms, output_tokens=10_000).endpoint_id


@then('a new engine has the learned speed of its service')
def new_engine(context: Context) -> None:
    vms = context.region_runs[0].vms
    old = vms.engines[0].load.profile
    fresh = EndpointLoad(CACHE_TOKENS)
    vms.engines[0] = Candidate(vms.engines[0].endpoint_id, fresh, SLOTS)
    request = EngineRequest(
        (PromptPart('new', 10),), 0, 500, 3000, 20_000, TOKENS_PER_EVENT
    )
    vms.place(VM, request)
    assert fresh.speed(20_000) == old.service.speed != EngineSpeed()


@then('the factors are forgotten within {seconds:d} s without requests')
def forgotten(context: Context, seconds: int) -> None:
    now_ms = 10_000 + seconds * 1000
    for one in context.region_runs[0].vms.engines:
        profile = one.load.profile
        assert profile.confidence(now_ms) < 0.02
        assert abs(profile.factor(now_ms) - 1) < 0.02, profile.factor(now_ms)


@given('an engine that nobody reports on')
def unreported(context: Context) -> None:
    context.plain_loads = [EndpointLoad(CACHE_TOKENS) for _each in range(4)]
    chooser = EndpointChooser(random.Random(1), overload_control=False)
    assert not chooser.is_adaptive(SERVICE)
    context.chooser = chooser


@then('its service is placed as prompt placement alone does')
def as_before(context: Context) -> None:
    for number in range(200):
        prompt = (
            PromptPart(f's{number % 7}', 600),
            PromptPart(f'{number}', 2000),
        )
        candidates = [
            Candidate(EndpointId(f'e{index}'), load, SLOTS, 10)
            for index, load in enumerate(context.plain_loads)
        ]
        metadata = ForwardMetadata(
            'id',
            SERVICE,
            '/',
            0,
            3134,
            522,
            1,
            True,
            True,
            False,
            None,
            None,
            prompt,
        )
        plan = build_plan(metadata, number, forwarded=False)
        chosen = context.chooser.choose(plan, SERVICE_SPEC, candidates, number)
        expected = PromptPlacement().choose(
            candidates,
            PlacementRequest(prompt, 522, URGENT_SHARE, number, None),
        )
        assert (chosen and chosen.candidate) is expected
        if expected is not None:
            assert chosen.expectation is None
            expected.load.begin(prompt, number)
