"""Test the platform adapter without the platform."""

import json
from pathlib import Path

import msgspec
from baobabwharf_core.refusals import Refusal, RefusalCode
from baobabwharf_daemon.proxy.dialect import SendMetadata
from baobabwharf_daemon.proxy.http_messages import HttpRequest, ResponseHead
from baobabwharf_decisions.proxying.routes import RouteTable, choose_service
from baobabwharf_platform.deployment_document import decode_deployment
from baobabwharf_platform.headers import PlatformDialect
from baobabwharf_platform.node_settings import read_node_settings
from baobabwharf_platform.registrations import decode_registration
from behave import given, then, when
from behave.runner import Context
from hypothesis import given as any_of
from hypothesis import seed, settings
from hypothesis import strategies as st
from proxying import customer

_ZONES = {'tunis-a': 'tunis', 'sfax-a': 'sfax'}
_ROOT = Path(__file__).parents[2]
# Names of the platform's API; the testkit and the CLI use other interfaces.
_PLATFORM_NAMES = (
    'X-Token-Usage',
    'X-Prompt-Prefix',
    'X-Tenant',
    'X-Target-Instance',
    'X-Response-Signature',
    'X-Not-Executed',
    'BAOBABWHARF_SETTINGS',
    'baobabwharf/resolve',
    'baobabwharf/instances',
    'baobabwharf/config',
    'heartbeatAddr',
    'trafficSplit',
    'coldLeftMs',
)
_JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: (
        st.lists(inner)
        | st.dictionaries(
            st.sampled_from(
                ('version', 'routes', 'services', 'name', 'service', 'zone')
            )
            | st.text(),
            inner,
        )
    ),
    max_leaves=12,
)


class ConfigurationSubject:
    """Hold a configuration as an operator sends it."""

    def __init__(self) -> None:
        self.content = json.dumps(
            {
                'version': 7,
                'routes': [
                    {
                        'name': 'r-1',
                        'hostname': 'h.example',
                        'pathPrefix': '/a/',
                        'routeType': 'streaming',
                        'timeoutMs': 3000,
                        'targetLatencyMs': 600,
                        'service': 'engine',
                        'maxAttempts': 2,
                        'resumable': True,
                        'homeRegions': ['tunis', 'sfax'],
                        'new': 'ignored',
                    },
                    {
                        'name': 'r-2',
                        'hostname': 'h.example',
                        'pathPrefix': '/b/',
                        'routeType': 'non_idempotent',
                        'timeoutMs': 1200.5,
                        'trafficSplit': [
                            {'service': 'engine', 'weight': 90},
                            {'service': 'app', 'weight': 10},
                        ],
                    },
                ],
                'services': [{'name': 'engine'}, {'name': 'app'}],
                'tenants': [
                    {
                        'name': 't-1',
                        'apiKeys': ['secret'],
                        'ratePerS': 2000,
                        'burst': 3000,
                        'plainTokens': 200,
                    }
                ],
            }
        ).encode()

    @property
    def deployment(self):
        decoded = decode_deployment(self.content)
        assert decoded.is_ok(), decoded
        return decoded.ok


class RegistrationSubject:
    """Hold a registration as an endpoint sends it."""

    def __init__(self) -> None:
        self.fields = {
            'service': 's',
            'address': '10.0.0.1:80',
            'zone': 'tunis-a',
            'version': 'v1',
            'slots': 64,
            'state': 'ready',
            'coldLeftMs': 0,
            'sequence': 4,
            'born': 1700000000000,
        }

    def decode(self):
        return decode_registration(
            'i-1', json.dumps(self.fields).encode(), _ZONES
        )


