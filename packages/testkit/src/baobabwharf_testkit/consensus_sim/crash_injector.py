"""Crash, restart and slow down replicas."""

from functools import partial
from typing import final

from baobabwharf_testkit.consensus_sim.event_scheduler import Timeline
from baobabwharf_testkit.consensus_sim.node import SimNode


@final
class Crashes:
    """Stop replicas so that unsynced records are lost."""

    def __init__(self, timeline: Timeline, nodes: list[SimNode]) -> None:
        self._timeline = timeline
        self._nodes = nodes
        self._calm = False

    def calm(self) -> None:
        """Start everything that is down, and crash nothing any more."""
        self._calm = True
        for node in self._nodes:
            node.sync_spread_ms = 3.0
            self._restart(node)

    def crash(self) -> None:
        """Crash one replica, often a leader, for up to 1.5 s."""
        node = self._choose()
        if node.core is not None:
            node.crash()
            self._restart_later(node)

    def crash_all(self) -> None:
        """Crash every replica; each returns at its own time."""
        for node in self._nodes:
            if node.core is not None:
                node.crash()
                self._restart_later(node)

    def blink(self) -> None:
        """Restart every replica at once, as after a short power loss."""
        for node in self._nodes:
            if node.core is not None:
                node.crash()
                pause_ms = 1 + self._timeline.random.random() * 40
                self._timeline.after(pause_ms, partial(self._restart, node))

    def blink_one(self, node: SimNode) -> None:
        """Restart one replica at once."""
        if node.core is not None and not self._calm:
            node.crash()
        self._restart(node)

    def slow_disks(self) -> None:
        """Change how long a sync takes, up to 300 ms."""
        spread_ms = self._timeline.random.choice((3.0, 40.0, 300.0))
        for node in self._nodes:
            node.sync_spread_ms = spread_ms

    def _restart_later(self, node: SimNode) -> None:
        pause_ms = 20 + self._timeline.random.random() * 1500
        self._timeline.after(pause_ms, partial(self._restart, node))

    def _restart(self, node: SimNode) -> None:
        if node.core is None and not node.lost:
            node.start()

    def _choose(self) -> SimNode:
        leading = [node for node in self._nodes if node.leads]
        if not leading or self._timeline.chance(50):
            leading = self._nodes
        return self._timeline.random.choice(leading)
