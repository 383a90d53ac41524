"""Limit retries so that their sum over all VMs stays within the budget.

Each VM retries at most a fixed share of the requests that it has accepted
itself, so the retries of all VMs are at most that share of all requests,
without any coordination between VMs.

The load occurs when endpoints fail under load and every VM retries at once.
"""

from typing import final

from baobabwharf_core.ids import ServiceId

# Half of the retry ratio that the users require, since a forwarded request is
# counted at two VMs.
RETRY_SHARE = 0.1
# Retries that a VM may save up; more than one only while the sum over all VMs
# stays within the slack that the users allow.
MAX_SAVED_RETRIES = 4.0
MAX_SAVED_RETRIES_OF_ALL_VMS = 40.0


@final
class VmRetryBudget:
    """Earn a fraction of a retry per request; each retry spends one."""

    def __init__(self) -> None:
        self._saved: dict[ServiceId, float] = {}
        self._max_saved = MAX_SAVED_RETRIES

    def set_vm_count(self, vm_count: int) -> None:
        """Set the number of VMs that share the saved retries."""
        self._max_saved = max(
            1.0,
            min(
                MAX_SAVED_RETRIES,
                MAX_SAVED_RETRIES_OF_ALL_VMS / max(1, vm_count),
            ),
        )

    def note_request(self, service: ServiceId) -> None:
        """Count a request that this VM has accepted."""
        saved = self._saved.get(service, self._max_saved / 2) + RETRY_SHARE
        self._saved[service] = min(self._max_saved, saved)

    def take(self, service: ServiceId) -> bool:
        """Spend one saved retry; return False if there is none."""
        saved = self._saved.get(service, 0)
        if saved < 1:
            return False
        self._saved[service] = saved - 1
        return True
