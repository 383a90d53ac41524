"""Let endpoints say in their answers that they leave or need a pause."""

import asyncio

from baobabwharf_daemon.proxy.http_messages import ResponseHead
from baobabwharf_decisions.proxying.endpoint_table import EndpointTable
from baobabwharf_platform.headers import PlatformDialect
from behave import then
from behave.runner import Context
from endpoint_sync import _FIRST, SyncPair
from msgspec.structs import replace
from proxy_exchanges import ProxySubject, ScriptedEndpoint, build_response

_LEAVING = b'Server-Leaving: 1'
_NOT_RUN = b'X-Not-Executed: 1'
_SIGNED = ScriptedEndpoint.signature
_STREAM = b'Content-Type: text/event-stream'
# Status, further headers and path of each kind of answer.
_LEAVING_ANSWERS = {
    'result': (200, (_SIGNED,), '/once/x'),
    'result of a read': (200, (_SIGNED,), '/many/x'),
    'closing result': (200, (_SIGNED, b'Connection: close'), '/once/x'),
    'stream': (200, (_SIGNED, _STREAM), '/stream/x'),
    'failure': (500, (_SIGNED,), '/once/x'),
    'missing': (404, (_SIGNED,), '/once/x'),
    'refusal': (503, (_NOT_RUN,), '/once/x'),
    'busy': (429, (_NOT_RUN,), '/once/x'),
    'bare 503': (503, (), '/once/x'),
    'unsigned': (200, (), '/once/x'),
}
_PAUSE_S = 1.0
_DATE = 'Sat, 05 Dec 2026 10:00:0%d GMT'
_PAUSES = {
    'whole seconds': (b'Retry-After: 1', 1000),
    'a fraction': (b'Retry-After: 0.75', 750),
    'a date': (
        f'Date: {_DATE % 1}\r\nRetry-After: {_DATE % 2}'.encode(),
        1000,
    ),
}
_NO_PAUSES = (
    b'Retry-After: soon',
    b'Retry-After: -5',
    b'Retry-After: 1e9',
    b'Retry-After: nan',
    b'Retry-After: \xff\xfe',
    b'Retry-After: ' + b'9' * 400,
    b'Retry-After: ' + (_DATE % 2).encode(),
    b'Date: x\r\nRetry-After: Sat, 99 Dec 99999 10:00:00 GMT',
)


class StatingEndpoint(ScriptedEndpoint):
    """Answer with a status and headers that the test sets."""

    def __init__(self, status: int, headers: tuple[bytes, ...]) -> None:
        super().__init__('ok')
        self.status = status
        self.headers = headers

    def response_bytes(self, request_id: bytes) -> bytes:
        body = b'id: 1\ndata: x\n\n' if _STREAM in self.headers else b'x'
        return build_response(self.status, body, request_id, *self.headers)


class StatingProxy(ProxySubject):
    """Run an entry VM with one endpoint that makes statements."""

    def __init__(self, status: int, headers: tuple[bytes, ...]) -> None:
        self.stating = StatingEndpoint(status, headers)
        super().__init__([])

    async def start(self) -> None:
        self.endpoints = [self.stating]
        await super().start()

    def send(self, path: str) -> int:
        """Send a request; return how many the endpoint got in all."""
        self.send_request('POST', path, 'hello')
        return len(self.stating.requests)

    def become_sound(self) -> None:
        self.stating.status, self.stating.headers = 200, (_SIGNED,)


@then(
    'in each kind of answer that says so, the endpoint gets no further request'
)
def no_further(context: Context) -> None:
    context.leaving = {}
    for kind, (status, headers, path) in _LEAVING_ANSWERS.items():
        proxy = StatingProxy(status, (*headers, _LEAVING))
        context.add_cleanup(proxy.close)
        assert proxy.send(path) == 1, kind
        proxy.become_sound()
        for later in ('/once/x', '/many/x', '/stream/x'):
            assert proxy.send(later) == 1, (kind, later)
            assert proxy.responses[-1].startswith(b'HTTP/1.1 503'), kind
        assert not proxy.context.pool._idle, kind
        context.leaving[kind] = proxy


