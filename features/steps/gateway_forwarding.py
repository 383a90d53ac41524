"""Steps that test the forward listener of the gateway."""

import asyncio

import msgspec
from baobabwharf_core.requests import RequestAttributes
from baobabwharf_daemon.forwarding.call_codec import (
    FLEET_SECRET_HEADER,
    FORWARD_PATH,
    encode_call,
)
from baobabwharf_daemon.gateway.calls import Call
from behave import then, when
from gateway_fakes import KEY, free_ports

SECRET = 'fleet-secret-0123456789'


@then('the forwarded request of the gateway carried hop 1 and no key')
def hop(context):
    subject = context.subject
    assert not subject.vms[1].limits.reserved
    assert not subject.vms[1].router.routed
    ((request, body),) = subject.endpoint.seen
    assert KEY not in str(request.headers) and KEY.encode() not in body
    (attributes,) = subject.vm.router.routed
    assert attributes.hop == 0
    assert subject.vm.router.forwards_ended == [attributes.request_id]
    (attributes,) = subject.vms[1].router.admitted
    assert (attributes.hop, attributes.origin_vm) == (1, 'vm1')


def call_with(**fields):
    attributes = RequestAttributes(
        'r1', 'c1', 'rota-model', 'interactive', (), 1000, 500, hop=1
    )
    return Call(
        attributes=msgspec.structs.replace(attributes, **fields),
        method='POST',
        path='/v1/chat/completions',
        query='',
        headers=(),
        body=b'{"model":"rota-1","max_tokens":1}',
        completion=True,
    )


@then('the forward listener of the gateway refuses what it must not serve')
def refuses(context):
    subject = context.subject
    url = f'http://{subject.vms[1].forward}{FORWARD_PATH}'

    def send(secret, body):
        headers = {FLEET_SECRET_HEADER: secret}
        return subject.run(
            subject.send('POST', url, data=body, headers=headers)
        )

    assert send('wrong', encode_call(call_with())) == 401
    assert send(SECRET, encode_call(call_with(hop=0))) == 508
    assert send(SECRET, encode_call(call_with(residency=('tunis-a',)))) == 403
    assert send(SECRET, b'\xff\xff\xff\xffx') == 400
    assert not subject.endpoint.seen
    assert send(SECRET, encode_call(call_with())) == 200
    assert not subject.vms[1].router.routed


@when('the gateway loses the serving VM in the middle of a stream')
def lose_vm(context):
    subject = context.subject

    async def work():
        chat = asyncio.ensure_future(subject.chat('stream', 400))
        await subject.endpoint.started.wait()
        await asyncio.sleep(0.2)
        await subject.vms[1].gateway.stop()
        await chat

    subject.run(work())


@when('the serving VM of the gateway is down')
def vm_down(context):
    subject = context.subject
    subject.vm.router.remote = f'127.0.0.1:{free_ports(1)[0]}'
    subject.run(subject.chat('stream'))