class RequestSubject:
    """Hold a request as a caller sends it."""

    forged = (
        b'X-Tenant',
        b'X-Target-Instance',
        b'X-Hold',
        b'X-Pin-Ms',
        b'X-Kv-Backup',
        b'Kv-From',
        b'Kv-Fetch',
        b'X-Request-Priority',
        b'X-Expect-Version',
    )

    def __init__(self) -> None:
        self.dialect = PlatformDialect()
        self.request = HttpRequest(
            b'POST',
            b'/a/x?y=1',
            (
                (b'Host', b'h.example:80'),
                (b'X-Request-Id', b'abc'),
                (b'X-Deadline-Ms', b'900'),
                (b'X-Token-Usage', b'1460,80'),
                (b'X-Prompt-Prefix', b'5c:800,91:410,e4:250'),
                (b'authorization', b'Bearer secret'),
                (b'Connection', b'keep-alive, X-Extra'),
                (b'X-Extra', b'1'),
                *((name, b'forged') for name in self.forged),
            ),
            b'',
        )

    @property
    def headers(self):
        send = SendMetadata('i-1', 700, customer('one'), urgency=0)
        return self.dialect.endpoint_headers(self.request, send)


@given('a platform configuration with two routes and a tenant')
def configuration(context: Context) -> None:
    context.document = ConfigurationSubject()


@then('its streaming route may be resumed and stays in its home regions')
def streaming_route(context: Context) -> None:
    route = context.document.deployment.routes[0]
    assert route.resumes and route.home_regions == ('tunis', 'sfax')
    assert (route.timeout_ms, route.target_ms) == (3000, 600)


@then('its split route shares requests 90 to 10')
def split_route(context: Context) -> None:
    route = context.document.deployment.routes[1]
    assert [share.weight for share in route.shares] == [90, 10]
    assert not route.repeatable
    assert choose_service(route, 'x') in {'engine', 'app'}


@then('its customer is found by its key and charged in tokens')
def found_by_key(context: Context) -> None:
    table = RouteTable(context.document.deployment)
    known = table.authenticate(table.deployment.routes[0], b'secret').ok
    assert known.customer_id == 't-1'
    assert (known.rate_tokens_per_s, known.burst_tokens) == (2000, 3000)
    assert b'secret' not in repr(known).encode()


@then('the document is kept as it was sent')
def kept(context: Context) -> None:
    subject = context.document
    assert subject.deployment.document == subject.content


@then('every truncated copy of it is refused')
def refuses_truncated(context: Context) -> None:
    content = context.document.content
    for length in range(len(content)):
        assert decode_deployment(content[:length]).is_error(), length


@then('{count:d} random JSON texts are decoded or refused as a configuration')
def malformed_configurations(context: Context, count: int) -> None:
    @seed(1)
    @settings(max_examples=count, deadline=None, database=None)
    @any_of(_JSON)
    def check(value: object) -> None:
        decode_deployment(json.dumps(value).encode())

    check()


@then('{count:d} random JSON texts are decoded or refused as a registration')
def malformed_registrations(context: Context, count: int) -> None:
    @seed(2)
    @settings(max_examples=count, deadline=None, database=None)
    @any_of(_JSON)
    def check(value: object) -> None:
        decode_registration('i-1', json.dumps(value).encode(), _ZONES)

    check()


@given('a platform registration')
def registration(context: Context) -> None:
    context.registration = RegistrationSubject()
    assert context.registration.decode().is_ok()


@when('its {field} is missing')
def field_missing(context: Context, field: str) -> None:
    context.registration.fields.pop(field)


@when('its {field} is {value}')
def field_changed(context: Context, field: str, value: str) -> None:
    context.registration.fields[field] = json.loads(value)


@then('the registration is refused')
def registration_refused(context: Context) -> None:
    assert context.registration.decode().is_error()


@then('the endpoint is draining and leaves in {left_ms:d} ms')
def draining(context: Context, left_ms: int) -> None:
    record = context.registration.decode().ok
    assert record.draining and record.leaves_in_ms == left_ms


@given('a platform request with forged system headers and a key')
def request(context: Context) -> None:
    context.wire = RequestSubject()


@then('the endpoint gets the customer, its own id and the time left')
def endpoint_headers(context: Context) -> None:
    headers = context.wire.headers
    for pair in (
        (b'X-Tenant', b'one'),
        (b'X-Target-Instance', b'i-1'),
        (b'X-Deadline-Ms', b'700'),
        (b'X-Request-Id', b'abc'),
        (b'X-Token-Usage', b'1460,80'),
    ):
        assert headers.count(pair) == 1, pair


