"""Exercise the queue bound and the rate limit of the decision log."""

import json
import logging
import os
import time
import tracemalloc

from baobabwharf_core.clock import Clock
from baobabwharf_daemon.decision_log import (
    DecisionLog,
    JsonLinesFormatter,
    PipeHandler,
)
from behave import given, then, when
from behave.runner import Context


class FixedClock(Clock):
    """Return a time that only the test advances."""

    def __init__(self) -> None:
        self.at_ms = 1000

    def now_ms(self) -> int:
        return self.at_ms

    def wall_ms(self) -> int:
        return self.at_ms


class PipeLog:
    """Hold a decision log that writes to a pipe."""

    def __init__(self) -> None:
        self.clock = FixedClock()
        self.reader, self.writer = os.pipe()
        self.handler = PipeHandler(self.writer)
        self.handler.setFormatter(JsonLinesFormatter('vm'))
        logger = logging.getLogger('baobabwharf.decisions')
        logger.handlers = [self.handler]
        logger.setLevel(logging.INFO)
        self.log = DecisionLog(self.clock)

    def close(self) -> None:
        logging.getLogger('baobabwharf.decisions').handlers = []
        os.close(self.reader)
        os.close(self.writer)

    def lines(self) -> list[dict]:
        content = os.read(self.reader, 1 << 20)
        return [json.loads(line) for line in content.splitlines()]


def create_log(context: Context) -> PipeLog:
    pipe_log = PipeLog()
    context.add_cleanup(pipe_log.close)
    return pipe_log


@given('a decision log whose reader stands still')
@given('a decision log at 1000 ms')
def decision_log(context: Context) -> None:
    context.log = create_log(context)


@when('{count:d} long lines are written to it')
def long_lines(context: Context, count: int) -> None:
    context.longest_s = 0.0
    record = logging.makeLogRecord(
        {'event': 'e', 'fields': {'text': 'x' * 200}}
    )
    for _index in range(count):
        start_s = time.monotonic()
        context.log.handler.emit(record)
        context.longest_s = max(context.longest_s, time.monotonic() - start_s)


@then('none of the writes waits and the dropped lines are counted')
def nothing_waits(context: Context) -> None:
    # A blocking write would never return; any finite bound detects it.
    assert context.longest_s < 5, context.longest_s
    handler = context.log.handler
    assert handler.dropped > 10_000, handler.dropped


@when('{count:d} events are recorded, and one more at {later_ms:d} ms')
def many_events(context: Context, count: int, later_ms: int) -> None:
    for number in range(count):
        context.log.log.record('e', number=number)
    context.log.clock.at_ms = later_ms
    context.log.log.record('e', number=count)


@then(
    '{written:d} lines are written and the last one says that {left:d} were left out'
)
def counted(context: Context, written: int, left: int) -> None:
    lines = context.log.lines()
    assert len(lines) == written, len(lines)
    assert lines[-1]['suppressed_before'] == left, lines[-1]


@when('{count:d} lines of {size:d} bytes are written to it')
def lines_of_size(context: Context, count: int, size: int) -> None:
    record = logging.makeLogRecord(
        {'event': 'e', 'fields': {'text': 'x' * size}}
    )
    tracemalloc.start()
    for _index in range(count):
        context.log.handler.emit(record)
    context.held_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()


@then('it holds at most {limit:d} bytes and the dropped lines are counted')
def holds_at_most(context: Context, limit: int) -> None:
    assert context.held_bytes <= limit, context.held_bytes
    assert context.log.handler.dropped > 0
