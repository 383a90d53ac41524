"""Steps that test the caller listener of the gateway."""

import asyncio
import datetime
import json
import ssl

import openai
from baobabwharf_core.fleet_config import KeyRecord
from baobabwharf_daemon.gateway import (
    body_reader,
    http_server,
    running_requests,
)
from baobabwharf_daemon.metrics import RETRIES
from behave import given, then, when
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from gateway_fakes import KEY, digest, fleet_config
from gateway_subject import BEARER, CHAT, GatewaySubject


def start_gateway(context, names, count=1, **settings):
    subject = GatewaySubject(context.path)
    context.subject = subject
    context.add_cleanup(subject.close)
    subject.run(subject.start(names, count, **settings))


@given('a gateway VM with endpoints "{names}"')
def one_vm(context, names):
    start_gateway(context, names)


@given('two gateway VMs in regions with endpoints "{names}"')
def two_vms(context, names):
    start_gateway(context, names, 2)


@then(
    'the gateway serves the openai client streams, answers, models and errors'
)
def openai_client(context):
    context.subject.run(use_client(context.subject))


async def use_client(subject):
    base = f'{subject.vm.caller}/v1'
    async with openai.AsyncOpenAI(api_key=KEY, base_url=base) as client:
        parameters = GatewaySubject.body()
        whole = await client.chat.completions.create(
            **{**parameters, 'stream': False}
        )
        assert whole.choices[0].message.content == 't0 t1 t2 t3 t4 t5 '
        assert whole.usage.completion_tokens == 6
        stream = await client.chat.completions.create(**parameters)
        texts = [event.choices[0].delta.content async for event in stream]
        assert texts == ['t0 ', 't1 ', 't2 ', 't3 ', 't4 ', 't5 ']
        assert [m.id async for m in client.models.list()] == ['rota-1']
        try:
            await client.chat.completions.create(
                **{**parameters, 'model': 'other'}
            )
            raise AssertionError('unknown model accepted')
        except openai.NotFoundError as error:
            assert error.code == 'model_unknown'
        unknown_client = client.with_options(api_key='stranger')
        try:
            await unknown_client.models.list()
            raise AssertionError('unknown key accepted')
        except openai.AuthenticationError as error:
            assert error.code == 'key_unknown'


@when('the gateway gets the key in header, query, path and escaped body')
def send_keys(context):
    context.subject.run(send_key_everywhere(context.subject))


async def send_key_everywhere(subject):
    escaped = json.dumps(GatewaySubject.body(user=KEY)).replace(
        KEY, f'\\u{ord(KEY[0]):04x}{KEY[1:]}'
    )
    headers = {**BEARER, 'Content-Type': 'application/json', 'X-Note': KEY}
    assert (
        await subject.send('POST', CHAT, data=escaped, headers=headers) == 200
    )
    quoted = f'%{ord(KEY[0]):02x}{KEY[1:]}'
    path = f'/services/desk/{KEY}?a={KEY}&b={quoted}'
    assert await subject.send('PUT', path, data=KEY, headers=headers) == 200


@then('no endpoint of the gateway saw the key')
def no_leak(context):
    seen = context.subject.endpoint.seen
    assert len(seen) == 2
    for request, body in seen:
        sent = f'{request.path_qs} {request.raw_path} {dict(request.headers)}'
        assert KEY not in sent and KEY[1:] not in sent, sent
        assert KEY[1:].encode() not in body, body


@when('the key is withdrawn while the gateway streams')
def withdraw(context):
    subject = context.subject

    async def work():
        chat = asyncio.ensure_future(subject.chat('stream', 400))
        await subject.endpoint.started.wait()
        subject.vm.config_source.withdrawn.add(digest(KEY))
        # The stream would take 20 s; the withdrawal must end it within 1 s.
        await asyncio.wait_for(chat, 1)

    subject.run(work())


@then('the gateway ended the stream with the error "{code}"')
def ended_with(context, code):
    assert context.subject.error()['code'] == code


@then('the gateway refuses the key on the same connection with 401')
def keep_alive_cut(context):
    subject = context.subject

    async def work():
        subject.vm.config_source.withdrawn.clear()
        assert await subject.send('GET', '/v1/models') == 200
        record = KeyRecord('k1', 'c1', digest(KEY), withdrawn=True)
        subject.vm.config_source.current = fleet_config(keys={'k1': record})
        assert await subject.send('GET', '/v1/models') == 401
        assert subject.error()['code'] == 'key_withdrawn'

    subject.run(work())