@then('neither the key nor a forged header reaches the endpoint')
def nothing_forged(context: Context) -> None:
    for name, value in context.wire.headers:
        assert b'secret' not in value and b'forged' not in value, name
        assert name.lower() not in {b'connection', b'x-extra'}, name


@then('a request forwarded to another VM holds no key')
def no_key(context: Context) -> None:
    forwarded = context.wire.dialect.forward_headers(context.wire.request)
    assert not any(b'secret' in value for _name, value in forwarded)


@then(
    'its prompt has parts of {first:d}, {second:d} and {third:d} tokens and costs {cost:d}'
)
def prompt(
    context: Context, first: int, second: int, third: int, cost: int
) -> None:
    metadata = context.wire.dialect.read_request(context.wire.request)
    parts = [part.tokens for part in metadata.prompt]
    assert parts == [first, second, third]
    assert metadata.tokens == cost and metadata.time_left_ms == 900
    assert (metadata.host, metadata.path) == ('h.example', '/a/x')


def read_response(status: int, *headers: tuple[bytes, bytes]):
    head = ResponseHead(status, b'', headers, None)
    return PlatformDialect().read_response(head)


@then(
    'a signed 200 response is a result and a 503 marked as not executed did not run'
)
def responses(context: Context) -> None:
    signed = read_response(200, (b'X-Response-Signature', b's'))
    assert signed.signed and not signed.not_executed
    assert read_response(503, (b'X-Not-Executed', b'1')).not_executed


@then('a 421 response did not run and an unmarked 503 may have run')
def unsigned_responses(context: Context) -> None:
    assert read_response(421).not_executed
    assert not read_response(503).not_executed


@then('a refusal with {wait_ms:d} ms has a Retry-After of {seconds} s')
def retry_after(context: Context, wait_ms: int, seconds: str) -> None:
    refusal = Refusal(RefusalCode.QUEUE_FULL, retry_after_ms=wait_ms)
    headers = PlatformDialect().refusal_headers(None, refusal)
    assert (b'Retry-After', seconds.encode()) in headers


def node(context: Context, **overrides: object):
    content = {
        'nodeName': 'n',
        'ip': '10.0.0.1',
        'zone': 'tunis-a',
        'region': 'tunis',
        'zones': _ZONES,
        'listen': {'control': '10.0.0.1:8229'},
        'portRange': [7600, 7615],
        'seeds': ['10.0.0.1:8229', '10.0.0.2:8229'],
        'bootstrap': True,
        'dataDir': '/data',
        **overrides,
    }
    path = context.path / 'node.json'
    path.write_text(json.dumps(content))
    return read_node_settings(path)


@then('at the first start the seeds are the initial voters')
def initial_voters(context: Context) -> None:
    loaded = node(context).ok.settings
    assert loaded.initial_voters == ('10.0.0.1', '10.0.0.2')
    assert [peer.vm_id for peer in loaded.peers] == ['10.0.0.2']


@then('at a later start there are no initial voters')
def no_initial_voters(context: Context) -> None:
    assert node(context, bootstrap=False).ok.settings.initial_voters == ()


@then('a truncated settings file is refused')
def truncated_settings(context: Context) -> None:
    path = context.path / 'cut.json'
    path.write_text('{"nodeName": "n"')
    assert read_node_settings(path).is_error()


@then('no source file of the packages contains a name of the platform')
def names_stay(context: Context) -> None:
    for path in _ROOT.glob('packages/*/src/**/*.py'):
        text = path.read_text()
        used = [name for name in _PLATFORM_NAMES if name in text]
        assert not used, (path, used)


@then('the load header "{value}" is read as {expected}')
def load_header(context: Context, value: str, expected: str) -> None:
    head = ResponseHead(200, b'', [(b'x-server-load', value.encode())], None)
    found = PlatformDialect().read_response(head).load
    fields = () if found is None else msgspec.structs.astuple(found)
    text = ' '.join(str(field) for field in fields) or 'missing'
    assert text == expected, text