@then('none after a later registration, a renewal or the word of another VM')
def none_after_registration(context: Context) -> None:
    for kind, proxy in context.leaving.items():
        table: EndpointTable = proxy.endpoint_table
        known = table.entries['i-0'].record
        table.update(replace(known, sequence=9, slots=50), 1)
        assert proxy.send('/once/x') == 1, kind
        table.drop('i-0')
        table.update(replace(known, sequence=10), 1)
        assert proxy.send('/once/x') == 1, kind
        table.renew('i-0', (1, 11), 0, None, 1)
        assert proxy.send('/once/x') == 1, kind


@then('its next incarnation gets requests again')
def next_incarnation(context: Context) -> None:
    for kind, proxy in context.leaving.items():
        known = proxy.endpoint_table.entries['i-0'].record
        again = replace(known, incarnation=2, sequence=1)
        proxy.endpoint_table.update(again, 1)
        assert proxy.send('/once/x') == 2, kind
        # A late word about the earlier incarnation changes nothing.
        assert not proxy.endpoint_table.note_leaving('i-0', 1, 1)
        assert proxy.send('/once/x') == 3, kind


@then(
    'after each 503 with a Retry-After the endpoint gets nothing in that time'
)
def nothing_in_pause(context: Context) -> None:
    context.paused = []
    for kind, (header, pause_ms) in _PAUSES.items():
        for marked in ((_NOT_RUN,), ()):
            proxy = StatingProxy(503, (*marked, header))
            context.add_cleanup(proxy.close)
            began_s = proxy.loop.time()
            assert proxy.send('/once/x') == 1, kind
            proxy.become_sound()
            while proxy.loop.time() < began_s + pause_ms / 1000 - 0.15:
                assert proxy.send('/once/x') == 1, kind
                proxy.run(asyncio.sleep(0.05))
            context.paused.append((kind, proxy))


@then('it gets requests again afterwards')
def requests_again(context: Context) -> None:
    for kind, proxy in context.paused:
        proxy.run(asyncio.sleep(0.3))
        assert proxy.send('/once/x') == 2, kind


@then('nonsense asks for no pause and a long pause ends')
def nonsense(context: Context) -> None:
    dialect = PlatformDialect()
    for lines in _NO_PAUSES:
        pairs = [line.split(b': ', 1) for line in lines.split(b'\r\n')]
        headers = tuple((name, value) for name, value in pairs)
        head = ResponseHead(503, b'', headers, 0)
        assert dialect.read_response(head).pause_ms is None, lines
    other = ResponseHead(200, b'', ((b'Retry-After', b'5'),), 0)
    assert dialect.read_response(other).pause_ms is None
    longest = ResponseHead(503, b'', ((b'Retry-After', b'9' * 12),), 0)
    pause_ms = dialect.read_response(longest).pause_ms
    proxy = StatingProxy(200, (_SIGNED,))
    context.add_cleanup(proxy.close)
    record = proxy.endpoint_table.entries['i-0'].record
    load = proxy.context.selector.loads.load(record)
    load.availability.pause(pause_ms, now_ms=0)
    assert 60_000 < load.availability.until_ms < 3_600_000


@then('the caller is told to come back in {least:g} to {most:g} s')
def told_to_come_back(context: Context, least: float, most: float) -> None:
    response = context.proxy.responses[-1]
    head = response.partition(b'\r\n\r\n')[0]
    fields = dict(line.split(b': ', 1) for line in head.split(b'\r\n')[1:])
    assert response.startswith(b'HTTP/1.1 503'), response
    assert least < float(fields[b'Retry-After']) <= most, response


@then(
    'an entry VM learns from the renewals of a disk VM that an endpoint is leaving'
)
def learns_by_renewal(context: Context) -> None:
    async def play() -> None:
        pair = SyncPair()
        pair.meet()
        await pair.start()
        # Another entry VM saw the answer and told the disk VM.
        disk = pair.syncs['disk']
        disk.note_leaving(_FIRST)
        disk.on_heartbeat(replace(_FIRST, sequence=2))
        await asyncio.sleep(1.5)
        table = pair.syncs['entry'].endpoint_table
        assert table.is_leaving(table.entries['i-0'].record)
        await pair.stop()

    context.loop.run_until_complete(play())


@then('an entry VM that fetches the endpoints learns it at once')
def learns_by_fetch(context: Context) -> None:
    async def play() -> None:
        pair = SyncPair()
        pair.syncs['disk'].note_leaving(_FIRST)
        await pair.start()
        table = pair.syncs['entry'].endpoint_table
        assert table.is_leaving(table.entries['i-0'].record)
        await pair.stop()

    context.loop.run_until_complete(play())
