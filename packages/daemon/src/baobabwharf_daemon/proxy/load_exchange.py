"""Exchange endpoint loads with the other proxies of the region."""

from typing import final

import msgspec
from baobabwharf_core.codec import decode, encode
from baobabwharf_core.fleet_config import VmRecord
from baobabwharf_core.ids import EndpointId, VmId
from baobabwharf_core.input_types import ExactInteger
from baobabwharf_decisions.membership.proxy_vms import forwarding_vms_of
from baobabwharf_decisions.proxying.endpoint_load import LoadShare

from baobabwharf_daemon.interfaces import MembershipView
from baobabwharf_daemon.proxy.datagrams import DatagramTask
from baobabwharf_daemon.proxy.load_tracker import LoadTracker
from baobabwharf_daemon.proxy.relay_mode import RelayMode

# An engine reads only a few prompts in this time, so proxies rarely choose the
# same endpoint on outdated loads.
_PERIOD_S = 0.04
# Grows with the number of VMs, so that each one sends about 50 datagrams per
# second.
_PERIOD_PER_VM_S = 0.02
# While there is nothing to send, only expired shares are dropped.
_IDLE_S = 0.5
# An unchanged load is sent again every so many periods, as datagrams get lost.
_REPEAT_PERIODS = 8
# Shares of a stopped or partitioned VM are dropped after this time.
_EXPIRY_MS = 1500


class LoadReport(msgspec.Struct, frozen=True):
    """Report the load shares of one VM; a lower sequence is older."""

    vm_id: VmId
    sequence: ExactInteger
    shares: dict[EndpointId, LoadShare]


@final
class LoadExchange(DatagramTask):
    """Send this VM's load shares to its region and receive the others."""

    def __init__(
        self,
        own: VmRecord,
        port: int,
        loads: LoadTracker,
        members: MembershipView,
        mode: RelayMode,
        start_ms: int,
    ) -> None:
        super().__init__(own, port)
        self._loads = loads
        self._members = members
        self._mode = mode
        self._sequence = start_ms
        self._newest: dict[VmId, int] = {}
        self._last_sent: dict[EndpointId, LoadShare] = {}
        self._unchanged = 0

    def handle_datagram(self, content: bytes, host: str) -> None:
        """Apply the report of another VM unless it is outdated."""
        report = decode(content, LoadReport)
        if self._mode.active:
            return
        if self._newest.get(report.vm_id, -1) < report.sequence:
            self._newest[report.vm_id] = report.sequence
            self._loads.update_shares(report.vm_id, report.shares)

    def send_due(self) -> float:
        """Send this VM's shares if they changed or a repeat is due."""
        self._loads.drop_stale(_EXPIRY_MS)
        if self._mode.active:
            return _IDLE_S
        shares = self._loads.own_shares()
        if not shares and not self._last_sent and self._own.has_disk:
            # A disk VM proxies requests only while entry VMs are missing.
            return _IDLE_S
        live = self._members.live_vms()
        hosts = self.other_hosts(forwarding_vms_of(live, self._own.region))
        self._unchanged = (
            self._unchanged + 1 if shares == self._last_sent else 0
        )
        if hosts and not self._unchanged % _REPEAT_PERIODS:
            self._last_sent = shares
            self._sequence += 1
            report = LoadReport(self._own.vm_id, self._sequence, shares)
            self.send(encode(report), hosts)
        return max(_PERIOD_S, _PERIOD_PER_VM_S * len(hosts))