@given('a gateway VM with endpoint "{name}" that checks keys every minute')
def rare_key_checks(context, name):
    constant = 'WITHDRAWAL_CHECK_INTERVAL_S'
    original = getattr(running_requests, constant)
    context.add_cleanup(setattr, running_requests, constant, original)
    setattr(running_requests, constant, 60)
    start_gateway(context, name)


@when('the key is withdrawn while the gateway reads the body of a request')
def withdraw_during_body(context):
    subject = context.subject

    async def work():
        body = json.dumps(GatewaySubject.body()).encode()
        content = http(body, 'Connection: close')
        port = subject.vm.settings.listen.caller_port
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        writer.write(content[:-5])
        source = subject.vm.config_source
        await subject.wait_until(lambda: source.checks)
        source.withdraw(digest(KEY))
        writer.write(content[-5:])
        context.refusal = await reader.read()
        writer.close()

    subject.run(work())


@when('the key is withdrawn while a request waits for its tokens')
def withdraw_during_wait(context):
    subject = context.subject

    async def work():
        limits = subject.vm.limits
        limits.granted.clear()
        chat = asyncio.ensure_future(subject.chat('stream'))
        await limits.asked.wait()
        subject.vm.config_source.withdraw(digest(KEY))
        # Whoever was notified of the withdrawal runs before the tokens arrive.
        await asyncio.sleep(0.05)
        limits.granted.set()
        await chat
        context.refusal = f'HTTP/1.1 {subject.status} {subject.text}'.encode()

    subject.run(work())


@then('the gateway refused the request with {status:d} and "{code}"')
def refused_request(context, status, code):
    assert context.refusal.startswith(b'HTTP/1.1 %d ' % status), context.refusal
    assert code.encode() in context.refusal, context.refusal


@when('the gateway is asked for a {kind} answer of {count:d} tokens')
def ask(context, kind, count):
    subject = context.subject
    context.retries = _retries()
    if subject.endpoints and subject.endpoint.fault == 'hang':
        targets = dict(subject.vm.config_source.current.targets)
        short_target = targets['interactive'].__class__('interactive', 200, 300)
        subject.vm.config_source.current = fleet_config(
            targets={'interactive': short_target}
        )
    subject.run(subject.chat(kind, count))


def _retries():
    return sum(RETRIES.values.values())


@then('the gateway counted one retry')
def counted_retry(context):
    assert _retries() == context.retries + 1


@then('the gateway gave the whole answer of {count:d} tokens')
def whole_answer(context, count):
    subject = context.subject
    assert subject.status == 200, subject.text
    expected = ''.join(f't{index} ' for index in range(count))
    assert subject.answer() == expected, subject.text


@then('the gateway charged {count:d} output tokens')
def charged(context, count):
    vm = context.subject.vm
    ((reserved, used),) = vm.limits.settled
    attributes = vm.router.routed[0]
    assert used == attributes.prompt_tokens + count <= reserved, (
        reserved,
        used,
    )


@then('the gateway gave the error "{code}" with executed "{executed}"')
def gave_error(context, code, executed):
    error = context.subject.error()
    assert (error['code'], error['executed']) == (code, executed), error
    ((reserved, used),) = context.subject.vm.limits.settled
    assert (used == 0) == (executed == 'no'), (reserved, used)


@when('a caller of the gateway disconnects during a {kind} answer')
def disconnect(context, kind):
    subject = context.subject

    async def work():
        chat = asyncio.ensure_future(subject.chat(kind, 400))
        await subject.endpoint.started.wait()
        chat.cancel()
        await subject.wait_until(lambda: subject.endpoint.cancelled)
        await subject.wait_until(lambda: subject.vm.limits.settled)

    subject.run(work())


@then('the gateway cancelled the request at the engine and settled')
def cancelled(context):
    subject = context.subject
    request = subject.endpoint.seen[0][0]
    assert subject.endpoint.cancelled == [request.headers['X-Request-Id']]
    # If a disconnect counted as a failure, it could eject a healthy endpoint.
    assert subject.vm.router.outcomes == []
    assert len(subject.vm.router.cancelled) == 1


