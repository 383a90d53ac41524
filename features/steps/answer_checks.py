"""Check constructed responses with the checks of the load client."""

import json
from collections import Counter

from baobabwharf_testkit.calls import (
    CallKind,
    Outcome,
    Response,
    booking_call,
    check_response,
    completion_call,
)
from baobabwharf_testkit.expected_responses import (
    body_digest,
    completion_token,
    prompt_seed,
)
from baobabwharf_testkit.soak_clients import BookingOutcomes
from behave import given, then
from behave.runner import Context

_DONE = 'data: [DONE]\n\n'


class AnswerCheckSubject:
    """Build the response stream of one call, with a defect."""

    def __init__(self) -> None:
        self.call = completion_call(CallKind.CHAT, 'model', 'prompt', 4)

    def tokens(self, prompt: str = 'prompt') -> list[str]:
        seed = prompt_seed(prompt)
        return [completion_token(seed, index) for index in range(4)]

    def stream(self, tokens: list[str], end: str = _DONE, used: int = 4) -> str:
        chunks = [{'choices': [{'delta': {'content': t}}]} for t in tokens]
        chunks.append({'choices': [], 'usage': {'completion_tokens': used}})
        events = [f'data: {json.dumps(chunk)}\n\n' for chunk in chunks]
        return ''.join(events) + end

    def defective(self, defect: str) -> str:
        tokens = self.tokens()
        error = 'event: error\ndata: {"error": {"code": "stream_broken"}}\n\n'
        return {
            'complete': self.stream(tokens),
            'short with an end mark': self.stream(tokens[:2]),
            'from another request': self.stream(self.tokens('other')),
            'with a token twice': self.stream(tokens[:1] + tokens),
            'without an end mark': self.stream(tokens[:2], ''),
            'ended by an error event': self.stream(tokens[:2], error),
            'with too small a usage': self.stream(tokens, used=3),
            'not JSON': 'data: nothing\n\n' + _DONE,
        }[defect]


@given('the answer to check is a stream that is {defect}')
def stream(context: Context, defect: str) -> None:
    subject = AnswerCheckSubject()
    content = subject.defective(defect).encode()
    response = Response(status=200, content=content)
    context.result = check_response(subject.call, response)


@given('the answer to check has status {status:d} and says executed {executed}')
def error(context: Context, status: int, executed: str) -> None:
    content = b'{"error": {"code": "no_endpoint"}}'
    response = Response(status, content, {'x-executed': executed})
    context.result = check_response(AnswerCheckSubject().call, response)


@then('the answer check says {outcome}')
def says(context: Context, outcome: str) -> None:
    assert context.result.outcome is Outcome(outcome), context.result


@given('a booking check that was told {told} and ran {count:d} times')
def booking(context: Context, told: str, count: int) -> None:
    call = booking_call('desk', '/bookings', 'one')
    booking_outcomes = BookingOutcomes()
    for outcome in told.split(','):
        booking_outcomes.record(call, Outcome(outcome))
    runs = Counter({body_digest(call.body): count})
    context.found = booking_outcomes.violations(runs)


@then('the booking check finds {count:d} violations')
def finds(context: Context, count: int) -> None:
    assert len(context.found) == count, context.found
