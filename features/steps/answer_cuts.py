"""Cut answers of endpoints after each byte and read what callers get."""

import asyncio
import logging
import random
from collections.abc import Callable

import uvloop
from baobabwharf_core.clock import SystemClock
from baobabwharf_core.deployment import (
    DeployedService,
    Deployment,
    IngressLimits,
    RouteKind,
)
from baobabwharf_core.fleet_config import VmRecord
from baobabwharf_daemon.decision_log import DecisionLog
from baobabwharf_daemon.interfaces import MembershipView
from baobabwharf_daemon.proxy.caller_connection import CallerListener
from baobabwharf_daemon.proxy.crash_watch import CrashWatch
from baobabwharf_daemon.proxy.endpoint_selector import EndpointSelector
from baobabwharf_daemon.proxy.ingress import Ingress
from baobabwharf_daemon.proxy.load_tracker import LoadTracker
from baobabwharf_daemon.proxy.proxy_context import ProxyContext
from baobabwharf_daemon.proxy.region_selector import RegionSelector
from baobabwharf_decisions.proxying.endpoint_table import (
    EndpointRecord,
    EndpointTable,
)
from baobabwharf_decisions.proxying.routes import RouteTable
from baobabwharf_platform.headers import PlatformDialect
from behave import given, then, when
from behave.runner import Context
from msgspec.structs import replace
from proxy_exchanges import NoLimits, ProxySubject, route
from recorded_endpoint import (
    FRAMING_SPELLINGS,
    FRAMINGS,
    Answer,
    CutCase,
    Received,
    RecordedEndpoint,
    body_cuts,
    cut_everywhere,
    read_answer,
)

# Few connections at a time; silent ones wait for their deadline.
_BATCH = 40
_SILENT_BATCH = 100
_BATCH_TIMEOUT_S = 30
_DEADLINE_MS = 5000
# All requests of a batch reach the endpoint before this, on a busy machine too.
_SILENCE_DEADLINE_MS = 2500
_LINE_ENDS = {'LF': b'\n', 'CRLF': b'\r\n', 'CR': b'\r'}
_SHOWN_FAULTS = 5
_OK = 200


class _Vms(MembershipView):
    def __init__(self) -> None:
        self.live: tuple[VmRecord, ...] = ()

    def live_vms(self) -> tuple[VmRecord, ...]:
        return self.live

    def announce_leaving(self) -> None:
        """Do nothing: the fleet of the test does not change."""


class _Vm:
    """Run the proxy of one VM with the endpoints of its region."""

    def __init__(self, name: str, vms: _Vms, table: RouteTable) -> None:
        clock = SystemClock()
        log = DecisionLog(clock)
        self.endpoint_table = EndpointTable()
        record = VmRecord(name, name, name, False, '', '', '')
        self.selector = EndpointSelector(
            record, clock, self.endpoint_table, vms, random.Random(1)
        )
        self.context = ProxyContext(
            clock,
            PlatformDialect(),
            self.selector,
            self,
            log,
            CrashWatch(record.vm_id, clock, log),
        )
        ingress = Ingress(self.context, NoLimits(), lambda: table)
        limits = ingress.ingress_limits
        self.callers = CallerListener(ingress.serve_caller, limits)
        self.forwards = CallerListener(ingress.serve_forwarded, limits)
        self.record = record
        self._vms = vms
        self._clock = clock

    def reset(self) -> None:
        """Forget connections and failures of the cases played so far."""
        self.context.pool.close()
        loads = LoadTracker(self._clock, self.endpoint_table)
        self.selector.loads = self.selector.endpoints.loads = loads
        self.selector.regions = RegionSelector(
            self.record, self._clock, self._vms, random.Random(1)
        )
        self.selector.regions.slots['serving', 's'] = 100

    async def start(self) -> None:
        await self.callers.start('127.0.0.1', 0)
        await self.forwards.start('127.0.0.1', 0)
        port = ProxySubject.port_of(self.forwards)
        self.record = replace(self.record, forward_address=f'127.0.0.1:{port}')

    def drop_endpoint(self, endpoint_id: str, reason: str) -> None:
        """Keep the endpoint for the cases that follow."""


