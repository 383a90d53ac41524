"""Track the borrowed tokens and the demand of one customer on one VM."""

from collections import deque
from typing import final

import msgspec
from baobabwharf_core.ids import CustomerId, VmId

# Averaging time of demand.  A VM keeps tokens for about this long after traffic
# has moved to another VM.
_DEMAND_WINDOW_MS = 400
# Time whose demand is borrowed in advance: the longest round trip between
# regions and two ticks.
_PREFETCH_MS = 300


class Chunk(msgspec.Struct):
    """Hold borrowed micro-tokens until they expire."""

    chunk_id: int
    lender: VmId
    expires_ms: int
    left: int
    # Value of left in the last report to the lender; refunds may not raise left
    # above it.
    reported: int
    # Spent by settled reservations since the last report to the lender.
    used: int = 0


class Waiter(msgspec.Struct):
    """Describe a request that is waiting for tokens."""

    ticket: int
    amount: int
    deadline_ms: int


class Estimate(msgspec.Struct):
    """Hold the level that a holder could last lend, and when."""

    level: int
    at_ms: int


@final
class Account:
    """Hold chunks, waiting requests, demand and estimates of one customer."""

    __slots__ = (
        '_demand',
        '_demand_updated_ms',
        '_largest_request',
        'asked',
        'chunks',
        'customer_id',
        'estimates',
        'waiters',
    )

    def __init__(self, customer_id: CustomerId, now_ms: int) -> None:
        self.customer_id = customer_id
        self.chunks: list[Chunk] = []
        self.waiters: deque[Waiter] = deque()
        self.estimates: dict[VmId, Estimate] = {}
        # Micro-tokens in asks that have no reply yet.
        self.asked = 0
        # Micro-tokens per ms, averaged over _DEMAND_WINDOW_MS.
        self._demand = 0.0
        self._demand_updated_ms = now_ms
        self._largest_request = 0

    @property
    def borrowed(self) -> int:
        """Return the unspent part of all chunks."""
        return sum(chunk.left for chunk in self.chunks)

    @property
    def waiting(self) -> int:
        """Return the amount that waiting requests need."""
        return sum(waiter.amount for waiter in self.waiters)

    def note_demand(self, amount: int, now_ms: int) -> None:
        """Add a request of this amount to the demand."""
        self._decay(now_ms)
        self._demand += amount / _DEMAND_WINDOW_MS
        self._largest_request = max(self._largest_request, amount)

    def target_balance(self, now_ms: int) -> int:
        """Return the balance that covers demand until more can be borrowed."""
        self._decay(now_ms)
        expected = self._demand * _PREFETCH_MS
        if expected < self._largest_request // 4:
            self._largest_request = 0
        return int(expected) + self._largest_request

    def note_level(self, holder: VmId, level: int, now_ms: int) -> None:
        """Store the level that a holder can still lend."""
        self.estimates[holder] = Estimate(level, now_ms)

    def drop_expired(self, now_ms: int) -> list[Chunk]:
        """Remove and return expired chunks."""
        expired = []
        while self.chunks and self.chunks[0].expires_ms <= now_ms:
            expired.append(self.chunks.pop(0))
        return expired

    def add_chunk(self, chunk: Chunk) -> None:
        """Add a chunk; chunks that expire first are spent first."""
        self.chunks.append(chunk)
        self.chunks.sort(key=lambda known: known.expires_ms)

    def find_chunk(self, chunk_id: int, lender: VmId) -> Chunk | None:
        """Return a chunk that is still held, None otherwise."""
        for chunk in self.chunks:
            if chunk.chunk_id == chunk_id and chunk.lender == lender:
                return chunk
        return None

    def is_idle(self, now_ms: int) -> bool:
        """Return whether nothing is held, asked for or needed."""
        if self.chunks or self.waiters or self.asked:
            return False
        return self.target_balance(now_ms) == 0

    def _decay(self, now_ms: int) -> None:
        elapsed_ms = now_ms - self._demand_updated_ms
        if elapsed_ms > 0:
            self._demand_updated_ms = now_ms
            share = elapsed_ms / _DEMAND_WINDOW_MS
            self._demand /= 1 + share + share * share / 2