@when('a caller of the gateway reads nothing of a large stream')
def read_nothing(context):
    subject = context.subject

    async def work():
        body = json.dumps(GatewaySubject.body()).encode()
        port = subject.vm.settings.listen.caller_port
        _reader, writer = await asyncio.open_connection(
            '127.0.0.1', port, limit=1024
        )
        writer.write(
            b'POST %b HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %b\r\n'
            b'Content-Length: %d\r\n\r\n%b'
            % (CHAT.encode(), KEY.encode(), len(body), body)
        )
        await subject.endpoint.started.wait()
        sent = -1
        while sent != subject.endpoint.sent_bytes:
            sent = subject.endpoint.sent_bytes
            await asyncio.sleep(0.3)
        writer.close()

    subject.run(work())


@then('the endpoint of the gateway could send less than 32 MB of 128 MB')
def endpoint_blocked(context):
    sent = context.subject.endpoint.sent_bytes
    # Kernel socket buffers hold several MB on each of the two hops.
    assert 0 < sent < 32 * 1024 * 1024, sent


@then('the gateway applies the headers as follows')
def headers_restrict(context):
    subject = context.subject
    for row in context.table:
        headers = dict(BEARER)
        if row['work_class']:
            headers['X-Work-Class'] = row['work_class']
        if row['residency']:
            headers['X-Residency'] = row['residency']
        subject.run(subject.chat('whole', headers=headers))
        assert subject.status == int(row['status']), subject.text
        if subject.status == 200:
            attributes = subject.vm.router.routed[-1]
            assert attributes.work_class == row['class']
            assert ' '.join(attributes.residency) == row['regions']


@then('the gateway refuses every kind of invalid input with a 4xx')
def bad_input(context):
    context.subject.run(send_bad_input(context.subject))


def http(body, *lines, path=CHAT, length=None):
    size = len(body) if length is None else length
    head = [f'POST {path} HTTP/1.1', 'Host: x', f'Authorization: Bearer {KEY}']
    head += [f'Content-Length: {size}', *lines]
    return '\r\n'.join(head).encode() + b'\r\n\r\n' + body


async def send_bad_input(subject):
    chat = GatewaySubject.body
    bodies = (
        b'',
        b'{',
        b'[' * 100_000,
        b'\xff\xfe',
        b'{"model":"rota-1","messages":"x"}',
        json.dumps(chat(messages=[])).encode(),
        json.dumps(chat(tokens=10**9)).encode(),
        json.dumps(chat(tokens=-1)).encode(),
        json.dumps(chat(tokens='6')).encode(),
        json.dumps(chat(n=10**6)).encode(),
        json.dumps(chat(model='other')).encode(),
        b'{"model":"rota-1","messages":[{"role":"user","content":"\xff"}]}',
    )
    requests = [http(body) for body in bodies]
    requests += [
        http(b'{}', 'Content-Length: 7'),
        http(b'{}', 'Transfer-Encoding: chunked'),
        http(b'{}', length=9 * 1024 * 1024),
        http(b'{}', length=-1),
        http(b'{}', 'X-Long: ' + 'x' * 40_000),
        http(b'{}', path='/v1/nothing'),
        b'NONSENSE\r\n\r\n',
        b'GET / HTTP/9\r\n\r\n',
    ]
    for request in requests:
        answer = await subject.send_raw(request, hold_s=0.02)
        status = answer.split(b' ', 2)[1] if answer else b''
        assert status.startswith(b'4'), (request[:200], answer[:300])
        assert b'Traceback' not in answer
        assert b'"error"' in answer


@then('no endpoint of the gateway was called')
def not_called(context):
    assert not context.subject.endpoint.seen
    assert not context.subject.vm.limits.reserved


@given('a gateway VM whose input timeouts are short with endpoint "{name}"')
def short_timeouts(context, name):
    for module, constant, value in (
        (http_server, 'HEADER_TIMEOUT_S', 0.5),
        (http_server, 'HEADER_CHECK_INTERVAL_S', 0.1),
        (body_reader, 'BODY_TIMEOUT_S', 0.5),
    ):
        original = getattr(module, constant)
        context.add_cleanup(setattr, module, constant, original)
        setattr(module, constant, value)
    start_gateway(context, name)


@then(
    'the gateway closes connections that send headers slowly or stop in the body'
)
def slow_input(context):
    subject = context.subject

    async def work():
        port = subject.vm.settings.listen.caller_port
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        slow_sender = asyncio.ensure_future(send_slowly(writer))
        assert await until_closed(reader) == b''
        slow_sender.cancel()
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        writer.write(http(b'{"model":', length=100))
        answer = await until_closed(reader)
        assert answer.startswith(b'HTTP/1.1 400'), answer

    subject.run(work())


