"""Define fakes of the interfaces that the gateway uses."""

import asyncio
import hashlib
import json
import socket
from pathlib import Path

from aiohttp import web
from baobabwharf_core.announcements import LeaseAnswer
from baobabwharf_core.changes import ChangeCode, ChangeOutcome
from baobabwharf_core.clock import SystemClock
from baobabwharf_core.fleet_config import (
    Customer,
    EndpointKeyRecord,
    FleetConfig,
    KeyRecord,
    RouteRule,
    Target,
    VmRecord,
    route_key,
)
from baobabwharf_core.ids import EndpointId
from baobabwharf_core.refusals import Refusal, RefusalCode
from baobabwharf_core.requests import (
    EndpointChoice,
    RegionChoice,
    Reservation,
)
from baobabwharf_daemon.gateway_builder import (
    GatewayDependencies,
    build_gateway,
)
from baobabwharf_daemon.interfaces import (
    ChangeClient,
    ClaimClient,
    ClaimState,
    ConfigSource,
    EndpointRegistry,
    LimitClient,
    MembershipView,
    ModelCatalog,
    Router,
    StatusSource,
    VmStatus,
)
from baobabwharf_daemon.operator.event_log import EventLog
from baobabwharf_daemon.settings import Settings
from expression import Error, Ok

KEY = 'bw-key-of-the-first-customer'
ENDPOINT_KEY = 'bw-endpoint-key'
TOKEN = 'bw-operator-token'
SERVICE = 'rota-model'
# Body of answers with a chosen status.
FOREIGN_TEXT = b'{"message": "of the next endpoint"}'


def digest(key):
    return hashlib.sha256(key.encode()).digest()


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for sock in sockets:
        sock.bind(('127.0.0.1', 0))
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


def fleet_config(**tables):
    rules = (
        RouteRule(service='desk', path_prefix='/'),
        RouteRule(service='desk', path_prefix='/open', open_to_all=True),
        RouteRule(service='desk', path_prefix='/book', repeatable=False),
    )
    base = {
        'revision': 1,
        'customers': {
            'c1': Customer('c1', 1000, 100_000, ('tunis-a', 'sfax-a'))
        },
        'keys': {'k1': KeyRecord('k1', 'c1', digest(KEY))},
        'endpoint_keys': {
            'e1': EndpointKeyRecord('e1', SERVICE, digest(ENDPOINT_KEY))
        },
        'targets': {
            'interactive': Target('interactive', 2000, 5000),
            'batch': Target('batch', 60_000, 120_000),
        },
        'routes': {
            route_key(rule.service, rule.path_prefix): rule for rule in rules
        },
    }
    return FleetConfig(**{**base, **tables})


class FakeConfigSource(ConfigSource):
    def __init__(self):
        self.current = fleet_config()
        self.withdrawn = set()
        self.is_ready = True
        self.queues = []
        self.checks = 0

    config = property(lambda self: self.current)
    ready = property(lambda self: self.is_ready)
    age_ms = property(lambda self: 0)

    def is_withdrawn(self, key_digest):
        self.checks += 1
        return key_digest in self.withdrawn

    def subscribe(self):
        self.queues.append(asyncio.Queue(1))
        return self.queues[-1]

    def withdraw(self, key_digest):
        self.withdrawn.add(key_digest)
        for queue in self.queues:
            queue.put_nowait(self.current)


class FakeLimits(LimitClient):
    def __init__(self):
        self.refusal = None
        self.reserved = []
        self.settled = []
        self.asked = asyncio.Event()
        self.granted = asyncio.Event()
        self.granted.set()

    async def reserve(self, customer_id, tokens, wait_ms):
        self.asked.set()
        await self.granted.wait()
        if self.refusal:
            return Error(self.refusal)
        self.reserved.append((customer_id, tokens))
        return Ok(Reservation(len(self.reserved), customer_id, tokens))

    def settle(self, reservation, used_tokens):
        self.settled.append((reservation.tokens, used_tokens))


class FakeRouter(Router):
    """Choose endpoints in list order; allow two retries without backoff."""

    def __init__(self):
        self.endpoints = []
        self.remote = None
        self.routed = []
        self.outcomes = []
        self.cancelled = []
        self.forwards_ended = []
        self.admitted = []

    def choose_region(self, attributes):
        self.routed.append(attributes)
        if self.remote:
            return Ok(RegionChoice('sfax-a', 'vm2', self.remote, 'faster'))
        return Ok(RegionChoice('tunis-a', None, None, 'own region'))

    async def admit(self, attributes, excluded):
        for choice in self.endpoints:
            if choice.endpoint_id not in excluded:
                self.admitted.append(attributes)
                return Ok(choice)
        return Error(Refusal(RefusalCode.NO_ENDPOINT, retry_after_ms=700))

    def attempt_ended(self, attributes, outcome):
        self.outcomes.append(outcome)

    def attempt_cancelled(self, attributes, endpoint_id):
        self.cancelled.append(endpoint_id)

    def forward_ended(self, request_id):
        self.forwards_ended.append(request_id)

    def may_retry(self, attributes, outcome, attempt):
        if attempt > 2:
            return Error(Refusal(RefusalCode.RETRY_BUDGET_EMPTY))
        return Ok(0)

    def explain(self, request_id):
        return (f'Request {request_id} was decided here.',)


