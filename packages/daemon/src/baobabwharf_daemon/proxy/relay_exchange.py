"""Exchange loads and spending through relays in a large fleet."""

import random
from typing import final

import msgspec
from baobabwharf_core.clock import Clock
from baobabwharf_core.codec import decode, encode
from baobabwharf_core.fleet_config import VmRecord
from baobabwharf_core.ids import EndpointId, VmId
from baobabwharf_core.input_types import ExactInteger
from baobabwharf_decisions.limits.relay_reach import (
    RelayReach,
    expected_relays,
    first_candidates,
    passing_vms,
)
from baobabwharf_decisions.limits.spending import Spending
from baobabwharf_decisions.limits.spending_relay import SpendingRelay
from baobabwharf_decisions.membership.relay_selector import (
    RelaySelector,
    relay_candidates,
)
from baobabwharf_decisions.proxying.endpoint_load import LoadShare
from baobabwharf_decisions.proxying.load_relay import LoadRelay

from baobabwharf_daemon.decision_log import DecisionLog
from baobabwharf_daemon.interfaces import MembershipView
from baobabwharf_daemon.proxy.datagrams import DatagramTask
from baobabwharf_daemon.proxy.load_tracker import LoadTracker
from baobabwharf_daemon.proxy.metering import Metering
from baobabwharf_daemon.proxy.relay_mode import RelayMode
from baobabwharf_daemon.vm_records import host_of

# At the specified peak an engine gets about one request in this time.
_PERIOD_S = 0.1
# Traffic that one client may cause, of the 14 KB/s per VM allowed for control
# traffic.
_BYTES_PER_S = 6000
# The same without the loads of engines, which are half of a call and its answer
# at 15 engines, so that calls are as frequent.
_PLAIN_BYTES_PER_S = 3000
# A VM without clients only checks whether it has become a relay.
_IDLE_S = 0.5
# A relay drops clients silent for this long; they call at least every few
# hundred ms.
_CLIENT_SILENCE_TIMEOUT_MS = 1500
_MS_PER_S = 1000
# The sums of all relays are stored under one id, so that those of a relay
# replace those of the previous one.
_RELAYED_VMS = VmId('relayed')

Shares = dict[EndpointId, LoadShare]


class RelayCall(msgspec.Struct, frozen=True, tag=True):
    """Report the state of a VM to a relay; seen is its newest known period."""

    vm_id: VmId
    seen: ExactInteger
    shares: Shares
    spending: Spending


class RelayAnswer(msgspec.Struct, frozen=True, tag=True):
    """Return the summed state of all other VMs to a client."""

    vm_id: VmId
    shares: Shares
    spending: Spending


class RelayTotals(msgspec.Struct, frozen=True, tag=True):
    """Report the spending of a relay's clients to another relay."""

    spending: Spending


class RelayTransit(msgspec.Struct, frozen=True, tag=True):
    """Ask a VM to pass totals on to a relay that can't be reached directly.

    unheard says that the sender does not hear the target directly.
    """

    target: VmId
    totals: RelayTotals
    unheard: bool = False


class IndirectTotals(msgspec.Struct, frozen=True, tag=True):
    """Carry totals that another VM passed on."""

    spending: Spending
    unheard: bool = False


_Message = RelayCall | RelayAnswer | RelayTotals | RelayTransit | IndirectTotals


@final
class RelayClient:
    """Exchange the state of one entry VM with the relay of its region."""

    def __init__(
        self,
        own: VmRecord,
        loads: LoadTracker,
        metering: Metering,
        clock: Clock,
        log: DecisionLog,
        *,
        plain_only: bool = False,
    ) -> None:
        self._own = own
        # The placing VM of the region places the requests of engines and knows
        # their loads, so that calls need not carry them.
        self._plain_only = plain_only
        self._loads = loads
        self._metering = metering
        self._clock = clock
        self._log = log
        self._relay_selector = RelaySelector()
        self._call_bytes = 0
        self._answer_bytes = 0

    @property
    def pause_s(self) -> float:
        """Return the delay until the next call, longer for larger messages."""
        size = self._call_bytes + self._answer_bytes
        rate = _PLAIN_BYTES_PER_S if self._plain_only else _BYTES_PER_S
        return max(_PERIOD_S, size / rate)

    def call(self, ranked: list[VmId]) -> tuple[VmId, bytes] | None:
        """Return the relay to call next and the message for it."""
        before = self._relay_selector.current
        relay = self._relay_selector.next_call(ranked, self._clock.now_ms())
        if relay != before:
            self._log.record('relay_chosen', relay=relay, before=before)
        if relay is None:
            return None
        content = encode(
            RelayCall(
                self._own.vm_id,
                self._metering.newest_period(relay),
                self._shares(),
                self._metering.report(),
            )
        )
        self._call_bytes = len(content)
        return relay, content

    def _shares(self) -> Shares:
        if self._plain_only:
            return self._loads.own_plain_shares()
        return self._loads.own_shares()

    def handle_answer(self, answer: RelayAnswer, size: int) -> None:
        """Apply the answer of the current relay."""
        if answer.vm_id != self._relay_selector.current:
            return
        self._relay_selector.record_answer(answer.vm_id)
        self._answer_bytes = size
        self._loads.update_shares(_RELAYED_VMS, answer.shares)
        self._metering.apply_relay_report(
            answer.spending, int(self.pause_s * _MS_PER_S)
        )