async def until_closed(reader):
    try:
        return await reader.read()
    except ConnectionResetError:
        return b''


async def send_slowly(writer):
    for byte in http(b'{}'):
        writer.write(bytes((byte,)))
        await asyncio.sleep(0.1)


@then('the gateway answers a request whose body ends during the drain')
def late_body(context):
    subject = context.subject

    async def work():
        content = json.dumps(GatewaySubject.body()).encode()
        port = subject.vm.settings.listen.caller_port
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        writer.write(http(content)[:-5])
        await asyncio.sleep(0.1)
        drain = subject.vm.gateway.drain
        drain.request_stop()
        stopped = asyncio.ensure_future(drain.wait())
        await asyncio.sleep(2)
        assert not stopped.done()
        writer.write(content[-5:])
        answer = await reader.readuntil(b'[DONE]')
        assert answer.startswith(b'HTTP/1.1 200'), answer
        await stopped

    subject.run(work())


@when('the gateway drains while a stream runs')
def drain(context):
    subject = context.subject

    async def work():
        gateway = subject.vm.gateway
        chat = asyncio.ensure_future(subject.chat('stream', 20))
        await subject.endpoint.started.wait()
        gateway.drain.request_stop()
        assert subject.vm.membership.left
        async with subject.session.post(
            subject.vm.caller + CHAT,
            json=GatewaySubject.body(),
            headers=BEARER,
        ) as answer:
            context.refused = answer.status, await answer.json()
            context.connection = answer.headers['Connection']
        await gateway.drain.wait()
        assert chat.done() or await chat
        context.state = gateway.drain.state

    subject.run(work())


@then(
    'the gateway finished the stream and refused new requests as not executed'
)
def drained(context):
    assert context.subject.answer().endswith('t19 ')
    status, answer = context.refused
    assert status == 503
    assert answer['error']['code'] == 'vm_stopping'
    assert answer['error']['executed'] == 'no'
    assert context.connection == 'close'
    assert context.state == 'releasing'


@then('a second stop request ends the drain of the gateway')
def drain_ends(context):
    subject = context.subject

    async def work():
        chat = asyncio.ensure_future(subject.chat('stream'))
        await subject.endpoint.started.wait()
        drain = subject.vm.gateway.drain
        drain.request_stop()
        waiting = asyncio.ensure_future(drain.wait())
        await asyncio.sleep(0.05)
        assert not waiting.done()
        drain.request_stop()
        await waiting
        chat.cancel()

    subject.run(work())


def write_certificate(folder, name):
    key = ec.generate_private_key(ec.SECP256R1())
    subject = x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, name)])
    now = datetime.datetime.now(datetime.UTC)
    certificate = (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(subject)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - datetime.timedelta(days=1))
        .not_valid_after(now + datetime.timedelta(days=1))
        .sign(key, hashes.SHA256())
    )
    pem = serialization.Encoding.PEM
    public = certificate.public_bytes(pem)
    (folder / 'ca.pem').write_bytes(public)
    (folder / 'cert.pem').write_bytes(public)
    (folder / 'key.pem').write_bytes(
        key.private_bytes(
            pem,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
    )
    return ssl.PEM_cert_to_DER_cert(public.decode())


@given('a gateway VM with TLS')
def tls_vm(context):
    context.presented = write_certificate(context.path, 'first')
    files = {
        'ca_file': context.path / 'ca.pem',
        'certificate_file': context.path / 'cert.pem',
        'key_file': context.path / 'key.pem',
    }
    start_gateway(context, 'sound', tls=files)


@then('the gateway presents the new certificate after the files change')
def reloaded(context):
    subject = context.subject
    port = subject.vm.settings.listen.caller_port

    async def presented():
        unverified_context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        unverified_context.check_hostname = False
        unverified_context.verify_mode = ssl.CERT_NONE
        _reader, writer = await asyncio.open_connection(
            '127.0.0.1', port, ssl=unverified_context
        )
        connection = writer.get_extra_info('ssl_object')
        writer.close()
        return connection.getpeercert(binary_form=True)

    async def work():
        assert await presented() == context.presented
        second = write_certificate(context.path, 'second')
        for _ in range(100):
            if await presented() == second:
                return
            await asyncio.sleep(0.1)
        raise AssertionError('new certificate not presented')

    subject.run(work())
