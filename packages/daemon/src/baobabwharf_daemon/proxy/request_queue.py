"""Run the requests of one connection in order and bound what they hold."""

import asyncio
import enum
from collections import deque
from collections.abc import Awaitable, Callable
from typing import Any, final

import msgspec
from baobabwharf_core.refusals import Refusal
from baobabwharf_decisions.intake_budget import HolderId, IntakeVerdict

from baobabwharf_daemon.proxy.head_gate import HeadGate
from baobabwharf_daemon.proxy.http_call import HttpCall, ResponseChannel
from baobabwharf_daemon.proxy.http_messages import HttpRequest
from baobabwharf_daemon.proxy.intake import (
    MEMORY_SHORT,
    Intake,
    IntakeClient,
)
from baobabwharf_daemon.proxy.request_reader import (
    LimitsSource,
    RequestReader,
    RequestSink,
)

_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
_MAX_QUEUED_REQUESTS = 4
# Of a request that arrives while another one runs.
_MAX_PIPELINED_BYTES = 65_536
_REQUEST_TIMEOUT = 408
# A caller that still sends gets the refusal before the connection is reset.
_LINGER_MS = 300
_MS_PER_S = 1000
_UNPARSED_REQUEST = HttpRequest(b'', b'', (), b'')

CallHandler = Callable[[HttpCall], Awaitable[None]]


class _Pause(enum.Enum):
    """Name a reason not to read."""

    QUEUE = 'queue'
    MEMORY = 'memory'
    REFUSED = 'refused'


class _Entry(msgspec.Struct, frozen=True):
    """Hold a request to run, or one to refuse."""

    request: HttpRequest
    keep_alive: bool = False
    holder: HolderId | None = None
    # A status alone is for what could not be parsed.
    refusal: Refusal | int | None = None


