"""Send a request once and classify the response."""

import base64
import enum
from typing import final

import msgspec
from baobabwharf_core.clock import Clock
from baobabwharf_core.codec import encode
from baobabwharf_decisions.proxying.attempt_outcomes import AttemptEnd
from baobabwharf_decisions.proxying.buffer_budget import BufferBudget
from baobabwharf_decisions.proxying.endpoint_load import EndpointLoad
from baobabwharf_decisions.proxying.placement_messages import (
    PlacementProgress,
)

from baobabwharf_daemon.proxy.connection_pool import ConnectionPool
from baobabwharf_daemon.proxy.dialect import Dialect, SendMetadata
from baobabwharf_daemon.proxy.endpoint_connection import EndpointConnection
from baobabwharf_daemon.proxy.http_messages import (
    Header,
    HttpRequest,
    ResponseHead,
    ResponseMetadata,
    encode_request_head,
    end_to_end_headers,
)
from baobabwharf_daemon.proxy.request_plan import (
    RequestPlan,
    remaining_metadata,
)
from baobabwharf_daemon.proxy.response_reader import ResponseLoss
from baobabwharf_daemon.proxy.selection import AttemptTarget, PlacementReports

# Headers between VMs: the metadata of a forwarded request, and whether a
# refused request may have run.
FORWARD_HEADER = b'Baobabwharf-Forward'
OUTCOME_HEADER = b'Baobabwharf-Outcome'
RETRY_HEADER = b'Baobabwharf-Retry-Ms'
# Names the refusal code, since not each reason concerns the whole region.
REASON_HEADER = b'Baobabwharf-Reason'
NOT_RUN = b'not_run'
MAY_HAVE_RUN = b'may_have_run'
HEAD = b'HEAD'

_INTERNAL_PREFIX = b'baobabwharf-'
_REDIRECT = 300
_OK = 200
_MISDIRECTED = 421
# Statuses with which an HTTP server says that it did not process the request.
_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))


_CRASH_LOSSES = frozenset(
    (ResponseLoss.CLOSED, ResponseLoss.RESET, ResponseLoss.INSIDE_EVENT)
)


class ResponseKind(enum.Enum):
    """Classify a response by what it means for the request."""

    RESULT = 'result'
    FAILURE = 'failure'
    NOT_EXECUTED = 'not_executed'
    MISDIRECTED = 'misdirected'
    REGION_REFUSED = 'region_refused'
    UNUSABLE = 'unusable'


class OpenedResponse(msgspec.Struct):
    """Hold a response whose headers have arrived."""

    connection: EndpointConnection
    head: ResponseHead
    metadata: ResponseMetadata
    kind: ResponseKind


