"""Decide what may be retried, and when."""

import random

import msgspec
from baobabwharf_core.refusals import Executed, Refusal, RefusalCode
from baobabwharf_core.requests import AttemptOutcome, RequestFacts
from expression import Error, Ok, Result

_MAX_ATTEMPTS = 3
_FIRST_BACKOFF_MS = 10
_MAX_BACKOFF_MS = 500
# Retries add at most a tenth to the load, so that failures cannot feed on
# their own retries; the reserve serves a VM with little traffic.
_RETRY_SHARE = 0.1
_MAX_LEVEL = 10.0


class RetryBudget(msgspec.Struct):
    """Pay retries from a share of first attempts."""

    level: float = _MAX_LEVEL

    def earn(self) -> None:
        """Count a first attempt."""
        self.level = min(_MAX_LEVEL, self.level + _RETRY_SHARE)

    def take(self) -> bool:
        """Pay for one retry if the budget allows it."""
        if self.level < 1:
            return False
        self.level -= 1
        return True


def was_not_executed(outcome: AttemptOutcome) -> bool:
    """Tell whether the endpoint surely did not run the attempt."""
    return not outcome.sent


def decide_retry(
    facts: RequestFacts,
    outcome: AttemptOutcome,
    attempts_made: int,
    time_left_ms: int,
    budget: RetryBudget,
    rng: random.Random,
) -> Result[int, Refusal]:
    """Return the backoff in ms before the next attempt, or a refusal.

    attempt is the number of attempts made so far.
    """
    executed = Executed.NO if was_not_executed(outcome) else Executed.UNKNOWN
    if executed is Executed.UNKNOWN and not facts.repeatable:
        return _refuse(
            RefusalCode.ENDPOINT_FAILED,
            executed,
            'the call may have run and may not be repeated',
        )
    if attempts_made >= _MAX_ATTEMPTS:
        return _refuse(
            RefusalCode.ENDPOINT_FAILED,
            executed,
            f'{attempts_made} attempts were made',
        )
    bound_ms = min(_MAX_BACKOFF_MS, _FIRST_BACKOFF_MS << attempts_made)
    backoff_ms = rng.randint(bound_ms // 2, bound_ms)
    if backoff_ms >= time_left_ms:
        return _refuse(
            RefusalCode.DEADLINE_UNREACHABLE,
            executed,
            'no time is left for another attempt',
        )
    if not budget.take():
        return _refuse(
            RefusalCode.RETRY_BUDGET_EMPTY, executed, 'many requests fail now'
        )
    return Ok(backoff_ms)


def _refuse(
    code: RefusalCode, executed: Executed, detail: str
) -> Result[int, Refusal]:
    return Error(Refusal(code, executed, detail=detail))
