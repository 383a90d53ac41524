"""Send requests to an entry VM at each moment of its stop."""

import asyncio
import itertools
import json
import signal
import time

import msgspec
from baobabwharf_soak.process_launcher import CALLER_PORT_OFFSET
from behave import given, then, when
from behave.runner import Context
from platform_fleet import _HOST, _KEY, _request_until_run

_GRACE_S = 8.0
_MOMENTS = 10
_TIMES_MS = (100, 1500, 4500)
_DEADLINES_MS = (2500, 12_000)
_STALE_ADDRESS_S = 3.0
# A refusal needs no endpoint.
_AT_ONCE_S = 1.0
_HEAD_END = b'\r\n\r\n'
# Path prefix, route type, whether a stream may be resumed.
_KINDS = {
    'read': ('/read/', 'idempotent', False),
    'booking': ('/book/', 'non_idempotent', False),
    'stream': ('/stream/', 'streaming', False),
    'resumable stream': ('/resume/', 'streaming', True),
}
_REPEATABLE = frozenset(('read', 'resumable stream'))
_CONNECTIONS = ('fresh', 'unused', 'kept', 'half sent')


class Late(msgspec.Struct):
    """Record one request and what came back."""

    request_id: str
    kind: str
    time_ms: int
    deadline_ms: int
    connection: str
    sent_s: float
    took_s: float = 0
    received: bytes = b''

    @property
    def status(self) -> int:
        """Return the status of the answer, 0 if there is none."""
        return int(self.received[9:12]) if self.received else 0

    @property
    def complete(self) -> bool:
        """Return whether the answer is whole."""
        head, end, body = self.received.partition(_HEAD_END)
        if not end:
            return False
        fields = dict(
            line.lower().split(b': ', 1) for line in head.split(b'\r\n')[1:]
        )
        if b'transfer-encoding' in fields:
            return body.endswith(b'0\r\n\r\n')
        return len(body) == int(fields[b'content-length'])

    @property
    def reached_deadline(self) -> bool:
        """Return whether it ended by its own deadline, not by the stop."""
        return self.took_s * 1000 >= self.deadline_ms - 200

    def request(self) -> bytes:
        """Return the bytes to send."""
        prefix = _KINDS[self.kind][0]
        return (
            f'POST {prefix}wait-{self.time_ms} HTTP/1.1\r\nHost: {_HOST}\r\n'
            f'Content-Length: 4\r\nAuthorization: Bearer {_KEY}\r\n'
            f'X-Deadline-Ms: {self.deadline_ms}\r\n'
            f'X-Request-Id: {self.request_id}\r\n\r\nbody'
        ).encode()


@given('its configuration has a route of each kind')
def configure(context: Context) -> None:
    fleet = context.fleet
    routes = [
        {
            'name': kind,
            'hostname': _HOST,
            'pathPrefix': prefix,
            'routeType': route_type,
            'resumable': resumable,
            'timeoutMs': 12_000,
            'service': 's',
        }
        for kind, (prefix, route_type, resumable) in _KINDS.items()
    ]
    document = json.loads(fleet.configuration(7))
    document['routes'] += routes
    content = json.dumps(document).encode()
    fleet.configuration = lambda version, timeout_ms=0: content
    fleet.install(fleet.disks[0], 7)


@given('an endpoint with {slots:d} slots registers')
def endpoint_with_slots(context: Context, slots: int) -> None:
    fleet = context.fleet
    fleet.endpoint.slots = slots
    fleet.register(fleet.disks[0], 'ready')
    for host in fleet.entries:
        _request_until_run(fleet, host)