@final
class _SingleTimer:
    """Hold at most one scheduled callback."""

    def __init__(self) -> None:
        self._handle: asyncio.TimerHandle | None = None

    def set(self, delay_ms: int, action: Callable[[], None]) -> None:
        """Schedule a callback in place of the pending one."""
        self.clear()
        loop = asyncio.get_running_loop()
        self._handle = loop.call_later(delay_ms / _MS_PER_S, action)

    def clear(self) -> None:
        """Cancel the pending callback."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None


@final
class _ReadSwitch:
    """Pause a transport while there is a reason to."""

    def __init__(self) -> None:
        self._reasons: set[_Pause] = set()
        self.transport: Any = None

    def pause(self, reason: _Pause) -> None:
        """Stop reading until the reason is withdrawn."""
        self._reasons.add(reason)
        if not self.transport.is_closing():
            self.transport.pause_reading()

    def resume(self, reason: _Pause) -> None:
        """Withdraw a reason; read on without any."""
        self._reasons.discard(reason)
        if not (self._reasons or self.transport.is_closing()):
            self.transport.resume_reading()


@final
class _Receiver(RequestSink, IntakeClient):
    """Count the request that is being received and queue it when whole."""

    def __init__(self, queue: 'RequestQueue') -> None:
        self._queue = queue
        self._head = _UNPARSED_REQUEST
        self._refusal: Refusal | None = None
        self._holder: HolderId | None = None
        self._size = 0

    def on_request_begin(self) -> None:
        """Count the request and start the header time-out."""
        self._head = _UNPARSED_REQUEST
        self._refusal = None
        self._size = 0
        self._holder = self._queue.intake.open(self)
        limit_ms = self._queue.limits().header_timeout_ms
        self._queue.timer.set(limit_ms, lambda: self.refuse(_REQUEST_TIMEOUT))

    def on_head(self, head: HttpRequest, length: int | None) -> bool:
        """Return whether the body is kept, by the path and the key."""
        self._head = head
        checked = self._queue.gate.check_head(head)
        if checked.is_error():
            self._refusal = checked.error
            return False
        if self._holder is not None:
            self._queue.intake.identify(self._holder, checked.ok, length)
        return True

    def on_headers_end(self, *, awaits_continue: bool) -> None:
        """Send 100 Continue if the caller expects it."""
        self._queue.timer.clear()
        if awaits_continue:
            self._queue.write(_CONTINUE)

    def on_received(self, size: int) -> bool:
        """Count received bytes; stop reading or refuse without memory."""
        if self._holder is None:
            return False
        self._size += size
        verdict = self._queue.intake.grow(self._holder, size)
        if verdict is IntakeVerdict.REFUSE:
            self.on_relieved(MEMORY_SHORT)
            return False
        if verdict is IntakeVerdict.PAUSE:
            self._queue.switch.pause(_Pause.MEMORY)
        if self._queue.busy and self._size > _MAX_PIPELINED_BYTES:
            self._queue.switch.pause(_Pause.QUEUE)
        return True

    def on_resumed(self) -> None:
        """Read on, since there is memory again."""
        self._queue.switch.resume(_Pause.MEMORY)

    def on_relieved(self, refusal: Refusal) -> None:
        """Drop the request and refuse it, since others need its memory."""
        self._queue.reader.abandon()
        self._refusal = refusal
        self.refuse_head()

    def on_request_end(self, request: HttpRequest, *, keep_alive: bool) -> None:
        """Queue a complete request."""
        self._queue.timer.clear()
        holder = self._holder
        self._holder = None
        if holder is not None:
            self._queue.intake.complete(holder)
        self._queue.switch.resume(_Pause.MEMORY)
        self._queue.add(_Entry(request, keep_alive, holder, self._refusal))

    def refuse(self, status: int) -> None:
        """Queue an error response to what could not be parsed."""
        self._end(_Entry(_UNPARSED_REQUEST, refusal=status))

    def refuse_head(self) -> None:
        """Queue a refusal of the request whose head was received."""
        self._end(_Entry(self._head, refusal=self._refusal))

    def discard(self) -> None:
        """Count the request no more."""
        self._queue.intake.close(self._holder)
        self._holder = None

    def _end(self, entry: _Entry) -> None:
        self.discard()
        self._queue.timer.clear()
        self._queue.switch.pause(_Pause.REFUSED)
        self._queue.add(entry)


@final
class RequestQueue(ResponseChannel):
    """Run the requests of one connection in order."""

    def __init__(
        self,
        handler: CallHandler,
        limits: LimitsSource,
        intake: Intake,
        gate: HeadGate,
    ) -> None:
        self._handler = handler
        self._waiting: deque[_Entry] = deque()
        self._running: asyncio.Task[None] | None = None
        self._keeps_alive = True
        self._stopping = False
        self._receiver = _Receiver(self)
        self.limits = limits
        self.intake = intake
        self.gate = gate
        self.timer = _SingleTimer()
        self.switch = _ReadSwitch()
        self.reader = RequestReader(self._receiver, limits)
        self.writable = asyncio.Event()
        self.writable.set()

    @property
    def transport(self) -> Any:
        """Return the transport of the connection."""
        return self.switch.transport

    @property
    def busy(self) -> bool:
        """Return whether a request runs."""
        return self._running is not None

    @property
    def keeps_alive(self) -> bool:
        """Return whether the connection stays open for another request."""
        return self._keeps_alive

    def begin(self, transport: Any) -> None:
        """Take the transport and start the idle timer."""
        self.switch.transport = transport
        self._start_idle_timer()

    def write(self, block: bytes) -> None:
        """Write bytes unless the connection is closing."""
        if not self.transport.is_closing():
            self.transport.write(block)

    async def drain(self) -> None:
        """Wait until the write buffer has room."""
        await self.writable.wait()

    def end_response(self) -> None:
        """Close the connection unless it is kept alive."""
        if not self._keeps_alive and self.reader.refused:
            self.timer.set(_LINGER_MS, self.transport.close)
        elif not self._keeps_alive:
            self.transport.close()

    def abort(self) -> None:
        """Reset the connection."""
        self._keeps_alive = False
        self.transport.abort()

    def stop(self) -> None:
        """Close once idle and send Connection: close from now on."""
        self._stopping = True
        if self._running is not None:
            self._keeps_alive = False
        self._close_idle()

    def on_connection_lost(self) -> None:
        """Cancel the running request and discard the queued ones."""
        self.timer.clear()
        self.writable.set()
        self._receiver.discard()
        while self._waiting:
            self.intake.close(self._waiting.popleft().holder)
        if self._running is not None:
            self._running.cancel()

    def add(self, entry: _Entry) -> None:
        """Queue a request or a refusal behind those received before."""
        self._waiting.append(entry)
        if len(self._waiting) >= _MAX_QUEUED_REQUESTS:
            self.switch.pause(_Pause.QUEUE)
        if self._running is None:
            self._run_next()

    def _run_next(self) -> None:
        entry = self._waiting.popleft()
        self._keeps_alive = entry.keep_alive and not self._stopping
        call = HttpCall(entry.request, self)
        if isinstance(entry.refusal, int):
            call.respond(entry.refusal, b'Refused', [], b'')
            return
        loop = asyncio.get_running_loop()
        self._running = loop.create_task(self._run(call, entry))

    async def _run(self, call: HttpCall, entry: _Entry) -> None:
        try:
            # A caller that reads no responses gets no further ones.
            await self.drain()
            if isinstance(entry.refusal, Refusal):
                self.gate.refuse(call, entry.refusal)
            else:
                await self._handler(call)
        finally:
            self._on_request_done(entry)

    def _on_request_done(self, entry: _Entry) -> None:
        self.intake.close(entry.holder)
        self._running = None
        if self.transport.is_closing():
            return
        if self._waiting:
            self.switch.resume(_Pause.QUEUE)
            self._run_next()
        elif self._keeps_alive:
            self.switch.resume(_Pause.QUEUE)
            self._wait_for_next()

    def _wait_for_next(self) -> None:
        if self._stopping:
            self._close_idle()
        elif not self.reader.reading_request:
            self._start_idle_timer()

    def _start_idle_timer(self) -> None:
        """Close the connection after the idle time-out."""
        self.timer.set(self.limits().idle_timeout_ms, self._close_idle)

    def _close_idle(self) -> None:
        """Close the connection unless a request is being read or handled."""
        running = self._running is not None
        if not (running or self._waiting or self.reader.reading_request):
            self.transport.close()
