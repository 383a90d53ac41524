"""Steps that stop a gateway while callers go on using their connections."""

import asyncio
import json

from baobabwharf_daemon.forwarding.call_codec import (
    FLEET_SECRET_HEADER,
    FORWARD_PATH,
    encode_call,
)
from baobabwharf_daemon.gateway.drain import LEAVE_PROPAGATION_MS
from behave import given, then, when
from gateway_callers import http, start_gateway
from gateway_fakes import KEY
from gateway_forwarding import SECRET, call_with
from gateway_subject import GatewaySubject

GET_MODELS = (
    f'GET /v1/models HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {KEY}\r\n\r\n'
).encode()
GET_HEALTH = b'GET /health HTTP/1.1\r\nHost: x\r\n\r\n'


@given('a gateway VM with endpoints "{names}" that drains for {limit:d} ms')
def draining_vm(context, names, limit):
    start_gateway(context, names, drain_deadline_ms=limit)


def chat(kind, tokens=6):
    return http(json.dumps(GatewaySubject.body(kind, tokens)).encode())


async def connect(subject, port=None):
    return await asyncio.open_connection(
        '127.0.0.1', port or subject.vm.settings.listen.caller_port
    )


def request_stop(vm):
    """Stop a gateway in the order of the daemon."""

    async def stop():
        await vm.gateway.drain.wait()
        await vm.gateway.stop()

    vm.gateway.drain.request_stop()
    return asyncio.ensure_future(stop())


def parse(answer):
    head, _, body = answer.partition(b'\r\n\r\n')
    assert head.startswith(b'HTTP/1.1 '), answer
    return int(head.split()[1]), head.lower().split(b'\r\n'), body


def assert_refused(answer):
    status, head, body = parse(answer)
    assert status == 503, answer
    assert b'x-executed: no' in head, head
    assert b'connection: close' in head, head
    assert json.loads(body)['error']['code'] == 'vm_stopping', body


@when('a gateway request whose body began before the stop ends after it')
def body_ends_late(context):
    subject = context.subject

    async def work():
        reader, writer = await connect(subject)
        content = chat('stream', 400)
        writer.write(content[:-5])
        await asyncio.sleep(0.1)
        stopped = request_stop(subject.vm)
        await asyncio.sleep(0.1)
        writer.write(content[-5:])
        context.answer = await reader.read()
        await stopped

    subject.run(work())


@when('the gateway stops while a request waits for an endpoint')
def stops_while_queued(context):
    subject = context.subject

    async def work():
        queued = asyncio.Event()

        async def admit(attributes, excluded):
            queued.set()
            await asyncio.Event().wait()

        subject.vm.router.admit = admit
        reader, writer = await connect(subject)
        writer.write(chat('stream'))
        await queued.wait()
        stopped = request_stop(subject.vm)
        context.answer = await reader.read()
        assert not stopped.done()
        assert subject.vm.gateway.drain.state == 'draining'
        await stopped

    subject.run(work())


@then('the gateway refused the request as not executed and called no endpoint')
def refused_as_not_executed(context):
    assert_refused(context.answer)
    assert not context.subject.endpoint.seen


@when('the drain of the gateway ends while a {kind} answer runs')
def drain_ends_early(context, kind):
    subject = context.subject

    async def work():
        reader, writer = await connect(subject)
        writer.write(chat(kind, 400))
        await subject.endpoint.started.wait()
        stopped = request_stop(subject.vm)
        context.answer = await reader.read()
        await stopped

    subject.run(work())


@then('the caller of the gateway was told that its request may have run')
def told_unknown(context):
    _status, _head, body = parse(context.answer)
    assert b'[DONE]' not in body, body
    assert b'"code":"vm_stopping"' in body, body
    assert b'"executed":"unknown"' in body, body


@when('a body forwarded to the gateway ends after the others left the drain')
def forwarded_body_ends_late(context):
    subject = context.subject

    async def work():
        body = encode_call(call_with())
        port = subject.vm.settings.listen.forward_port
        reader, writer = await connect(subject, port)
        head = (
            f'POST {FORWARD_PATH} HTTP/1.1\r\nHost: x\r\n'
            f'{FLEET_SECRET_HEADER}: {SECRET}\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'
        )
        writer.write(head.encode() + body[:-5])
        await asyncio.sleep(0.1)
        stopped = request_stop(subject.vm)
        await asyncio.sleep(LEAVE_PROPAGATION_MS / 1000 + 0.3)
        writer.write(body[-5:])
        context.answer = await reader.read()
        await stopped

    subject.run(work())


@when('callers use open connections of two gateways until both have stopped')
def use_until_stopped(context):
    subject = context.subject
    context.answers = []

    async def use(vm, content):
        """Send requests on kept connections until none can be opened."""
        port = vm.settings.listen.caller_port
        while True:
            try:
                reader, writer = await connect(subject, port)
            except ConnectionRefusedError:
                return
            context.answers += await use_connection(reader, writer, content)

    async def work():
        contents = (chat('stream'), chat('whole'), GET_MODELS, GET_HEALTH)
        callers = [
            asyncio.ensure_future(use(vm, content))
            for vm in subject.vms
            for content in contents
        ]
        await asyncio.sleep(0.3)
        stops = []
        for vm in subject.vms:
            stops.append(request_stop(vm))
            await asyncio.sleep(0.5)
        await asyncio.gather(*stops, *callers)

    subject.run(work())


async def use_connection(reader, writer, content):
    """Return each answer and whether the next request got none."""
    answers = []
    closing = False
    while not closing:
        head = b''
        try:
            writer.write(content)
            head = await reader.readuntil(b'\r\n\r\n')
            body = await read_body(reader, head.lower())
        except (ConnectionError, asyncio.IncompleteReadError) as error:
            partial = getattr(error, 'partial', b'')
            answers.append((None, closing, head + partial))
            break
        closing = b'connection: close' in head.lower()
        answers.append((int(head.split()[1]), closing, body))
        await asyncio.sleep(0.01)
    writer.close()
    return answers


async def read_body(reader, head):
    if b'transfer-encoding: chunked' in head:
        return await reader.readuntil(b'\r\n0\r\n\r\n')
    length = head.partition(b'content-length: ')[2].split(b'\r\n')[0]
    return await reader.readexactly(int(length))


@then('each answer was whole and each refusal closed its connection')
def all_whole(context):
    statuses = {status for status, _closing, _body in context.answers}
    assert {200, 503} <= statuses <= {200, 503, None}, statuses
    for status, closing, body in context.answers:
        if status is None:
            assert body == b'', body
        if status == 503:
            assert closing and b'vm_stopping' in body, body
    unanswered = [row for row in context.answers if row[0] is None]
    # Only a request that crosses the end of an idle connection gets none: at
    # most one for each of the eight callers.
    assert len(unanswered) <= 8, unanswered
