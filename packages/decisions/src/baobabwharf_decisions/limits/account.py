"""Keep what one VM holds and needs of a customer's tokens."""

from collections import deque
from typing import final

import msgspec
from baobabwharf_core.ids import CustomerId, VmId

# Demand is remembered about this long after traffic moves to another VM.
_DEMAND_MEMORY_MS = 400
# Covers the longest round trip between regions and two ticks.
_PREFETCH_MS = 300


class Chunk(msgspec.Struct):
    """Hold borrowed micro-tokens until they expire."""

    chunk_id: int
    lender: VmId
    expires_ms: int
    left: int
    # What the lender was last told; a refund may not raise left above it.
    reported: int
    # Used for good since the last report.
    used: int = 0


class Waiter(msgspec.Struct):
    """Hold a request that waits for tokens."""

    ticket: int
    amount: int
    deadline_ms: int


class Estimate(msgspec.Struct):
    """Hold what a holder was last known to have to lend."""

    level: int
    at_ms: int


@final
class Account:
    """Hold chunks, waiters, demand and estimates for one customer."""

    __slots__ = (
        '_demand',
        '_demand_ms',
        '_largest',
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
        # Amount in asks that have no reply yet.
        self.asked = 0
        # Micro-tokens per ms, averaged over the demand memory.
        self._demand = 0.0
        self._demand_ms = now_ms
        self._largest = 0

    @property
    def borrowed(self) -> int:
        """Return the unspent part of all chunks."""
        return sum(chunk.left for chunk in self.chunks)

    @property
    def waiting(self) -> int:
        """Return what the waiting requests need."""
        return sum(waiter.amount for waiter in self.waiters)

    def note_demand(self, amount: int, now_ms: int) -> None:
        """Count a request of this size."""
        self._decay(now_ms)
        self._demand += amount / _DEMAND_MEMORY_MS
        self._largest = max(self._largest, amount)

    def target(self, now_ms: int) -> int:
        """Return the balance that covers demand until more can be here."""
        self._decay(now_ms)
        expected = self._demand * _PREFETCH_MS
        if expected < self._largest // 4:
            self._largest = 0
        return int(expected) + self._largest

    def learn_level(self, holder: VmId, level: int, now_ms: int) -> None:
        """Remember what a holder has left to lend."""
        self.estimates[holder] = Estimate(level, now_ms)

    def drop_expired(self, now_ms: int) -> list[Chunk]:
        """Remove and return chunks whose lifetime is over."""
        ended = []
        while self.chunks and self.chunks[0].expires_ms <= now_ms:
            ended.append(self.chunks.pop(0))
        return ended

    def add_chunk(self, chunk: Chunk) -> None:
        """Add a chunk; the first to expire is spent first."""
        self.chunks.append(chunk)
        self.chunks.sort(key=lambda known: known.expires_ms)

    def find(self, chunk_id: int, lender: VmId) -> Chunk | None:
        """Return a chunk that is still held."""
        for chunk in self.chunks:
            if chunk.chunk_id == chunk_id and chunk.lender == lender:
                return chunk
        return None

    def is_idle(self, now_ms: int) -> bool:
        """Tell whether nothing is held, asked or needed."""
        if self.chunks or self.waiters or self.asked:
            return False
        return self.target(now_ms) == 0

    def _decay(self, now_ms: int) -> None:
        elapsed_ms = now_ms - self._demand_ms
        if elapsed_ms > 0:
            self._demand_ms = now_ms
            share = elapsed_ms / _DEMAND_MEMORY_MS
            self._demand /= 1 + share + share * share / 2
