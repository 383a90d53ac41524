"""Bound repeated sends so that their sum over all VMs stays in the budget.

Load pattern: endpoints fail under load and every VM repeats at once.  Each VM
repeats at most a share of the requests that it has itself taken, so the sum
over all VMs is at most that share of all requests, whatever VMs know of each
other.
"""

from typing import final

from baobabwharf_core.ids import ServiceId

# Half of the users' retry ratio: a forwarded request is counted at two VMs.
SHARE = 0.1
# Repeats that a VM may save up; ten VMs together stay below the users' slack.
MAX_SAVED = 4.0


@final
class RetryShare:
    """Earn repeats with requests and spend them one by one."""

    def __init__(self) -> None:
        self._saved: dict[ServiceId, float] = {}

    def note_request(self, service: ServiceId) -> None:
        """Count a request that this VM has taken."""
        saved = self._saved.get(service, MAX_SAVED / 2) + SHARE
        self._saved[service] = min(MAX_SAVED, saved)

    def take(self, service: ServiceId) -> bool:
        """Take the right to one repeat, if there is one."""
        saved = self._saved.get(service, 0)
        if saved < 1:
            return False
        self._saved[service] = saved - 1
        return True
