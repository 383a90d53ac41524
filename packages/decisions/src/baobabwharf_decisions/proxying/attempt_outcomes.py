"""Decide whether a request may be retried after an attempt ended."""

import enum

import msgspec
from baobabwharf_core.refusals import Executed, Refusal, RefusalCode


class AttemptEnd(enum.Enum):
    """Say how an attempt ended without an answer for the caller."""

    NOT_SENT = 'not_sent'
    NOT_EXECUTED = 'not_executed'
    FAILED = 'failed'
    LOST = 'lost'
    TIMED_OUT = 'timed_out'


# After these ends the request certainly did not run, so it may be sent again
# even if it is not repeatable.
_NOT_EXECUTED_ENDS = frozenset((AttemptEnd.NOT_SENT, AttemptEnd.NOT_EXECUTED))
# Failed connects do not count as sends; further attempts would only add delay.
_MAX_UNSENT = 3

_REFUSAL_CODES = {
    AttemptEnd.NOT_SENT: RefusalCode.NO_ENDPOINT,
    AttemptEnd.NOT_EXECUTED: RefusalCode.QUEUE_FULL,
    AttemptEnd.FAILED: RefusalCode.ENDPOINT_FAILED,
    AttemptEnd.LOST: RefusalCode.ENDPOINT_FAILED,
    AttemptEnd.TIMED_OUT: RefusalCode.ENDPOINT_TIMEOUT,
}


class AttemptCounts(msgspec.Struct):
    """Count the attempts of one request and decide on retries."""

    max_attempts: int
    repeatable: bool
    sent: int = 0
    unsent: int = 0
    may_have_run: bool = False

    def note_end(self, ended: AttemptEnd) -> None:
        """Count a finished attempt."""
        if ended is AttemptEnd.NOT_SENT:
            self.unsent += 1
        else:
            self.sent += 1
        if ended not in _NOT_EXECUTED_ENDS:
            self.may_have_run = True

    def may_retry(self, ended: AttemptEnd) -> bool:
        """Return whether to try another endpoint, apart from the retry budget."""
        if self.sent >= self.max_attempts or self.unsent >= _MAX_UNSENT:
            return False
        if ended is AttemptEnd.TIMED_OUT:
            return False
        return ended in _NOT_EXECUTED_ENDS or self.repeatable

    def refusal(self, ended: AttemptEnd, retry_after_ms: int | None) -> Refusal:
        """Return the refusal for the caller after the last attempt."""
        if self.may_have_run:
            code = _REFUSAL_CODES[ended]
            if ended in _NOT_EXECUTED_ENDS:
                code = RefusalCode.ENDPOINT_FAILED
            return Refusal(code, Executed.UNKNOWN)
        return Refusal(_REFUSAL_CODES[ended], retry_after_ms=retry_after_ms)
