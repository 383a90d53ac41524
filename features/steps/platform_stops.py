"""Stop an entry VM of the platform while callers go on using it."""

import asyncio
import signal
import time

import msgspec
from baobabwharf_soak.process_launcher import CALLER_PORT_OFFSET
from behave import then, when
from behave.runner import Context

_SEND_PERIOD_S = 0.1
_STALE_ADDRESS_S = 3
# A refusal needs no endpoint, so it takes far less than the request's 3 s.
_AT_ONCE_S = 1
_HEAD_END = b'\r\n\r\n'


class SentRequest(msgspec.Struct):
    """Record a request, when it was sent and what came back."""

    request_id: str
    sent_s: float
    took_s: float = 0
    received: bytes = b''
    connected: bool = False

    @property
    def status(self) -> int:
        """Return the status of the response, 0 if there is none."""
        return int(self.received[9:12]) if self.received else 0

    @property
    def complete(self) -> bool:
        """Return whether the response has its whole body."""
        head, end, body = self.received.partition(_HEAD_END)
        if not end:
            return False
        fields = dict(
            line.lower().split(b': ', 1) for line in head.split(b'\r\n')[1:]
        )
        return len(body) == int(fields[b'content-length'])


async def _send(fleet, host: str, sent: SentRequest, began_s: float) -> None:
    """Send one request on a new connection and read until it closes."""
    port = fleet.port(CALLER_PORT_OFFSET)
    request = (
        f'POST /a/long HTTP/1.1\r\nHost: h.example\r\nContent-Length: 0\r\n'
        f'Authorization: Bearer platform-key\r\nX-Deadline-Ms: 12000\r\n'
        f'X-Request-Id: {sent.request_id}\r\nConnection: close\r\n\r\n'
    )
    try:
        reader, writer = await asyncio.open_connection(host, port)
        sent.connected = True
        writer.write(request.encode())
        while block := await reader.read(65_536):
            sent.received += block
        writer.close()
    except OSError:
        # The VM has closed its listener, or it cut the connection.
        pass
    sent.took_s = time.monotonic() - began_s - sent.sent_s


@when('callers of 3 s requests use the first entry VM until it is gone')
def uses_until_gone(context: Context) -> None:
    fleet = context.fleet
    host = fleet.entries[0]
    context.execute_steps(
        'Then a request through each entry VM is run by the endpoint'
    )

    async def stop_and_send() -> list[SentRequest]:
        process = fleet.processes.pop(host)
        began_s = time.monotonic()
        process.send_signal(signal.SIGTERM)
        sent: list[SentRequest] = []
        calls = []
        while process.poll() is None:
            now_s = time.monotonic() - began_s
            sent.append(SentRequest(f'stop-{len(sent)}', now_s))
            calls.append(
                asyncio.create_task(_send(fleet, host, sent[-1], began_s))
            )
            await asyncio.sleep(_SEND_PERIOD_S)
        await asyncio.gather(*calls)
        return sent

    context.sent = fleet.run(stop_and_send())


@then(
    'each request sent over 3 s after its SIGTERM is answered or refused as not run'
)
def none_given_up(context: Context) -> None:
    runs = context.fleet.endpoint.runs
    late = [one for one in context.sent if one.sent_s > _STALE_ADDRESS_S]
    assert len(late) > 10, len(late)
    for one in late:
        unread = not one.received and one.request_id not in runs
        refused = one.status == 503 and one.request_id not in runs
        answered = one.status == 200 and one.request_id in runs
        assert unread or (one.complete and (refused or answered)), one
    assert any(one.status == 503 for one in late)


@then(
    'a refusal comes at once and tells the caller to close and try another VM'
)
def refused_at_once(context: Context) -> None:
    refused = [one for one in context.sent if one.status == 503]
    for one in refused:
        assert one.took_s < _AT_ONCE_S, one
        assert b'Connection: close' in one.received, one
        assert b'Retry-After: 0.000' in one.received, one
