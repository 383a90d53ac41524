"""Limit the spillover of a VM to other regions."""

from collections import deque

import msgspec
from baobabwharf_core.ids import ModelId, RegionId, RequestId, ServiceId

# Requests that may go to other regions in a burst after an idle period.
_SPILLOVER_BURST = 8.0
_MS_PER_S = 1000
_BITS_PER_BYTE = 8
# Share of a link that spillover may use; the rest is for configuration,
# heartbeats and responses that are longer than expected.
_LINK_SHARE = 0.7
# A link counts as saturated at this queueing delay.
LINK_QUEUE_MS = 250

Destination = tuple[RegionId, ServiceId, ModelId | None]


class SpilloverBudget(msgspec.Struct):
    """Limit spillover to a budget, earned as a share of the requests."""

    level: float = 0.0

    def earn(self, max_away_share: float) -> None:
        """Add the share that one request of the class earns."""
        self.level = min(_SPILLOVER_BURST, self.level + max_away_share)

    @property
    def available(self) -> bool:
        """Return whether one more request may go to another region."""
        return self.level >= 1

    def spend(self) -> None:
        """Charge a request that was sent to another region."""
        self.level -= 1


class LinkMeter(msgspec.Struct):
    """Track this VM's share of a link as a leaky bucket of bytes."""

    delay_ms: float
    bytes_per_ms: float
    queued_bytes: float = 0.0
    updated_ms: int = 0

    def queue_ms(self, now_ms: int, vms: int) -> float:
        """Return the time to transmit the queued bytes, in ms.

        The link is shared evenly by the given number of VMs.
        """
        rate = self.bytes_per_ms * _LINK_SHARE / max(1, vms)
        drained = (now_ms - self.updated_ms) * rate
        self.queued_bytes = max(0.0, self.queued_bytes - drained)
        self.updated_ms = now_ms
        return self.queued_bytes / rate

    def record_sent(self, size: int) -> None:
        """Record bytes sent."""
        self.queued_bytes += size


def link_meter(delay_ms: float, bandwidth_mbit_s: float) -> LinkMeter:
    """Return a link meter for the given delay and bandwidth."""
    bytes_per_ms = bandwidth_mbit_s * _MS_PER_S / _BITS_PER_BYTE
    return LinkMeter(delay_ms, bytes_per_ms)


class RecentSends:
    """Track requests to a region that its last summary does not include."""

    def __init__(self) -> None:
        self._times: deque[int] = deque()

    def record_sent(self, now_ms: int) -> None:
        """Record a request."""
        self._times.append(now_ms)

    def since(self, summary_ms: int) -> int:
        """Return the number of requests sent after a summary was made."""
        while self._times and self._times[0] <= summary_ms:
            self._times.popleft()
        return len(self._times)


class InFlightRequests:
    """Track the running requests that this VM sent to other regions."""

    def __init__(self) -> None:
        self._entries: dict[RequestId, tuple[Destination, int]] = {}
        self._counts: dict[Destination, int] = {}

    def count(self, destination: Destination) -> int:
        """Return the number of running requests to a destination."""
        return self._counts.get(destination, 0)

    def begin(
        self, request_id: RequestId, destination: Destination, until_ms: int
    ) -> None:
        """Track a request until it ends or its time limit passes."""
        self.end(request_id)
        self._entries[request_id] = (destination, until_ms)
        self._counts[destination] = self._counts.get(destination, 0) + 1

    def end(self, request_id: RequestId) -> None:
        """Forget a request that ended."""
        entry = self._entries.pop(request_id, None)
        if entry is not None:
            self._counts[entry[0]] -= 1

    def expire(self, now_ms: int) -> None:
        """Forget requests whose time limit has passed."""
        overdue = [
            request_id
            for request_id, entry in self._entries.items()
            if now_ms >= entry[1]
        ]
        for request_id in overdue:
            self.end(request_id)
