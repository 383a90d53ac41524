"""Correct the estimated queues of engines by when first events come.

An event that is overdue tells as much as one that came late, and earlier: while
an engine falls behind, or has crashed, no events arrive that could tell.

Load pattern: a peak in which engines have work that the placing VM has not
granted, or lose a part of their speed.
"""

from collections import deque
from collections.abc import Iterable
from typing import final

import msgspec

from baobabwharf_decisions.proxying.endpoint_load import (
    Candidate,
    EndpointLoad,
)


class AwaitedEvent(msgspec.Struct):
    """Hold when the first event of a request is expected."""

    load: EndpointLoad
    sent_ms: int
    expected_ms: float
    # Corrections of the queue until the estimate.
    corrected_ms: float
    settled: bool = False


@final
class AwaitedEvents:
    """Hold the requests of each engine that have no first event yet."""

    def __init__(self) -> None:
        self._awaited: dict[EndpointLoad, deque[AwaitedEvent]] = {}

    def add(
        self, load: EndpointLoad, expected_ms: float, now_ms: int
    ) -> AwaitedEvent:
        """Await the first event of a request that is sent now."""
        corrected_ms = load.profile.queue.corrected_ms
        event = AwaitedEvent(load, now_ms, expected_ms, corrected_ms)
        self._awaited.setdefault(load, deque()).append(event)
        return event

    def settle(
        self, event: AwaitedEvent, first_event_ms: int | None, now_ms: int
    ) -> None:
        """Correct by an observed time; None if the request ended without."""
        if event.settled:
            return
        event.settled = True
        if first_event_ms is not None:
            _correct(event, first_event_ms, now_ms)

    def check_overdue(
        self, candidates: Iterable[Candidate], now_ms: int
    ) -> None:
        """Correct the queues of engines whose oldest event is overdue."""
        for candidate in candidates:
            awaited = self._awaited.get(candidate.load)
            while awaited and awaited[0].settled:
                awaited.popleft()
            if awaited:
                waited_ms = now_ms - awaited[0].sent_ms
                if waited_ms > awaited[0].expected_ms:
                    _correct(awaited[0], waited_ms, now_ms)
            elif awaited is not None:
                self._awaited.pop(candidate.load)


def _correct(event: AwaitedEvent, waited_ms: int, now_ms: int) -> None:
    speed = event.load.speed(now_ms).prefill_tokens_per_ms
    queue = event.load.profile.queue
    queue.advance(speed, now_ms)
    queue.correct(waited_ms - event.expected_ms, event.corrected_ms, speed)
