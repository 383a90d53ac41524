"""Check fairness, class order and bounds of the admission queues."""

import random
from unittest import mock

from baobabwharf_core.announcements import Announcement, Heartbeat, LoadReport
from baobabwharf_core.refusals import Executed, RefusalCode
from baobabwharf_core.requests import RequestAttributes
from baobabwharf_decisions.admission import (
    MAX_WAITING,
    MAX_WAITING_BYTES,
    Admission,
    Capacity,
    FairQueue,
)
from baobabwharf_decisions.dispatcher import Dispatcher
from baobabwharf_decisions.endpoint_directory import EndpointDirectory
from behave import then, when
from behave.runner import Context

AMPLE_CAPACITY = Capacity(1000, 1.0)
NO_EXCLUSIONS = frozenset()


def attributes_of(
    number: int,
    customer: str,
    first_ms: int = 500,
    tokens: int = 100,
    size: int = 0,
    deadline_ms: int = 60_000,
) -> RequestAttributes:
    return RequestAttributes(
        f'q{number}',
        customer,
        'chat',
        'interactive' if first_ms == 500 else 'batch',
        (),
        deadline_ms,
        first_ms,
        'm',
        prompt_tokens=tokens,
        body_bytes=size,
    )


class FairnessSubject:
    """Serve a bursting customer beside others that always have a backlog."""

    def __init__(self, seed: int) -> None:
        print(f'admission: seed {seed}')
        self.rng = random.Random(seed)
        self.admission = Admission()
        self.served = {f'c{index}': 0 for index in range(5)}
        self.largest = 0
        self.worst_gap = 0
        self.longest_wait = 0
        self.placed = 0
        self.offered_at: dict[str, int] = {}
        self.number = 0

    def offer(self, customer: str, tokens: int) -> None:
        self.number += 1
        attributes = attributes_of(self.number, customer, tokens=tokens)
        self.largest = max(self.largest, tokens)
        if self.admission.offer(
            attributes, NO_EXCLUSIONS, AMPLE_CAPACITY, 60_000, 0
        ).is_ok():
            self.offered_at[attributes.request_id] = self.placed

    def place(self) -> None:
        ticket, _fit = next(self.admission.place(lambda ticket: True, 0))
        self.placed += 1
        attributes = ticket.attributes
        self.served[attributes.customer_id] += attributes.prompt_tokens
        waited = self.placed - self.offered_at[attributes.request_id]
        if attributes.customer_id != 'c0':
            self.longest_wait = max(self.longest_wait, waited)

    def run_backlog(self) -> None:
        for _round in range(40):
            for customer in self.served:
                for _more in range(10 if customer == 'c0' else 1):
                    self.offer(customer, self.rng.randrange(10, 500))
        for _round in range(120):
            self.place()
            gap = max(self.served.values()) - min(self.served.values())
            self.worst_gap = max(self.worst_gap, gap)

    def run_burst(self) -> None:
        self.served = dict.fromkeys(self.served, 0)
        self.admission = Admission()
        self.longest_wait = 0
        for _request in range(300):
            self.offer('c0', 100)
        for _round in range(300):
            customer = f'c{self.rng.randrange(1, 5)}'
            if self.admission.queue(500).waiting_of(customer) == 0:
                self.offer(customer, 100)
            self.offer('c0', 100)
            self.place()


@when(
    'admission serves {count:d} customers, one with ten times the requests, '
    'from seed {seed:d}'
)
def serve(context: Context, count: int, seed: int) -> None:
    context.subject = FairnessSubject(seed)
    context.subject.run_backlog()
    context.subject.run_burst()


@when(
    'admission serves {count:d} customers without fairness from seed {seed:d}'
)
def serve_unfair(context: Context, count: int, seed: int) -> None:
    context.subject = FairnessSubject(seed)

    def never_charged(
        queue: FairQueue, customer_id: str, tokens: float
    ) -> None:
        if customer_id in queue._heaps:
            queue._schedule_turn(customer_id)

    def burst_first(queue: FairQueue, customer_id: str) -> None:
        order = 0 if customer_id == 'c0' else 1
        queue._turns.append((queue._served[customer_id], order, customer_id))
        queue._turns.sort()

    with (
        mock.patch.object(FairQueue, 'charge', never_charged),
        mock.patch.object(FairQueue, '_schedule_turn', burst_first),
    ):
        context.subject.run_burst()


@then(
    'admission served any two customers with a backlog within twice the '
    'largest request'
)
def served_alike(context: Context) -> None:
    subject = context.subject
    assert subject.worst_gap <= 2 * subject.largest, subject.worst_gap


@then(
    'admission let no request of the others wait for more than '
    '{bound:d} placements'
)
def short_wait(context: Context, bound: int) -> None:
    # Two turns of each of the five customers.
    assert context.subject.longest_wait <= bound, context.subject.longest_wait


@then(
    'admission let a request of the others wait for more than '
    '{bound:d} placements'
)
def long_wait(context: Context, bound: int) -> None:
    waiting = context.subject.admission.queue(500)
    starved = any(waiting.waiting_of(f'c{index}') for index in range(1, 5))
    assert starved or context.subject.longest_wait > bound


