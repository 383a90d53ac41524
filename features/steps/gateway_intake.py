"""Drive the memory for input of the own interface without a network."""

import asyncio

from baobabwharf_core.refusals import Executed, Refusal
from baobabwharf_daemon.gateway.body_reader import BodyReader
from baobabwharf_daemon.gateway.intake import Intake, MemoryShortError
from behave import given, then, when
from behave.runner import Context
from decision_log import FixedClock

_CUSTOMER = 'c1'
_PART = 1024 * 1024
# Counted twice, this leaves less of the share of 46 MB than the second body.
_FIRST = 20 * _PART
_CHUNKS = 8
_TURNS = 100
_SMALL = 48 * 1024
# More than the time that requests wait for each other.
_STALL_MS = 4000


class ChunkStream:
    """Give chunks as the stream of a request does."""

    def __init__(self, chunks: int) -> None:
        self.recv_buffer = b''
        self.chunks = chunks

    async def __aiter__(self):
        for _ in range(self.chunks):
            yield b'x' * _PART


class FakeRequest:
    """Be a chunked request."""

    def __init__(self, chunks: int) -> None:
        self.headers = {'transfer-encoding': 'chunked'}
        self.stream = ChunkStream(chunks)


class IntakeSubject:
    def __init__(self) -> None:
        self.clock = FixedClock()
        self.intake = Intake(None, self.clock)
        self.reader = BodyReader(self.intake)
        self.first = self.intake.hold(_CUSTOMER, None)
        self.outcome: object = None

    async def fill(self) -> None:
        """Let a running request take most of the share of its customer."""
        await self.first.add(_FIRST)
        self.first.complete()

    async def read_second(self, meanwhile) -> None:
        request = FakeRequest(_CHUNKS)
        with self.reader.hold(request, _CUSTOMER) as holding:
            reading = asyncio.ensure_future(
                self.reader.read(request, holding, len)
            )
            for _ in range(_TURNS):
                await asyncio.sleep(0)
            assert self.intake.waiting == 1
            meanwhile()
            self.outcome = await asyncio.wait_for(reading, 5)


@given('an intake filled by one customer')
def filled(context: Context) -> None:
    context.intake = IntakeSubject()
    asyncio.run(context.intake.fill())


@when('another body of that customer has to wait and the first request ends')
def first_ends(context: Context) -> None:
    subject = context.intake

    def end() -> None:
        subject.first.__exit__(None, None, None)

    asyncio.run(subject.read_second(end))


@then('the intake lets the waiting body go on')
def goes_on(context: Context) -> None:
    assert context.intake.outcome == _CHUNKS * _PART, context.intake.outcome


@when('another body of that customer waits while the first does not end')
def first_stays(context: Context) -> None:
    subject = context.intake

    def pass_time() -> None:
        # The first call sees that requests wait for each other.
        for _ in range(2):
            subject.intake.relieve()
            subject.clock.at_ms += _STALL_MS
        subject.intake.relieve()

    asyncio.run(subject.read_second(pass_time))


@then('the intake ends the waiting body as not run with 503 and Retry-After')
def refused(context: Context) -> None:
    refusal = context.intake.outcome
    assert isinstance(refusal, Refusal), refusal
    assert (refusal.status, refusal.executed) == (503, Executed.NO), refusal
    assert refusal.retry_after_ms, refusal


@when('small bodies of that customer arrive until one is refused')
def small_bodies(context: Context) -> None:
    asyncio.run(_send_small(context.intake))


async def _send_small(subject: IntakeSubject) -> None:
    holdings = []
    try:
        while True:
            holdings.append(subject.intake.hold(_CUSTOMER, _SMALL))
            await holdings[-1].add(_SMALL)
    except MemoryShortError:
        for holding in (subject.first, *holdings):
            holding.__exit__(None, None, None)


@then('the intake holds nothing after all requests ended')
def empty(context: Context) -> None:
    assert context.intake.intake.held_bytes == 0
