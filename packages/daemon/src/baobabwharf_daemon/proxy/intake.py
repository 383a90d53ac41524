"""Apply the budget for input to the connections of callers."""

import abc
import asyncio
from typing import final

from baobabwharf_core.refusals import Refusal, RefusalCode
from baobabwharf_decisions.intake_budget import (
    HolderId,
    IntakeBudget,
    IntakeVerdict,
    RelievedReason,
)

from baobabwharf_daemon.metrics import (
    INPUT_BYTES,
    INPUT_CLOSED,
    INPUT_LARGEST,
    INPUT_LIMIT,
)

_TICK_S = 0.05
_MS_PER_S = 1000
# Holders that yield are found within some seconds.
_RETRY_AFTER_MS = 2000

MEMORY_SHORT = Refusal(RefusalCode.MEMORY_SHORT, retry_after_ms=_RETRY_AFTER_MS)
_REFUSAL_BY_REASON = {
    RelievedReason.SLOW: Refusal(RefusalCode.BODY_TOO_SLOW),
    RelievedReason.STALLED: MEMORY_SHORT,
}


class IntakeClient(abc.ABC):
    """Own a request that is being received."""

    @abc.abstractmethod
    def on_resumed(self) -> None:
        """Read on, since there is memory again."""

    @abc.abstractmethod
    def on_relieved(self, refusal: Refusal) -> None:
        """Drop the request, since others need its memory."""


@final
class Intake:
    """Hold the budget of a process and the requests that it counts."""

    def __init__(self, limit_bytes: int) -> None:
        self._budget = IntakeBudget(limit_bytes)
        self._clients: dict[HolderId, IntakeClient] = {}
        self._timer: asyncio.TimerHandle | None = None

    @property
    def short(self) -> bool:
        """Return whether requests have to yield to others."""
        return self._timer is not None

    def open(self, client: IntakeClient) -> HolderId:
        """Count a request from now on."""
        holder = self._budget.open(None, _now_ms())
        self._clients[holder] = client
        return holder

    def identify(
        self, holder: HolderId, owner: str | None, length: int | None
    ) -> None:
        """Count a request for a customer."""
        self._budget.identify(holder, owner, length)

    def grow(self, holder: HolderId, size: int) -> IntakeVerdict:
        """Count received bytes and decide how the request goes on."""
        verdict = self._budget.grow(holder, size, _now_ms())
        if verdict is not IntakeVerdict.CONTINUE:
            self._watch()
        return verdict

    def complete(self, holder: HolderId) -> None:
        """Note that a request has arrived."""
        self._budget.complete(holder)

    def close(self, holder: HolderId | None) -> None:
        """Count a request no more; None is one that is not counted."""
        if holder is not None:
            self._clients.pop(holder, None)
            self._budget.close(holder)

    def publish(self) -> None:
        """Set the metrics of the budget."""
        INPUT_BYTES.set({}, self._budget.held_bytes)
        INPUT_LIMIT.set({}, self._budget.limit_bytes)
        INPUT_LARGEST.set({}, self._budget.largest_bytes)

    def _watch(self) -> None:
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(_TICK_S, self._tick)

    def _tick(self) -> None:
        self._timer = None
        now_ms = _now_ms()
        for relieved in self._budget.relieve(now_ms):
            client = self._clients[relieved.holder]
            self.close(relieved.holder)
            INPUT_CLOSED.inc({'reason': relieved.reason.value})
            client.on_relieved(_REFUSAL_BY_REASON[relieved.reason])
        for holder in self._budget.resume(now_ms):
            self._clients[holder].on_resumed()
        if self._budget.short(now_ms):
            self._watch()


def _now_ms() -> int:
    return int(asyncio.get_running_loop().time() * _MS_PER_S)
