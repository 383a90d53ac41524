"""Repeat refusals of earlier requests before the answer to the next one."""

import itertools

from answer_cuts import CutFleet, build_answer
from behave import given, then, when
from behave.runner import Context
from recorded_endpoint import RawCase, RecordedEndpoint

_STATUSES = (301, 400, 408, 409, 421, 429, 500, 502, 503)
_MORE = (
    b'',
    b'X-Not-Executed: 1\r\n',
    b'X-Response-Signature: old\r\n',
    b'Baobabwharf-Outcome: not_run\r\n',
)
_EARLIER_IDS = (b'', b'X-Request-Id: id-0\r\n')
_BODY = b'id: 1\ndata: a\n\n'


def stale_cases() -> list[RawCase]:
    """Return each refusal that may come before the true answer."""
    answer = build_answer(_BODY, 'length', b'text/event-stream').wire
    cases = []
    for status, more, earlier in itertools.product(
        _STATUSES, _MORE, _EARLIER_IDS
    ):
        refusal = b'HTTP/1.1 %d Old\r\n%s%sContent-Length: 4\r\n\r\nold!' % (
            status,
            earlier,
            more,
        )
        cases.append(RawCase(refusal + answer, len(refusal)))
    return cases


@given('a fleet with a second endpoint where requests are served by {way}')
def fleet(context: Context, way: str) -> None:
    # One at a time: only the first endpoint is used then.
    context.fleet = CutFleet(way, batch=1)
    context.add_cleanup(context.fleet.close)
    context.spare: RecordedEndpoint = context.fleet.add_endpoint()


@when('an endpoint repeats earlier refusals before its answers on {prefix}')
def repeat_refusals(context: Context, prefix: str) -> None:
    context.received = context.fleet.play(prefix, stale_cases())


@then('each caller gets the answer to its request')
def own_answers(context: Context) -> None:
    wrong = [
        (case.sent, received)
        for case, received in context.received
        if received.status != 200 or received.body != _BODY
    ]
    total = len(context.received)
    assert total > 10 and not wrong, f'{len(wrong)} of {total}: {wrong[0]}'


@then('no request is sent to the second endpoint')
def not_repeated(context: Context) -> None:
    assert context.spare.requests == 0, context.spare.requests
