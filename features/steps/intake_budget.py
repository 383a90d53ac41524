"""Replay crowds of large requests against the budget for input."""

from baobabwharf_decisions.intake_budget import (
    HolderId,
    IntakeBudget,
    IntakeVerdict,
    intake_limit_bytes,
)
from behave import given, then, when
from behave.runner import Context

_MIB = 1024 * 1024
_TICK_MS = 100
_READ_BYTES = 65_536
# Limit for a caller whose reading is paused; not a performance target.
_PATIENCE_MS = 20_000


class Crowd:
    """Own the holders of a replay and the bytes that they still send."""

    def __init__(self, budget: IntakeBudget) -> None:
        self.budget = budget
        self.left: dict[HolderId, int] = {}
        self.going: list[HolderId] = []
        self.closed: list[HolderId] = []
        self.ended: list[HolderId] = []
        self.most = 0
        self.now_ms = 0

    def add(self, owner: str | None, size: int) -> HolderId:
        holder = self.budget.open(None, self.now_ms)
        self.budget.identify(holder, owner, size)
        self.left[holder] = size
        self.going.append(holder)
        return holder

    def read(self, holder: HolderId, size: int) -> None:
        """Read once from a caller, that has nothing more to send at last."""
        size = min(size, self.left[holder])
        self.left[holder] -= size
        verdict = self.budget.grow(holder, size, self.now_ms)
        self.most = max(self.most, self.budget.held_bytes)
        if verdict is IntakeVerdict.REFUSE:
            self.close(holder)
        elif not self.left[holder] or verdict is IntakeVerdict.PAUSE:
            self.going.remove(holder)

    def close(self, holder: HolderId) -> None:
        self.budget.close(holder)
        self.closed.append(holder)
        if holder in self.going:
            self.going.remove(holder)

    def send_all(self, size: int) -> None:
        while self.going:
            for holder in tuple(self.going):
                self.read(holder, size)

    def tick(self) -> None:
        self.now_ms += _TICK_MS
        for relieved in self.budget.relieve(self.now_ms):
            self.close(relieved.holder)
        self.going += self.budget.resume(self.now_ms)


def _crowd(context: Context, count: int, owner: str | None, size: int) -> None:
    context.first = [context.crowd.add(owner, size) for _ in range(count)]


@given('a budget of {size:d} MiB for input')
def budget(context: Context, size: int) -> None:
    context.crowd = Crowd(IntakeBudget(size * _MIB))


@when(
    '{count:d} callers of customer "{owner}" each send {size:d} bytes in reads of {read:d}'
)
def customers_send(
    context: Context, count: int, owner: str, size: int, read: int
) -> None:
    _crowd(context, count, owner, size)
    context.crowd.send_all(read)


@when(
    '{count:d} callers without a key each send {size:d} bytes in reads of {read:d}'
)
def unknown_send(context: Context, count: int, size: int, read: int) -> None:
    _crowd(context, count, None, size)
    context.crowd.send_all(read)


@given(
    '{count:d} callers of customer "{owner}" that sent {size:d} bytes and stopped'
)
def stopped(context: Context, count: int, owner: str, size: int) -> None:
    _crowd(context, count, owner, size)
    context.crowd.send_all(_READ_BYTES)


@when(
    '{count:d} callers of customer "{owner}" go on sending {size:d} bytes for {seconds:d} s'
)
def go_on(
    context: Context, count: int, owner: str, size: int, seconds: int
) -> None:
    crowd = context.crowd
    context.later = [crowd.add(owner, size) for _ in range(count)]
    for _tick in range(seconds * 1000 // _TICK_MS):
        for holder in tuple(crowd.going):
            crowd.read(holder, _READ_BYTES)
            if not crowd.left[holder]:
                crowd.ended.append(holder)
                # Its request is answered at once.
                crowd.budget.close(holder)
        crowd.tick()


@when('{seconds:d} s pass')
def pass_time(context: Context, seconds: int) -> None:
    for _tick in range(seconds * 1000 // _TICK_MS):
        context.crowd.tick()
        context.crowd.send_all(_READ_BYTES)


@then('at most {size:d} MiB were held at any time')
def bounded(context: Context, size: int) -> None:
    assert context.crowd.most <= size * _MIB, context.crowd.most


@then('a caller of customer "{owner}" can send {size:d} bytes')
def can_send(context: Context, owner: str, size: int) -> None:
    crowd = context.crowd
    holder = crowd.add(owner, size)
    deadline_ms = crowd.now_ms + _PATIENCE_MS
    while crowd.left[holder]:
        assert holder not in crowd.closed, crowd.left[holder]
        assert crowd.now_ms < deadline_ms, crowd.left[holder]
        if holder in crowd.going:
            crowd.read(holder, _READ_BYTES)
        else:
            crowd.tick()


@then('each of the {count:d} could end')
def each_ended(context: Context, count: int) -> None:
    assert sorted(context.crowd.ended) == context.later, context.crowd.ended


@then('only callers that had stopped were closed')
def only_stopped(context: Context) -> None:
    closed = context.crowd.closed
    assert closed and set(closed) <= set(context.first), closed


@then('no caller is closed')
def none_closed(context: Context) -> None:
    assert not context.crowd.closed


@then('the budget of a VM with {memory} MB is {size:d} MiB')
def limit(context: Context, memory: str, size: int) -> None:
    memory_mb = None if memory == 'unknown' else int(memory)
    assert intake_limit_bytes(memory_mb) == size * _MIB
