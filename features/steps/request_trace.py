"""Trace requests through recorded logs."""

import random
from pathlib import Path

from baobabwharf_cli.exit_codes import ExitCode
from baobabwharf_cli.trace import TraceCommand, read_lines, trace
from behave import given, then
from behave.runner import Context
from cleo.testers.command_tester import CommandTester

_ROOT = Path(__file__).parents[2]
_RECORDED = _ROOT / 'features' / 'data' / 'request_trace.log'
_PAGE = _ROOT / 'docs' / 'OPERATIONS.md'


class TraceSubject:
    """Run the trace command on a log file."""

    def __init__(self, path: Path) -> None:
        self.path = path

    def trace(self, request: str) -> list[str]:
        return trace(read_lines((self.path,)), request)


@given('the recorded logs')
def recorded_logs(context: Context) -> None:
    context.trace = TraceSubject(_RECORDED)


@given('the recorded logs, shuffled and mixed with other lines')
def shuffled_logs(context: Context) -> None:
    lines = _RECORDED.read_text().splitlines()
    lines.extend(('no JSON', '{"cut": ', '[1]', '  1.5 vm {"event": 1}', ''))
    random.Random(1).shuffle(lines)
    path = context.path / 'mixed.log'
    path.write_text('\n'.join(lines))
    context.trace = TraceSubject(path)


@then('every line that the operations page shows for {request} is printed')
def prints_documented_lines(context: Context, request: str) -> None:
    _before, _command, rest = _PAGE.read_text().partition(f'trace {request}')
    documented_lines = rest.partition('```')[0].splitlines()[1:]
    printed = context.trace.trace(request)
    assert documented_lines and set(documented_lines) <= set(printed), printed


@then('request {request} is traced as in the ordered logs')
def traced_as_ordered(context: Context, request: str) -> None:
    expected = TraceSubject(_RECORDED).trace(request)
    assert expected and context.trace.trace(request) == expected


@then('tracing request {request} ends with the code for not found')
def ends_with_not_found(context: Context, request: str) -> None:
    tester = CommandTester(TraceCommand())
    code = tester.execute(f'{request} {context.trace.path}')
    assert code == ExitCode.NOT_FOUND
