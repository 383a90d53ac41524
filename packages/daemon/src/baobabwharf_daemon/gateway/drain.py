"""Shut down gracefully: refuse new requests and finish running ones."""

import asyncio
from typing import Protocol

from baobabwharf_core.clock import Clock
from baobabwharf_core.refusals import Refusal, RefusalCode
from baobabwharf_core.statechart import load_chart
from baobabwharf_decisions.drain_rule import may_start

from baobabwharf_daemon.interfaces import MembershipView
from baobabwharf_daemon.log import get_logger

_CHART = load_chart('drain')
_log = get_logger('gateway')
# Callers may cache the list of entry VMs for 1 s, and other VMs learn by gossip
# that this one leaves.  Until then new requests are refused as not executed;
# if the listener were closed at once, their connections would break.
LEAVE_PROPAGATION_MS = 1500
# An error event takes at most 0.2 s per caller; this leaves room for all.
CUT_OFF_TIMEOUT_S = 1
_MS_PER_S = 1000


class Drainable(Protocol):
    """Provide a wait for running work that a drain must finish."""

    async def wait_idle(self) -> None:
        """Wait until no work is running."""


class CallerRequests(Drainable, Protocol):
    """Provide requests that a drain can refuse or cut off."""

    def refuse_late(self, drain_end_ms: int) -> None:
        """Refuse waiting requests that may outlast the drain."""

    def cut_off(self) -> None:
        """End all requests with an explicit error."""


class Drain:
    """Drain this VM; the states are those of the drain state chart."""

    def __init__(
        self,
        membership: MembershipView,
        requests: CallerRequests,
        background_work: tuple[Drainable, ...],
        deadline_ms: int,
        clock: Clock,
    ) -> None:
        self._membership = membership
        self._requests = requests
        self._running = (requests, *background_work)
        self._deadline_ms = deadline_ms
        self._clock = clock
        self._end_ms: int | None = None
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

    def check_start(self, deadline_ms: int) -> Refusal | None:
        """Return a refusal if a request could outlast a running drain."""
        deadline_at_ms = self._clock.now_ms() + deadline_ms
        if may_start(self._end_ms, deadline_at_ms):
            return None
        return Refusal(RefusalCode.VM_STOPPING, retry_after_ms=0)

    def request_stop(self) -> None:
        """Start the drain; a second call ends it early."""
        if self._requested.is_set():
            self._stop_repeated.set()
            return
        self._step('stop_requested')
        self._end_ms = self._clock.now_ms() + self._deadline_ms
        self._requested.set()
        self._membership.announce_leaving()
        self._requests.refuse_late(self._end_ms)

    async def wait(self) -> None:
        """Wait for the end of running work, the deadline or a second stop."""
        await self._requested.wait()
        finished = asyncio.ensure_future(self._all_idle())
        repeated = asyncio.ensure_future(self._stop_repeated.wait())
        done, _pending = await asyncio.wait(
            (finished, repeated),
            timeout=self._time_left_s(),
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
        if finished not in done:
            await self._cut_off()

    def mark_released(self) -> None:
        """Record that chunks, leases and leadership were released."""
        self._step('released')

    def _time_left_s(self) -> float:
        assert self._end_ms is not None
        return max(0, self._end_ms - self._clock.now_ms()) / _MS_PER_S

    async def _cut_off(self) -> None:
        self._requests.cut_off()
        try:
            async with asyncio.timeout(CUT_OFF_TIMEOUT_S):
                await self._requests.wait_idle()
        except TimeoutError:
            _log.warning('Requests still ran after they were cut off.')

    async def _all_idle(self) -> None:
        await asyncio.sleep(LEAVE_PROPAGATION_MS / _MS_PER_S)
        for work in self._running:
            await work.wait_idle()

    def _step(self, event: str) -> None:
        self._state = _CHART.step(self._state, event)
