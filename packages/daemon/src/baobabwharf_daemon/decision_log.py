"""Write one JSON line per decision, rate-limited and without blocking."""

import logging
import os
from collections import deque
from typing import Any, final

import msgspec
from baobabwharf_core.clock import Clock

from baobabwharf_daemon.metrics import DROPPED_LINES

# Limit for each type of event; lines above it are counted, not written.
MAX_LINES_PER_S = 40
_WINDOW_MS = 1000
# What a stalled reader may leave in memory.  A line can be long, such as one
# that names all faults of a large configuration.
_MAX_QUEUED_LINES = 4096
_MAX_QUEUED_BYTES = 2 * 1024 * 1024
_MAX_BATCH_LINES = 64
_LOGGER_NAME = 'baobabwharf.decisions'


@final
class PipeHandler(logging.Handler):
    """Write lines to a descriptor; drop and count those that do not fit."""

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._queued: deque[bytes] = deque()
        self._queued_bytes = 0
        self._unwritten = b''
        self.dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Queue a line and write what the descriptor accepts."""
        if len(self._queued) >= _MAX_QUEUED_LINES:
            self._count_dropped(1)
            return
        line = self.format(record).encode() + b'\n'
        if self._queued_bytes + len(line) > _MAX_QUEUED_BYTES:
            self._count_dropped(1)
            return
        self._queued.append(line)
        self._queued_bytes += len(line)
        self.flush()

    def flush(self) -> None:
        """Write as much as the descriptor accepts without blocking."""
        while self._queued or self._unwritten:
            if not self._unwritten:
                self._unwritten = self._next_batch()
            try:
                written = os.write(self._descriptor, self._unwritten)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed the pipe.  The batch that is being
                # written counts as one line.
                self._count_dropped(len(self._queued) + 1)
                self._queued.clear()
                self._queued_bytes = 0
                self._unwritten = b''
                return
            self._unwritten = self._unwritten[written:]

    def _count_dropped(self, count: int) -> None:
        self.dropped += count
        DROPPED_LINES.set({}, self.dropped)

    def _next_batch(self) -> bytes:
        size = min(_MAX_BATCH_LINES, len(self._queued))
        batch = b''.join(self._queued.popleft() for _index in range(size))
        self._queued_bytes -= len(batch)
        return batch


@final
class JsonLinesFormatter(logging.Formatter):
    """Format each record as one JSON object."""

    def __init__(self, vm_id: str) -> None:
        super().__init__()
        self._vm_id = vm_id
        self._encoder = msgspec.json.Encoder(enc_hook=str)

    def format(self, record: logging.LogRecord) -> str:
        """Return the JSON text of a record."""
        line: dict[str, Any] = {
            'time_ms': int(record.created * 1000),
            'vm': self._vm_id,
            'level': record.levelname,
            'event': getattr(record, 'event', 'note'),
        }
        fields = getattr(record, 'fields', None)
        if fields is None:
            line['message'] = record.getMessage()
        else:
            line.update(fields)
        if record.exc_info:
            line['exception'] = self.formatException(record.exc_info)
        return self._encoder.encode(line).decode()


@final
class _Quota:
    def __init__(self) -> None:
        self.window_start_ms = 0
        self.written = 0
        self.suppressed = 0


@final
class DecisionLog:
    """Record decisions, with a rate limit for each type of event."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._logger = logging.getLogger(_LOGGER_NAME)
        self._quotas: dict[str, _Quota] = {}

    def record(self, event: str, **fields: object) -> None:
        """Write an event with its fields, or count it above the rate limit.

        The next line of the same type reports how many were suppressed.
        """
        quota = self._quotas.setdefault(event, _Quota())
        now_ms = self._clock.now_ms()
        if now_ms - quota.window_start_ms >= _WINDOW_MS:
            quota.window_start_ms = now_ms
            quota.written = 0
        if quota.written >= MAX_LINES_PER_S:
            quota.suppressed += 1
            return
        quota.written += 1
        if quota.suppressed:
            fields['suppressed_before'] = quota.suppressed
            quota.suppressed = 0
        self._logger.info(event, extra={'event': event, 'fields': fields})