class StopPlay:
    """Send the requests of all cases around one SIGTERM."""

    def __init__(self, fleet) -> None:
        self.fleet = fleet
        self.host = fleet.entries[0]
        self.sent: list[Late] = []
        self.began_s = 0.0
        self._numbers = itertools.count()

    def case(
        self, kind: str, time_ms: int, deadline_ms: int, connection: str
    ) -> Late:
        late = Late(
            f'late-{next(self._numbers)}',
            kind,
            time_ms,
            deadline_ms,
            connection,
            sent_s=0.0,
        )
        self.sent.append(late)
        return late

    async def connect(self):
        port = self.fleet.port(CALLER_PORT_OFFSET)
        return await asyncio.open_connection(self.host, port)

    async def open_early(self, late: Late):
        """Open a connection before the signal, as the case wants."""
        reader, writer = await self.connect()
        if late.connection == 'kept':
            warm = Late(f'{late.request_id}-warm', 'read', 0, 5000, '', 0.0)
            writer.write(warm.request())
            await reader.readuntil(_HEAD_END)
            await reader.readexactly(len(b'ran'))
        if late.connection == 'half sent':
            writer.write(late.request()[:-2])
        return reader, writer

    async def play(self, late: Late, early, at_s: float) -> None:
        """Send a request at a moment of the stop and read until the close."""
        await asyncio.sleep(max(0, self.began_s + at_s - time.monotonic()))
        late.sent_s = time.monotonic() - self.began_s
        content = late.request()
        if late.connection == 'half sent':
            content = content[-2:]
        try:
            reader, writer = early or await self.connect()
            writer.write(content)
            while block := await reader.read(65_536):
                late.received += block
                if late.complete:
                    break
            writer.close()
        except OSError:
            # The listener is closed, or the connection was closed or cut.
            pass
        late.took_s = time.monotonic() - self.began_s - late.sent_s

    async def run(self) -> None:
        before = [
            self.case(kind, time_ms, 12_000, 'fresh')
            for kind in _KINDS
            for time_ms in _TIMES_MS
        ]
        cases = [
            (self.case(kind, time_ms, deadline_ms, connection), moment)
            for moment in range(_MOMENTS)
            for kind in _KINDS
            for time_ms in _TIMES_MS
            for deadline_ms in _DEADLINES_MS
            for connection in _CONNECTIONS
        ]
        early = {
            late.request_id: await self.open_early(late)
            for late, _moment in cases
            if late.connection != 'fresh'
        }
        self.began_s = time.monotonic() + 0.3
        calls = [
            asyncio.create_task(self.play(late, None, -0.3)) for late in before
        ]
        await asyncio.sleep(0.3)
        process = self.fleet.processes.pop(self.host)
        process.send_signal(signal.SIGTERM)
        for late, moment in cases:
            at_s = _GRACE_S * moment / _MOMENTS + 0.05
            call = self.play(late, early.get(late.request_id), at_s)
            calls.append(asyncio.create_task(call))
        await asyncio.gather(*calls)
        self.exit_code = process.wait(_GRACE_S)
        self.before, self.late = before, [late for late, _moment in cases]


@when('the first entry VM is stopped')
def stopped(context: Context) -> None:
    context.play = StopPlay(context.fleet)


@when('requests of each kind and time come at each tenth of its grace')
def come(context: Context) -> None:
    context.fleet.run(context.play.run())
    assert context.play.exit_code == 0
    context.ran = set(context.fleet.endpoint.runs)


def _describe(late: Late) -> str:
    return f'{late} {late.status}'[:300]


@then("none that can't be repeated was cut or left without a true answer")
def none_cut(context: Context) -> None:
    wrong = []
    for late in context.play.late:
        if late.kind in _REPEATABLE:
            continue
        ran = late.request_id in context.ran
        answered = ran and late.status == 200 and late.complete
        refused = not ran and late.status == 503 and late.complete
        unread = not ran and not late.received
        if not (answered or refused or unread or late.reached_deadline):
            wrong.append(late)
    assert not wrong, (len(wrong), list(map(_describe, wrong[:4])))


@then(
    'the others were answered, refused as not run or told that they may have run'
)
def others_told(context: Context) -> None:
    wrong = []
    for late in context.play.late:
        if late.kind not in _REPEATABLE:
            continue
        ran = late.request_id in context.ran
        answered = ran and late.status == 200 and late.complete
        told = ran and late.status == 504 and late.complete
        refused = not ran and late.status == 503 and late.complete
        unread = not ran and not late.received
        # A stream can only be broken off; its caller resumes it elsewhere.
        taken_early = late.sent_s < _STALE_ADDRESS_S + 0.1
        broken = ran and late.kind != 'read' and taken_early
        ended = late.reached_deadline
        if not (answered or told or refused or unread or broken or ended):
            wrong.append(late)
    assert not wrong, (len(wrong), list(map(_describe, wrong[:4])))


@then('refusals come at once and some requests of each kind were answered')
def at_once(context: Context) -> None:
    late = context.play.late
    slow = [
        one for one in late if one.status == 503 and one.took_s > _AT_ONCE_S
    ]
    assert not slow, list(map(_describe, slow[:4]))
    for kind in _KINDS:
        statuses = [one.status for one in late if one.kind == kind]
        assert 200 in statuses and 503 in statuses, (kind, set(statuses))


@then('requests that ran when the stop began were answered')
def running_answered(context: Context) -> None:
    for late in context.play.before:
        assert late.status == 200 and late.complete, _describe(late)
