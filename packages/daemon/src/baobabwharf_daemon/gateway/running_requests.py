"""Track running requests, to cancel those of withdrawn keys and to drain."""

import asyncio
import contextlib
from typing import Any

from baobabwharf_core.refusals import Executed, Refusal, RefusalCode
from baobabwharf_decisions.drain_rule import may_start

from baobabwharf_daemon.gateway.auth import KeyIndex
from baobabwharf_daemon.gateway.calls import Progress
from baobabwharf_daemon.interfaces import ConfigSource

# Requests in progress must end within 1 s of the withdrawal of their key.  Each
# notification of the configuration starts a check at once; the timer is a
# second safeguard.
WITHDRAWAL_CHECK_INTERVAL_S = 0.2
# The digest of requests without a key, on routes that are open to all.
NO_KEY = b''
_STOPPING = Refusal(RefusalCode.VM_STOPPING, retry_after_ms=0)


class RunningRequest:
    """Hold the task, the key digest and the progress of one request.

    The progress is None if the call goes on after its task is cancelled.
    """

    __slots__ = (
        'cancel_refusal',
        'deadline_at_ms',
        'digest',
        'progress',
        'task',
    )

    def __init__(
        self,
        digest: bytes,
        task: asyncio.Task[Any],
        deadline_at_ms: int,
        progress: Progress | None,
    ) -> None:
        self.digest = digest
        self.task = task
        self.deadline_at_ms = deadline_at_ms
        self.progress = progress
        # Set if this VM cancels the request; None if the caller disconnects.
        self.cancel_refusal: Refusal | None = None

    @property
    def executed(self) -> Executed:
        """Return whether the request may run or have run when cancelled."""
        if self.progress is None or self.progress.sent:
            return Executed.UNKNOWN
        return Executed.NO

    def cancel(self, refusal: Refusal) -> None:
        """Cancel the request with a refusal; the first one is kept."""
        if self.cancel_refusal is None:
            self.cancel_refusal = refusal
            self.task.cancel()


class RunningRequests:
    """Track running requests and cancel those of withdrawn keys."""

    def __init__(self, config_source: ConfigSource, keys: KeyIndex) -> None:
        self._config_source = config_source
        self._keys = keys
        self._running: set[RunningRequest] = set()
        self._entered = 0
        self._idle = asyncio.Event()
        self._idle.set()

    def __len__(self) -> int:
        return len(self._running)

    def enter(self) -> None:
        """Count a request from its first read on, before add() registers it."""
        self._entered += 1
        self._idle.clear()

    def leave(self) -> None:
        """Count the end of a request for which enter() was called."""
        self._entered -= 1
        self._set_if_idle()

    def add(self, running: RunningRequest) -> None:
        """Register a request when its handler starts."""
        self._running.add(running)
        self._idle.clear()

    def remove(self, running: RunningRequest) -> None:
        """Unregister a request that has ended."""
        self._running.discard(running)
        self._set_if_idle()

    async def wait_idle(self) -> None:
        """Wait until no request is being read or runs."""
        await self._idle.wait()

    def _set_if_idle(self) -> None:
        if not (self._running or self._entered):
            self._idle.set()

    async def check_keys_forever(self) -> None:
        """Cancel requests of keys as they are withdrawn, until cancelled."""
        changes = self._config_source.subscribe()
        while True:
            self.cancel_withdrawn()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(WITHDRAWAL_CHECK_INTERVAL_S):
                    await changes.get()

    def key_refusal(self, digest: bytes) -> Refusal | None:
        """Return the refusal of a key that is unknown or withdrawn by now."""
        if digest == NO_KEY:
            return None
        return self._keys.refusal_of(digest)

    def cancel_withdrawn(self) -> None:
        """Cancel the requests whose key is unknown or withdrawn by now."""
        refusals: dict[bytes, Refusal | None] = {}
        for running in self._running:
            digest = running.digest
            if digest not in refusals:
                refusals[digest] = self.key_refusal(digest)
            refusal = refusals[digest]
            if refusal is not None:
                running.cancel(refusal)

    def refuse_late(self, drain_end_ms: int) -> None:
        """Refuse waiting requests that may outlast the drain."""
        for running in self._running:
            waiting = running.executed is Executed.NO
            if waiting and not may_start(drain_end_ms, running.deadline_at_ms):
                running.cancel(_STOPPING)

    def cut_off(self) -> None:
        """End all requests with an explicit error."""
        for running in self._running:
            running.cancel(_STOPPING)
