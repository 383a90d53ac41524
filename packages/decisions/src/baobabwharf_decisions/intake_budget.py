"""Divide the memory for input among the callers that send it.

The load is many large requests at once, whole, in fragments or stopped before
their end, from callers with and without a key.  Reading from them stops before
the memory is used up; those that do not go on then yield to the others.

Each request that is received, waits or runs is a holder.  Large ones, and those
that do not announce their size, are bounded by a part of the budget, so that
small requests are served beside any number of them.
"""

import enum
from typing import NewType, final

import msgspec

HolderId = NewType('HolderId', int)

_MB = 1024 * 1024
# The stated size of a VM.
DEFAULT_MEMORY_MB = 256
# A process uses 54 MB before it serves; the rest is for its tables.
_BASE_MB = 72
# One part of the rest is for input, one for responses and the allocator.
_DIVISOR = 2
# Three bodies of the largest size, also in the smallest VM.
_MIN_LIMIT = 16 * _MB
# A body of the largest size, 4 MiB, with its head.
_MIN_SHARE = 5 * _MB
# Ordinary prompts of 12,000 tokens are smaller.
_SMALL_BYTES = 65_536
# Parser, connection and request objects.
HOLDER_OVERHEAD = 4096
# Parts of the budget for all large holders, for one customer and for all callers
# without a valid key.
_LARGE_SHARE = 0.75
_CUSTOMER_SHARE = 0.5
_UNKNOWN_SHARE = 0.25
# Beyond these parts: for paused holders, which have received one read at least,
# and for small ones.
_PAUSED_EXTRA = 0.0625
_SMALL_EXTRA = 0.125
# A twentieth of a link of 5 Mbit/s.
MIN_RATE_BYTES_PER_S = 32_768
_RATE_WINDOW_MS = 2000
# Paused holders wait so long for others to end before the largest is closed;
# longer than it takes to find the slow ones.
_STALL_MS = 3000
# How long a refusal counts as a sign that the budget is short.
_SHORT_MS = 1000
# How much a paused holder may read when it goes on, at least one read.
RESUME_BYTES = 65_536
# Part of the budget that is freed at a time.
_RELIEF_DIVISOR = 8
_MS_PER_S = 1000


