"""Replay peaks on emulated engines with the product's placement and a baseline."""

from baobabwharf_decisions.proxying.endpoint_load import (
    Candidate,
    EndpointLoad,
)
from baobabwharf_decisions.proxying.prefill_burst import burst_bound
from baobabwharf_decisions.proxying.prompt_cache import PromptPart
from baobabwharf_decisions.proxying.prompt_placement import (
    LESS_URGENT_SHARE,
    PlacementRequest,
    PromptPlacement,
)
from baobabwharf_testkit.engine_emulator import (
    CACHE_TOKENS,
    DRAFT,
    LARGE_EVENT_DRAFT,
    LARGE_EVENT_QUESTION,
    QUESTION,
    SLOTS,
    Emulation,
    RequestKind,
    accept_all,
    gateway_choice,
)
from behave import given, then, when
from behave.runner import Context

_LENGTH_MS = 15_000
# Revenue for a request that completes on time, and late.
_REVENUE = {'draft': (6.8, 2.0), 'question': (1.9, 0.57)}


class PeakSubject:
    """Run both placement policies under the same load."""

    def __init__(
        self,
        engines: int,
        factor: float,
        seed: int,
        kinds: tuple[RequestKind, RequestKind] = (DRAFT, QUESTION),
        slots: int = SLOTS,
    ) -> None:
        self.runs = {}
        for name, choose in (
            ('product', gateway_choice),
            ('baseline', accept_all),
        ):
            emulation = Emulation(seed, engines, choose, slots)
            emulation.run(list(kinds), factor, _LENGTH_MS)
            self.runs[name] = emulation

    def outcome(self, run: str, kind: str):
        return self.runs[run].outcomes[kind]

    def revenue_share(self, run: str) -> float:
        earned = possible = 0.0
        for kind, (on_time, late) in _REVENUE.items():
            found = self.outcome(run, kind)
            earned += on_time * found.in_time + late * found.late
            possible += on_time * found.sent
        return earned / possible

    def served(self, kind: str) -> float:
        found = self.outcome('product', kind)
        return (found.in_time + found.late) / found.sent


@given(
    '{engines:d} emulated engines and a peak of {factor:g} times the load, seed {seed:d}'
)
def peak(context: Context, engines: int, factor: float, seed: int) -> None:
    context.peak = PeakSubject(engines, factor, seed)


@then(
    'the product earns at least {gain:d} in 100 more than accepting all requests'
)
def earns_more(context: Context, gain: int) -> None:
    product = context.peak.revenue_share('product')
    baseline = context.peak.revenue_share('baseline')
    assert product >= baseline + gain / 100, (product, baseline)


@then('at most {most:d} in 100 accepted drafts are cut off by their deadline')
def rarely_cut(context: Context, most: int) -> None:
    found = context.peak.outcome('product', 'draft')
    accepted = found.sent - found.refused
    assert found.timed_out * 100 <= accepted * most, found


@then('questions are served at least as often as drafts')
def urgent_first(context: Context) -> None:
    peak_subject = context.peak
    assert peak_subject.served('question') >= peak_subject.served('draft')


@then('at least {share:d} in 100 of each kind are served on time')
def on_time(context: Context, share: int) -> None:
    for kind in _REVENUE:
        found = context.peak.outcome('product', kind)
        assert found.in_time * 100 >= found.sent * share, (kind, found)


@then(
    'the product prefills fewer prompt tokens per draft than accepting all requests'
)
def prefills_less(context: Context) -> None:
    product, baseline = (
        context.peak.runs[name].mean_prefill_tokens_per_draft
        for name in ('product', 'baseline')
    )
    assert product < baseline, (product, baseline)


@given(
    '{engines:d} engines with {slots:d} slots and large events at {factor:g} times the load, seed {seed:d}'
)
def large_events(
    context: Context, engines: int, slots: int, factor: float, seed: int
) -> None:
    kinds = (LARGE_EVENT_DRAFT, LARGE_EVENT_QUESTION)
    context.peak = PeakSubject(engines, factor, seed, kinds, slots)


@then('at most {most:d} in 100 of the accepted streams pause too long')
def rarely_paused(context: Context, most: int) -> None:
    found = [context.peak.outcome('product', kind) for kind in _REVENUE]
    accepted = sum(one.sent - one.refused for one in found)
    assert sum(one.paused_too_long for one in found) * 100 <= accepted * most, (
        found
    )


class LongPromptSubject:
    """Place a very long prompt on a busy engine."""

    def __init__(self, recent_tokens: int) -> None:
        load = EndpointLoad(CACHE_TOKENS)
        load.running = 1
        load.burst_sum.add(recent_tokens, 0)
        self.engine = Candidate('e', load, SLOTS)

    def accepts(self, tokens: int) -> bool:
        request = PlacementRequest(
            (PromptPart('long', tokens),),
            target_left_ms=800,
            share=LESS_URGENT_SHARE,
            now_ms=0,
            burst_bound=burst_bound(400, 10),
        )
        return PromptPlacement().choose([self.engine], request) is not None


@given('an engine with a running stream that was just sent {tokens:d} tokens')
def busy_engine(context: Context, tokens: int) -> None:
    context.busy = LongPromptSubject(tokens)


@then('it accepts a prompt of {tokens:d} tokens')
def accepts_prompt(context: Context, tokens: int) -> None:
    assert context.busy.accepts(tokens)


@then('it refuses a prompt of {tokens:d} tokens')
def refuses_prompt(context: Context, tokens: int) -> None:
    assert not context.busy.accepts(tokens)


class SharedEnginesSubject:
    """Place prompts on several engines of one region."""

    def __init__(self, count: int) -> None:
        self.engines = [
            Candidate(f'e{number}', EndpointLoad(CACHE_TOKENS), SLOTS)
            for number in range(count)
        ]
        for one in self.engines:
            one.load.running = 1

    def places(self, tokens: int) -> set[str]:
        """Place a prompt of each of many sessions; return the chosen engines."""
        found = set()
        for number in range(200):
            request = PlacementRequest(
                (PromptPart(f's{number}', 1), PromptPart('own', tokens - 1)),
                target_left_ms=800,
                share=LESS_URGENT_SHARE,
                now_ms=0,
                burst_bound=burst_bound(400, 10),
            )
            chosen = PromptPlacement().choose(self.engines, request)
            found.add(chosen.endpoint_id)
        return found


@given('{count:d} engines with running streams and a short pause target')
def shared_engines(context: Context, count: int) -> None:
    context.shared_engines = SharedEnginesSubject(count)


@then('a prompt of {tokens:d} tokens goes to one of {count:d} engines only')
def goes_to_few(context: Context, tokens: int, count: int) -> None:
    context.long_prompt_engines = context.shared_engines.places(tokens)
    assert len(context.long_prompt_engines) == count, (
        context.long_prompt_engines
    )


@then('a prompt of {tokens:d} tokens goes to one of the {count:d} others')
def goes_to_others(context: Context, tokens: int, count: int) -> None:
    places = context.shared_engines.places(tokens)
    assert len(places) == count and not places & context.long_prompt_engines, (
        places
    )


@when('the {count:d} others are full')
def others_full(context: Context, count: int) -> None:
    for one in context.shared_engines.engines:
        if one.endpoint_id not in context.long_prompt_engines:
            one.load.running = SLOTS


@then('a prompt of {tokens:d} tokens goes to one of the {count:d} engines')
def goes_to_the_few(context: Context, tokens: int, count: int) -> None:
    places = context.shared_engines.places(tokens)
    assert places == context.long_prompt_engines and len(places) == count, (
        places
    )
