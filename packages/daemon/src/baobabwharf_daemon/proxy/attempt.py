"""Make one attempt: send a request and read what comes back."""

import base64
import enum
from typing import final

import msgspec
from baobabwharf_core.clock import Clock
from baobabwharf_core.codec import encode
from baobabwharf_decisions.proxying.attempt_outcomes import AttemptEnd
from baobabwharf_decisions.proxying.endpoint_load import EndpointLoad

from baobabwharf_daemon.proxy.connection_pool import ConnectionPool
from baobabwharf_daemon.proxy.dialect import Dialect, SendFacts
from baobabwharf_daemon.proxy.endpoint_connection import EndpointConnection
from baobabwharf_daemon.proxy.messages import (
    Header,
    ReplyFacts,
    ReplyHead,
    WireRequest,
    encode_request,
)
from baobabwharf_daemon.proxy.placer import Place
from baobabwharf_daemon.proxy.plan import Plan, facts_left
from baobabwharf_daemon.proxy.reply_reader import Lost

# Between VMs: the facts of a forwarded request, and how a refusal is meant.
FORWARD_HEADER = b'Baobabwharf-Forward'
OUTCOME_HEADER = b'Baobabwharf-Outcome'
RETRY_HEADER = b'Baobabwharf-Retry-Ms'
NOT_RUN = b'not_run'
MAY_HAVE_RUN = b'may_have_run'
HEAD = b'HEAD'

_REDIRECT = 300
_OK = 200
_MISDIRECTED = 421
# Statuses that promise that a request did not run.
_PROMISES = frozenset((408, 421, 429, 503))


class ReplyKind(enum.Enum):
    """Tell what a reply means for its request."""

    RESULT = 'result'
    FAILURE = 'failure'
    NOT_EXECUTED = 'not_executed'
    MISDIRECTED = 'misdirected'
    REGION_REFUSED = 'region_refused'
    UNUSABLE = 'unusable'


class Opened(msgspec.Struct):
    """Hold an attempt whose reply has begun."""

    connection: EndpointConnection
    head: ReplyHead
    facts: ReplyFacts
    kind: ReplyKind


@final
class Attempt:
    """Own one send and give its connection and load back at the end."""

    def __init__(
        self,
        pool: ConnectionPool,
        dialect: Dialect,
        clock: Clock,
        place: Place,
        load: EndpointLoad | None,
    ) -> None:
        self._pool = pool
        self._dialect = dialect
        self._clock = clock
        self._load = load
        self._connection: EndpointConnection | None = None
        self._unread = 0
        self._whole = False
        self._counted = False
        self.place = place
        self.reused = False
        self.sent_ms: int | None = None

    async def open(
        self, request: WireRequest, plan: Plan
    ) -> Opened | AttemptEnd:
        """Send the request; return its reply's head or how it ended."""
        connection = await self._pool.take(self.place.address)
        if connection is None:
            return AttemptEnd.NOT_SENT
        self._connection = connection
        self.reused = connection.used > 0
        self._count(plan)
        self.sent_ms = self._clock.now_ms()
        payload = encode_request(request, self._headers(request, plan))
        request_id = plan.facts.request_id
        connection.send(
            payload,
            lambda head: self._belongs(head, request_id),
            bodiless=request.method == HEAD,
        )
        head = await connection.head()
        if isinstance(head, Lost):
            return AttemptEnd.LOST
        facts = self._dialect.read_reply(head)
        return Opened(connection, head, facts, self._kind(head, facts))

    def prompt_read(self) -> None:
        """Note that the endpoint has read the prompt."""
        if self._load is not None and self._unread:
            self._load.read(self._unread)
        self._unread = 0

    def whole(self) -> None:
        """Note that the reply was read to its end."""
        self._whole = True

    def close(self) -> None:
        """Give back the connection if its reply was whole, else drop it."""
        self.prompt_read()
        if self._counted and self._load is not None:
            self._load.end()
        self._counted = False
        if self._connection is None:
            return
        if self._whole:
            self._pool.give_back(self.place.address, self._connection)
        else:
            self._connection.close()
        self._connection = None

    def _count(self, plan: Plan) -> None:
        if self._load is not None:
            self._unread = self._load.begin(
                plan.facts.prompt, self._clock.now_ms()
            )
            self._counted = True

    def _headers(self, request: WireRequest, plan: Plan) -> list[Header]:
        now_ms = self._clock.now_ms()
        record = self.place.record
        if record is None:
            facts = base64.b64encode(encode(facts_left(plan, now_ms)))
            kept = self._dialect.forward_headers(request)
            return [*kept, (FORWARD_HEADER, facts)]
        send = SendFacts(
            record.endpoint_id,
            max(1, plan.deadline_ms - now_ms),
            plan.facts.customer,
            plan.facts.urgency,
            plan.facts.resume_after,
        )
        return self._dialect.endpoint_headers(request, send)

    def _belongs(self, head: ReplyHead, request_id: str) -> bool:
        if head.header(OUTCOME_HEADER.lower()) is not None:
            return True
        facts = self._dialect.read_reply(head)
        if facts.request_id is None:
            return head.status >= _REDIRECT
        return facts.request_id == request_id

    def _kind(self, head: ReplyHead, facts: ReplyFacts) -> ReplyKind:
        outcome = head.header(OUTCOME_HEADER.lower())
        if outcome is not None:
            not_run = outcome == NOT_RUN
            return ReplyKind.REGION_REFUSED if not_run else ReplyKind.UNUSABLE
        if head.status == _MISDIRECTED:
            return ReplyKind.MISDIRECTED
        if facts.not_executed:
            return ReplyKind.NOT_EXECUTED
        if head.status in _PROMISES:
            # Only what is stated to be not executed may be passed on so.
            return ReplyKind.UNUSABLE
        if _OK <= head.status < _REDIRECT:
            return ReplyKind.RESULT if facts.signed else ReplyKind.UNUSABLE
        return ReplyKind.FAILURE


class Body(msgspec.Struct, frozen=True):
    """Hold what was read of a body; whole tells that nothing follows."""

    content: bytes
    whole: bool


async def read_rest(opened: Opened, limit: int) -> Body | Lost:
    """Return the body, or its beginning if it is longer than the limit."""
    content = bytearray()
    while len(content) <= limit:
        block = await opened.connection.block()
        if isinstance(block, Lost):
            return block
        if not block:
            return Body(bytes(content), whole=True)
        content += block
    return Body(bytes(content), whole=False)