class CutFleet:
    """Run one VM, or an entry VM that forwards to another region's VM."""

    def __init__(self, way: str, batch: int = _BATCH) -> None:
        self._batch = batch
        self.loop = uvloop.new_event_loop()
        self.endpoint = RecordedEndpoint()
        # Tens of thousands of cases would fill the report.
        logging.getLogger('baobabwharf.decisions').setLevel(logging.WARNING)
        self.table = RouteTable(
            Deployment(
                1,
                tuple(
                    replace(route(prefix, kind, 2), timeout_ms=_DEADLINE_MS)
                    for prefix, kind in (
                        ('/once/', RouteKind.NON_IDEMPOTENT),
                        ('/many/', RouteKind.IDEMPOTENT),
                        ('/stream/', RouteKind.STREAMING),
                    )
                ),
                (DeployedService('s'),),
                (),
                IngressLimits(500, 2000, 2000, 20_000),
            )
        )
        self.run(self._start(way))

    def run(self, work):
        return self.loop.run_until_complete(
            asyncio.wait_for(work, _BATCH_TIMEOUT_S)
        )

    def add_endpoint(self) -> RecordedEndpoint:
        """Add an endpoint that is used only if the first one is not."""
        spare = RecordedEndpoint()
        self.run(spare.start())
        self._register('i-1', spare, 1)
        return spare

    def _register(
        self, endpoint_id: str, endpoint: RecordedEndpoint, slots: int
    ) -> None:
        self.serving.endpoint_table.update(
            EndpointRecord(
                endpoint_id,
                's',
                f'127.0.0.1:{endpoint.port}',
                'serving',
                'serving',
                slots=slots,
                incarnation=1,
                sequence=1,
            ),
            0,
        )

    async def _start(self, way: str) -> None:
        await self.endpoint.start()
        vms = _Vms()
        self.serving = _Vm('serving', vms, self.table)
        await self.serving.start()
        self._register('i-0', self.endpoint, 100)
        self.entry = self.serving
        if way == 'another VM':
            self.entry = _Vm('entry', vms, self.table)
            await self.entry.start()
        vms.live = (self.serving.record, self.entry.record)

    def close(self) -> None:
        async def cancel() -> None:
            running = asyncio.all_tasks() - {asyncio.current_task()}
            for task in running:
                task.cancel()
            await asyncio.gather(*running, return_exceptions=True)

        self.loop.run_until_complete(cancel())
        self.loop.close()

    def play(self, prefix: str, cases: list[CutCase]) -> list[Received]:
        """Send one request for each case, many at a time."""
        received = []
        for kept in (False, True):
            chosen = [case for case in cases if case.kept == kept]
            silent = any(case.ending == 'silence' for case in chosen)
            size = _SILENT_BATCH if silent else self._batch
            for start in range(0, len(chosen), size):
                batch = chosen[start : start + size]
                received += self.run(self._play_batch(prefix, batch, kept))
        return received

    async def _play_batch(
        self, prefix: str, batch: list[CutCase], kept: bool
    ) -> list[tuple[CutCase, Received]]:
        self.serving.reset()
        self.entry.reset()
        if kept:
            self.endpoint.await_requests(len(batch))
            await asyncio.gather(*(self._warm(prefix) for _case in batch))
        self.endpoint.await_requests(len(batch))
        self.endpoint.cases = batch
        self.endpoint.reused = set()
        received = await asyncio.gather(
            *(
                self._send(prefix, str(number), case.ending)
                for number, case in enumerate(batch)
            )
        )
        self.endpoint.close_silent()
        expected = set(range(len(batch))) if kept else set()
        assert self.endpoint.reused == expected, 'Connections were not reused.'
        return list(zip(batch, received, strict=True))

    async def send_while(
        self, prefix: str, disturb: Callable[[], None]
    ) -> bool:
        """Send a request on new connections; return whether it is served."""
        self.serving.reset()
        self.entry.reset()
        self.endpoint.await_requests(1)
        disturb()
        received = await self._send(prefix, 'warm', '')
        return received.status == _OK and received.complete

    async def _warm(self, prefix: str) -> None:
        received = await self._send(prefix, 'warm', '')
        assert received.status == 200, received

    async def _send(self, prefix: str, case: str, ending: str) -> Received:
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', ProxySubject.port_of(self.entry.callers)
        )
        silent = ending == 'silence'
        deadline_ms = _SILENCE_DEADLINE_MS if silent else _DEADLINE_MS
        writer.write(
            f'POST {prefix}x HTTP/1.1\r\nHost: h.example\r\nX-Case: {case}\r\n'
            f'X-Request-Id: id-1\r\nX-Deadline-Ms: {deadline_ms}\r\n'
            'Content-Length: 1\r\n\r\nx'.encode()
        )
        received = await read_answer(reader)
        writer.close()
        return received


def build_stream(line_end: bytes) -> bytes:
    """Return two events; the second has two lines of data."""
    lines = (b'id: 1', b'data: a', b'', b'id: 2', b'data: b', b'data: c', b'')
    return line_end.join((*lines, b''))


def build_answer(body: bytes, framing: str, content_type: bytes) -> Answer:
    lines = [b'HTTP/1.1 200 OK', b'X-Request-Id: id-1']
    lines.append(b'X-Response-Signature: s')
    if content_type:
        lines.append(b'Content-Type: ' + content_type)
    return Answer(tuple(lines), body, framing)


def ends_between_events(body: bytes, stream: bytes, line_end: bytes) -> bool:
    """Return whether a beginning of the stream ends after a whole event."""
    first = stream.index(line_end * 2) + 2 * len(line_end)
    return len(body) in {first, len(stream)}


@given('a fleet where requests are served by {way}')
def fleet(context: Context, way: str) -> None:
    context.fleet = CutFleet(way)
    context.add_cleanup(context.fleet.close)


