"""Match operations and reads with what became of them."""

import asyncio
from typing import final

import msgspec
from baobabwharf_core.ids import LogIndex, Term
from baobabwharf_decisions.fleet_state.commands import Answer

from baobabwharf_daemon.replica_messages import ProposeReply, ReplyKind


class _Waiter(msgspec.Struct):
    term: Term
    future: asyncio.Future[ProposeReply]


@final
class Waiters:
    """Hold the callers that wait for log indices and for reads."""

    def __init__(self) -> None:
        self._waiting: dict[LogIndex, _Waiter] = {}
        self._reads: dict[int, asyncio.Future[bool]] = {}
        self._last_read = 0
        self._newest_term = Term(0)

    def __len__(self) -> int:
        return len(self._waiting)

    def expect(
        self, index: LogIndex, term: Term
    ) -> asyncio.Future[ProposeReply]:
        """Return a future for the entry of a term at an index."""
        future = asyncio.get_running_loop().create_future()
        replaced = self._waiting.get(index)
        if replaced is not None:
            _overwrite(replaced)
        self._waiting[index] = _Waiter(term, future)
        return future

    async def wait(
        self, future: asyncio.Future[ProposeReply], timeout_s: float
    ) -> ProposeReply:
        """Return the reply, UNKNOWN after the timeout."""
        try:
            return await asyncio.wait_for(future, timeout_s)
        except TimeoutError:
            return ProposeReply(ReplyKind.UNKNOWN)

    def resolve(
        self, index: LogIndex, term: Term, answer: Answer | None
    ) -> None:
        """Answer the entry that was applied; drop those it replaced.

        Terms grow along the log, so an entry of an earlier term at this or a
        later index can never be committed.
        """
        own = self._waiting.get(index)
        if own is not None and own.term == term:
            self._waiting.pop(index)
            _settle(own.future, ProposeReply(ReplyKind.ANSWERED, answer))
        if term <= self._newest_term:
            return
        self._newest_term = term
        overwritten = [
            waiting
            for waiting, known in self._waiting.items()
            if waiting >= index and known.term < term
        ]
        for waiting in overwritten:
            _overwrite(self._waiting.pop(waiting))

    def skip_to(self, index: LogIndex) -> None:
        """Give up entries whose answers a snapshot skipped."""
        skipped = [key for key in self._waiting if key <= index]
        for waiting in skipped:
            known = self._waiting.pop(waiting)
            _settle(known.future, ProposeReply(ReplyKind.UNKNOWN))

    def expect_read(self) -> tuple[int, asyncio.Future[bool]]:
        """Return an id for a read and its future."""
        self._last_read += 1
        future = asyncio.get_running_loop().create_future()
        self._reads[self._last_read] = future
        return self._last_read, future

    async def wait_read(
        self, future: asyncio.Future[bool], timeout_s: float
    ) -> bool:
        """Tell whether the read may be served."""
        try:
            return await asyncio.wait_for(future, timeout_s)
        except TimeoutError:
            return False

    def resolve_read(self, read_id: int, allowed: bool) -> None:
        """Allow or refuse a read."""
        future = self._reads.pop(read_id, None)
        if future is not None and not future.done():
            future.set_result(allowed)

    def fail_all(self) -> None:
        """Make everything that waits unknown."""
        for known in self._waiting.values():
            _settle(known.future, ProposeReply(ReplyKind.UNKNOWN))
        self._waiting.clear()
        for future in self._reads.values():
            if not future.done():
                future.set_result(False)
        self._reads.clear()


def _settle(future: asyncio.Future[ProposeReply], reply: ProposeReply) -> None:
    if not future.done():
        future.set_result(reply)


def _overwrite(waiter: _Waiter) -> None:
    _settle(waiter.future, ProposeReply(ReplyKind.OVERWRITTEN))
