"""Validate, charge and run requests from callers and from other VMs."""

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
from baobabwharf_decisions.proxying.request_traits import (
    TraitId,
    whole_request_trait,
)
from baobabwharf_decisions.proxying.routes import (
    RouteTable,
    allowed_regions,
    choose_service,
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
    REASON_HEADER,
    RETRY_HEADER,
)
from baobabwharf_daemon.proxy.http_call import HttpCall
from baobabwharf_daemon.proxy.http_messages import (
    Header,
    HttpRequest,
    RequestMetadata,
)
from baobabwharf_daemon.proxy.proxy_context import ProxyContext
from baobabwharf_daemon.proxy.region_reports import region_report_headers
from baobabwharf_daemon.proxy.request_handler import RequestHandler
from baobabwharf_daemon.proxy.request_plan import (
    ForwardMetadata,
    RequestPlan,
    build_plan,
)

# Borrowing tokens takes at most one round trip between regions.
_RESERVE_WAIT_MS = 250
_MS_PER_S = 1000

RouteTableSource = Callable[[], RouteTable | None]
PreparationResult = Result['PreparedRequest', Refusal]


class PreparedRequest(msgspec.Struct, frozen=True):
    """Hold a request that passed validation and authentication."""

    plan: RequestPlan
    service: DeployedService
    customer: DeployedCustomer | None
    tokens: int


