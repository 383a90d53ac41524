"""Take requests of callers and of other VMs, and refuse what can't run."""

import base64
import binascii
from collections.abc import Callable
from typing import final

import msgspec
from baobabwharf_core.codec import decode
from baobabwharf_core.deployment import (
    DeployedCustomer,
    DeployedRoute,
    DeployedService,
    IngressLimits,
    RouteKind,
)
from baobabwharf_core.refusals import Executed, Refusal, RefusalCode
from baobabwharf_core.requests import Reservation
from baobabwharf_decisions.proxying.routes import (
    RouteTable,
    allowed_regions,
    split_service,
)
from expression import Error, Ok, Result

from baobabwharf_daemon.interfaces import LimitClient
from baobabwharf_daemon.metrics import (
    FIRST_BLOCK,
    LATENCY,
    REFUSALS,
    REQUESTS,
)
from baobabwharf_daemon.proxy.attempt import (
    FORWARD_HEADER,
    MAY_HAVE_RUN,
    NOT_RUN,
    OUTCOME_HEADER,
    RETRY_HEADER,
)
from baobabwharf_daemon.proxy.http_call import Call
from baobabwharf_daemon.proxy.http_messages import CallFacts, Header
from baobabwharf_daemon.proxy.proxy_context import Tools
from baobabwharf_daemon.proxy.request_handler import Exchange
from baobabwharf_daemon.proxy.request_plan import ForwardFacts, Plan, plan_of

# Waiting for lent tokens takes a round trip between regions at most.
_RESERVE_WAIT_MS = 250
_MS_PER_S = 1000

TableSource = Callable[[], RouteTable | None]
Planned = Result['Prepared', Refusal]


class Prepared(msgspec.Struct, frozen=True):
    """Hold a request that the deployment allows."""

    plan: Plan
    service: DeployedService
    customer: DeployedCustomer | None
    tokens: int


