"""Correct the queues of engines by late and overdue first events."""

import random

from baobabwharf_core.ids import EndpointId
from baobabwharf_decisions.proxying.adaptive_placement import (
    COMPARE_ALL,
    AdaptivePlacement,
)
from baobabwharf_decisions.proxying.awaited_events import AwaitedEvents
from baobabwharf_decisions.proxying.endpoint_load import (
    Candidate,
    EndpointLoad,
)
from baobabwharf_decisions.proxying.expected_time import (
    EngineRequest,
    ExpectedTime,
)
from baobabwharf_decisions.proxying.placement_ledger import PlacementLedger
from baobabwharf_decisions.proxying.placement_messages import (
    PlacementAsk,
    PlacementProgress,
)
from baobabwharf_decisions.proxying.prefill_rate import PREFILL_DECAY_MS
from behave import given, then, when
from behave.runner import Context

_CACHE_TOKENS = 500_000
_SLOTS = 64
_TARGET_MS = 500
_DEADLINE_MS = 3000
_PERIOD_MS = 200


class _Region:
    """Send requests to two engines, of which one may fall silent."""

    def __init__(self) -> None:
        placement = AdaptivePlacement(random.Random(1), COMPARE_ALL)
        self.ledger = PlacementLedger(placement)
        self.candidates = [
            Candidate(EndpointId(name), EndpointLoad(_CACHE_TOKENS), _SLOTS)
            for name in ('sound', 'silent')
        ]
        self.now_ms = 10_000
        self.silent = False
        self._number = 0

    def send(self) -> str | None:
        """Place a request and report its first event if there is one."""
        self._number += 1
        self.now_ms += _PERIOD_MS
        ask = PlacementAsk(
            self._number,
            's',
            0,
            _TARGET_MS,
            _DEADLINE_MS,
            ((f'own-{self._number}', 2000),),
        )
        grant = self.ledger.grant('v', ask, self.candidates, 8, self.now_ms)
        if grant.endpoint_id == 'silent' and self.silent:
            return grant.endpoint_id
        progress = PlacementProgress(
            self._number, grant.first_event_ms, ended=True
        )
        self.ledger.note('v', progress, self.now_ms + _PERIOD_MS - 1)
        return grant.endpoint_id


def _placed_at_silent(requests: int) -> int:
    region = _Region()
    for _number in range(10):
        region.send()
    region.silent = True
    return sum(region.send() == 'silent' for _number in range(requests))


@given('two engines and 5 requests a second for 2 s')
def two_engines(context: Context) -> None:
    context.requests = 20


@when('one of them sends no first events any more')
def falls_silent(context: Context) -> None:
    context.placed = _placed_at_silent(context.requests)


@then('it gets at most {most:d} of the next 20 requests')
def few_requests(context: Context, most: int) -> None:
    assert 1 <= context.placed <= most, context.placed


@then('with events that are never overdue it gets more')
def without_decision(context: Context) -> None:
    check = AwaitedEvents.check_overdue
    AwaitedEvents.check_overdue = lambda *_arguments: None
    try:
        placed = _placed_at_silent(context.requests)
    finally:
        AwaitedEvents.check_overdue = check
    assert placed > context.placed, (placed, context.placed)


def _expected_ms(load: EndpointLoad, now_ms: int) -> float:
    prompt_less = EngineRequest((), 0, _TARGET_MS, _DEADLINE_MS, now_ms, 8)
    estimator = ExpectedTime(load, load.speed(now_ms))
    return estimator.of(prompt_less).first_event_ms


@given('an engine that is expected to answer in 100 ms')
def one_engine(context: Context) -> None:
    context.load = EndpointLoad(_CACHE_TOKENS)
    context.events = AwaitedEvents()
    context.event = context.events.add(context.load, 100, 1000)
    context.before_ms = _expected_ms(context.load, 1500)


@when('the first event comes after 500 ms')
def late_event(context: Context) -> None:
    context.events.settle(context.event, 500, 1500)


@then(
    'the next request is expected between {low:d} and {high:d} ms later than before'
)
def expected_later(context: Context, low: int, high: int) -> None:
    later_ms = _expected_ms(context.load, 1500) - context.before_ms
    assert low <= later_ms <= high, later_ms


@then(
    'an event without delay lowers it again, but not below the first estimate'
)
def expected_sooner(context: Context) -> None:
    raised_ms = _expected_ms(context.load, 1500)
    for _number in range(20):
        event = context.events.add(context.load, 300, 1500)
        context.events.settle(event, 100, 1500)
    lowered_ms = _expected_ms(context.load, 1500)
    assert context.before_ms <= lowered_ms < raised_ms, lowered_ms


def _place(context: Context, output_tokens: int, deadline_ms: int) -> bool:
    request = EngineRequest(
        (), 0, _TARGET_MS, deadline_ms, 1000, 8, output_tokens
    )
    placement = AdaptivePlacement(random.Random(1), COMPARE_ALL)
    candidate = Candidate(EndpointId('e'), context.load, _SLOTS)
    return placement.choose([candidate], request, 1.0) is not None


@given('an engine that spends {percent:d} in 100 of its time in prefill')
def busy_engine(context: Context, percent: int) -> None:
    context.load = EndpointLoad(_CACHE_TOKENS)
    speed = context.load.speed(1000).prefill_tokens_per_ms
    tokens = int(speed * PREFILL_DECAY_MS * percent / 100)
    context.load.recent_sum.add(tokens, 1000)
    # Pending prompts exclude the choice of an idle engine.
    context.load.pending_tokens = 1


@then(
    'an answer of {tokens:d} tokens is not placed there with a deadline in 3 s'
)
def not_placed(context: Context, tokens: int) -> None:
    assert not _place(context, tokens, _DEADLINE_MS)


@then('one of {tokens:d} tokens is')
def placed(context: Context, tokens: int) -> None:
    assert _place(context, tokens, _DEADLINE_MS)