@final
class Attempt:
    """Own the connection of one attempt and count its load."""

    def __init__(
        self,
        pool: ConnectionPool,
        dialect: Dialect,
        clock: Clock,
        destination: AttemptTarget,
        load: EndpointLoad | None,
        placements: PlacementReports | None = None,
    ) -> None:
        self._placements = placements
        self._percent = 0
        self._pool = pool
        self._dialect = dialect
        self._clock = clock
        self._load = load
        self._connection: EndpointConnection | None = None
        self._pending_tokens = 0
        self._complete = False
        self._load_counted = False
        self._first_event_reported = False
        # Set only where the placement tells ranks apart.
        self._rank: int | None = None
        self.destination = destination
        self.reused = False
        self.refusal_reason = b''
        # An endpoint that crashes on a prompt does so before this is set.
        self.answer_went_on = False
        self.loss: ResponseLoss | None = None
        self.sent_ms: int | None = None
        # Statuses of responses that belong to other requests.
        self.skipped_statuses: list[int] = []
        # The endpoint said in any of its responses that it is leaving.
        self.leaving = False

    async def open(
        self, request: HttpRequest, plan: RequestPlan
    ) -> OpenedResponse | AttemptEnd:
        """Send the request; return its response head or why there is none."""
        connection = await self._pool.acquire(self.destination.address)
        if connection is None:
            return AttemptEnd.NOT_SENT
        self._connection = connection
        self.reused = connection.request_count > 0
        self._count_load(plan)
        self.sent_ms = self._clock.now_ms()
        encoded_head = encode_request_head(
            request, self._headers(request, plan)
        )
        request_id = plan.metadata.request_id
        connection.send(
            encoded_head,
            request.body,
            lambda head: self._matches(head, request_id),
            bodiless=request.method == HEAD,
            streaming=plan.metadata.streaming,
        )
        head = await connection.read_head()
        if isinstance(head, ResponseLoss):
            self.loss = head
            return AttemptEnd.LOST
        metadata = self._dialect.read_response(head)
        self._note_leaving(head, metadata)
        if metadata.load is not None:
            self._percent = metadata.load.percent or 0
        return OpenedResponse(
            connection, head, metadata, self._classify(head, metadata)
        )

    def mark_prefilled(self) -> None:
        """Record that the first event, and so the whole prompt, is done."""
        if self._pending_tokens or not self._first_event_reported:
            self._report(self.took_ms, ended=False)
        self._first_event_reported = True
        self._release_prefill()

    def _release_prefill(self) -> None:
        if self._load is not None and self._pending_tokens:
            self._load.mark_prefilled(self._pending_tokens, self._rank)
        self._pending_tokens = 0

    @property
    def took_ms(self) -> int:
        """Return the time since the request was sent, 0 if it was not."""
        if self.sent_ms is None:
            return 0
        return self._clock.now_ms() - self.sent_ms

    @property
    def crash_suspected(self) -> bool:
        """Return whether the endpoint was lost before its answer went on."""
        return not self.answer_went_on and self.loss in _CRASH_LOSSES

    def mark_complete(self) -> None:
        """Record that the response was read completely."""
        self._complete = True

    def close(self) -> None:
        """Release the connection; close it if the response is incomplete."""
        self._report(None, ended=True)
        self._release_prefill()
        if self._load_counted and self._load is not None:
            self._load.end()
        self._load_counted = False
        if self._connection is None:
            return
        if self._complete and not self.leaving:
            self._pool.release(self.destination.address, self._connection)
        else:
            self._connection.close()
        self._connection = None

    def _report(self, first_event_ms: int | None, *, ended: bool) -> None:
        """Tell the VM that granted the endpoint how the request goes on."""
        grant = self.destination.grant
        if grant is None or self._placements is None:
            return
        progress = PlacementProgress(
            grant.number,
            first_event_ms,
            ended=ended,
            failed=self.sent_ms is None or self.loss is not None,
            percent=self._percent,
        )
        self._placements.report(grant.placing_vm, progress)

    def _count_load(self, plan: RequestPlan) -> None:
        if self._load is not None:
            if self.destination.expectation is not None:
                self._rank = plan.metadata.urgency
            self._pending_tokens = self._load.begin(
                plan.metadata.prompt, self._clock.now_ms(), self._rank
            )
            self._load_counted = True

    def _headers(self, request: HttpRequest, plan: RequestPlan) -> list[Header]:
        now_ms = self._clock.now_ms()
        record = self.destination.record
        if record is None:
            metadata = base64.b64encode(
                encode(remaining_metadata(plan, now_ms))
            )
            headers = self._dialect.forward_headers(request)
            return [*headers, (FORWARD_HEADER, metadata)]
        send = SendMetadata(
            record.endpoint_id,
            max(1, plan.deadline_ms - now_ms),
            plan.metadata.customer,
            plan.metadata.urgency,
            plan.metadata.resume_after,
        )
        return self._dialect.endpoint_headers(request, send)

    def _note_leaving(
        self, head: ResponseHead, metadata: ResponseMetadata
    ) -> None:
        # A misdirected request was answered by another endpoint.
        if metadata.leaving and head.status != _MISDIRECTED:
            self.leaving = True

    def _matches(self, head: ResponseHead, request_id: str) -> bool:
        if self._outcome(head) is not None:
            return True
        metadata = self._dialect.read_response(head)
        if metadata.request_id == request_id:
            return True
        # Without an id, a failure on a kept connection may be one of an
        # earlier request that is sent once more.
        is_only = not self.reused and metadata.request_id is None
        if is_only and head.status >= _REDIRECT:
            return True
        self._note_leaving(head, metadata)
        self.skipped_statuses.append(head.status)
        return False

    def _outcome(self, head: ResponseHead) -> bytes | None:
        """Return what a VM states about the request; endpoints cannot."""
        if self.destination.record is not None:
            return None
        return head.header(OUTCOME_HEADER.lower())

    def _classify(
        self, head: ResponseHead, metadata: ResponseMetadata
    ) -> ResponseKind:
        outcome = self._outcome(head)
        if outcome is not None:
            not_run = outcome == NOT_RUN
            return (
                ResponseKind.REGION_REFUSED
                if not_run
                else ResponseKind.UNUSABLE
            )
        if head.status == _MISDIRECTED:
            return ResponseKind.MISDIRECTED
        if metadata.not_executed:
            return ResponseKind.NOT_EXECUTED
        if head.status in _NOT_RUN_STATUSES:
            # The status alone is no proof; only an explicit statement by the
            # endpoint counts as not executed.
            return ResponseKind.UNUSABLE
        if _OK <= head.status < _REDIRECT:
            return (
                ResponseKind.RESULT
                if metadata.signed
                else ResponseKind.UNUSABLE
            )
        return ResponseKind.FAILURE


class ResponseBody(msgspec.Struct, frozen=True):
    """Hold the part of a body that was read; complete marks its end."""

    content: bytes
    complete: bool


async def read_body(
    opened: OpenedResponse, buffers: BufferBudget
) -> ResponseBody | ResponseLoss:
    """Return the body, or its beginning if it exceeds what may be buffered.

    A whole body can still be replaced by a retry if it is truncated.
    """
    limit = buffers.reserve(opened.head.length)
    try:
        return await _read_up_to(opened, limit)
    finally:
        buffers.release(limit)


async def _read_up_to(
    opened: OpenedResponse, limit: int
) -> ResponseBody | ResponseLoss:
    content = bytearray()
    while len(content) <= limit:
        block = await opened.connection.read_block()
        if isinstance(block, ResponseLoss):
            return block
        if not block:
            return ResponseBody(bytes(content), complete=True)
        content += block
    return ResponseBody(bytes(content), complete=False)


def caller_headers(head: ResponseHead) -> list[Header]:
    """Return the headers of a response that callers get."""
    return [
        pair
        for pair in end_to_end_headers(head.headers)
        if not pair[0].lower().startswith(_INTERNAL_PREFIX)
    ]
