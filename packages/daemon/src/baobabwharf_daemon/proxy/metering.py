"""Meter customers together with the other entry VMs of the fleet."""

from typing import final

from baobabwharf_core.clock import Clock
from baobabwharf_core.codec import decode, encode
from baobabwharf_core.ids import CustomerId, VmId
from baobabwharf_core.model import VmRecord
from baobabwharf_core.refusals import Refusal, RefusalCode
from baobabwharf_core.requests import Reservation
from baobabwharf_decisions.limits.shared_meter import SharedMeter
from baobabwharf_decisions.limits.spending import Spending
from baobabwharf_decisions.membership.serving import entry_vms
from expression import Error, Ok, Result

from baobabwharf_daemon.interfaces import (
    ConfigSource,
    LimitClient,
    MembershipView,
)
from baobabwharf_daemon.proxy.datagrams import DatagramTask
from baobabwharf_daemon.proxy.relay_mode import RelayMode

# What is spent in that time and on the way is the overshoot of the scheme.
_PERIOD_S = 0.2
# With more VMs each one tells less often: 50 datagrams a second a VM.
_PERIOD_PER_VM_S = 0.02
# A VM that spends nothing tells that it is still there.
_REPEAT_PERIODS = 2
# A VM that was heard so recently is told even if it has left the fleet.
_STOPPING_MS = 2000

# While relays carry the spending, only the mode is looked at.
_RELAYED_PERIOD_S = 0.5

_MS_PER_S = 1000


@final
class Metering(DatagramTask, LimitClient):
    """Own the meter of this VM."""

    def __init__(
        self,
        own: VmRecord,
        port: int,
        clock: Clock,
        members: MembershipView,
        source: ConfigSource,
        mode: RelayMode,
    ) -> None:
        super().__init__(own, port)
        self._clock = clock
        self._members = members
        self._source = source
        self._mode = mode
        self._meter = SharedMeter(own.vm_id, own.incarnation)
        self._revision = -1
        self._numbers = 0
        self._unchanged = 0
        self._heard_ms: dict[str, int] = {}

    async def reserve(
        self, customer_id: CustomerId, tokens: int, wait_ms: int
    ) -> Result[Reservation, Refusal]:
        """Spend tokens at once or tell when there are enough."""
        self._follow()
        taken = self._meter.take(customer_id, tokens, self._clock.now_ms())
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
        self._numbers += 1
        return Ok(Reservation(self._numbers, customer_id, tokens))

    def settle(self, reservation: Reservation, used_tokens: int) -> None:
        """Give back what a reservation did not use."""
        unused = reservation.tokens - used_tokens
        if unused > 0:
            self._meter.give_back(reservation.customer_id, unused)

    def take(self, content: bytes, host: str) -> None:
        """Take what another VM has spent."""
        self._follow()
        now_ms = self._clock.now_ms()
        self._meter.hear(decode(content, Spending), now_ms)
        self._heard_ms[host] = now_ms

    def tell(self) -> float:
        """Send what this VM has spent, unless relays carry it."""
        if self._mode.active:
            return _RELAYED_PERIOD_S
        self._follow()
        self._meter.drop_relay()
        hosts = self._hosts()
        spending = self._meter.report()
        same = self._meter.nothing_to_report
        self._unchanged = self._unchanged + 1 if same else 0
        if not self._unchanged % _REPEAT_PERIODS:
            self.send(encode(spending), sorted(hosts))
        period_s = max(_PERIOD_S, _PERIOD_PER_VM_S * len(hosts))
        self._meter.set_report_period(int(period_s * _MS_PER_S))
        return period_s

    def newest_of(self, vm_id: VmId) -> int:
        """Return the newest period that a relay has told."""
        return self._meter.newest_of(vm_id)

    def report(self) -> Spending:
        """Return what this VM has spent, for its relay."""
        self._follow()
        return self._meter.report()

    def hear_relay(self, told: Spending, period_ms: int) -> None:
        """Take what all others have spent, as told every period."""
        self._follow()
        self._meter.hear_relay(told, self._clock.now_ms())
        self._meter.set_report_period(period_ms)

    def _hosts(self) -> set[str]:
        """Return whom to tell: also a VM that stops still serves callers."""
        after_ms = self._clock.now_ms() - _STOPPING_MS
        self._heard_ms = {
            host: at_ms
            for host, at_ms in self._heard_ms.items()
            if at_ms > after_ms
        }
        live = self.others(entry_vms(self._members.live_vms()))
        return self._heard_ms.keys() | live

    def _follow(self) -> None:
        config = self._source.config
        if config.revision == self._revision:
            return
        self._revision = config.revision
        entries = [vm.vm_id for vm in entry_vms(config.vms.values())]
        self._meter.configure(config.customers, entries)
