"""Crash, restart and slow down replicas."""

from functools import partial
from typing import final

from baobabwharf_testkit.consensus_sim.event_scheduler import EventScheduler
from baobabwharf_testkit.consensus_sim.node import SimNode


@final
class CrashInjector:
    """Crash and restart replicas; a crash loses unsynced disk requests."""

    def __init__(self, scheduler: EventScheduler, nodes: list[SimNode]) -> None:
        self._scheduler = scheduler
        self._nodes = nodes
        self._stopped = False

    def stop_faults(self) -> None:
        """Restart all replicas that are down, and crash none from now on."""
        self._stopped = True
        for node in self._nodes:
            node.max_sync_ms = 3.0
            self._restart(node)

    def crash(self) -> None:
        """Crash one replica, often a leader, for up to about 1.5 s."""
        node = self._choose()
        if node.core is not None:
            node.crash()
            self._restart_later(node)

    def crash_all(self) -> None:
        """Crash every replica; each restarts after its own delay."""
        for node in self._nodes:
            if node.core is not None:
                node.crash()
                self._restart_later(node)

    def restart_all(self) -> None:
        """Restart every replica within about 40 ms, as after a power loss."""
        for node in self._nodes:
            if node.core is not None:
                node.crash()
                pause_ms = 1 + self._scheduler.random.random() * 40
                self._scheduler.call_later(
                    pause_ms, partial(self._restart, node)
                )

    def restart_one(self, node: SimNode) -> None:
        """Restart one replica immediately."""
        if node.core is not None and not self._stopped:
            node.crash()
        self._restart(node)

    def slow_disks(self) -> None:
        """Choose a maximum sync duration for all disks, up to 300 ms."""
        max_sync_ms = self._scheduler.random.choice((3.0, 40.0, 300.0))
        for node in self._nodes:
            node.max_sync_ms = max_sync_ms

    def _restart_later(self, node: SimNode) -> None:
        pause_ms = 20 + self._scheduler.random.random() * 1500
        self._scheduler.call_later(pause_ms, partial(self._restart, node))

    def _restart(self, node: SimNode) -> None:
        if node.core is None and not node.disk_lost:
            node.start()

    def _choose(self) -> SimNode:
        leaders = [node for node in self._nodes if node.leads]
        if not leaders or self._scheduler.chance(50):
            leaders = self._nodes
        return self._scheduler.random.choice(leaders)
