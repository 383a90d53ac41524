"""Decide which requests a stopping VM still takes, and when it ends them.

The load is callers with cached addresses that connect to a VM during its whole
drain, with requests that may run for longer than the drain, while other VMs of
the region are stopping too.  A caller can repeat a request that is cut only if
it is repeatable.
"""

from typing import final

from baobabwharf_core.refusals import Refusal, RefusalCode

from baobabwharf_decisions.drain_rule import may_start

# Callers use a cached address for about this time after a VM has left the
# directory; refused, many would only reach another VM that is stopping.
STALE_ADDRESS_MS = 3000
# Time to write the last responses before the connections are closed.
_FLUSH_MS = 100
# No request is running for this long without a drain.
_UNLIMITED_MS = 2**53
# The request may be sent to another VM at once.
_RETRY_AFTER_MS = 0


@final
class DrainWindow:
    """Hold when the drain of this VM began and when it ends."""

    def __init__(self) -> None:
        self._ends_ms: int | None = None
        self._stale_until_ms = 0

    @property
    def stopping(self) -> bool:
        """Return whether the drain has begun."""
        return self._ends_ms is not None

    def begin(self, now_ms: int, length_ms: int) -> None:
        """Begin the drain; what still runs at its end is cut."""
        self._ends_ms = now_ms + length_ms
        self._stale_until_ms = now_ms + min(STALE_ADDRESS_MS, length_ms // 2)

    def left_ms(self, now_ms: int) -> int | None:
        """Return the time to the end of the drain, None before it begins."""
        return None if self._ends_ms is None else self._ends_ms - now_ms

    @property
    def last_answer_ms(self) -> int:
        """Return the time at which requests that still run are answered."""
        if self._ends_ms is None:
            return _UNLIMITED_MS
        return self._ends_ms - _FLUSH_MS

    def refusal(
        self,
        deadline_ms: int,
        now_ms: int,
        *,
        forwarded: bool,
        repeatable: bool,
    ) -> Refusal | None:
        """Return a refusal if the drain could cut the request.

        A request ends at its deadline at the latest.  Other VMs do not need
        the time for stale addresses: they learn by gossip that this one leaves.
        """
        if self._ends_ms is None:
            return None
        if may_start(self.last_answer_ms, deadline_ms):
            return None
        stale_address = not forwarded and now_ms < self._stale_until_ms
        if stale_address and repeatable:
            return None
        return Refusal(
            RefusalCode.VM_STOPPING,
            retry_after_ms=_RETRY_AFTER_MS,
            detail=(
                f'{self._ends_ms - now_ms} ms to the end of the drain, '
                f'{deadline_ms - now_ms} ms to the deadline'
            ),
        )