@final
class Ingress:
    """Serve the caller listener and the forward listener."""

    def __init__(
        self, tools: Tools, limits: LimitClient, table: TableSource
    ) -> None:
        self._tools = tools
        self._limits = limits
        self._table = table

    def ingress_limits(self) -> IngressLimits:
        """Return what a caller may send."""
        table = self._table()
        return IngressLimits() if table is None else table.deployment.limits

    async def serve_caller(self, call: Call) -> None:
        """Serve a request of a caller."""
        started_ms = self._tools.clock.now_ms()
        facts = self._tools.dialect.read_call(call.request)
        if facts is None:
            self._refuse(call, None, Refusal(RefusalCode.INVALID_REQUEST))
            return
        prepared = self._prepare(facts)
        if prepared.is_error():
            self._refuse(call, facts, prepared.error)
            return
        refusal = await self._run_charged(call, prepared.ok)
        if refusal is not None:
            self._refuse(call, facts, refusal)
        self._note_end(facts, prepared.ok.plan, refusal, started_ms)

    async def serve_forwarded(self, call: Call) -> None:
        """Serve a request that another VM has checked and charged."""
        facts = _forwarded(call)
        table = self._table()
        if facts is None:
            refusal: Refusal | None = Refusal(RefusalCode.INVALID_REQUEST)
        elif table is None:
            refusal = Refusal(RefusalCode.VM_NOT_READY)
        else:
            refusal = await self._run_forwarded(call, facts, table)
        if refusal is not None:
            request_id = None if facts is None else facts.request_id
            self._note_refusal(request_id, refusal, forwarded=True)
            _refuse_forwarded(call, refusal)

    async def _run_forwarded(
        self, call: Call, facts: ForwardFacts, table: RouteTable
    ) -> Refusal | None:
        plan = plan_of(facts, self._tools.clock.now_ms(), forwarded=True)
        self._tools.retries.note_request(facts.service)
        service = table.find_service(facts.service)
        if service is None:
            return Refusal(RefusalCode.VM_NOT_READY)
        return await Exchange(self._tools, call, plan, service).run()

    async def _run_charged(
        self, call: Call, prepared: Prepared
    ) -> Refusal | None:
        charged = await self._charge(prepared)
        if charged.is_error():
            return charged.error
        exchange = Exchange(self._tools, call, prepared.plan, prepared.service)
        self._tools.retries.note_request(prepared.service.name)
        refusal = await exchange.run()
        reservation = charged.ok
        if reservation is not None:
            not_run = refusal is not None and refusal.executed is Executed.NO
            used = 0 if not_run else reservation.tokens
            self._limits.settle(reservation, used)
        return refusal

    async def _charge(
        self, prepared: Prepared
    ) -> Result[Reservation | None, Refusal]:
        customer = prepared.customer
        if customer is None or not customer.rate_tokens_per_s:
            return Ok(None)
        reserved = await self._limits.reserve(
            customer.customer_id, prepared.tokens, _RESERVE_WAIT_MS
        )
        if reserved.is_ok():
            return Ok(reserved.ok)
        refusal = reserved.error
        if refusal.code is RefusalCode.REQUEST_ABOVE_BURST:
            # Too large for any refill; the request is proper all the same.
            refusal = Refusal(RefusalCode.RATE_EXCEEDED, detail=refusal.detail)
        return Error(refusal)

    def _prepare(self, facts: CallFacts) -> Planned:
        table = self._table()
        if table is None:
            return Error(Refusal(RefusalCode.VM_NOT_READY, retry_after_ms=500))
        found = table.find(facts.host, facts.path)
        if found.is_error():
            return Error(found.error)
        known = table.authenticate(found.ok, facts.key)
        if known.is_error():
            return Error(known.error)
        service = table.service(split_service(found.ok, facts.request_id))
        plan = self._plan(facts, found.ok, known.ok, service)
        plain = 1 if known.ok is None else known.ok.plain_tokens
        tokens = plain if facts.tokens is None else facts.tokens
        return Ok(Prepared(plan, service, known.ok, max(1, tokens)))

    def _plan(
        self,
        facts: CallFacts,
        route: DeployedRoute,
        customer: DeployedCustomer | None,
        service: DeployedService,
    ) -> Plan:
        left_ms = route.timeout_ms
        if facts.time_left_ms is not None:
            left_ms = min(left_ms, facts.time_left_ms)
        urgency = route.priority
        if customer is not None and customer.priority is not None:
            urgency = customer.priority
        homes = allowed_regions(route, customer)
        forward = ForwardFacts(
            facts.request_id,
            service.name,
            route.name,
            urgency,
            left_ms,
            route.target_ms,
            route.max_attempts,
            route.repeatable,
            route.kind is RouteKind.STREAMING,
            route.resumes,
            customer,
            None if homes is None else tuple(sorted(homes)),
            facts.prompt,
            facts.resume_after,
        )
        return plan_of(forward, self._tools.clock.now_ms(), forwarded=False)

    def _refuse(
        self, call: Call, facts: CallFacts | None, refusal: Refusal
    ) -> None:
        request_id = None if facts is None else facts.request_id
        self._note_refusal(request_id, refusal, forwarded=False)
        if call.started:
            call.abort()
            return
        headers = self._tools.dialect.refusal_headers(facts, refusal)
        sentence = refusal.sentence.encode()
        call.answer(refusal.status, b'Refused', headers, sentence)

    def _note_refusal(
        self, request_id: str | None, refusal: Refusal, *, forwarded: bool
    ) -> None:
        REFUSALS.inc({'reason': refusal.code.value})
        self._tools.log.record(
            'refused',
            request=request_id,
            forwarded=forwarded,
            reason=refusal.code.value,
            executed=refusal.executed.value,
            retry_after_ms=refusal.retry_after_ms,
            inputs=refusal.detail,
            config_version=self._version(),
        )

    def _note_end(
        self,
        facts: CallFacts,
        plan: Plan,
        refusal: Refusal | None,
        started_ms: int,
    ) -> None:
        outcome = plan.cut or 'answered'
        if refusal is not None:
            outcome = refusal.code.value
        REQUESTS.inc({'kind': plan.facts.route, 'outcome': outcome})
        took_ms = self._tools.clock.now_ms() - started_ms
        LATENCY.observe({'route': plan.facts.route}, took_ms / _MS_PER_S)
        first_ms = None
        if plan.first_ms is not None:
            first_ms = plan.first_ms - started_ms
            FIRST_BLOCK.observe(
                {'route': plan.facts.route}, first_ms / _MS_PER_S
            )
        self._tools.log.record(
            'request_ended',
            request=facts.request_id,
            route=plan.facts.route,
            service=plan.facts.service,
            customer=plan.customer_id,
            outcome=outcome,
            took_ms=took_ms,
            first_ms=first_ms,
            sends=plan.sends.sent + plan.sends.unsent + (refusal is None),
            config_version=self._version(),
        )

    def _version(self) -> int | None:
        table = self._table()
        return None if table is None else table.deployment.version


def _forwarded(call: Call) -> ForwardFacts | None:
    stated = call.request.header(FORWARD_HEADER.lower())
    if stated is None:
        return None
    try:
        return decode(base64.b64decode(stated), ForwardFacts)
    except (binascii.Error, msgspec.DecodeError):
        return None


def _refuse_forwarded(call: Call, refusal: Refusal) -> None:
    if call.started:
        call.abort()
        return
    not_run = refusal.executed is Executed.NO
    headers: list[Header] = [
        (OUTCOME_HEADER, NOT_RUN if not_run else MAY_HAVE_RUN)
    ]
    if refusal.retry_after_ms is not None:
        headers.append((RETRY_HEADER, b'%d' % refusal.retry_after_ms))
    call.answer(refusal.status, b'Refused', headers, b'')
