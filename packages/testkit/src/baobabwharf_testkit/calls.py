"""Describe calls and check their responses."""

import enum
from typing import Any

import msgspec

from baobabwharf_testkit.expected_responses import (
    body_digest,
    expected_completion,
    output_tokens,
    sheet_text,
)

_MIN_ERROR_STATUS = 300

_Event = dict[str, Any]


class CallKind(enum.Enum):
    """List the kinds of calls that both deployments serve."""

    CHAT = 'streaming chat'
    BATCH = 'batch rota'
    QUICK = 'quick question'
    BOOKING = 'booking'
    SHEET = 'job sheet'


class Outcome(enum.Enum):
    """Classify how a call ended."""

    COMPLETE = 'complete'
    # An explicit refusal that says that the call did not run.
    REFUSED = 'refused'
    # An explicit error; the call may have run.
    FAILED = 'failed'
    # No connection was made, so nothing was sent.
    UNSENT = 'unsent'
    # The connection broke before the response was complete.
    BROKEN = 'broken'
    # The response looks complete but differs from the expected one.  This is
    # never allowed.
    WRONG = 'wrong'


class Call(msgspec.Struct, frozen=True):
    """Describe one call of a caller."""

    kind: CallKind
    path: str
    method: str = 'POST'
    body: bytes = b''
    headers: dict[str, str] = {}
    streaming: bool = False


class Response(msgspec.Struct):
    """Hold what the caller received, with times in ms."""

    status: int = 0
    content: bytes = b''
    headers: dict[str, str] = {}
    vm_url: str = ''
    first_token_ms: float | None = None
    total_ms: float = 0.0
    transport_error: str = ''
    unsent: bool = False


class CheckResult(msgspec.Struct, frozen=True):
    """Hold the outcome of a call and its reason."""

    outcome: Outcome
    reason: str = ''
    retry_after_ms: int = 0


def completion_call(
    kind: CallKind,
    model: str,
    prompt: str,
    max_tokens: int,
    work_class: str = 'interactive',
) -> Call:
    """Return a chat completion call; only quick questions do not stream."""
    streaming = kind is not CallKind.QUICK
    body: dict[str, Any] = {
        'model': model,
        'messages': [{'role': 'user', 'content': prompt}],
        'max_tokens': max_tokens,
        'stream': streaming,
    }
    if streaming:
        body['stream_options'] = {'include_usage': True}
    return Call(
        kind=kind,
        path='/v1/chat/completions',
        body=msgspec.json.encode(body),
        headers={
            'Content-Type': 'application/json',
            'X-Work-Class': work_class,
        },
        streaming=streaming,
    )


def booking_call(service: str, path: str, name: str) -> Call:
    """Return a booking call with an idempotency key."""
    return Call(
        kind=CallKind.BOOKING,
        path=f'/services/{service}{path}',
        body=msgspec.json.encode({'booking': name}),
        headers={
            'Content-Type': 'application/json',
            'Idempotency-Key': f'key-{name}',
        },
    )


def sheet_call(service: str, path: str, name: str) -> Call:
    """Return a call that reads a job sheet."""
    return Call(
        kind=CallKind.SHEET,
        path=f'/services/{service}{path}/{name}',
        method='GET',
    )


def check_response(call: Call, response: Response) -> CheckResult:
    """Compare a response with the one expected from the endpoint."""
    if response.unsent:
        return CheckResult(Outcome.UNSENT, 'no connection')
    if response.transport_error:
        return CheckResult(Outcome.BROKEN, response.transport_error)
    if response.status >= _MIN_ERROR_STATUS:
        return _check_error(response)
    check = _check_completion
    if call.kind in {CallKind.BOOKING, CallKind.SHEET}:
        check = _check_service
    elif call.streaming:
        check = _check_stream
    try:
        return check(call, response)
    except (msgspec.DecodeError, LookupError, TypeError) as error:
        return CheckResult(Outcome.WRONG, f'{error!r} in {response.content!r}')


def _check_error(response: Response) -> CheckResult:
    try:
        error = msgspec.json.decode(response.content)['error']
        code = str(error['code'])
    except (msgspec.DecodeError, KeyError, TypeError):
        code = f'status {response.status}'
    executed = response.headers.get('x-executed', 'unknown')
    outcome = Outcome.REFUSED if executed == 'no' else Outcome.FAILED
    wait_ms = int(response.headers.get('retry-after-ms', '0'))
    return CheckResult(outcome, code, wait_ms)


def _check_service(call: Call, response: Response) -> CheckResult:
    document = msgspec.json.decode(response.content)
    service_path = '/' + call.path.split('/', 3)[3]
    matches = (
        document.get('path') == service_path
        and document.get('body_digest') == body_digest(call.body)
        and document.get('sheet') == sheet_text(service_path)
    )
    if matches:
        return CheckResult(Outcome.COMPLETE)
    return CheckResult(Outcome.WRONG, f'got {document}')


def _check_completion(call: Call, response: Response) -> CheckResult:
    request = msgspec.json.decode(call.body)
    document = msgspec.json.decode(response.content)
    text = document['choices'][0]['message']['content']
    if text == expected_completion(request):
        return CheckResult(Outcome.COMPLETE)
    return CheckResult(Outcome.WRONG, f'got {text!r}')


def _check_stream(call: Call, response: Response) -> CheckResult:
    request = msgspec.json.decode(call.body)
    events, error = _events(response.content)
    text = ''.join(_delta(event) for event in events)
    expected = expected_completion(request)
    if not expected.startswith(text):
        return CheckResult(Outcome.WRONG, f'got {text!r}')
    if error:
        return CheckResult(Outcome.FAILED, error)
    if not response.content.endswith(b'data: [DONE]\n\n'):
        return CheckResult(Outcome.BROKEN, 'no [DONE] event')
    if text != expected:
        return CheckResult(Outcome.WRONG, '[DONE] event after a partial answer')
    usage = events[-1].get('usage') or {}
    if usage.get('completion_tokens') != output_tokens(request):
        return CheckResult(Outcome.WRONG, f'usage {usage}')
    return CheckResult(Outcome.COMPLETE)


def _events(content: bytes) -> tuple[list[_Event], str]:
    """Return the data events and the code of an error event."""
    events: list[_Event] = []
    error_code = ''
    for block in content.split(b'\n\n'):
        lines = block.split(b'\n')
        payloads = [line[6:] for line in lines if line.startswith(b'data: ')]
        if not payloads or payloads[0] == b'[DONE]':
            continue
        event = msgspec.json.decode(payloads[0])
        error = event.get('error')
        if error is None:
            events.append(event)
        else:
            error_code = str(error.get('code', 'error'))
    return events, error_code


def _delta(event: dict[str, Any]) -> str:
    choices = event.get('choices') or [{}]
    return str(choices[0].get('delta', {}).get('content') or '')
