"""Track the load and failures of an endpoint as this VM sees them."""

from typing import final

import msgspec
from baobabwharf_core.ids import EndpointId, VmId

from baobabwharf_decisions.proxying import prefill_burst
from baobabwharf_decisions.proxying.prefill_rate import DecayingTokenSum
from baobabwharf_decisions.proxying.prompt_cache import Prompt, PromptCache

_FAILURE_WEIGHT = 0.15
# Endpoints above this failure share are avoided if enough others are healthy.
_FAILING_SHARE = 0.3
_MIN_BACKOFF_MS = 300
_MAX_BACKOFF_MS = 5000


class LoadSample(msgspec.Struct, frozen=True):
    """Hold the load from all callers as an endpoint reported it."""

    running: int
    waiting: int
    slots: int


class LoadShare(msgspec.Struct, frozen=True, array_like=True):
    """Hold the part of an endpoint's load that one VM causes."""

    running: int
    unread_tokens: int
    recent_tokens: int
    burst_tokens: int


NO_LOAD = LoadShare(0, 0, 0, 0)


@final
class PeerLoad:
    """Hold the load share that another VM reported last."""

    def __init__(self) -> None:
        self.running = 0
        self.pending_tokens = 0
        self.recent_sum = DecayingTokenSum()
        self.burst_sum = DecayingTokenSum(prefill_burst.BURST_WINDOW_MS)
        self.reported_ms = 0


@final
class EndpointLoad:
    """Track the requests of this VM and its peers at one endpoint."""

    def __init__(self, cache_tokens: int) -> None:
        self.cache = PromptCache(cache_tokens)
        self.running = 0
        self.pending_tokens = 0
        self.sample: LoadSample | None = None
        self.sampled_ms = 0
        self.recent_sum = DecayingTokenSum()
        self.burst_sum = DecayingTokenSum(prefill_burst.BURST_WINDOW_MS)
        # The last reported load shares of other VMs of the region.
        self.others: dict[VmId, PeerLoad] = {}
        self.failure_share = 0.0
        self._backoffs = 0
        self.backoff_until_ms = 0

    @property
    def total_pending_tokens(self) -> int:
        """Return the prompt tokens of all VMs that await prefill."""
        others = sum(other.pending_tokens for other in self.others.values())
        return self.pending_tokens + others

    @property
    def total_running(self) -> int:
        """Return the running requests of all VMs."""
        others = sum(other.running for other in self.others.values())
        return self.running + others

    @property
    def failing(self) -> bool:
        """Return whether failures are so frequent that others are preferred."""
        return self.failure_share > _FAILING_SHARE

    def recent_tokens(self, now_ms: int) -> float:
        """Return the decayed sum of uncached prompt tokens sent by all VMs."""
        others = sum(
            other.recent_sum.recent(now_ms) for other in self.others.values()
        )
        return self.recent_sum.recent(now_ms) + others

    def burst_tokens(self, now_ms: int) -> float:
        """Return the same sum over about one pause of a stream."""
        others = sum(
            other.burst_sum.recent(now_ms) for other in self.others.values()
        )
        return self.burst_sum.recent(now_ms) + others

    def share(self, now_ms: int) -> LoadShare:
        """Return the load of this VM's requests to report to other VMs."""
        return LoadShare(
            self.running,
            self.pending_tokens,
            int(self.recent_sum.recent(now_ms)),
            int(self.burst_sum.recent(now_ms)),
        )

    def note_share(self, vm_id: VmId, share: LoadShare, now_ms: int) -> None:
        """Store the load share that another VM reported."""
        known = self.others.setdefault(vm_id, PeerLoad())
        known.running = share.running
        known.pending_tokens = share.unread_tokens
        known.recent_sum.put(share.recent_tokens, now_ms)
        known.burst_sum.put(share.burst_tokens, now_ms)
        known.reported_ms = now_ms

    def drop_share(self, vm_id: VmId) -> None:
        """Remove the share of a VM that has no requests here."""
        self.others.pop(vm_id, None)

    def told_age_ms(self, now_ms: int) -> int | None:
        """Return the age of the oldest share of another VM, None if none."""
        reported_times = [other.reported_ms for other in self.others.values()]
        return now_ms - min(reported_times) if reported_times else None

    def forget_silent(self, silent_ms: int, now_ms: int) -> None:
        """Drop the shares of VMs that sent no report for silent_ms."""
        self.others = {
            vm_id: other
            for vm_id, other in self.others.items()
            if now_ms - other.reported_ms <= silent_ms
        }

    def begin(self, prompt: Prompt, now_ms: int) -> int:
        """Count a sent request; return its uncached prompt tokens."""
        uncached = self.cache.uncached_tokens(prompt)
        self.cache.note_prefilled(prompt)
        self.recent_sum.add(uncached, now_ms)
        self.burst_sum.add(uncached, now_ms)
        self.running += 1
        self.pending_tokens += uncached
        return uncached

    def read(self, uncached: int) -> None:
        """Record that the prefill of a request has finished."""
        self.pending_tokens -= uncached

    def end(self) -> None:
        """Count a request as finished."""
        self.running -= 1

    def note_sample(self, sample: LoadSample, now_ms: int) -> None:
        """Store the load that the endpoint reported."""
        self.sample = sample
        self.sampled_ms = now_ms

    def reported(self, now_ms: int) -> str | None:
        """Describe the last load reported by the endpoint, for the log."""
        sample = self.sample
        if sample is None:
            return None
        return (
            f'{sample.running} running, {sample.waiting} waiting, '
            f'{now_ms - self.sampled_ms} ms ago'
        )

    def note_outcome(self, failed: bool) -> None:
        """Update the failure share after an attempt."""
        self.failure_share += _FAILURE_WEIGHT * (failed - self.failure_share)
        if not failed:
            self._backoffs = 0

    def rest(self, now_ms: int) -> None:
        """Start a back-off that doubles with each consecutive failure."""
        backoff_ms = min(_MAX_BACKOFF_MS, _MIN_BACKOFF_MS * 2**self._backoffs)
        self._backoffs += 1
        self.backoff_until_ms = now_ms + backoff_ms


class Candidate(msgspec.Struct):
    """Describe an endpoint that a request may be placed on."""

    endpoint_id: EndpointId
    load: EndpointLoad
    slots: int
