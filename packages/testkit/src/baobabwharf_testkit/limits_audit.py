"""Check granted tokens exactly against the bound of every time window."""

from typing import final

import msgspec


class SpendEvent(msgspec.Struct):
    """Record tokens that count as spent from the time of their grant."""

    at_us: int
    tokens: int


class CapPeriod(msgspec.Struct, frozen=True):
    """Hold the rate and burst that apply from a time on."""

    from_us: int
    rate: int
    burst: int


@final
class Audit:
    """Replay all spending against one virtual bucket.

    The bucket is never overdrawn if no window is above its bound.

    A token per second is one micro-token per microsecond, so all sums are
    exact integers.
    """

    def __init__(self, caps: tuple[CapPeriod, ...]) -> None:
        self._caps = caps
        self.spent: list[SpendEvent] = []
        self._processed = 0
        self._current_us = 0
        self._current_level = caps[0].burst * 1_000_000

    def max_overdraft(self) -> int:
        """Return the most micro-tokens above burst + rate x window."""
        level = self._caps[0].burst * 1_000_000
        last_us = 0
        max_overdrawn = 0
        for event in self._events_with_boundaries():
            level = self._advance_level(level, last_us, event)
            last_us = event.at_us
            max_overdrawn = max(max_overdrawn, -level)
        return max_overdrawn

    def level_at(self, now_us: int) -> int:
        """Return the level of the virtual bucket; calls must be in time order."""
        boundaries = [
            SpendEvent(cap.from_us, 0)
            for cap in self._caps
            if self._current_us < cap.from_us <= now_us
        ]
        events = [
            *self.spent[self._processed :],
            *boundaries,
            SpendEvent(now_us, 0),
        ]
        for event in sorted(events, key=lambda event: event.at_us):
            self._current_level = self._advance_level(
                self._current_level, self._current_us, event
            )
            self._current_us = event.at_us
        self._processed = len(self.spent)
        return self._current_level

    def highest_ratio(self) -> float:
        """Return the highest ratio of tokens spent in a window to its bound."""
        cap = self._caps[0]
        events = [
            event for event in self._events_with_boundaries() if event.tokens
        ]
        highest = 0.0
        for start, first in enumerate(events):
            total = 0
            for event in events[start:]:
                total += event.tokens
                window_us = event.at_us - first.at_us
                bound = cap.burst * 1_000_000 + cap.rate * window_us
                highest = max(highest, total * 1_000_000 / bound)
        return highest

    def _advance_level(
        self, level: int, last_us: int, event: SpendEvent
    ) -> int:
        rate = self._cap_at(last_us).rate
        refilled = level + rate * (event.at_us - last_us)
        burst = self._cap_at(event.at_us).burst
        return min(refilled, burst * 1_000_000) - event.tokens * 1_000_000

    def _events_with_boundaries(self) -> list[SpendEvent]:
        boundaries = [SpendEvent(cap.from_us, 0) for cap in self._caps]
        return sorted([*self.spent, *boundaries], key=lambda event: event.at_us)

    def _cap_at(self, at_us: int) -> CapPeriod:
        active = self._caps[0]
        for cap in self._caps:
            if cap.from_us <= at_us:
                active = cap
        return active