class FakeClaims(ClaimClient):
    def __init__(self):
        self.claims = {}
        self.quorum = True

    async def begin(
        self, customer_id, idempotency_key, body_digest, request_id
    ):
        if not self.quorum:
            return Error(Refusal(RefusalCode.CLAIM_UNAVAILABLE))
        known = self.claims.get((customer_id, idempotency_key))
        if known is None:
            state = ClaimState('running', True, 'vm1')
            self.claims[customer_id, idempotency_key] = (body_digest, state)
            return Ok(state)
        if known[0] != body_digest:
            return Error(Refusal(RefusalCode.IDEMPOTENCY_MISMATCH))
        if known[1].granted:
            return Ok(ClaimState('running', False, 'vm1'))
        return Ok(known[1])

    async def finish(self, customer_id, idempotency_key, request_id, answer):
        key = (customer_id, idempotency_key)
        if answer.state == 'absent':
            self.claims.pop(key)
        else:
            self.claims[key] = (self.claims[key][0], answer)
        return True


class FakeMembership(MembershipView):
    def __init__(self):
        self.vms = ()
        self.left = False

    def live_vms(self):
        return self.vms

    def announce_leaving(self):
        self.left = True


class FakeRegistry(EndpointRegistry):
    def __init__(self):
        self.announced = []
        self.beats = []

    def announce(self, announcement):
        self.announced.append(announcement)
        return Ok(LeaseAnswer(3000, 1000))

    def heartbeat(self, beat):
        self.beats.append(beat)
        return Ok(LeaseAnswer(3000, 1000))

    def describe(self):
        return ()


class FakeCatalog(ModelCatalog):
    complete = True

    def models(self):
        return {'rota-1': SERVICE}


class FakeChanges(ChangeClient):
    def __init__(self):
        self.code = ChangeCode.ACCEPTED
        self.outcomes = {}

    async def propose(self, request):
        outcome = ChangeOutcome(request.request_id, self.code, 2)
        return self.outcomes.setdefault(request.request_id, outcome)

    async def outcome(self, request_id):
        return self.outcomes.get(request_id)


class FakeStatus(StatusSource):
    def __init__(self):
        self.revisions = {'vm1': 2}

    def vm_status(self):
        return tuple(
            VmStatus(vm, 'tunis-a', 'tunis-a1', revision, 0, True, 'leader', 1)
            for vm, revision in self.revisions.items()
        )

    async def query_revisions(self, vm_ids):
        self.asked = tuple(vm_ids)


class FakeVm:
    """Run the gateway of one VM, connected to fakes."""

    def __init__(self, folder, name='vm1', region='tunis-a', **overrides):
        secret = Path(folder) / 'secret'
        secret.write_text('fleet-secret-0123456789')
        ports = free_ports(4)
        self.caller = f'http://127.0.0.1:{ports[0]}'
        self.operator = f'http://127.0.0.1:{ports[1]}'
        self.forward = f'127.0.0.1:{ports[3]}'
        self.settings = Settings.model_validate(
            {
                'vm_id': name,
                'region': region,
                'zone': f'{region}1',
                'listen': dict(
                    zip(
                        (
                            'caller_port',
                            'operator_port',
                            'peer_port',
                            'forward_port',
                        ),
                        ports,
                        strict=True,
                    )
                ),
                'initial_voters': ['vm0'],
                'fleet_secret_file': str(secret),
                'operator_token_digests': [
                    hashlib.sha256(TOKEN.encode()).hexdigest()
                ],
                **overrides,
            }
        )
        self.record = VmRecord(
            name, region, f'{region}1', False, '', self.forward, self.caller
        )
        self.config_source = FakeConfigSource()
        self.limits = FakeLimits()
        self.router = FakeRouter()
        self.claims = FakeClaims()
        self.membership = FakeMembership()
        self.registry = FakeRegistry()
        self.changes = FakeChanges()
        self.status = FakeStatus()
        self.tombstones = []
        clock = SystemClock()
        self.gateway = build_gateway(
            GatewayDependencies(
                settings=self.settings,
                clock=clock,
                config_source=self.config_source,
                changes=self.changes,
                claims=self.claims,
                limits=self.limits,
                membership=self.membership,
                router=self.router,
                registry=self.registry,
                catalog=FakeCatalog(),
                status=self.status,
                publish_tombstone=self.tombstones.append,
                events=EventLog(clock),
            )
        )


