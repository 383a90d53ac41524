"""Replay peaks on emulated engines by the product's choice and a baseline."""

from baobabwharf_decisions.proxying.endpoint_load import (
    Candidate,
    EndpointLoad,
)
from baobabwharf_decisions.proxying.prompt_backlog import (
    LESS_URGENT_SHARE,
    Backlog,
    PromptNeed,
)
from baobabwharf_decisions.proxying.prompt_cache import PromptPart
from baobabwharf_decisions.proxying.stream_pace import burst_bound
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
# What the users pay for a request on time and late.
_WORTH = {'draft': (6.8, 2.0), 'question': (1.9, 0.57)}


class PeakSubject:
    """Hold the outcomes of both policies under the same load."""

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

    def worth(self, run: str) -> float:
        earned = owed = 0.0
        for kind, (on_time, late) in _WORTH.items():
            found = self.outcome(run, kind)
            earned += on_time * found.in_time + late * found.late
            owed += on_time * found.sent
        return earned / owed

    def served(self, kind: str) -> float:
        found = self.outcome('product', kind)
        return (found.in_time + found.late) / found.sent


@given(
    '{engines:d} emulated engines and a peak of {factor:g} times the load, seed {seed:d}'
)
def peak(context: Context, engines: int, factor: float, seed: int) -> None:
    context.peak = PeakSubject(engines, factor, seed)


@then('the product earns at least {gain:d} in 100 more than accepting all')
def earns_more(context: Context, gain: int) -> None:
    product = context.peak.worth('product')
    baseline = context.peak.worth('baseline')
    assert product >= baseline + gain / 100, (product, baseline)


@then(
    'no accepted draft is cut by its deadline more often than {most:d} in 100'
)
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
    for kind in _WORTH:
        found = context.peak.outcome('product', kind)
        assert found.in_time * 100 >= found.sent * share, (kind, found)


@then('the product reads fewer prompt tokens a draft than accepting all')
def reads_less(context: Context) -> None:
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
    found = [context.peak.outcome('product', kind) for kind in _WORTH]
    accepted = sum(one.sent - one.refused for one in found)
    assert sum(one.paused_too_long for one in found) * 100 <= accepted * most, (
        found
    )


class LongPromptSubject:
    """Offer a very long prompt to a busy engine."""

    def __init__(self, recent_tokens: int) -> None:
        load = EndpointLoad(CACHE_TOKENS)
        load.running = 1
        load.burst.add(recent_tokens, 0)
        self.engine = Candidate('e', load, SLOTS)

    def takes(self, tokens: int) -> bool:
        need = PromptNeed(
            (PromptPart('long', tokens),),
            target_left_ms=800,
            share=LESS_URGENT_SHARE,
            now_ms=0,
            burst_bound=burst_bound(400, 10),
        )
        return Backlog().choose([self.engine], need) is not None


@given('an engine with a running stream that was just sent {tokens:d} tokens')
def busy_engine(context: Context, tokens: int) -> None:
    context.busy = LongPromptSubject(tokens)


@then('it takes a prompt of {tokens:d} tokens')
def takes_prompt(context: Context, tokens: int) -> None:
    assert context.busy.takes(tokens)


@then('it takes no prompt of {tokens:d} tokens')
def takes_no_prompt(context: Context, tokens: int) -> None:
    assert not context.busy.takes(tokens)


class SharedEnginesSubject:
    """Hold the engines of a region and place prompts on them."""

    def __init__(self, count: int) -> None:
        self.engines = [
            Candidate(f'e{number}', EndpointLoad(CACHE_TOKENS), SLOTS)
            for number in range(count)
        ]
        for one in self.engines:
            one.load.running = 1

    def places(self, tokens: int) -> set[str]:
        """Place prompts of many sessions at once and return where."""
        found = set()
        for number in range(200):
            need = PromptNeed(
                (PromptPart(f's{number}', 1), PromptPart('own', tokens - 1)),
                target_left_ms=800,
                share=LESS_URGENT_SHARE,
                now_ms=0,
                burst_bound=burst_bound(400, 10),
            )
            chosen = Backlog().choose(self.engines, need)
            found.add(chosen.endpoint_id)
        return found


@given('{count:d} engines with running streams and a short pause of streams')
def shared_engines(context: Context, count: int) -> None:
    context.region = SharedEnginesSubject(count)


@then('a prompt of {tokens:d} tokens goes to one of {count:d} engines only')
def goes_to_few(context: Context, tokens: int, count: int) -> None:
    context.few = context.region.places(tokens)
    assert len(context.few) == count, context.few


@then('a prompt of {tokens:d} tokens goes to one of the {count:d} others')
def goes_to_others(context: Context, tokens: int, count: int) -> None:
    places = context.region.places(tokens)
    assert len(places) == count and not places & context.few, places


@when('the {count:d} others are full')
def others_full(context: Context, count: int) -> None:
    for one in context.region.engines:
        if one.endpoint_id not in context.few:
            one.load.running = SLOTS


@then('a prompt of {tokens:d} tokens goes to one of the {count:d} engines')
def goes_to_the_few(context: Context, tokens: int, count: int) -> None:
    places = context.region.places(tokens)
    assert places == context.few and len(places) == count, places
