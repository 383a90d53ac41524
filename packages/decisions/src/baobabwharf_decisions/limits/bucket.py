"""Implement a holder's part of a customer's token bucket."""

from collections import OrderedDict
from typing import final

import msgspec
from baobabwharf_core.invariants import check_invariant


class _LentChunk(msgspec.Struct):
    """Hold what a borrower may still spend; settled is (returned, used)."""

    expires_ms: int
    left: int
    settled: tuple[int, int] = (0, 0)


class _Refundable(msgspec.Struct):
    """Hold what may still be refunded; settled as in a lent chunk."""

    left: int
    settled: tuple[int, int]


@final
class HolderBucket:
    """Hold the level, lent chunks and amounts that may still be refunded.

    Level and lent tokens never exceed the cap.  A refundable entry is a
    reservation or the spent part of a chunk; what is left of it may be refunded
    until refill replaces it, oldest entry first.  Thus level, lent and
    refundable tokens stay within the cap, and a late refund never adds to tokens
    that refill has already replaced.
    """

    __slots__ = (
        '_anchor_ms',
        '_cap',
        '_chunks',
        '_lent',
        '_level',
        '_rate',
        '_refundable_tokens',
        '_refundables',
        'share_key',
    )

    def __init__(self, rate: int, cap: int, anchor_ms: int) -> None:
        self._rate = rate
        self._cap = cap
        self._anchor_ms = anchor_ms
        self._level = 0
        self._lent = 0
        self._refundable_tokens = 0
        self._chunks: dict[int, _LentChunk] = {}
        self._refundables: OrderedDict[int, _Refundable] = OrderedDict()
        self.share_key: object = None

    @property
    def level(self) -> int:
        """Return the micro-tokens that can be taken now."""
        return self._level

    @property
    def lent(self) -> int:
        """Return the micro-tokens in chunks that borrowers may spend."""
        return self._lent

    @property
    def cap(self) -> int:
        """Return this share of the burst in micro-tokens."""
        return self._cap

    @property
    def rate(self) -> int:
        """Return the refill rate in micro-tokens per ms."""
        return self._rate

    def set_share(self, rate: int, cap: int, now_ms: int) -> None:
        """Apply a new share; time up to now_ms refills at the lower rate."""
        old_rate = self._rate
        self._rate = min(old_rate, rate)
        self.refill(now_ms)
        self._rate = rate
        self._cap = cap
        self.refill(now_ms)

    def refill(self, now_ms: int) -> None:
        """Expire chunks and add the refill up to now_ms."""
        self._expire(now_ms)
        if now_ms > self._anchor_ms:
            self._level += self._rate * (now_ms - self._anchor_ms)
            self._anchor_ms = now_ms
        room = max(0, self._cap - self._lent)
        if self._level >= room:
            self._level = room
            # The clock has whole ms, so refill restarts at the next one.
            self._anchor_ms = max(self._anchor_ms, now_ms + 1)
        self._drop_excess_refunds()
        self._check()

    def spend(self, entry_id: int, amount: int) -> None:
        """Spend from the level and keep the amount refundable."""
        self._level -= amount
        self._add_refundable(entry_id, amount, (0, 0))
        self._check()

    def refund(self, entry_id: int, unused: int) -> None:
        """Settle a reservation; refund unused tokens not replaced by refill."""
        entry = self._refundables.pop(entry_id, None)
        left = 0 if entry is None else entry.left
        self._refundable_tokens -= left
        self._level += min(unused, left)
        self._check()

    def lend(self, chunk_id: int, amount: int, expires_ms: int) -> None:
        """Move tokens from the level into a chunk."""
        self._level -= amount
        self._lent += amount
        self._chunks[chunk_id] = _LentChunk(expires_ms, amount)
        self._check()

    def apply_return(
        self, chunk_id: int, left: int, returned: int, used: int
    ) -> None:
        """Apply a borrower's report: left to spend, returned and used.

        left only decreases and the totals only increase, so late and repeated
        reports change nothing.
        """
        chunk = self._chunks.get(chunk_id)
        if chunk is not None and left < chunk.left:
            self._shrink_chunk(chunk_id, chunk, left)
            # Lent tokens may exceed the cap after it was lowered.
            self._drop_excess_refunds()
        entry = self._refundables.get(chunk_id)
        if entry is None:
            return
        refund = min(max(0, returned - entry.settled[0]), entry.left)
        ended = min(max(0, used - entry.settled[1]), entry.left - refund)
        entry.left -= refund + ended
        entry.settled = (
            max(entry.settled[0], returned),
            max(entry.settled[1], used),
        )
        if chunk is not None:
            chunk.settled = entry.settled
        self._refundable_tokens -= refund + ended
        self._level += refund
        self._check()

    def _expire(self, now_ms: int) -> None:
        if not self._chunks:
            return
        ended = [
            (chunk_id, chunk)
            for chunk_id, chunk in self._chunks.items()
            if chunk.expires_ms <= now_ms
        ]
        for chunk_id, chunk in ended:
            self._shrink_chunk(chunk_id, chunk, 0)

    def _shrink_chunk(
        self, chunk_id: int, chunk: _LentChunk, left: int
    ) -> None:
        spent = chunk.left - left
        chunk.left = left
        self._lent -= spent
        self._add_refundable(chunk_id, spent, chunk.settled)
        if not left:
            del self._chunks[chunk_id]

    def _add_refundable(
        self, entry_id: int, amount: int, settled: tuple[int, int]
    ) -> None:
        known = self._refundables.get(entry_id)
        if known is None:
            known = _Refundable(0, settled)
            self._refundables[entry_id] = known
        known.left += amount
        self._refundable_tokens += amount

    def _drop_excess_refunds(self) -> None:
        excess = self._level + self._lent + self._refundable_tokens - self._cap
        while excess > 0 and self._refundables:
            entry_id, entry = next(iter(self._refundables.items()))
            lost = min(entry.left, excess)
            excess -= lost
            entry.left -= lost
            self._refundable_tokens -= lost
            if not entry.left:
                del self._refundables[entry_id]

    def _check(self) -> None:
        check_invariant(self._level >= 0, 'Bucket level is negative.')
        check_invariant(
            self._level == 0 or self._level + self._lent <= self._cap,
            'Level and lent chunks exceed the share of the burst.',
        )
