"""Send prompts with a part that crashes endpoints to an entry VM."""

import asyncio
import time

import msgspec
from behave import then, when
from behave.runner import Context

_DEADLY_PART = 'dead'
# Long enough for two crashes to count as two.
_GAP_S = 0.3
# The users' bound on crashes before the part is known.
_MAX_CRASHES = 5
_AT_ONCE_S = 0.2


def _send(proxy, number: int, parts: str) -> bytes:
    header = (
        f'X-Prompt-Prefix: {parts},own{number}:9\r\nConnection: close\r\n'
    ).encode()
    request = proxy.request('POST', '/stream/x', f'{number}', more=header)
    try:
        return proxy.run(proxy.exchange(request))
    except asyncio.IncompleteReadError as cut:
        return cut.partial


def _restart_crashed(proxy) -> None:
    """Register each endpoint under the number of crashes that it had."""
    for number, endpoint in enumerate(proxy.endpoints):
        record = proxy.endpoint_table.entries[f'i-{number}'].record
        crashes = sum(
            _DEADLY_PART.encode() in request for request in endpoint.requests
        )
        if record.incarnation != crashes + 1:
            restarted = msgspec.structs.replace(
                record, incarnation=crashes + 1, sequence=1
            )
            proxy.endpoint_table.update(restarted, 0)


@when(
    'callers send {count:d} prompts with the deadly part, each after a sound one with its other parts'
)
def send_prompts(context: Context, count: int) -> None:
    proxy = context.proxy
    context.sound, context.deadly = [], []
    for number in range(count):
        context.sound.append(_send(proxy, number, 'all:500,session:900'))
        began_s = time.monotonic()
        deadly = _send(proxy, number, f'all:500,session:900,{_DEADLY_PART}:100')
        context.deadly.append((deadly, time.monotonic() - began_s))
        _restart_crashed(proxy)
        proxy.run(asyncio.sleep(_GAP_S))


@then('at most five endpoints crash')
def few_crashes(context: Context) -> None:
    reached = [
        request
        for endpoint in context.proxy.endpoints
        for request in endpoint.requests
        if _DEADLY_PART.encode() in request
    ]
    assert 2 <= len(reached) <= _MAX_CRASHES, len(reached)


@then('the last 3 prompts with the deadly part are refused at once as not run')
def refused(context: Context) -> None:
    for response, took_s in context.deadly[-3:]:
        assert response.startswith(b'HTTP/1.1 503'), response
        assert b'Retry-After' in response and took_s < _AT_ONCE_S


@then('each sound prompt is answered')
def answered(context: Context) -> None:
    for response in context.sound:
        assert response.startswith(b'HTTP/1.1 200'), response
        assert response.endswith(b'data: y\n\n\r\n0\r\n\r\n'), response
