"""Match waiting operations and reads of the replica with their results."""

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
class ReplicaWaiters:
    """Hold the futures of callers that wait for log entries and reads."""

    def __init__(self) -> None:
        self._waiters_by_index: dict[LogIndex, _Waiter] = {}
        self._reads: dict[int, asyncio.Future[bool]] = {}
        self._last_read_id = 0
        self._newest_term = Term(0)

    def __len__(self) -> int:
        return len(self._waiters_by_index)

    def expect(
        self, index: LogIndex, term: Term
    ) -> asyncio.Future[ProposeReply]:
        """Return a future for the result of the entry with an index and term."""
        future = asyncio.get_running_loop().create_future()
        earlier = self._waiters_by_index.get(index)
        if earlier is not None:
            _overwrite(earlier)
        self._waiters_by_index[index] = _Waiter(term, future)
        return future

    async def wait(
        self, future: asyncio.Future[ProposeReply], timeout_s: float
    ) -> ProposeReply:
        """Return the reply, or UNKNOWN after the timeout."""
        try:
            return await asyncio.wait_for(future, timeout_s)
        except TimeoutError:
            return ProposeReply(ReplyKind.UNKNOWN)

    def resolve(
        self, index: LogIndex, term: Term, answer: Answer | None
    ) -> None:
        """Answer the waiter of an applied entry; fail those of replaced ones.

        Terms never decrease along the log, so an entry of an earlier term at
        this or a later index can never be committed.
        """
        applied = self._waiters_by_index.get(index)
        if applied is not None and applied.term == term:
            self._waiters_by_index.pop(index)
            _set_reply(applied.future, ProposeReply(ReplyKind.ANSWERED, answer))
        if term <= self._newest_term:
            return
        self._newest_term = term
        overwritten = [
            waiting_index
            for waiting_index, waiter in self._waiters_by_index.items()
            if waiting_index >= index and waiter.term < term
        ]
        for waiting_index in overwritten:
            _overwrite(self._waiters_by_index.pop(waiting_index))

    def skip_to(self, index: LogIndex) -> None:
        """End the waits for entries that a snapshot covers as UNKNOWN."""
        skipped = [key for key in self._waiters_by_index if key <= index]
        for key in skipped:
            waiter = self._waiters_by_index.pop(key)
            _set_reply(waiter.future, ProposeReply(ReplyKind.UNKNOWN))

    def expect_read(self) -> tuple[int, asyncio.Future[bool]]:
        """Return the id and the future of a new read."""
        self._last_read_id += 1
        future = asyncio.get_running_loop().create_future()
        self._reads[self._last_read_id] = future
        return self._last_read_id, future

    async def wait_read(
        self, future: asyncio.Future[bool], timeout_s: float
    ) -> bool:
        """Return whether the read may be served."""
        try:
            return await asyncio.wait_for(future, timeout_s)
        except TimeoutError:
            return False

    def resolve_read(self, read_id: int, allowed: bool) -> None:
        """Record whether a read may be served."""
        future = self._reads.pop(read_id, None)
        if future is not None and not future.done():
            future.set_result(allowed)

    def fail_all(self) -> None:
        """End all waiting operations as UNKNOWN and all reads as refused."""
        for waiter in self._waiters_by_index.values():
            _set_reply(waiter.future, ProposeReply(ReplyKind.UNKNOWN))
        self._waiters_by_index.clear()
        for future in self._reads.values():
            if not future.done():
                future.set_result(False)
        self._reads.clear()


def _set_reply(
    future: asyncio.Future[ProposeReply], reply: ProposeReply
) -> None:
    if not future.done():
        future.set_result(reply)


def _overwrite(waiter: _Waiter) -> None:
    _set_reply(waiter.future, ProposeReply(ReplyKind.OVERWRITTEN))
