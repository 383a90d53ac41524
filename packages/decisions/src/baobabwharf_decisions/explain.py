"""Record the decisions about a request and explain them in sentences."""

import enum
from collections import OrderedDict

import msgspec
from baobabwharf_core.ids import RequestId

_MAX_REQUESTS = 2000
_MAX_DECISIONS = 8


class DecisionKind(enum.Enum):
    """Name the kinds of decisions; the value is a sentence template."""

    REGION = 'Region {subject} was chosen: {detail}.'
    ENDPOINT = 'Endpoint {subject} was chosen: {detail}.'
    QUEUED = 'The request waited in the queue of {subject}: {detail}.'
    REFUSED = 'The request was refused as {subject}: {detail}.'
    ENDED = 'The attempt at endpoint {subject} ended: {detail}.'
    RETRIED = 'The request was tried again after {subject}: {detail}.'


class Decision(msgspec.Struct, frozen=True):
    """Record one decision about a request."""

    at_ms: int
    kind: DecisionKind
    subject: str
    detail: str

    def sentence(self, began_ms: int) -> str:
        """Return the decision as a sentence with the time since began_ms."""
        text = self.kind.value.format(subject=self.subject, detail=self.detail)
        return f'After {self.at_ms - began_ms} ms: {text}'


class DecisionLog:
    """Hold the first decisions about each of the newest requests."""

    def __init__(self, max_requests: int = _MAX_REQUESTS) -> None:
        self._max_requests = max_requests
        self._records: OrderedDict[RequestId, list[Decision]] = OrderedDict()

    def __len__(self) -> int:
        return len(self._records)

    def add(self, request_id: RequestId, decision: Decision) -> None:
        """Record a decision; when full, the oldest request is dropped."""
        record = self._records.get(request_id)
        if record is None:
            record = []
            self._records[request_id] = record
            if len(self._records) > self._max_requests:
                self._records.popitem(last=False)
        if len(record) < _MAX_DECISIONS:
            record.append(decision)

    def sentences(self, request_id: RequestId) -> tuple[str, ...]:
        """Return the sentences of a request; none if it was dropped."""
        record = self._records.get(request_id, [])
        return tuple(decision.sentence(record[0].at_ms) for decision in record)