@final
class RelayExchange(DatagramTask):
    """Act as a relay and, on an entry VM, as the client of one."""

    def __init__(
        self,
        own: VmRecord,
        port: int,
        clock: Clock,
        membership: MembershipView,
        mode: RelayMode,
        relay_client: RelayClient | None,
        rng: random.Random | None = None,
    ) -> None:
        super().__init__(own, port)
        self._rng = rng or random.Random(own.vm_id)
        self._clock = clock
        self._membership = membership
        self._mode = mode
        self._relay_client = relay_client
        self._load_relay = LoadRelay()
        self._spending_relay = SpendingRelay(own.vm_id, own.incarnation)
        self._reach = RelayReach(own.vm_id)
        self._last_totals: RelayTotals | None = None

    def handle_datagram(self, content: bytes, host: str) -> None:
        """Handle a message of a client or of a relay."""
        message: _Message = decode(content, _Message)  # type: ignore[arg-type]
        if isinstance(message, RelayCall):
            self._handle_call(message, host)
        elif isinstance(message, RelayTransit):
            self._pass_on(message)
        elif not isinstance(message, RelayAnswer):
            self._handle_totals(message)
        elif self._relay_client is not None and self._mode.active:
            self._relay_client.handle_answer(message, len(content))

    def send_due(self) -> float:
        """Send what is due as a relay and as a client."""
        if not self._mode.active:
            return _IDLE_S
        relaying = self._spending_relay.has_clients
        if relaying:
            self._send_totals()
        else:
            self._last_totals = None
        if self._relay_client is None:
            return _PERIOD_S if relaying else _IDLE_S
        live = self._membership.live_vms()
        next_call = self._relay_client.call(
            relay_candidates(live, self._own.region)
        )
        if next_call is not None:
            hosts = [host_of(vm) for vm in live if vm.vm_id == next_call[0]]
            self.send(next_call[1], hosts)
        return _PERIOD_S if relaying else self._relay_client.pause_s

    def _handle_call(self, call: RelayCall, host: str) -> None:
        now_ms = self._clock.now_ms()
        self._load_relay.replace_shares(call.vm_id, call.shares, now_ms)
        self._spending_relay.apply_client_report(call.spending, now_ms)
        self.send(encode(self._answer(call)), [host])

    def _handle_totals(self, message: RelayTotals | IndirectTotals) -> None:
        now_ms = self._clock.now_ms()
        sender = message.spending.vm_id
        self._spending_relay.apply_relay_report(message.spending, now_ms)
        if isinstance(message, RelayTotals):
            self._reach.note_direct(sender, now_ms)
        elif message.unheard:
            is_news = self._reach.note_unheard_by(sender, now_ms)
            # Waiting for the next period could exceed the silence timeout
            # there.
            if is_news and self._last_totals is not None:
                self._send_indirectly(sender, self._last_totals)

    def _answer(self, call: RelayCall) -> RelayAnswer:
        return RelayAnswer(
            self._own.vm_id,
            self._load_relay.total_without(call.vm_id),
            self._spending_relay.answer(call.vm_id, call.seen),
        )

    def _send_totals(self) -> None:
        now_ms = self._clock.now_ms()
        self._load_relay.drop_silent_vms(_CLIENT_SILENCE_TIMEOUT_MS, now_ms)
        spending = self._spending_relay.close(now_ms)
        live = self._membership.live_vms()
        reporting = {self._own.vm_id, *self._spending_relay.relays}
        targets = reporting.union(first_candidates(live).values())
        totals = RelayTotals(spending)
        self.send(
            encode(totals),
            self.other_hosts(vm for vm in live if vm.vm_id in targets),
        )
        self._last_totals = totals
        expected = expected_relays(live, reporting)
        for target in self._reach.unreached(expected, now_ms):
            self._send_indirectly(target, totals)

    def _send_indirectly(self, target: VmId, totals: RelayTotals) -> None:
        live = self._membership.live_vms()
        unheard = self._reach.is_unheard(target, self._clock.now_ms())
        content = encode(RelayTransit(target, totals, unheard))
        for record in live:
            if record.vm_id == target:
                passing = passing_vms(live, self._own, record, self._rng)
                self.send(content, map(host_of, passing))

    def _pass_on(self, transit: RelayTransit) -> None:
        live = self._membership.live_vms()
        hosts = [host_of(vm) for vm in live if vm.vm_id == transit.target]
        passed = IndirectTotals(transit.totals.spending, transit.unheard)
        self.send(encode(passed), hosts)