class FakeEndpoint:
    """Simulate an endpoint that optionally injects one fault.

    Faults: hang, hangup, cut (at a token), wrong_header, wrong_id, not_run,
    error, short, stall, flood, status-<code>-<media type>.
    """

    def __init__(
        self, name='e1', *, resume=True, fault='', fault_index=2, delay_s=0.0
    ):
        self.name = name
        self.resume = resume
        self.fault = fault
        self.fault_index = fault_index
        self.delay_s = delay_s
        self.seen = []
        self.sent_bytes = 0
        self.cancelled = []
        self.started = asyncio.Event()

    async def start(self):
        app = web.Application(client_max_size=16 * 1024 * 1024)
        app.router.add_post('/control/cancel', self._cancel)
        app.router.add_route('*', '/{path:.*}', self._answer)
        self._runner = web.AppRunner(app, handler_cancellation=True)
        await self._runner.setup()
        site = web.TCPSite(self._runner, '127.0.0.1', 0)
        await site.start()
        port = self._runner.addresses[0][1]
        self.choice = EndpointChoice(
            EndpointId(self.name),
            f'http://127.0.0.1:{port}',
            self.resume,
            True,
            True,
            'least loaded',
        )
        return self.choice

    async def stop(self):
        await self._runner.cleanup()

    async def _cancel(self, request):
        self.cancelled.append((await request.json())['request_id'])
        return web.Response()

    async def _answer(self, request):
        body = await request.read()
        self.seen.append((request, body))
        self.started.set()
        request_id = request.headers['X-Request-Id']
        headers = {'X-Request-Id': request_id}
        if self.fault == 'wrong_header':
            headers['X-Request-Id'] = 'another'
        if self.fault == 'not_run':
            return web.Response(
                status=503, headers={**headers, 'X-Executed': 'no'}
            )
        if self.fault == 'error':
            return web.Response(status=500, headers=headers)
        if self.fault.startswith('status-'):
            return self._chosen_status(headers)
        if self.fault == 'hang':
            await asyncio.sleep(60)
        if self.fault == 'hangup':
            request.transport.abort()
        if self.fault == 'flood':
            return await self._flood(request, headers)
        if not request.path.startswith('/v1/'):
            await asyncio.sleep(self.delay_s)
            text = f'{len(self.seen)} {request.method} {request.path_qs}'
            return web.Response(text=text, headers=headers)
        return await self._complete(request, body, headers)

    def _chosen_status(self, headers):
        _name, status, media = self.fault.split('-')
        return web.Response(
            status=int(status),
            body=None if status in {'204', '304'} else FOREIGN_TEXT,
            headers=headers,
            content_type=media,
        )

    async def _complete(self, request, body, headers):
        parameters = json.loads(body)
        if parameters.get('stream'):
            return await self._stream(request, parameters, headers)
        return await self._whole(request, parameters, headers)

    async def _flood(self, request, headers):
        response = web.StreamResponse(headers=headers)
        response.content_type = 'text/event-stream'
        await response.prepare(request)
        event = b'data: {"choices":[],"pad":"%b"}\n\n' % (b'x' * 65536)
        for _ in range(2048):
            await response.write(event)
            self.sent_bytes += len(event)
        return response

    async def _whole(self, request, parameters, headers):
        count = parameters['max_tokens']
        request_id = headers['X-Request-Id']
        if self.fault == 'wrong_id':
            request_id = 'another'
        answer = {
            'id': f'chatcmpl-{request_id}',
            'object': 'chat.completion',
            'created': 0,
            'model': parameters['model'],
            'choices': [
                {
                    'index': 0,
                    'finish_reason': 'stop',
                    'message': {
                        'role': 'assistant',
                        'content': ''.join(f't{n} ' for n in range(count)),
                    },
                }
            ],
            'usage': {
                'prompt_tokens': 3,
                'completion_tokens': count,
                'total_tokens': count + 3,
            },
        }
        text = json.dumps(answer)
        if self.fault != 'short':
            return web.Response(
                text=text, headers=headers, content_type='application/json'
            )
        response = web.StreamResponse(
            headers={**headers, 'Content-Length': str(len(text))}
        )
        await response.prepare(request)
        await response.write(text[:20].encode())
        request.transport.abort()
        return response

    async def _stream(self, request, parameters, headers):
        response = web.StreamResponse(headers=headers)
        response.content_type = 'text/event-stream'
        await response.prepare(request)
        first = int(request.headers.get('X-Resume-From-Token', 0))
        for index in range(first, parameters['max_tokens']):
            if index == self.fault_index and self.fault == 'cut':
                request.transport.abort()
                return response
            if index == self.fault_index and self.fault == 'stall':
                await asyncio.sleep(60)
            event_id = headers['X-Request-Id']
            if index == self.fault_index and self.fault == 'wrong_id':
                event_id = 'another'
            event = {
                'id': f'chatcmpl-{event_id}',
                'object': 'chat.completion.chunk',
                'created': 0,
                'model': parameters['model'],
                'choices': [{'index': 0, 'delta': {'content': f't{index} '}}],
            }
            await response.write(f'data: {json.dumps(event)}\n\n'.encode())
            await asyncio.sleep(self.delay_s)
        await response.write(b'data: [DONE]\n\n')
        return response
