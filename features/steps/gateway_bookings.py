"""Steps that test non-repeatable calls at the gateway."""

import asyncio

from behave import then
from gateway_subject import BEARER

PATH = '/services/desk/book/room'


def call_service(subject, body=b'room 4', key='key-1'):
    headers = {**BEARER, 'Idempotency-Key': key} if key else BEARER
    return subject.send('POST', PATH, data=body, headers=headers)


@then('a non-repeatable call sent twice to the gateway is executed once')
def twice(context):
    subject = context.subject
    assert subject.run(call_service(subject)) == 200
    first = subject.text
    assert subject.run(call_service(subject)) == 200
    assert subject.text == first
    assert subject.headers['Idempotent-Replay'] == 'true'
    assert len(subject.endpoint.seen) == 1


@then('the gateway refuses another body with the same key with 422')
def mismatch(context):
    subject = context.subject
    assert subject.run(call_service(subject, b'room 5')) == 422
    assert subject.error()['code'] == 'idempotency_mismatch'
    assert len(subject.endpoint.seen) == 1


@then('the gateway answers a resend of a running call with 409')
def running(context):
    subject = context.subject

    async def work():
        first = asyncio.ensure_future(call_service(subject))
        await subject.endpoint.started.wait()
        assert await call_service(subject) == 409
        error = subject.error()
        assert (error['code'], error['executed']) == (
            'claim_running',
            'unknown',
        )
        assert subject.headers['X-Should-Retry'] == 'false'
        assert await first == 200

    subject.run(work())


@then('a call whose caller disconnects from the gateway is finished and stored')
def outlives(context):
    subject = context.subject

    async def work():
        first = asyncio.ensure_future(call_service(subject))
        await subject.endpoint.started.wait()
        first.cancel()
        claims = subject.vm.claims.claims
        await subject.wait_until(
            lambda: (
                [claim.state for _d, claim in claims.values()] == ['finished']
            )
        )
        assert await call_service(subject) == 200
        assert len(subject.endpoint.seen) == 1

    subject.run(work())


@then('a call at the gateway gets {status:d} and leaves the claim {state}')
def claim_state(context, status, state):
    subject = context.subject
    assert subject.run(call_service(subject)) == status, subject.text
    ((_digest, claim),) = subject.vm.claims.claims.values()
    assert claim.state == state, claim
    if status != 200:
        assert subject.error()['executed'] == 'unknown'
        assert not subject.endpoints[1].seen


@then('the gateway refuses a call without a quorum as not executed')
def no_quorum(context):
    subject = context.subject
    subject.vm.claims.quorum = False
    assert subject.run(call_service(subject)) == 503
    assert subject.error()['executed'] == 'no'
    assert not subject.endpoint.seen


@then('a call without a key is sent once by the gateway')
def sent_once(context):
    subject = context.subject
    assert subject.run(call_service(subject, key='')) == 502
    assert subject.error()['executed'] == 'unknown'
    assert len(subject.endpoint.seen) == 1
    assert not subject.endpoints[1].seen
