"""Bound repeated sends so that their sum over all VMs stays in the budget.

Load pattern: endpoints fail under load and every VM repeats at once.  Each VM
repeats at most a share of the requests that it has itself taken, so the sum
over all VMs is at most that share of all requests, whatever VMs know of each
other.
"""

from typing import final

from baobabwharf_core.ids import ServiceId

# Half of the users' retry ratio: a forwarded request is counted at two VMs.
RETRY_SHARE = 0.1
# Repeats that a VM may save up; more than one only while all VMs together
# stay below the users' slack.
MAX_SAVED_RETRIES = 4.0
MAX_SAVED_RETRIES_OF_ALL_VMS = 40.0


@final
class VmRetryBudget:
    """Earn repeats with requests and spend them one by one."""

    def __init__(self) -> None:
        self._saved: dict[ServiceId, float] = {}
        self._most = MAX_SAVED_RETRIES

    def follow(self, vms: int) -> None:
        """Follow the number of VMs that repeat."""
        self._most = max(
            1.0,
            min(MAX_SAVED_RETRIES, MAX_SAVED_RETRIES_OF_ALL_VMS / max(1, vms)),
        )

    def note_request(self, service: ServiceId) -> None:
        """Count a request that this VM has taken."""
        saved = self._saved.get(service, self._most / 2) + RETRY_SHARE
        self._saved[service] = min(self._most, saved)

    def take(self, service: ServiceId) -> bool:
        """Take the right to one repeat, if there is one."""
        saved = self._saved.get(service, 0)
        if saved < 1:
            return False
        self._saved[service] = saved - 1
        return True
