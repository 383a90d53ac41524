"""Test storing endpoints on disk and restoring them after a restart."""

import asyncio
import tempfile
from pathlib import Path

from baobabwharf_core.clock import Clock
from baobabwharf_daemon.proxy.endpoint_store import EndpointStore
from baobabwharf_decisions.proxying.endpoint_table import (
    EndpointRecord,
    EndpointTable,
)
from behave import given, then, when
from behave.runner import Context

_EXPIRY_MS = 30_000
_RESTORED_EXPIRY_MS = 5000


class ManualClock(Clock):
    """Return the time that the test has set."""

    def __init__(self) -> None:
        self.wall = 1_000_000

    def now_ms(self) -> int:
        return self.wall

    def wall_ms(self) -> int:
        return self.wall


def record(number: int, sequence: int = 1) -> EndpointRecord:
    return EndpointRecord(
        f'i-{number}', 's', f'10.0.0.{number}:80', 'z', 'r', 6, 1, sequence
    )


class StoreSubject:
    """Hold the data folder, the clock and the endpoints of a disk VM."""

    def __init__(self, count: int) -> None:
        self.folder = tempfile.TemporaryDirectory()
        self.clock = ManualClock()
        self.path = Path(self.folder.name)
        self.endpoint_table = EndpointTable()
        store = EndpointStore(self.path, self.clock)
        asyncio.run(store.save(record(number) for number in range(count)))

    def restart(self, after_ms: int) -> None:
        self.clock.wall += after_ms
        records = EndpointStore(self.path, self.clock).load()
        now_ms = self.clock.now_ms()
        received_ms = now_ms - _EXPIRY_MS + _RESTORED_EXPIRY_MS
        self.endpoint_table.restore(records, received_ms, now_ms)


@given('a disk VM that has stored {count:d} endpoints')
def stored(context: Context, count: int) -> None:
    context.stored = StoreSubject(count)


@when('it starts again after {after_ms:d} ms')
def starts(context: Context, after_ms: int) -> None:
    context.stored.restart(after_ms)


@when('the stored endpoints are damaged')
def damaged(context: Context) -> None:
    for path in context.stored.path.iterdir():
        path.write_bytes(path.read_bytes()[:-3])


@then('it knows {count:d} endpoints')
def knows(context: Context, count: int) -> None:
    assert len(context.stored.endpoint_table.entries) == count


@then('an endpoint without a heartbeat for 5 s after the start is dropped')
def silent_dropped(context: Context) -> None:
    subject = context.stored
    now_ms = subject.clock.now_ms()
    assert subject.endpoint_table.update(record(0, 2), now_ms) is False
    dropped = subject.endpoint_table.expire(
        _EXPIRY_MS, now_ms + _RESTORED_EXPIRY_MS + 1
    )
    assert dropped == ['i-1', 'i-2'], dropped


@then('an endpoint that sends a heartbeat is kept')
def heard_kept(context: Context) -> None:
    assert list(context.stored.endpoint_table.entries) == ['i-0']