def intake_limit_bytes(memory_mb: int | None) -> int:
    """Return the budget for input of a process, by the memory of its VM."""
    known_mb = DEFAULT_MEMORY_MB if memory_mb is None else memory_mb
    return max(_MIN_LIMIT, (known_mb - _BASE_MB) * _MB // _DIVISOR)


class IntakeVerdict(enum.Enum):
    """Say what to do with a holder that has received bytes."""

    CONTINUE = 'continue'
    PAUSE = 'pause'
    REFUSE = 'refuse'


class RelievedReason(enum.Enum):
    """Say why a holder is closed."""

    SLOW = 'slow'
    STALLED = 'stalled'


class Relieved(msgspec.Struct, frozen=True):
    """Name a holder to close."""

    holder: HolderId
    reason: RelievedReason


class _Holder(msgspec.Struct):
    # None for callers without a valid key.
    owner: str | None
    size: int
    large: bool
    # Bytes that arrived since the window began.
    window_ms: int
    window_bytes: int = 0
    paused: bool = False
    whole: bool = False

    def begin_window(self, now_ms: int) -> None:
        self.window_ms = now_ms
        self.window_bytes = 0


@final
class IntakeBudget:
    """Count the bytes that callers make a process hold."""

    def __init__(self, limit_bytes: int) -> None:
        self._holders: dict[HolderId, _Holder] = {}
        self._owned: dict[str | None, int] = {}
        self._next = 0
        self._short_until_ms = 0
        self._stalled_since_ms: int | None = None
        self.limit_bytes = limit_bytes
        self.held_bytes = 0

    @property
    def largest_bytes(self) -> int:
        """Return the size of the largest holder."""
        return max((each.size for each in self._holders.values()), default=0)

    @property
    def paused(self) -> bool:
        """Return whether a holder waits for memory."""
        return any(each.paused for each in self._holders.values())

    def short(self, now_ms: int) -> bool:
        """Return whether holders have to yield to others."""
        return now_ms < self._short_until_ms or self.paused

    def open(self, owner: str | None, now_ms: int) -> HolderId:
        """Add a holder; owner is None until its customer is known."""
        holder_id = HolderId(self._next)
        self._next += 1
        self._holders[holder_id] = _Holder(
            owner, 0, large=False, window_ms=now_ms
        )
        self._add(self._holders[holder_id], HOLDER_OVERHEAD)
        return holder_id

    def identify(
        self, holder_id: HolderId, owner: str | None, length: int | None
    ) -> None:
        """Count a holder for a customer; length is None if not announced."""
        holder = self._holders.get(holder_id)
        if holder is not None:
            size = holder.size
            self._add(holder, -size)
            holder.owner = owner
            holder.large = length is None or length > _SMALL_BYTES
            self._add(holder, size)

    def grow(
        self, holder_id: HolderId, size: int, now_ms: int
    ) -> IntakeVerdict:
        """Count received bytes of a holder and decide how it goes on.

        The bytes of a refused holder are not counted; it is to be closed.
        """
        holder = self._holders.get(holder_id)
        if holder is None or not self._fits(holder, size):
            self._short_until_ms = now_ms + _SHORT_MS
            return IntakeVerdict.REFUSE
        self._add(holder, size)
        holder.window_bytes += size
        holder.paused = holder.large and self._room(holder) < RESUME_BYTES
        if holder.paused:
            return IntakeVerdict.PAUSE
        return IntakeVerdict.CONTINUE

    def complete(self, holder_id: HolderId) -> None:
        """Note that nothing more arrives for a holder; it keeps its bytes."""
        holder = self._holders.get(holder_id)
        if holder is not None:
            holder.whole = True
            holder.paused = False

    def close(self, holder_id: HolderId) -> None:
        """Remove a holder; repeated calls have no effect."""
        holder = self._holders.pop(holder_id, None)
        if holder is not None:
            self._add(holder, -holder.size)

    def resume(self, now_ms: int) -> tuple[HolderId, ...]:
        """Return the paused holders that go on, the oldest ones first."""
        resumed = []
        granted: dict[str | None, int] = {}
        for holder_id, holder in self._holders.items():
            if not holder.paused:
                continue
            total = sum(granted.values())
            mine = granted.get(holder.owner, 0)
            if self._room(holder, total, mine) < RESUME_BYTES:
                continue
            granted[holder.owner] = mine + RESUME_BYTES
            holder.paused = False
            # The time of the pause is not held against it.
            holder.begin_window(now_ms)
            resumed.append(holder_id)
        return tuple(resumed)

    def relieve(self, now_ms: int) -> tuple[Relieved, ...]:
        """Return the holders to close so that others can go on.

        Only while the budget is short: those that arrive below the minimum
        rate, the largest first, or else the largest paused one.
        """
        slow = self._slow(now_ms)
        if not self.short(now_ms):
            self._stalled_since_ms = None
            return ()
        chosen = []
        freed = 0
        for holder_id in slow:
            if freed >= self.limit_bytes // _RELIEF_DIVISOR:
                break
            chosen.append(Relieved(holder_id, RelievedReason.SLOW))
            freed += self._holders[holder_id].size
        return tuple(chosen) or self._largest_stalled(now_ms)

    def _largest_stalled(self, now_ms: int) -> tuple[Relieved, ...]:
        stalled = [key for key, each in self._holders.items() if each.paused]
        moving = any(
            each.window_bytes and not (each.paused or each.whole)
            for each in self._holders.values()
        )
        if not stalled or moving:
            self._stalled_since_ms = None
            return ()
        if self._stalled_since_ms is None:
            self._stalled_since_ms = now_ms
        if now_ms - self._stalled_since_ms < _STALL_MS:
            return ()
        largest = max(stalled, key=lambda key: self._holders[key].size)
        return (Relieved(largest, RelievedReason.STALLED),)

    def _slow(self, now_ms: int) -> list[HolderId]:
        """Return holders below the minimum rate and begin new windows."""
        found = []
        for holder_id, holder in self._holders.items():
            if holder.paused or holder.whole:
                continue
            took_ms = now_ms - holder.window_ms
            if took_ms < _RATE_WINDOW_MS:
                continue
            expected = MIN_RATE_BYTES_PER_S * took_ms // _MS_PER_S
            if holder.window_bytes < expected:
                found.append(holder_id)
            holder.begin_window(now_ms)
        found.sort(key=lambda key: -self._holders[key].size)
        return found

    def _fits(self, holder: _Holder, size: int) -> bool:
        """Return whether received bytes of a holder may be kept."""
        extra = _PAUSED_EXTRA if holder.large else _SMALL_EXTRA
        beyond = int(self.limit_bytes * extra)
        if holder.owner is None and not holder.large:
            beyond = 0
        total = self.limit_bytes
        if holder.large:
            total = int(self.limit_bytes * (_LARGE_SHARE + _PAUSED_EXTRA))
        owned = self._owned[holder.owner] + size
        return (
            self.held_bytes + size <= total
            and owned <= self._share(holder.owner) + beyond
        )

    def _room(self, holder: _Holder, granted: int = 0, mine: int = 0) -> int:
        """Return how much more large holders of an owner may take."""
        large = int(self.limit_bytes * _LARGE_SHARE)
        return min(
            large - self.held_bytes - granted,
            self._share(holder.owner) - self._owned[holder.owner] - mine,
        )

    def _share(self, owner: str | None) -> int:
        part = _UNKNOWN_SHARE if owner is None else _CUSTOMER_SHARE
        return max(_MIN_SHARE, int(self.limit_bytes * part))

    def _add(self, holder: _Holder, size: int) -> None:
        holder.size += size
        self.held_bytes += size
        owned = self._owned.get(holder.owner, 0) + size
        if owned or size >= 0:
            self._owned[holder.owner] = owned
        else:
            del self._owned[holder.owner]
