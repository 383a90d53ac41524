"""Write one structured line for each decision, bounded and never blocking."""

import logging
import os
from collections import deque
from typing import Any, final

import msgspec
from baobabwharf_core.clock import Clock

from baobabwharf_daemon.metrics import DROPPED_LINES

# Lines of one kind that are written in a second; more are counted.
LINES_PER_S = 40
_WINDOW_MS = 1000
# About 2 MB at most wait for a reader that stands still.
_MAX_WAITING = 4096
_MAX_BATCH = 64
_DECISIONS = 'baobabwharf.decisions'


@final
class PipeHandler(logging.Handler):
    """Write lines to a descriptor; drop and count them when it is full."""

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._waiting: deque[bytes] = deque()
        self._rest = b''
        self.dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Queue a line and write what the descriptor takes."""
        if len(self._waiting) >= _MAX_WAITING:
            self._drop(1)
            return
        self._waiting.append(self.format(record).encode() + b'\n')
        self.flush()

    def flush(self) -> None:
        """Write as much as the descriptor takes without blocking."""
        while self._waiting or self._rest:
            if not self._rest:
                self._rest = self._next_batch()
            try:
                written = os.write(self._descriptor, self._rest)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more; the counter tells how much is lost.
                self._drop(len(self._waiting) + 1)
                self._waiting.clear()
                self._rest = b''
                return
            self._rest = self._rest[written:]

    def _drop(self, count: int) -> None:
        self.dropped += count
        DROPPED_LINES.set({}, self.dropped)

    def _next_batch(self) -> bytes:
        size = min(_MAX_BATCH, len(self._waiting))
        return b''.join(self._waiting.popleft() for _line in range(size))


@final
class JsonLinesFormatter(logging.Formatter):
    """Format a record as one JSON object."""

    def __init__(self, vm_id: str) -> None:
        super().__init__()
        self._vm_id = vm_id
        self._encoder = msgspec.json.Encoder(enc_hook=str)

    def format(self, record: logging.LogRecord) -> str:
        """Return the line of a record."""
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
        self.since_ms = 0
        self.written = 0
        self.suppressed = 0


@final
class DecisionLog:
    """Record decisions; lines of one kind above the bound are counted."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._logger = logging.getLogger(_DECISIONS)
        self._quotas: dict[str, _Quota] = {}

    def record(self, event: str, **fields: object) -> None:
        """Write an event with its fields, unless too many came just now."""
        quota = self._quotas.setdefault(event, _Quota())
        now_ms = self._clock.now_ms()
        if now_ms - quota.since_ms >= _WINDOW_MS:
            quota.since_ms = now_ms
            quota.written = 0
        if quota.written >= LINES_PER_S:
            quota.suppressed += 1
            return
        quota.written += 1
        if quota.suppressed:
            fields['suppressed_before'] = quota.suppressed
            quota.suppressed = 0
        self._logger.info(event, extra={'event': event, 'fields': fields})
