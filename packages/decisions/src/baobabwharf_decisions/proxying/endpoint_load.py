"""Follow what this VM has running at an endpoint and how it fares."""

from typing import final

import msgspec
from baobabwharf_core.ids import EndpointId, VmId

from baobabwharf_decisions.proxying import prefill_burst
from baobabwharf_decisions.proxying.prefill_rate import DecayingTokenSum
from baobabwharf_decisions.proxying.prompt_cache import Prompt, PromptCache

_FAILURE_WEIGHT = 0.15
# More failures than this share, beside a sound alternative, mark an endpoint.
_FAILING_SHARE = 0.3
_MIN_BACKOFF_MS = 300
_MAX_BACKOFF_MS = 5000


class LoadSample(msgspec.Struct, frozen=True):
    """Hold what an endpoint told about its load from all callers."""

    running: int
    waiting: int
    slots: int


class LoadShare(msgspec.Struct, frozen=True, array_like=True):
    """Tell other VMs of the region what this VM has at an endpoint."""

    running: int
    unread_tokens: int
    recent_tokens: int
    burst_tokens: int


NO_LOAD = LoadShare(0, 0, 0, 0)


@final
class PeerLoad:
    """Hold what another VM told last."""

    def __init__(self) -> None:
        self.running = 0
        self.unread_tokens = 0
        self.recent_sum = DecayingTokenSum()
        self.burst_sum = DecayingTokenSum(prefill_burst.BURST_WINDOW_MS)
        self.heard_ms = 0


@final
class EndpointLoad:
    """Count the own requests at one endpoint."""

    def __init__(self, cache_tokens: int) -> None:
        self.cache = PromptCache(cache_tokens)
        self.running = 0
        self.unread_tokens = 0
        self.sample: LoadSample | None = None
        self.sampled_ms = 0
        self.recent_sum = DecayingTokenSum()
        self.burst_sum = DecayingTokenSum(prefill_burst.BURST_WINDOW_MS)
        # What other VMs of the region have there, as they told last.
        self.others: dict[VmId, PeerLoad] = {}
        self.failure_share = 0.0
        self._backoffs = 0
        self.backoff_until_ms = 0

    @property
    def total_pending_tokens(self) -> int:
        """Return the unread prompt tokens of all known requests."""
        others = sum(other.unread_tokens for other in self.others.values())
        return self.unread_tokens + others

    @property
    def total_running(self) -> int:
        """Return the running requests of all known VMs."""
        others = sum(other.running for other in self.others.values())
        return self.running + others

    @property
    def failing(self) -> bool:
        """Tell whether it fails so often that others are preferred."""
        return self.failure_share > _FAILING_SHARE

    def recent_tokens(self, now_ms: int) -> float:
        """Return the decayed sum of prompt tokens sent by all known VMs."""
        others = sum(
            other.recent_sum.recent(now_ms) for other in self.others.values()
        )
        return self.recent_sum.recent(now_ms) + others

    def burst_tokens(self, now_ms: int) -> float:
        """Return the same over about one pause of a stream."""
        others = sum(
            other.burst_sum.recent(now_ms) for other in self.others.values()
        )
        return self.burst_sum.recent(now_ms) + others

    def share(self, now_ms: int) -> LoadShare:
        """Return what other VMs need to know of the own requests."""
        return LoadShare(
            self.running,
            self.unread_tokens,
            int(self.recent_sum.recent(now_ms)),
            int(self.burst_sum.recent(now_ms)),
        )

    def note_share(self, vm_id: VmId, share: LoadShare, now_ms: int) -> None:
        """Take what another VM has running here."""
        known = self.others.setdefault(vm_id, PeerLoad())
        known.running = share.running
        known.unread_tokens = share.unread_tokens
        known.recent_sum.put(share.recent_tokens, now_ms)
        known.burst_sum.put(share.burst_tokens, now_ms)
        known.heard_ms = now_ms

    def drop_share(self, vm_id: VmId) -> None:
        """Note that another VM has nothing running here."""
        self.others.pop(vm_id, None)

    def told_age_ms(self, now_ms: int) -> int | None:
        """Return how old the oldest share of another VM is."""
        heard = [other.heard_ms for other in self.others.values()]
        return now_ms - min(heard) if heard else None

    def forget_silent(self, silent_ms: int, now_ms: int) -> None:
        """Drop the shares of VMs that told nothing for too long."""
        self.others = {
            vm_id: other
            for vm_id, other in self.others.items()
            if now_ms - other.heard_ms <= silent_ms
        }

    def begin(self, prompt: Prompt, now_ms: int) -> int:
        """Count a request that is sent; return its unread tokens."""
        unread = self.cache.unread_tokens(prompt)
        self.cache.note_prefilled(prompt)
        self.recent_sum.add(unread, now_ms)
        self.burst_sum.add(unread, now_ms)
        self.running += 1
        self.unread_tokens += unread
        return unread

    def read(self, unread: int) -> None:
        """Note that the prompt of a request has been read."""
        self.unread_tokens -= unread

    def end(self) -> None:
        """Count a request as ended."""
        self.running -= 1

    def note_sample(self, sample: LoadSample, now_ms: int) -> None:
        """Take what the endpoint says about its load."""
        self.sample = sample
        self.sampled_ms = now_ms

    def reported(self, now_ms: int) -> str | None:
        """Return the load that the endpoint stated last, for the log."""
        sample = self.sample
        if sample is None:
            return None
        return (
            f'{sample.running} running, {sample.waiting} waiting, '
            f'{now_ms - self.sampled_ms} ms ago'
        )

    def note_outcome(self, failed: bool) -> None:
        """Learn from the end of an attempt."""
        self.failure_share += _FAILURE_WEIGHT * (failed - self.failure_share)
        if not failed:
            self._backoffs = 0

    def rest(self, now_ms: int) -> None:
        """Send nothing for a while, longer after each failure in a row."""
        pause_ms = min(_MAX_BACKOFF_MS, _MIN_BACKOFF_MS * 2**self._backoffs)
        self._backoffs += 1
        self.backoff_until_ms = now_ms + pause_ms


class Candidate(msgspec.Struct):
    """Pair an endpoint with its load."""

    endpoint_id: EndpointId
    load: EndpointLoad
    slots: int
