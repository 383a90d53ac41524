"""Steps that stop a gateway while callers go on using their connections."""

import asyncio
import json

from behave import given, then, when
from gateway_callers import http, start_gateway
from gateway_subject import GatewaySubject


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
