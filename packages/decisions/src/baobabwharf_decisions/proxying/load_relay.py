"""Sum what the VMs of a region have running at its endpoints.

Load pattern: dozens of VMs place requests at the same engines.  Told by each
VM to each other one, the loads would be half a second old or cost more than
the requests.  A relay holds what each VM told last and answers with the sum
of all others.
"""

from collections.abc import Mapping
from typing import final

from baobabwharf_core.ids import EndpointId, VmId

from baobabwharf_decisions.proxying.endpoint_load import NO_LOAD, LoadShare


@final
class LoadRelay:
    """Hold the shares of the VMs that rely on this relay."""

    def __init__(self) -> None:
        self._shares: dict[VmId, Mapping[EndpointId, LoadShare]] = {}
        self._heard_ms: dict[VmId, int] = {}
        self._totals: dict[EndpointId, LoadShare] = {}

    def hear(
        self, vm_id: VmId, shares: Mapping[EndpointId, LoadShare], now_ms: int
    ) -> None:
        """Replace what a VM has; what it does not name it does not have."""
        self._heard_ms[vm_id] = now_ms
        before = self._shares.get(vm_id, {})
        self._shares[vm_id] = shares
        for endpoint_id in before.keys() | shares.keys():
            gone = before.get(endpoint_id, NO_LOAD)
            come = shares.get(endpoint_id, NO_LOAD)
            self._change(endpoint_id, gone, come)

    def total_without(self, vm_id: VmId) -> dict[EndpointId, LoadShare]:
        """Return the sums of all VMs but one."""
        own = self._shares.get(vm_id, {})
        sums = {
            endpoint_id: _less(total, own.get(endpoint_id, NO_LOAD))
            for endpoint_id, total in self._totals.items()
        }
        return {
            endpoint_id: share
            for endpoint_id, share in sums.items()
            if share != NO_LOAD
        }

    def forget_silent(self, silent_ms: int, now_ms: int) -> None:
        """Drop VMs that told nothing for too long."""
        for vm_id, heard_ms in tuple(self._heard_ms.items()):
            if now_ms - heard_ms > silent_ms:
                self.hear(vm_id, {}, now_ms)
                self._heard_ms.pop(vm_id)
                self._shares.pop(vm_id)

    def _change(
        self, endpoint_id: EndpointId, gone: LoadShare, come: LoadShare
    ) -> None:
        total = self._totals.get(endpoint_id, NO_LOAD)
        changed = _more(_less(total, gone), come)
        if changed == NO_LOAD:
            self._totals.pop(endpoint_id, None)
        else:
            self._totals[endpoint_id] = changed


def _more(one: LoadShare, other: LoadShare) -> LoadShare:
    return LoadShare(
        one.running + other.running,
        one.unread_tokens + other.unread_tokens,
        one.recent_tokens + other.recent_tokens,
        one.burst_tokens + other.burst_tokens,
    )


def _less(one: LoadShare, other: LoadShare) -> LoadShare:
    return LoadShare(
        one.running - other.running,
        one.unread_tokens - other.unread_tokens,
        one.recent_tokens - other.recent_tokens,
        one.burst_tokens - other.burst_tokens,
    )
