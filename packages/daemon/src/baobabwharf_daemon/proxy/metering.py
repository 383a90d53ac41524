"""Enforce the rates of customers jointly with the other entry VMs."""

from typing import final

from baobabwharf_core.clock import Clock
from baobabwharf_core.codec import decode, encode
from baobabwharf_core.fleet_config import VmRecord
from baobabwharf_core.ids import CustomerId, VmId
from baobabwharf_core.refusals import Refusal, RefusalCode
from baobabwharf_core.requests import Reservation
from baobabwharf_decisions.limits.shared_meter import SharedMeter
from baobabwharf_decisions.limits.spending import Spending
from baobabwharf_decisions.membership.proxy_vms import entry_vms
from expression import Error, Ok, Result

from baobabwharf_daemon.interfaces import (
    ConfigSource,
    LimitClient,
    MembershipView,
)
from baobabwharf_daemon.proxy.datagrams import DatagramTask
from baobabwharf_daemon.proxy.relay_mode import RelayMode

# A customer can exceed its limit by the tokens spent during one period and the
# network delay.
_PERIOD_S = 0.2
# Report period per receiving host; limits each VM to 50 datagrams per second.
_PERIOD_PER_VM_S = 0.02
# An idle VM reports only in every this many periods; without these reports it
# would count as silent.
_IDLE_REPORT_PERIODS = 2
# A VM that reported within this time gets reports even if it has left the
# fleet: a stopping VM still serves its callers.
_STOPPING_MS = 2000

# While relays carry the spending, only the mode is checked.
_RELAYED_PERIOD_S = 0.5

_MS_PER_S = 1000


@final
class Metering(DatagramTask, LimitClient):
    """Own the shared meter of this VM and exchange its spending."""

    def __init__(
        self,
        own: VmRecord,
        port: int,
        clock: Clock,
        membership: MembershipView,
        config_source: ConfigSource,
        mode: RelayMode,
    ) -> None:
        super().__init__(own, port)
        self._clock = clock
        self._membership = membership
        self._config_source = config_source
        self._mode = mode
        self._meter = SharedMeter(own.vm_id, own.incarnation)
        self._revision = -1
        self._last_number = 0
        self._idle_periods = 0
        self._last_report_ms: dict[str, int] = {}

    async def reserve(
        self, customer_id: CustomerId, tokens: int, wait_ms: int
    ) -> Result[Reservation, Refusal]:
        """Take tokens now, or refuse with the time until there are enough."""
        self._follow_config()
        taken = self._meter.spend(customer_id, tokens, self._clock.now_ms())
        if taken.is_error():
            return Error(
                Refusal(
                    RefusalCode.RATE_EXCEEDED,
                    retry_after_ms=taken.error,
                    detail=self._meter.describe(
                        customer_id, self._clock.now_ms()
                    ),
                )
            )
        self._last_number += 1
        return Ok(Reservation(self._last_number, customer_id, tokens))

    def settle(self, reservation: Reservation, used_tokens: int) -> None:
        """Give back the unused tokens of a reservation."""
        unused = reservation.tokens - used_tokens
        if unused > 0:
            self._meter.refund(reservation.customer_id, unused)

    def handle_datagram(self, content: bytes, host: str) -> None:
        """Apply the spending that another VM reports."""
        self._follow_config()
        now_ms = self._clock.now_ms()
        self._meter.apply_vm_report(decode(content, Spending), now_ms)
        self._last_report_ms[host] = now_ms

    def send_due(self) -> float:
        """Send the spending of this VM unless relays carry it."""
        if self._mode.active:
            return _RELAYED_PERIOD_S
        self._follow_config()
        self._meter.drop_relay()
        hosts = self._hosts()
        spending = self._meter.report()
        idle = self._meter.nothing_to_report
        self._idle_periods = self._idle_periods + 1 if idle else 0
        if not self._idle_periods % _IDLE_REPORT_PERIODS:
            self.send(encode(spending), sorted(hosts))
        period_s = max(_PERIOD_S, _PERIOD_PER_VM_S * len(hosts))
        self._meter.set_report_period(int(period_s * _MS_PER_S))
        return period_s

    def newest_period(self, vm_id: VmId) -> int:
        """Return the number of the newest period that a relay has reported."""
        return self._meter.newest_period(vm_id)

    def report(self) -> Spending:
        """Return the spending of this VM, for its relay."""
        self._follow_config()
        return self._meter.report()

    def apply_relay_report(self, spending: Spending, period_ms: int) -> None:
        """Apply the spending of all other VMs, as a relay reports it."""
        self._follow_config()
        self._meter.apply_relay_report(spending, self._clock.now_ms())
        self._meter.set_report_period(period_ms)

    def _hosts(self) -> set[str]:
        """Return the hosts to send to, including VMs that are stopping."""
        after_ms = self._clock.now_ms() - _STOPPING_MS
        self._last_report_ms = {
            host: at_ms
            for host, at_ms in self._last_report_ms.items()
            if at_ms > after_ms
        }
        live = self.other_hosts(entry_vms(self._membership.live_vms()))
        return self._last_report_ms.keys() | live

    def _follow_config(self) -> None:
        config = self._config_source.config
        if config.revision == self._revision:
            return
        self._revision = config.revision
        entries = [vm.vm_id for vm in entry_vms(config.vms.values())]
        self._meter.configure(config.customers, entries)
