"""Send requests at regular times to a drain window."""

from baobabwharf_core.refusals import Executed, Refusal, RefusalCode
from baobabwharf_decisions.proxying.drain_window import DrainWindow
from behave import given, then, when
from behave.runner import Context

_BEGAN_MS = 5000
_END_MS = 8000
_STALE_ADDRESS_MS = 3000


class Arrivals:
    """Ask one window about requests with a fixed time to their deadline."""

    def __init__(self, length_ms: int | None) -> None:
        self.length_ms = length_ms or 0
        self.window = DrainWindow()
        self.left_ms = 0
        self.caller: dict[int, Refusal | None] = {}
        # Requests that can't be repeated.
        self.once: dict[int, Refusal | None] = {}
        self.forwarded: dict[int, Refusal | None] = {}
        if length_ms is not None:
            self.window.begin(_BEGAN_MS, length_ms)

    def arrive(self, left_ms: int, period_ms: int) -> None:
        self.left_ms = left_ms
        for after_ms in range(0, _END_MS, period_ms):
            now_ms = _BEGAN_MS + after_ms
            deadline_ms = now_ms + left_ms
            self.caller[after_ms] = self.window.refusal(
                deadline_ms, now_ms, forwarded=False, repeatable=True
            )
            self.once[after_ms] = self.window.refusal(
                deadline_ms, now_ms, forwarded=False, repeatable=False
            )
            self.forwarded[after_ms] = self.window.refusal(
                deadline_ms, now_ms, forwarded=True, repeatable=True
            )


def _is_not_run(refusal: Refusal | None) -> bool:
    return (
        refusal is not None
        and refusal.code is RefusalCode.VM_STOPPING
        and refusal.executed is Executed.NO
    )


@given('a drain of {length_ms:d} ms')
def begins(context: Context, length_ms: int) -> None:
    context.arrivals = Arrivals(length_ms)


@given('no drain')
def no_drain(context: Context) -> None:
    context.arrivals = Arrivals(None)


@when(
    'a request with {left_ms:d} ms to its deadline arrives every {period_ms:d} ms'
)
def arrive(context: Context, left_ms: int, period_ms: int) -> None:
    context.arrivals.arrive(left_ms, period_ms)


@then(
    'repeatable ones of callers are taken for {taken_ms:d} ms and then refused as not run'
)
def taken_at_first(context: Context, taken_ms: int) -> None:
    for after_ms, refusal in context.arrivals.caller.items():
        if after_ms < taken_ms:
            assert refusal is None, after_ms
        else:
            assert _is_not_run(refusal), after_ms


@then("those that can't be repeated are refused as not run from the beginning")
def once_refused(context: Context) -> None:
    assert all(map(_is_not_run, context.arrivals.once.values()))


@then("none that can't be repeated could run at the end of the drain")
def once_never_cut(context: Context) -> None:
    arrivals = context.arrivals
    for after_ms, refusal in arrivals.once.items():
        if refusal is None:
            assert after_ms + arrivals.left_ms < arrivals.length_ms, after_ms


@then('those of other VMs are refused as not run from the beginning')
def others_refused(context: Context) -> None:
    assert all(map(_is_not_run, context.arrivals.forwarded.values()))


@then('none that could end after the drain is taken later than {taken_ms:d} ms')
def none_outlasts(context: Context, taken_ms: int) -> None:
    arrivals = context.arrivals
    for after_ms, refusal in arrivals.caller.items():
        if after_ms >= taken_ms and refusal is None:
            assert after_ms + arrivals.left_ms < arrivals.length_ms, after_ms


@then('those that surely end {margin_ms:d} ms before the drain are all taken')
def short_taken(context: Context, margin_ms: int) -> None:
    arrivals = context.arrivals
    last_ms = arrivals.length_ms - margin_ms - arrivals.left_ms
    for answers in (arrivals.caller, arrivals.once, arrivals.forwarded):
        taken = [at_ms for at_ms, refusal in answers.items() if not refusal]
        stale = _STALE_ADDRESS_MS if answers is arrivals.caller else 0
        assert max(taken) <= max(last_ms, stale - 1), max(taken)
        assert set(range(0, last_ms + 1, 50)) <= set(taken)


@then('all are taken')
def all_taken(context: Context) -> None:
    assert not any(context.arrivals.caller.values())
    assert not any(context.arrivals.once.values())
    assert not any(context.arrivals.forwarded.values())
