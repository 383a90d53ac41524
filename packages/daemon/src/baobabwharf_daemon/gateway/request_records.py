"""Record the history of recent requests for operators."""

from collections import OrderedDict

from baobabwharf_core.clock import Clock
from baobabwharf_core.statechart import load_chart

_CHART = load_chart('request_lifecycle')
MAX_RECORDS = 4096
MAX_SENTENCES = 32


class RequestRecord:
    """Hold the state and the history of one request.

    The states and events are those of the request_lifecycle state chart.
    """

    __slots__ = ('_clock', '_sentences', '_start_ms', '_state', 'request_id')

    def __init__(self, request_id: str, clock: Clock) -> None:
        self.request_id = request_id
        self._clock = clock
        self._start_ms = clock.now_ms()
        self._state = _CHART.initial
        self._sentences: list[tuple[int, str]] = []

    @property
    def state(self) -> str:
        """Return the current state in the chart."""
        return self._state

    @property
    def finished(self) -> bool:
        """Return whether the request has ended."""
        return _CHART.is_final(self._state)

    def step(self, event: str) -> None:
        """Apply an event of the chart."""
        self._state = _CHART.step(self._state, event)

    def end(self, event: str) -> None:
        """Apply a final event if the current state accepts it."""
        if _CHART.accepts(self._state, event):
            self._state = _CHART.step(self._state, event)

    def note(self, sentence: str) -> None:
        """Append a sentence to the history, up to MAX_SENTENCES."""
        if len(self._sentences) < MAX_SENTENCES:
            elapsed_ms = self._clock.now_ms() - self._start_ms
            self._sentences.append((elapsed_ms, sentence))

    def sentences(self) -> tuple[str, ...]:
        """Return the history, with times in ms since the start."""
        lines = [
            f'{elapsed_ms} ms: {text}' for elapsed_ms, text in self._sentences
        ]
        return (*lines, f'The request is {self._state}.')


class RequestRecords:
    """Store a bounded number of records; the oldest are evicted first."""

    def __init__(self, clock: Clock, max_records: int = MAX_RECORDS) -> None:
        self._clock = clock
        self._max_records = max_records
        self._records: OrderedDict[str, RequestRecord] = OrderedDict()

    def open(self, request_id: str) -> RequestRecord:
        """Create and store the record of a request."""
        record = RequestRecord(request_id, self._clock)
        self._records[request_id] = record
        if len(self._records) > self._max_records:
            self._records.popitem(last=False)
        return record

    def find(self, request_id: str) -> RequestRecord | None:
        """Return the record of a request, or None if it was evicted."""
        return self._records.get(request_id)
