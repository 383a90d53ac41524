"""Ask the placing VM of the region for engines, and be that VM."""

import asyncio
import random
from collections.abc import Iterable
from typing import final

import msgspec
from baobabwharf_core.clock import Clock
from baobabwharf_core.codec import decode, encode
from baobabwharf_core.deployment import DeployedService
from baobabwharf_core.fleet_config import VmRecord
from baobabwharf_core.ids import EndpointId, VmId
from baobabwharf_decisions.membership.placing_vm import PlacingVm
from baobabwharf_decisions.membership.relay_selector import relay_candidates
from baobabwharf_decisions.proxying.adaptive_placement import (
    COMPARE_ALL,
    AdaptivePlacement,
)
from baobabwharf_decisions.proxying.placement_ledger import PlacementLedger
from baobabwharf_decisions.proxying.placement_messages import (
    AskMessage,
    Granted,
    GrantMessage,
    PlacementAsk,
    PlacementGrant,
    PlacementMessage,
    PlacementProgress,
    ProgressMessage,
)
from baobabwharf_decisions.proxying.routes import RouteTable

from baobabwharf_daemon.interfaces import MembershipView
from baobabwharf_daemon.metrics import PLACEMENT_ASKS
from baobabwharf_daemon.proxy.datagrams import DatagramTask
from baobabwharf_daemon.proxy.endpoint_selector import EndpointSelector
from baobabwharf_daemon.proxy.load_tracker import LoadTracker
from baobabwharf_daemon.proxy.request_plan import RequestPlan
from baobabwharf_daemon.proxy.selection import PlacementReports
from baobabwharf_daemon.vm_records import host_of

# Longer than a large body occupies the narrow link of a VM, which delays an
# answer; then the VM places the request itself.
_ANSWER_TIMEOUT_S = 0.1
# Reports wait for an ask this long at most.
_PERIOD_S = 0.04
_IDLE_S = 0.25
# Each report is sent twice, since datagrams get lost.
_SENDS = 2
_MAX_REPORTS = 100


class _Report(msgspec.Struct):
    progress: PlacementProgress
    sends_left: int = _SENDS


