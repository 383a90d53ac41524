"""Shut down gracefully: refuse new requests and finish running ones."""

import asyncio
from typing import Protocol

from baobabwharf_core.statechart import load_chart

from baobabwharf_daemon.interfaces import MembershipView

_CHART = load_chart('drain')
# Callers may cache the list of entry VMs for 1 s, and other VMs learn by gossip
# that this one leaves.  Until then new requests are refused as not executed;
# if the listener were closed at once, their connections would break.
LEAVE_PROPAGATION_MS = 1500
_MS_PER_S = 1000


class Drainable(Protocol):
    """Provide a wait for running work that a drain must finish."""

    async def wait_idle(self) -> None:
        """Wait until no work is running."""


class Drain:
    """Drain this VM; the states are those of the drain state chart."""

    def __init__(
        self,
        membership: MembershipView,
        running: tuple[Drainable, ...],
        deadline_ms: int,
    ) -> None:
        self._membership = membership
        self._running = running
        self._deadline_s = deadline_ms / _MS_PER_S
        self._state = _CHART.initial
        self._requested = asyncio.Event()
        self._stop_repeated = asyncio.Event()

    @property
    def state(self) -> str:
        """Return the current state in the chart."""
        return self._state

    @property
    def stopping(self) -> bool:
        """Return whether new requests are refused."""
        return self._state != _CHART.initial

    def request_stop(self) -> None:
        """Start the drain; a second call ends it early."""
        if self._requested.is_set():
            self._stop_repeated.set()
            return
        self._step('stop_requested')
        self._requested.set()
        self._membership.announce_leaving()

    async def wait(self) -> None:
        """Wait for the end of running work, the deadline or a second stop."""
        await self._requested.wait()
        finished = asyncio.ensure_future(self._all_idle())
        repeated = asyncio.ensure_future(self._stop_repeated.wait())
        done, _pending = await asyncio.wait(
            (finished, repeated),
            timeout=self._deadline_s,
            return_when=asyncio.FIRST_COMPLETED,
        )
        if finished in done:
            self._step('work_finished')
        else:
            self._step(
                'stop_requested' if repeated in done else 'deadline_passed'
            )
        finished.cancel()
        repeated.cancel()

    def mark_released(self) -> None:
        """Record that chunks, leases and leadership were released."""
        self._step('released')

    async def _all_idle(self) -> None:
        await asyncio.sleep(LEAVE_PROPAGATION_MS / _MS_PER_S)
        for work in self._running:
            await work.wait_idle()

    def _step(self, event: str) -> None:
        self._state = _CHART.step(self._state, event)
