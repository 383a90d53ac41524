"""Aggregate the endpoint loads that the VMs of a region report.

A relay holds the last report of each VM and answers with the sum of all others.
If each VM reported to every other one, the loads would be half a second old or
their exchange would cost more than the requests.

The load is dozens of VMs that place requests at the same engines.
"""

from collections.abc import Mapping
from typing import final

from baobabwharf_core.ids import EndpointId, VmId

from baobabwharf_decisions.proxying.endpoint_load import NO_LOAD, LoadShare


@final
class LoadRelay:
    """Sum the load shares of the VMs that report to this relay."""

    def __init__(self) -> None:
        self._shares: dict[VmId, Mapping[EndpointId, LoadShare]] = {}
        self._reported_ms: dict[VmId, int] = {}
        self._totals: dict[EndpointId, LoadShare] = {}

    def replace_shares(
        self, vm_id: VmId, shares: Mapping[EndpointId, LoadShare], now_ms: int
    ) -> None:
        """Replace the shares of a VM; endpoints not named have no load."""
        self._reported_ms[vm_id] = now_ms
        before = self._shares.get(vm_id, {})
        self._shares[vm_id] = shares
        for endpoint_id in before.keys() | shares.keys():
            old = before.get(endpoint_id, NO_LOAD)
            new = shares.get(endpoint_id, NO_LOAD)
            self._replace_in_total(endpoint_id, old, new)

    def total_without(self, vm_id: VmId) -> dict[EndpointId, LoadShare]:
        """Return the total load of all VMs except one."""
        own = self._shares.get(vm_id, {})
        sums = {
            endpoint_id: _subtract(total, own.get(endpoint_id, NO_LOAD))
            for endpoint_id, total in self._totals.items()
        }
        return {
            endpoint_id: share
            for endpoint_id, share in sums.items()
            if share != NO_LOAD
        }

    def drop_silent_vms(self, silence_timeout_ms: int, now_ms: int) -> None:
        """Drop VMs that did not report within the timeout."""
        for vm_id, reported_ms in tuple(self._reported_ms.items()):
            if now_ms - reported_ms > silence_timeout_ms:
                self.replace_shares(vm_id, {}, now_ms)
                self._reported_ms.pop(vm_id)
                self._shares.pop(vm_id)

    def _replace_in_total(
        self, endpoint_id: EndpointId, old: LoadShare, new: LoadShare
    ) -> None:
        total = self._totals.get(endpoint_id, NO_LOAD)
        changed = _add(_subtract(total, old), new)
        if changed == NO_LOAD:
            self._totals.pop(endpoint_id, None)
        else:
            self._totals[endpoint_id] = changed


def _add(left: LoadShare, right: LoadShare) -> LoadShare:
    return LoadShare(
        left.running + right.running,
        left.unread_tokens + right.unread_tokens,
        left.recent_tokens + right.recent_tokens,
        left.burst_tokens + right.burst_tokens,
    )


def _subtract(left: LoadShare, right: LoadShare) -> LoadShare:
    return LoadShare(
        left.running - right.running,
        left.unread_tokens - right.unread_tokens,
        left.recent_tokens - right.recent_tokens,
        left.burst_tokens - right.burst_tokens,
    )
