"""Simulate VMs with drifting clocks and a faulty network."""

import heapq
import random
from collections.abc import Callable
from typing import final

_US_PER_MS = 1000
_PPM = 1_000_000
_Event = tuple[int, int, Callable[[], None]]
MAX_DRIFT_PPM = 9900  # just within the bound of 1%


@final
class VmClock:
    """Convert true time to the time of one VM's clock."""

    def __init__(self, drift_ppm: int, offset_us: int) -> None:
        self._drift_ppm = drift_ppm
        self._offset_us = offset_us

    def read_ms(self, now_us: int) -> int:
        """Return the VM's time in whole ms."""
        local_us = now_us * (_PPM + self._drift_ppm) // _PPM
        return (local_us + self._offset_us) // _US_PER_MS


@final
class Simulation:
    """Run events in order of true time, in microseconds."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now_us = 0
        self._events: list[_Event] = []
        self._scheduled = 0

    def call_at(self, time_us: int, action: Callable[[], None]) -> None:
        """Schedule an action at a time."""
        self._scheduled += 1
        heapq.heappush(self._events, (time_us, self._scheduled, action))

    def call_later(self, delay_us: int, action: Callable[[], None]) -> None:
        """Schedule an action after a delay."""
        self.call_at(self.now_us + delay_us, action)

    def run(self, until_us: int) -> None:
        """Run all events up to a time."""
        while self._events and self._events[0][0] <= until_us:
            event = heapq.heappop(self._events)
            self.now_us = event[0]
            event[2]()


@final
class Network:
    """Deliver messages with delay, loss, duplicates and partitions."""

    def __init__(
        self,
        simulation: Simulation,
        regions: dict[str, str],
        loss_probability: float,
        disorder_probability: float,
    ) -> None:
        self._simulation = simulation
        self._regions = regions
        self._loss_probability = loss_probability
        # That a message is duplicated, and that it arrives seconds late.
        self._disorder_probability = disorder_probability
        self.partitioned_regions: frozenset[str] = frozenset()

    def send(self, source: str, to: str, action: Callable[[], None]) -> None:
        """Deliver a message unless it is lost or crosses a partition."""
        rng = self._simulation.rng
        if (
            self._is_partitioned(source, to)
            or rng.random() < self._loss_probability
        ):
            return
        self._simulation.call_later(self._delay_us(source, to), action)
        if rng.random() < self._disorder_probability:
            self._simulation.call_later(rng.randrange(5_000_000), action)

    def _is_partitioned(self, source: str, to: str) -> bool:
        here, there = self._regions[source], self._regions[to]
        return (here in self.partitioned_regions) != (
            there in self.partitioned_regions
        )

    def _delay_us(self, source: str, to: str) -> int:
        rng = self._simulation.rng
        if rng.random() < self._disorder_probability:
            return rng.randrange(5_000_000)
        if self._regions[source] == self._regions[to]:
            return rng.randrange(1_000, 4_000)
        return rng.randrange(25_000, 40_000)
