"""Record deadlines so that no later step can extend them."""

from collections import OrderedDict

from baobabwharf_core.ids import RequestId
from baobabwharf_core.requests import RequestAttributes

_MAX_DEADLINES = 20_000


class Deadlines:
    """Hold the deadline of each request on the clock of this VM."""

    def __init__(self, max_deadlines: int = _MAX_DEADLINES) -> None:
        self._max_deadlines = max_deadlines
        self._deadlines: OrderedDict[RequestId, int] = OrderedDict()

    def __len__(self) -> int:
        return len(self._deadlines)

    def of(self, attributes: RequestAttributes, now_ms: int) -> int:
        """Return the deadline of a request; the first call fixes it."""
        deadline_at_ms = now_ms + attributes.deadline_ms
        known_ms = self._deadlines.get(attributes.request_id)
        if known_ms is not None:
            return min(known_ms, deadline_at_ms)
        self._deadlines[attributes.request_id] = deadline_at_ms
        if len(self._deadlines) > self._max_deadlines:
            self._deadlines.popitem(last=False)
        return deadline_at_ms

    def forget(self, request_id: RequestId) -> None:
        """Forget a request that ended."""
        self._deadlines.pop(request_id, None)

    def expire(self, now_ms: int) -> None:
        """Forget the oldest requests whose deadline has passed."""
        while self._deadlines:
            request_id, deadline_at_ms = next(iter(self._deadlines.items()))
            if deadline_at_ms > now_ms:
                return
            self._deadlines.pop(request_id)
