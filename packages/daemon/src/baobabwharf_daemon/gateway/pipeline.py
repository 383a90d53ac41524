"""Process a validated call until its tokens are settled."""

import asyncio

import msgspec
from baobabwharf_core.clock import Clock
from baobabwharf_core.refusals import Refusal, RefusalCode
from baobabwharf_core.requests import (
    RegionChoice,
    RequestAttributes,
    Reservation,
)
from expression import Error, Result

from baobabwharf_daemon.forwarding.forwarder import Forwarder
from baobabwharf_daemon.forwarding.local_executor import LocalExecutor
from baobabwharf_daemon.gateway.calls import (
    Call,
    Progress,
    ResponseWriter,
    charged_tokens,
)
from baobabwharf_daemon.gateway.request_attributes import ANONYMOUS_CUSTOMER
from baobabwharf_daemon.gateway.request_records import RequestRecord
from baobabwharf_daemon.interfaces import LimitClient, Router

MAX_REGION_CHOICES = 3
_REGION_BACKOFF_S = 0.02
# Refusals by the chosen VM after which another VM may be tried.
_RETRY_ON_OTHER_VM = frozenset(
    (
        RefusalCode.REGION_UNREACHABLE,
        RefusalCode.VM_STOPPING,
        RefusalCode.VM_NOT_READY,
    )
)


class Pipeline:
    """Choose a region, reserve tokens, serve or forward, then settle."""

    def __init__(
        self,
        router: Router,
        limits: LimitClient,
        executor: LocalExecutor,
        forwarder: Forwarder,
        clock: Clock,
    ) -> None:
        self._router = router
        self._limits = limits
        self._executor = executor
        self._forwarder = forwarder
        self._clock = clock

    async def run(
        self,
        call: Call,
        writer: ResponseWriter,
        record: RequestRecord,
        progress: Progress,
    ) -> Result[None, Refusal]:
        """Write the complete response or return a refusal."""
        start_ms = self._clock.now_ms()
        chosen = self._router.choose_region(call.attributes)
        if chosen.is_error():
            return Error(chosen.error)
        reservation = await self._reserve(call.attributes)
        if isinstance(reservation, Refusal):
            return Error(reservation)
        record.step('reserve')
        try:
            return await self._dispatch(
                self._with_remaining_deadline(call, start_ms),
                chosen.ok,
                writer,
                record,
                progress,
            )
        finally:
            self._settle(call.attributes, reservation, progress)

    def _with_remaining_deadline(self, call: Call, start_ms: int) -> Call:
        """Subtract the time since start_ms from the deadline."""
        elapsed_ms = self._clock.now_ms() - start_ms
        if elapsed_ms <= 0:
            return call
        left_ms = max(0, call.attributes.deadline_ms - elapsed_ms)
        attributes = msgspec.structs.replace(
            call.attributes, deadline_ms=left_ms
        )
        return msgspec.structs.replace(call, attributes=attributes)

    async def _reserve(
        self, attributes: RequestAttributes
    ) -> Reservation | Refusal | None:
        if attributes.customer_id == ANONYMOUS_CUSTOMER:
            return None
        reserved = await self._limits.reserve(
            attributes.customer_id,
            attributes.reserved_tokens,
            attributes.first_token_ms,
        )
        if reserved.is_error():
            return reserved.error
        return reserved.ok

    def _settle(
        self,
        attributes: RequestAttributes,
        reservation: Reservation | None,
        progress: Progress,
    ) -> None:
        if reservation is not None:
            used = charged_tokens(attributes, progress)
            self._limits.settle(reservation, used)

    async def _dispatch(
        self,
        call: Call,
        choice: RegionChoice,
        writer: ResponseWriter,
        record: RequestRecord,
        progress: Progress,
    ) -> Result[None, Refusal]:
        record.step('queue')
        for attempt in range(1, MAX_REGION_CHOICES + 1):
            outcome = await self._attempt(
                call, choice, writer, record, progress
            )
            if outcome.is_ok() or not _may_try_other_vm(
                outcome.error, progress
            ):
                return outcome
            next_choice = self._router.choose_region(call.attributes)
            if next_choice.is_error() or attempt == MAX_REGION_CHOICES:
                return outcome
            choice = next_choice.ok
            if record.state == 'sent':
                record.step('retry')
            await asyncio.sleep(_REGION_BACKOFF_S * attempt)
        return outcome

    async def _attempt(
        self,
        call: Call,
        choice: RegionChoice,
        writer: ResponseWriter,
        record: RequestRecord,
        progress: Progress,
    ) -> Result[None, Refusal]:
        if choice.vm_id is None:
            return await self._executor.execute(call, writer, record, progress)
        record.step('send')
        try:
            return await self._forwarder.forward(
                call, choice, writer, record, progress
            )
        finally:
            self._router.forward_ended(call.attributes.request_id)


def _may_try_other_vm(refusal: Refusal, progress: Progress) -> bool:
    return refusal.code in _RETRY_ON_OTHER_VM and not progress.sent