@final
class PlacementExchange(DatagramTask, PlacementReports):
    """Own the ledger of granted requests and the unanswered asks."""

    def __init__(
        self,
        own: VmRecord,
        port: int,
        clock: Clock,
        members: MembershipView,
        selector: EndpointSelector,
        rng: random.Random,
    ) -> None:
        super().__init__(own, port)
        self._clock = clock
        self._members = members
        self._selector = selector
        self._loads = LoadTracker(clock, selector.endpoints.table)
        self._ledger = PlacementLedger(AdaptivePlacement(rng, COMPARE_ALL))
        self._table: RouteTable | None = None
        self._placing_vm = PlacingVm()
        self._last_number = 0
        self._waiting: dict[int, asyncio.Future[PlacementGrant]] = {}
        self._reports: dict[VmId, list[_Report]] = {}
        self._hosts: dict[VmId, str] = {}
        self._live: tuple[VmRecord, ...] | None = None
        self._ranked: list[VmId] = []

    def configure(self, table: RouteTable) -> None:
        """Apply the engine settings of a deployment."""
        self._table = table
        self._loads.resize_caches(table.deployment.services)

    async def ask(
        self, plan: RequestPlan, bound_ms: int, excluded: Iterable[EndpointId]
    ) -> Granted | None:
        """Return the grant or refusal for a request, None without an answer."""
        now_ms = self._clock.now_ms()
        self._follow_members()
        placing_vm = self._placing_vm.choose(self._ranked, now_ms)
        if placing_vm is None:
            return None
        ask = self._build_ask(plan, bound_ms, excluded, now_ms)
        if placing_vm == self._own.vm_id:
            return Granted(self._grant(placing_vm, ask), placing_vm)
        answer = asyncio.get_running_loop().create_future()
        self._waiting[ask.number] = answer
        message = AskMessage(
            self._own.vm_id, ask, self._due_reports(placing_vm)
        )
        self.send(encode(message), [self._hosts[placing_vm]])
        try:
            async with asyncio.timeout(_ANSWER_TIMEOUT_S):
                grant = await answer
        except TimeoutError:
            PLACEMENT_ASKS.inc({'outcome': 'unanswered'})
            self._placing_vm.note_timeout(placing_vm, self._clock.now_ms())
            return None
        finally:
            self._waiting.pop(ask.number, None)
        return Granted(grant, placing_vm)

    def report(self, placing_vm: VmId, progress: PlacementProgress) -> None:
        """Tell the placing VM how a granted request went on."""
        if placing_vm == self._own.vm_id:
            now_ms = self._clock.now_ms()
            self._ledger.note(placing_vm, progress, now_ms)
        else:
            reports = self._reports.setdefault(placing_vm, [])
            reports.append(_Report(progress))

    def handle_datagram(self, content: bytes, host: str) -> None:
        """Handle an ask, an answer or reports."""
        message: PlacementMessage = decode(content, PlacementMessage)  # type: ignore[arg-type]
        if isinstance(message, GrantMessage):
            self._handle_grant(message)
            return
        now_ms = self._clock.now_ms()
        for progress in message.progress:
            self._ledger.note(message.vm_id, progress, now_ms)
        if isinstance(message, AskMessage):
            grant = self._grant(message.vm_id, message.ask)
            answer = GrantMessage(self._own.vm_id, grant)
            self.send(encode(answer), [host])

    def send_due(self) -> float:
        """Send the reports that no ask has carried."""
        self._follow_members()
        if not self._ledger.open_grants and not self._reports:
            return _IDLE_S
        self._loads.drop_stale(0)
        for placing_vm in tuple(self._reports):
            host = self._hosts.get(placing_vm)
            due = self._due_reports(placing_vm)
            if host is not None and due:
                message = ProgressMessage(self._own.vm_id, due)
                self.send(encode(message), [host])
        return _PERIOD_S

    def _build_ask(
        self,
        plan: RequestPlan,
        bound_ms: int,
        excluded: Iterable[EndpointId],
        now_ms: int,
    ) -> PlacementAsk:
        self._last_number += 1
        return PlacementAsk(
            self._last_number,
            plan.metadata.service,
            plan.metadata.urgency,
            bound_ms,
            plan.deadline_ms - now_ms,
            tuple((part.part_id, part.tokens) for part in plan.metadata.prompt),
            tuple(excluded),
            plan.customer_id,
            plan.metadata.output_tokens,
        )

    def _grant(self, vm_id: VmId, ask: PlacementAsk) -> PlacementGrant:
        service = self._service(ask)
        if service is None or service.engine is None:
            return PlacementGrant(ask.number, None, 0, 0, 0)
        candidates = self._selector.endpoints.candidates(
            service, frozenset(ask.excluded), self._loads
        )
        grant = self._ledger.grant(
            vm_id,
            ask,
            candidates,
            service.engine.tokens_per_event,
            self._clock.now_ms(),
        )
        outcome = 'refused' if grant.endpoint_id is None else 'granted'
        PLACEMENT_ASKS.inc({'outcome': outcome})
        return grant

    def _service(self, ask: PlacementAsk) -> DeployedService | None:
        if self._table is None:
            return None
        return self._table.find_service(ask.service)

    def _handle_grant(self, message: GrantMessage) -> None:
        self._placing_vm.note_answer(message.vm_id)
        grant = message.grant
        waiting = self._waiting.get(grant.number)
        if waiting is not None and not waiting.done():
            waiting.set_result(grant)
        elif grant.endpoint_id is not None:
            # The request was placed without this grant, which came too late.
            unused = PlacementProgress(grant.number, None, ended=True)
            self.report(message.vm_id, unused)

    def _due_reports(self, placing_vm: VmId) -> tuple[PlacementProgress, ...]:
        reports = self._reports.pop(placing_vm, [])[:_MAX_REPORTS]
        for due in reports:
            due.sends_left -= 1
        left = [report for report in reports if report.sends_left]
        if left:
            self._reports[placing_vm] = left
        return tuple(report.progress for report in reports)

    def _follow_members(self) -> None:
        live = self._members.live_vms()
        if live is self._live:
            return
        self._live = live
        self._hosts = {vm.vm_id: host_of(vm) for vm in live}
        self._ranked = relay_candidates(live, self._own.region)
        self._ledger.drop_vms(self._hosts)
        for vm_id in tuple(self._reports):
            if vm_id not in self._hosts:
                self._reports.pop(vm_id)
