"""Decide whether and when a request is retried."""

import random

import msgspec
from baobabwharf_core.refusals import Executed, Refusal, RefusalCode
from baobabwharf_core.requests import AttemptOutcome, RequestAttributes
from expression import Error, Ok, Result

_MAX_ATTEMPTS = 3
_FIRST_BACKOFF_MS = 10
_MAX_BACKOFF_MS = 500
# Retries add at most 10% to the load, so that failures cannot cause a retry
# storm; the initial level allows retries on a VM with little traffic.
_RETRY_SHARE = 0.1
_MAX_LEVEL = 10.0


class RetryBudget(msgspec.Struct):
    """Limit retries to a budget, earned as a share of first attempts."""

    level: float = _MAX_LEVEL

    def earn(self) -> None:
        """Add the share that a first attempt earns."""
        self.level = min(_MAX_LEVEL, self.level + _RETRY_SHARE)

    def take(self) -> bool:
        """Take one retry from the budget; return whether it was available."""
        if self.level < 1:
            return False
        self.level -= 1
        return True


def was_not_executed(outcome: AttemptOutcome) -> bool:
    """Return whether the endpoint certainly did not execute the attempt."""
    return not outcome.sent


def decide_retry(
    attributes: RequestAttributes,
    outcome: AttemptOutcome,
    attempts_made: int,
    time_left_ms: int,
    budget: RetryBudget,
    rng: random.Random,
) -> Result[int, Refusal]:
    """Return the backoff in ms before the next attempt, or a refusal."""
    executed = Executed.NO if was_not_executed(outcome) else Executed.UNKNOWN
    if executed is Executed.UNKNOWN and not attributes.repeatable:
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
            RefusalCode.RETRY_BUDGET_EMPTY,
            executed,
            'many requests fail now',
        )
    return Ok(backoff_ms)


def _refuse(
    code: RefusalCode, executed: Executed, detail: str
) -> Result[int, Refusal]:
    return Error(Refusal(code, executed, detail=detail))