class ClassSubject:
    """Place two classes with little room and count overtaking."""

    def __init__(self, seed: int) -> None:
        print(f'admission: seed {seed}')
        self.overtaken = 0
        self.batch_placed = 0
        rng = random.Random(seed)
        admission = Admission()
        for number in range(600):
            first_ms = rng.choice((500, 60_000, 60_000))
            attributes = attributes_of(number, f'c{rng.randrange(3)}', first_ms)
            admission.offer(
                attributes, NO_EXCLUSIONS, AMPLE_CAPACITY, 60_000, 0
            )
            room = iter((True,) * rng.randrange(3))
            for ticket, _fit in admission.place(
                lambda _t, r=room: next(r, None), 0
            ):
                batch = ticket.attributes.first_token_ms > 500
                self.batch_placed += batch
                self.overtaken += batch and admission.queue(500).waiting > 0


@when(
    'admission places batch and interactive work at random from seed {seed:d}'
)
def place_classes(context: Context, seed: int) -> None:
    context.subject = ClassSubject(seed)


@when('admission places batch work first from seed {seed:d}')
def place_batch_first(context: Context, seed: int) -> None:
    with mock.patch(
        'baobabwharf_decisions.admission._rank',
        lambda queue: -queue.class_target_ms,
    ):
        context.subject = ClassSubject(seed)


@then('admission placed no batch request while interactive work waited')
def none_overtaken(context: Context) -> None:
    assert context.subject.batch_placed > 50, context.subject.batch_placed
    assert context.subject.overtaken == 0, context.subject.overtaken


@then('admission placed a batch request while interactive work waited')
def some_overtaken(context: Context) -> None:
    assert context.subject.overtaken > 0


@then('admission keeps three of eight slots free of batch work')
def keeps_free(context: Context) -> None:
    directory = EndpointDirectory(random.Random(1))
    directory.announce(
        Announcement('e', 'chat', 'a', 'z', 'http://x', 1, ('m',), slots=8), 0
    )
    directory.heartbeat(Heartbeat('e', 1, 1, LoadReport(0, 0)), 0)
    dispatcher = Dispatcher('a', directory, random.Random(1))
    assert (
        dispatcher.place_now(attributes_of(0, 'c'), NO_EXCLUSIONS, 0)
        is not None
    )
    placed = 0
    for number in range(1, 20):
        batch = attributes_of(number, 'c', 60_000)
        placed += dispatcher.place_now(batch, NO_EXCLUSIONS, 0) is not None
    assert placed == 4, placed
    assert (
        dispatcher.place_now(attributes_of(99, 'c'), NO_EXCLUSIONS, 0)
        is not None
    )


@then('admission refuses a customer that holds half of the places')
def refuses_half(context: Context) -> None:
    context.admission = Admission()
    accepted = 0
    for number in range(MAX_WAITING):
        offered = context.admission.offer(
            attributes_of(number, 'c0'),
            NO_EXCLUSIONS,
            AMPLE_CAPACITY,
            60_000,
            0,
        )
        accepted += offered.is_ok()
        if offered.is_error():
            assert offered.error.code is RefusalCode.QUEUE_FULL
            assert offered.error.executed is Executed.NO
            assert offered.error.retry_after_ms
    assert accepted == MAX_WAITING // 2, accepted


@then('admission still accepts another customer')
def accepts_other(context: Context) -> None:
    offered = context.admission.offer(
        attributes_of(-1, 'c1'), NO_EXCLUSIONS, AMPLE_CAPACITY, 60_000, 0
    )
    assert offered.is_ok()


@then('admission refuses bytes beyond its bound')
def refuses_bytes(context: Context) -> None:
    admission = Admission()
    big = MAX_WAITING_BYTES // 2 + 1
    first = admission.offer(
        attributes_of(1, 'c0', size=big),
        NO_EXCLUSIONS,
        AMPLE_CAPACITY,
        60_000,
        0,
    )
    second = admission.offer(
        attributes_of(2, 'c1', size=big),
        NO_EXCLUSIONS,
        AMPLE_CAPACITY,
        60_000,
        0,
    )
    assert first.is_ok()
    assert second.error.code is RefusalCode.QUEUE_FULL
    admission.cancel('q1')
    third = admission.offer(
        attributes_of(3, 'c1', size=big),
        NO_EXCLUSIONS,
        AMPLE_CAPACITY,
        60_000,
        0,
    )
    assert third.is_ok()


def overloaded(deadline_ms: int) -> tuple[Admission, object]:
    admission = Admission()
    slow = Capacity(1, 1000.0)
    for number in range(10):
        admission.offer(
            attributes_of(number, 'c0'), NO_EXCLUSIONS, slow, 60_000, 0
        )
    attributes = attributes_of(10, 'c0', deadline_ms=deadline_ms)
    return admission, admission.offer(
        attributes, NO_EXCLUSIONS, slow, deadline_ms, 0
    )


@then('admission refuses a request that would wait beyond its deadline')
def refuses_late(context: Context) -> None:
    _admission, offered = overloaded(5000)
    assert offered.error.code is RefusalCode.DEADLINE_UNREACHABLE
    assert offered.error.executed is Executed.NO


@then('admission accepts a request that would wait within its deadline')
def accepts_timely(context: Context) -> None:
    context.admission, offered = overloaded(12_000)
    assert offered.is_ok()


@then('admission expires a request at its deadline as not run')
def expires(context: Context) -> None:
    assert not context.admission.expire(11_999)
    expired = context.admission.expire(12_000)
    assert [ticket.attributes.request_id for ticket, _why in expired] == ['q10']
    assert expired[0][1].executed is Executed.NO
