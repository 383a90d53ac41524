"""Feed blocks of a stream to an event boundary."""

from baobabwharf_daemon.event_boundary import EventBoundary
from behave import given, then
from behave.runner import Context


@given('the blocks {blocks} of a stream')
def feed(context: Context, blocks: str) -> None:
    context.boundary = EventBoundary()
    if blocks == 'nothing':
        return
    for block in blocks.split(' + '):
        # behave leaves the escapes of a table as they are.
        content = block.replace('\\r', '\r').replace('\\n', '\n')
        context.boundary.feed(content.encode())


@then('an event is whole: {answer}')
def whole(context: Context, answer: str) -> None:
    assert context.boundary.event_ended == (answer == 'yes')


@then('the stream ends inside an event: {answer}')
def inside(context: Context, answer: str) -> None:
    assert context.boundary.inside_event == (answer == 'yes')
