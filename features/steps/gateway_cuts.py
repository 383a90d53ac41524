"""Cut answers to the own interface after each byte."""

import asyncio
import json
import re

from baobabwharf_core.requests import EndpointChoice
from baobabwharf_daemon.forwarding import watchdog
from behave import given, then, when
from behave.runner import Context
from gateway_fakes import KEY
from gateway_subject import CHAT, GatewaySubject
from recorded_endpoint import (
    FRAMING_SPELLINGS,
    FRAMINGS,
    ID_PLACEHOLDER,
    Answer,
    CutCase,
    Received,
    RecordedEndpoint,
    body_cuts,
    cut_everywhere,
    read_answer,
)

_BATCH = 40
_LINE_ENDS = {'LF': b'\n', 'CRLF': b'\r\n'}
_DONE = b'data: [DONE]'
_SHOWN_FAULTS = 5


class CutGateway:
    """Ask one gateway VM, or one that forwards to another, for answers."""

    def __init__(self, folder, way: str) -> None:
        self.subject = GatewaySubject(folder)
        # Connections are silent for as long as the machine is busy, too.
        watchdog.STREAM_IDLE_TIMEOUT_S = 5
        self.endpoint = RecordedEndpoint()
        self.subject.run(self._start(2 if way == 'another VM' else 1))

    async def _start(self, count: int) -> None:
        await self.endpoint.start()
        await self.subject.start('sound', count)
        url = f'http://127.0.0.1:{self.endpoint.port}'
        choice = EndpointChoice('e0', url, True, True, False, '')
        for vm in self.subject.vms:
            vm.router.endpoints = [choice]

    def play(
        self, path: str, cases: list[CutCase]
    ) -> list[tuple[CutCase, Received]]:
        received = []
        for start in range(0, len(cases), _BATCH):
            batch = cases[start : start + _BATCH]
            received += self.subject.run(self._play_batch(path, batch))
        return received

    async def _play_batch(
        self, path: str, batch: list[CutCase]
    ) -> list[tuple[CutCase, Received]]:
        self.endpoint.await_requests(len(batch))
        self.endpoint.cases = batch
        sends = (self._send(path, number) for number in range(len(batch)))
        received = await asyncio.gather(*sends)
        return list(zip(batch, received, strict=True))

    async def _send(self, path: str, case: int) -> Received:
        host, _colon, port = self.subject.vm.caller.rpartition('/')[
            2
        ].rpartition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        body = json.dumps(GatewaySubject.body(user=f'case-{case}')).encode()
        writer.write(
            f'POST {path} HTTP/1.1\r\nHost: x\r\n'
            f'Authorization: Bearer {KEY}\r\nContent-Length: {len(body)}\r\n'
            'Content-Type: application/json\r\n\r\n'.encode()
            + body
        )
        received = await read_answer(reader)
        writer.close()
        return received


def build_answer(body: bytes, framing: str, content_type: bytes) -> Answer:
    return Answer(
        (
            b'HTTP/1.1 200 OK',
            b'X-Request-Id: ' + ID_PLACEHOLDER,
            b'Content-Type: ' + content_type,
        ),
        body,
        framing,
    )


def build_completion(line_end: bytes) -> bytes:
    events = [
        b'data: {"id":"%s","choices":[{"index":0,"delta":{"content":"t%d "}}]}'
        % (ID_PLACEHOLDER, number)
        for number in range(2)
    ]
    return b''.join(event + line_end * 2 for event in (*events, _DONE))


def with_spellings(body: bytes, content_type: bytes) -> list[CutCase]:
    """Return the cuts of a body, and some with each spelling of a framing."""
    cases = []
    for framing in (*FRAMINGS, *FRAMING_SPELLINGS):
        answer = build_answer(body, framing, content_type)
        cases += body_cuts(answer)
    return [case for case in cases if not case.kept]


@given('gateways where requests are served by {way}')
def gateways(context: Context, way: str) -> None:
    context.gateway = CutGateway(context.path, way)
    context.add_cleanup(context.gateway.subject.close)