@final
class Ingress:
    """Handle the requests of the caller listener and the forward listener."""

    def __init__(
        self,
        context: ProxyContext,
        limits: LimitClient,
        table: RouteTableSource,
    ) -> None:
        self._context = context
        self._limits = limits
        self._route_table = table

    def ingress_limits(self) -> IngressLimits:
        """Return the size and time limits for incoming requests."""
        table = self._route_table()
        return IngressLimits() if table is None else table.deployment.limits

    async def serve_caller(self, call: HttpCall) -> None:
        """Handle a request from a caller."""
        started_ms = self._context.clock.now_ms()
        metadata = self._context.dialect.read_request(call.request)
        if metadata is None:
            self.refuse_caller(call, None, Refusal(RefusalCode.INVALID_REQUEST))
            return
        prepared = self._prepare(metadata, call.request)
        if prepared.is_error():
            self.refuse_caller(call, metadata, prepared.error)
            return
        refusal = self._refuse_while_stopping(prepared.ok.plan)
        if refusal is None:
            refusal = await self._run_charged(call, prepared.ok)
        if refusal is not None:
            self.refuse_caller(call, metadata, refusal)
        self._record_end(metadata, prepared.ok.plan, refusal, started_ms)

    async def serve_forwarded(self, call: HttpCall) -> None:
        """Handle a request that another VM has validated and charged."""
        metadata = read_forward_metadata(call.request)
        if metadata is None:
            refusal = Refusal(RefusalCode.INVALID_REQUEST)
            self._record_refusal(None, refusal, forwarded=True)
            _refuse_forwarded(call, refusal, [])
            return
        clock = self._context.clock
        plan = build_plan(metadata, clock.now_ms(), forwarded=True)
        table = self._route_table()
        refused = (
            Refusal(RefusalCode.VM_NOT_READY)
            if table is None
            else await self._run_forwarded(call, metadata, plan, table)
        )
        if refused is not None:
            self._record_refusal(metadata.request_id, refused, forwarded=True)
            report = region_report_headers(plan, clock.now_ms())
            _refuse_forwarded(call, refused, report)

    def refuse_caller(
        self, call: HttpCall, metadata: RequestMetadata | None, refusal: Refusal
    ) -> None:
        """Answer a caller whose request was not served."""
        request_id = None if metadata is None else metadata.request_id
        self._record_refusal(request_id, refusal, forwarded=False)
        if call.started:
            call.abort()
            return
        headers = self._context.dialect.refusal_headers(metadata, refusal)
        sentence = refusal.sentence.encode()
        call.respond(refusal.status, b'Refused', headers, sentence)

    def refuse_forwarded(self, call: HttpCall, refusal: Refusal) -> None:
        """Answer a VM whose request was refused before it was read."""
        metadata = read_forward_metadata(call.request)
        request_id = None if metadata is None else metadata.request_id
        self._record_refusal(request_id, refusal, forwarded=True)
        _refuse_forwarded(call, refusal, [])

    async def _run_forwarded(
        self,
        call: HttpCall,
        metadata: ForwardMetadata,
        plan: RequestPlan,
        table: RouteTable,
    ) -> Refusal | None:
        stopping = self._refuse_while_stopping(plan)
        if stopping is not None:
            return stopping
        self._context.retry_budget.note_request(metadata.service)
        service = table.find_service(metadata.service)
        if service is None:
            return Refusal(RefusalCode.VM_NOT_READY)
        return await RequestHandler(self._context, call, plan, service).run()

    def _refuse_while_stopping(self, plan: RequestPlan) -> Refusal | None:
        """Return a refusal if the drain of this VM could cut the request."""
        drain = self._context.drain
        now_ms = self._context.clock.now_ms()
        refusal = drain.refusal(
            plan.deadline_ms,
            now_ms,
            forwarded=plan.forwarded,
            repeatable=plan.metadata.repeatable,
        )
        if drain.stopping and refusal is None:
            self._context.log.record(
                'taken_while_stopping',
                request=plan.metadata.request_id,
                forwarded=plan.forwarded,
                drain_left_ms=drain.left_ms(now_ms),
                left_ms=plan.deadline_ms - now_ms,
            )
        return refusal

    async def _run_charged(
        self, call: HttpCall, prepared: PreparedRequest
    ) -> Refusal | None:
        charged = await self._charge(prepared)
        if charged.is_error():
            return charged.error
        handler = RequestHandler(
            self._context, call, prepared.plan, prepared.service
        )
        self._context.retry_budget.note_request(prepared.service.name)
        refusal = await handler.run()
        reservation = charged.ok
        if reservation is not None:
            not_run = refusal is not None and refusal.executed is Executed.NO
            used = 0 if not_run else reservation.tokens
            self._limits.settle(reservation, used)
        return refusal

    async def _charge(
        self, prepared: PreparedRequest
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
            # No refill can cover it, but callers get the usual error.
            refusal = Refusal(RefusalCode.RATE_EXCEEDED, detail=refusal.detail)
        return Error(refusal)

    def _prepare(
        self, metadata: RequestMetadata, request: HttpRequest
    ) -> PreparationResult:
        table = self._route_table()
        if table is None:
            return Error(Refusal(RefusalCode.VM_NOT_READY, retry_after_ms=500))
        route = table.find(metadata.host, metadata.path)
        if route.is_error():
            return Error(route.error)
        customer = table.authenticate(route.ok, metadata.key)
        if customer.is_error():
            return Error(customer.error)
        service = table.service(choose_service(route.ok, metadata.request_id))
        caller = '' if customer.ok is None else customer.ok.customer_id
        whole = whole_request_trait(
            caller,
            request.method,
            metadata.host,
            request.target,
            request.body,
        )
        plan = self._plan(metadata, route.ok, customer.ok, service, whole)
        default_tokens = 1 if customer.ok is None else customer.ok.plain_tokens
        tokens = default_tokens if metadata.tokens is None else metadata.tokens
        return Ok(PreparedRequest(plan, service, customer.ok, max(1, tokens)))

    def _plan(
        self,
        metadata: RequestMetadata,
        route: DeployedRoute,
        customer: DeployedCustomer | None,
        service: DeployedService,
        whole: TraitId,
    ) -> RequestPlan:
        time_left_ms = route.timeout_ms
        if metadata.time_left_ms is not None:
            time_left_ms = min(time_left_ms, metadata.time_left_ms)
        urgency = route.priority
        if customer is not None and customer.priority is not None:
            urgency = customer.priority
        homes = allowed_regions(route, customer)
        forward = ForwardMetadata(
            metadata.request_id,
            service.name,
            route.name,
            urgency,
            time_left_ms,
            route.target_ms,
            route.max_attempts,
            route.repeatable,
            route.kind is RouteKind.STREAMING,
            route.resumes,
            customer,
            None if homes is None else tuple(sorted(homes)),
            metadata.prompt,
            metadata.resume_after,
            whole,
        )
        return build_plan(
            forward, self._context.clock.now_ms(), forwarded=False
        )

    def _record_refusal(
        self, request_id: str | None, refusal: Refusal, *, forwarded: bool
    ) -> None:
        REFUSALS.inc({'reason': refusal.code.value})
        self._context.log.record(
            'refused',
            request=request_id,
            forwarded=forwarded,
            reason=refusal.code.value,
            executed=refusal.executed.value,
            retry_after_ms=refusal.retry_after_ms,
            inputs=refusal.detail,
            config_version=self._version(),
        )

    def _record_end(
        self,
        metadata: RequestMetadata,
        plan: RequestPlan,
        refusal: Refusal | None,
        started_ms: int,
    ) -> None:
        outcome = plan.abort_reason or 'answered'
        if refusal is not None:
            outcome = refusal.code.value
        REQUESTS.inc({'kind': plan.metadata.route, 'outcome': outcome})
        took_ms = self._context.clock.now_ms() - started_ms
        LATENCY.observe({'route': plan.metadata.route}, took_ms / _MS_PER_S)
        first_ms = None
        if plan.headers_received_ms is not None:
            first_ms = plan.headers_received_ms - started_ms
            FIRST_BLOCK.observe(
                {'route': plan.metadata.route}, first_ms / _MS_PER_S
            )
        self._context.log.record(
            'request_ended',
            request=metadata.request_id,
            route=plan.metadata.route,
            service=plan.metadata.service,
            customer=plan.customer_id,
            outcome=outcome,
            framing=None if plan.framing is None else plan.framing.value,
            took_ms=took_ms,
            first_ms=first_ms,
            target_ms=plan.metadata.target_left_ms,
            sends=plan.attempts.sent + plan.attempts.unsent + (refusal is None),
            config_version=self._version(),
        )

    def _version(self) -> int | None:
        table = self._route_table()
        return None if table is None else table.deployment.version


def read_forward_metadata(request: HttpRequest) -> ForwardMetadata | None:
    """Return the metadata of a forwarded request, None if it is invalid."""
    value = request.header(FORWARD_HEADER.lower())
    if value is None:
        return None
    try:
        return decode(base64.b64decode(value), ForwardMetadata)
    except (binascii.Error, msgspec.DecodeError):
        return None


def _refuse_forwarded(
    call: HttpCall, refusal: Refusal, report: list[Header]
) -> None:
    if call.started:
        call.abort()
        return
    not_run = refusal.executed is Executed.NO
    headers: list[Header] = [
        (OUTCOME_HEADER, NOT_RUN if not_run else MAY_HAVE_RUN)
    ]
    headers.append((REASON_HEADER, refusal.code.value.encode()))
    headers += report
    if refusal.retry_after_ms is not None:
        headers.append((RETRY_HEADER, b'%d' % refusal.retry_after_ms))
    call.respond(refusal.status, b'Refused', headers, b'')
