"""Choose the VM that places requests for the others of its region.

All VMs rank the same candidates in the same order.  One that does not answer is
skipped for a while; meanwhile requests are placed by the next one, or by the
asking VM itself.
"""

from collections.abc import Sequence
from typing import final

from baobabwharf_core.ids import VmId

# Consecutive asks without an answer; a single datagram may be lost.
_MAX_TIMEOUTS = 3
# About the time in which membership notices that a VM is gone.
_SKIP_MS = 1500


@final
class PlacingVm:
    """Hold which candidates answer."""

    def __init__(self) -> None:
        self._timeouts: dict[VmId, int] = {}
        self._skip_until_ms: dict[VmId, int] = {}

    def choose(self, ranked: Sequence[VmId], now_ms: int) -> VmId | None:
        """Return the first candidate that is not skipped, if there is one."""
        return next(
            (
                vm_id
                for vm_id in ranked
                if self._skip_until_ms.get(vm_id, 0) <= now_ms
            ),
            None,
        )

    def note_answer(self, vm_id: VmId) -> None:
        """Record that a VM answered."""
        self._timeouts.pop(vm_id, None)

    def note_timeout(self, vm_id: VmId, now_ms: int) -> None:
        """Record that a VM did not answer in time."""
        timeouts = self._timeouts.get(vm_id, 0) + 1
        self._timeouts[vm_id] = timeouts
        if timeouts >= _MAX_TIMEOUTS:
            self._timeouts.pop(vm_id)
            self._skip_until_ms[vm_id] = now_ms + _SKIP_MS