@when('a completion with {line_end} is cut after each byte')
def cut_completion(context: Context, line_end: str) -> None:
    end = _LINE_ENDS[line_end]
    # The caller gets LF line ends.
    context.body = build_completion(b'\n')
    body = build_completion(end)
    context.needed = body
    cases = []
    for framing in FRAMINGS:
        answer = build_answer(body, framing, b'text/event-stream')
        begin = len(answer.head)
        cases += [
            case
            for case in cut_everywhere(answer)
            if case.cut >= begin and not case.kept
        ]
    context.received = context.gateway.play(CHAT, cases)


@when('the head of a gateway answer on {path} is cut after each byte')
def cut_head(context: Context, path: str) -> None:
    context.body = b'whole'
    cases = [
        case
        for framing in FRAMINGS
        for answer in (build_answer(b'whole', framing, b'text/plain'),)
        for case in cut_everywhere(answer)
        if case.cut < len(answer.head) and not case.kept
    ]
    context.received = context.gateway.play(path, cases)


@when('a plain gateway answer is cut after each byte')
def cut_plain(context: Context) -> None:
    context.body = b'the whole body'
    cases = with_spellings(context.body, b'text/plain')
    context.received = context.gateway.play('/services/desk/x', cases)


@when('an event stream of a service with {line_end} is cut')
def cut_service_stream(context: Context, line_end: str) -> None:
    end = _LINE_ENDS[line_end]
    context.body = end.join((b'id: 1', b'data: a', b'', b'id: 2', b'', b''))
    first = context.body.index(end * 2) + 2 * len(end)
    context.boundaries = {first, len(context.body)}
    framed = [
        build_answer(context.body[:size], framing, b'text/event-stream')
        for framing in ('length', 'chunked')
        for size in range(1, len(context.body))
    ]
    cases = with_spellings(context.body, b'text/event-stream')
    cases += [CutCase(answer, len(answer.wire), 'fin') for answer in framed]
    context.received = context.gateway.play('/services/desk/x', cases)


def report(faults: list[str], total: int) -> None:
    shown = '\n'.join(faults[:_SHOWN_FAULTS])
    assert total > 10 and not faults, f'{len(faults)} of {total}:\n{shown}'


@then('a completion is complete only where the whole of it was sent')
def complete_completion(context: Context) -> None:
    faults = []
    for case, received in context.received:
        body = re.sub(
            rb'"id":"\w+"', b'"id":"%s"' % ID_PLACEHOLDER, received.body
        )
        ended = received.complete and body.endswith(_DONE + b'\n\n')
        sent_all = case.sent_body == context.needed
        if ended and not (sent_all and body == context.body):
            faults.append(f'complete and is not: {case}: {received}')
        elif case.is_whole and not ended:
            faults.append(f'not complete and is: {case}: {received}')
        elif not ended and received.complete and b'"error"' not in body:
            faults.append(f'ended without an error: {case}: {received}')
    report(faults, len(context.received))


@then('a gateway answer is complete only where it was')
def complete_only(context: Context) -> None:
    faults = []
    boundaries = getattr(context, 'boundaries', set())
    for case, received in context.received:
        complete = received.complete and received.status == 200
        framed = case.is_whole and not case.answer.ends_with_connection
        whole = framed and case.answer.body == context.body
        allowed = framed and len(case.answer.body) in boundaries
        if complete and received.body != context.body and not allowed:
            faults.append(f'complete and is not: {case}: {received}')
        elif whole and not (complete and received.body == context.body):
            faults.append(f'not complete and is: {case}: {received}')
        elif received.complete and received.status not in {200, 502, 504}:
            faults.append(f'status: {case}: {received}')
    report(faults, len(context.received))


@then('no gateway answer has the status 200')
def never_success(context: Context) -> None:
    found = [case for case, got in context.received if got.status == 200]
    assert not found, str(found[0])