@when('a stream with {line_end} and {content_type} is cut after each byte')
def cut_stream(context: Context, line_end: str, content_type: str) -> None:
    context.line_end = _LINE_ENDS[line_end]
    context.body = build_stream(context.line_end)
    media = b'' if content_type == 'no type' else content_type.encode()
    cases = [
        case
        for framing in FRAMINGS
        for case in body_cuts(build_answer(context.body, framing, media))
    ]
    context.received = context.fleet.play('/stream/', cases)


@when('a stream with {line_end} and {content_type} is cut and framed as whole')
def frame_cut(context: Context, line_end: str, content_type: str) -> None:
    context.line_end = _LINE_ENDS[line_end]
    context.body = build_stream(context.line_end)
    media = b'' if content_type == 'no type' else content_type.encode()
    answers = [
        build_answer(context.body[:size], framing, media)
        for framing in FRAMINGS
        for size in range(1, len(context.body))
    ]
    cases = [
        CutCase(answer, len(answer.wire), 'fin', kept=kept)
        for answer in answers
        for kept in (False, True)
    ]
    context.received = context.fleet.play('/stream/', cases)


@when('the head of an answer on {prefix} is cut after each byte')
def cut_head(context: Context, prefix: str) -> None:
    context.line_end = b'\n'
    context.body = build_stream(context.line_end)
    answers = [
        build_answer(context.body, framing, b'text/event-stream')
        for framing in FRAMINGS
    ]
    cases = [
        case
        for answer in answers
        for case in cut_everywhere(answer)
        if case.cut < len(answer.head)
    ]
    context.received = context.fleet.play(prefix, cases)


@when('a plain answer on {prefix} is cut after each byte')
def cut_plain(context: Context, prefix: str) -> None:
    context.line_end = None
    context.body = b'the whole body'
    cases = [
        case
        for framing in FRAMINGS
        for case in body_cuts(
            build_answer(context.body, framing, b'text/plain')
        )
    ]
    context.received = context.fleet.play(prefix, cases)


@when('an answer on {prefix} spells its framing unusually and is cut')
def cut_spelled(context: Context, prefix: str) -> None:
    is_stream = prefix == '/stream/'
    context.line_end = b'\n' if is_stream else None
    context.body = build_stream(b'\n') if is_stream else b'the whole body'
    media = b'text/event-stream' if is_stream else b'text/plain'
    cases = [
        case
        for framing in FRAMING_SPELLINGS
        for case in body_cuts(build_answer(context.body, framing, media))
    ]
    context.received = context.fleet.play(prefix, cases)


@when('the endpoint falls silent after each byte of a stream')
def fall_silent(context: Context) -> None:
    context.line_end = b'\n'
    context.body = build_stream(context.line_end)
    cases = [
        case
        for framing in FRAMINGS
        for case in cut_everywhere(
            build_answer(context.body, framing, b'text/event-stream'),
            ('silence',),
        )
    ]
    context.received = context.fleet.play('/stream/', cases)


def is_ambiguous(context: Context, case: CutCase) -> bool:
    """Return whether nothing shows that the answer is not whole.

    The framing and the connection end normally, and what was sent ends after
    an event or holds no events.
    """
    answer = case.answer
    body = case.sent[len(answer.head) :]
    if case.is_whole and not answer.ends_with_connection:
        return ends_between_events(answer.body, context.body, context.line_end)
    if not answer.ends_with_connection or case.ending not in {
        'fin',
        'half-close',
    }:
        return False
    if case.cut < len(answer.head):
        return False
    if context.line_end is None:
        return True
    return ends_between_events(body, context.body, context.line_end)


def judge(context: Context, case: CutCase, received: Received) -> str | None:
    """Return what is wrong with a response, None if nothing is."""
    whole = case.is_whole and case.answer.body == context.body
    if whole and not (received.complete and received.body == context.body):
        return 'a whole answer did not arrive'
    if not context.body.startswith(received.body) and received.signed:
        return 'bytes that were not sent'
    if not received.complete or not received.signed:
        # A refusal by the VM itself is complete and not signed.
        refused = received.complete and received.status in {502, 504}
        begun = received.status in {0, 200} and not received.complete
        return None if refused or begun else f'status {received.status}'
    if received.body == context.body or is_ambiguous(context, case):
        return None
    return 'framed as complete and is not'


@then('a response is complete only where the answer was')
def complete_only(context: Context) -> None:
    faults = []
    for case, received in context.received:
        fault = judge(context, case, received)
        if fault is not None:
            faults.append(f'{fault}: {case}: {received}')
    shown = '\n'.join(faults[:_SHOWN_FAULTS])
    total = len(context.received)
    assert total > 10 and not faults, f'{len(faults)} of {total}:\n{shown}'


@then('no response has the status {status:d}')
def never_status(context: Context, status: int) -> None:
    found = [case for case, got in context.received if got.status == status]
    assert not found, str(found[0])
