"""Build logs in which one request ends in a known way."""

import json
from pathlib import Path

from baobabwharf_cli.exit_codes import ExitCode
from baobabwharf_cli.losses import Loss, LossesCommand, find_losses
from baobabwharf_cli.trace import read_lines
from behave import given, then
from behave.runner import Context
from cleo.testers.command_tester import CommandTester

_RECORDED = Path(__file__).parents[1] / 'data' / 'request_trace.log'
_START_MS = 1_700_000_005_000
_TARGET_MS = 600
_SECOND = 5


def _placed(request: str, after_ms: int, region: str, running: int | None = 2):
    return {
        'time_ms': _START_MS + after_ms,
        'vm': f'entry-{region}',
        'event': 'placed',
        'request': request,
        'region': region,
        'running': running,
    }


def _ended(request: str, outcome: str, after_ms: int, **fields):
    ended = {
        'time_ms': _START_MS + after_ms,
        'vm': 'entry-a',
        'event': 'request_ended',
        'request': request,
        'route': 'r',
        'service': 's',
        'outcome': outcome,
        'took_ms': after_ms,
        'first_ms': None,
        'sends': 1,
        'target_ms': _TARGET_MS,
    }
    return {**ended, **fields}


def _other(region: str, after_ms: int):
    """Return the lines of a request that is served in a region."""
    return (
        _placed(region, after_ms, region),
        _ended(region, 'answered', after_ms + 50, first_ms=40, took_ms=60),
    )


# Tells the region of the entry VM, seconds before.
_EARLIER = (
    _placed('earlier', -5000, 'a'),
    _ended('earlier', 'answered', -4900, first_ms=50, took_ms=100),
)
_WAYS = {
    'is answered within its target': (
        _placed('x', 5, 'a'),
        _ended('x', 'answered', 900, first_ms=600),
    ),
    'is refused while another region takes requests': (
        *_other('b', 150),
        _ended('x', 'queue_full', 2),
    ),
    'is refused while its own region takes requests': (
        *_other('a', 100),
        *_other('b', 900),
        _ended('x', 'queue_full', 2),
    ),
    'is refused and nobody takes requests': (_ended('x', 'no_endpoint', 2),),
    'fails at an endpoint': (
        _placed('x', 5, 'a'),
        _ended('x', 'endpoint_failed', 300),
    ),
    'is broken off': (
        _placed('x', 5, 'a'),
        _ended('x', 'stream_broken', 300, first_ms=100),
    ),
    'has no end': (_placed('x', 5, 'a'),),
    'waits long and is answered late': (
        _placed('x', 301, 'a'),
        _ended('x', 'answered', 900, first_ms=601),
    ),
    'is sent twice and is answered late': (
        _placed('x', 5, 'a'),
        _placed('x', 500, 'a'),
        _ended('x', 'answered', 900, first_ms=601, sends=2),
    ),
    'is placed at once and is answered late': (
        _placed('x', 5, 'a'),
        _ended('x', 'answered', 900, first_ms=601),
    ),
    'is above its rate': (_ended('x', 'rate_exceeded', 1),),
}


@given('logs in which a request {way}')
def logs(context: Context, way: str) -> None:
    path = context.path / 'vm.log'
    lines = _WAYS[way]
    if way != 'is above its rate':
        lines = (*_EARLIER, *lines)
    path.write_text('\n'.join(map(json.dumps, lines)))
    context.found = find_losses(read_lines((path,)))


@then('the request is counted as "{loss}" in its second')
def counted(context: Context, loss: str) -> None:
    found = [one for one in context.found if one.second == _SECOND]
    losses = [one.loss for one in found]
    assert losses.count(Loss(loss)) >= 1, found
    others = [one for one in losses if one is not Loss(loss)]
    assert set(others) <= {Loss.IN_TIME}, found


@then('no request is counted')
def none_counted(context: Context) -> None:
    assert not context.found


@then('the losses of the recorded logs name "{reason}" once')
def recorded(context: Context, reason: str) -> None:
    tester = CommandTester(LossesCommand())
    assert tester.execute(str(_RECORDED)) == ExitCode.DONE
    printed = tester.io.fetch_output()
    assert f'     1  failed: {reason}' in printed, printed
    assert LossesCommand.name == 'losses'
