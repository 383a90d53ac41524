"""Track the load and the failures of an endpoint."""

from typing import final

import msgspec
from baobabwharf_core.ids import EndpointId, VmId
from baobabwharf_core.input_types import Amount

from baobabwharf_decisions.proxying import prefill_burst
from baobabwharf_decisions.proxying.endpoint_availability import (
    EndpointAvailability,
)
from baobabwharf_decisions.proxying.engine_profile import (
    EngineProfile,
    EngineSpeed,
    PresentSpeed,
)
from baobabwharf_decisions.proxying.prefill_rate import DecayingTokenSum
from baobabwharf_decisions.proxying.prompt_cache import Prompt, PromptCache

_FAILURE_WEIGHT = 0.15
# Endpoints above this failure share are avoided if enough others are healthy.
_FAILING_SHARE = 0.3


class LoadSample(msgspec.Struct, frozen=True):
    """Hold the total load that an endpoint reported about itself.

    percent tells how long work takes there now, 100 if as long as usual; None
    if the endpoint did not say.
    """

    running: int
    waiting: int
    slots: int
    percent: int | None = None


class LoadShare(msgspec.Struct, frozen=True, array_like=True):
    """Hold the load that one VM causes at an endpoint.

    unread_tokens are the prompt tokens that await prefill.
    """

    running: Amount
    unread_tokens: Amount
    recent_tokens: Amount
    burst_tokens: Amount


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
class ReportedLoad:
    """Hold the load that an endpoint reported last."""

    def __init__(self) -> None:
        self._sample: LoadSample | None = None
        self._sampled_ms = 0
        self.speed = PresentSpeed()

    def note(self, sample: LoadSample, now_ms: int) -> None:
        """Store a report."""
        self._sample = sample
        self._sampled_ms = now_ms
        if sample.percent is not None:
            self.speed.note(sample.percent, now_ms)

    def describe(self, now_ms: int) -> str | None:
        """Describe the last report, for the log; None if there is none."""
        sample = self._sample
        if sample is None:
            return None
        percent = '' if sample.percent is None else f', {sample.percent}%'
        return (
            f'{sample.running} running, {sample.waiting} waiting{percent}, '
            f'{now_ms - self._sampled_ms} ms ago'
        )


@final
class EndpointLoad:
    """Track the requests of this VM and its peers at one endpoint."""

    def __init__(self, cache_tokens: int) -> None:
        self.cache = PromptCache(cache_tokens)
        self.running = 0
        self.pending_tokens = 0
        self.reported = ReportedLoad()
        self.recent_sum = DecayingTokenSum()
        self.burst_sum = DecayingTokenSum(prefill_burst.BURST_WINDOW_MS)
        # The last reported load shares of other VMs of the region.
        self.peer_loads: dict[VmId, PeerLoad] = {}
        self.failure_share = 0.0
        self.availability = EndpointAvailability()
        self.profile = EngineProfile()
        # The part of pending_tokens whose rank is known.
        self._ranked_tokens = 0

    @property
    def total_pending_tokens(self) -> int:
        """Return the prompt tokens of all VMs that await prefill."""
        peer_tokens = sum(
            peer.pending_tokens for peer in self.peer_loads.values()
        )
        return self.pending_tokens + peer_tokens

    @property
    def total_running(self) -> int:
        """Return the running requests of all VMs."""
        peer_requests = sum(peer.running for peer in self.peer_loads.values())
        return self.running + peer_requests

    @property
    def failing(self) -> bool:
        """Return whether endpoints that fail less often are preferred."""
        return self.failure_share > _FAILING_SHARE

    def recent_tokens(self, now_ms: int) -> float:
        """Return the decayed sum of uncached prompt tokens sent by all VMs."""
        peer_tokens = sum(
            peer.recent_sum.recent(now_ms) for peer in self.peer_loads.values()
        )
        return self.recent_sum.recent(now_ms) + peer_tokens

    def burst_tokens(self, now_ms: int) -> float:
        """Return the same sum, decayed over BURST_WINDOW_MS instead."""
        peer_tokens = sum(
            peer.burst_sum.recent(now_ms) for peer in self.peer_loads.values()
        )
        return self.burst_sum.recent(now_ms) + peer_tokens

    def share(self, now_ms: int) -> LoadShare:
        """Return this VM's load share, to be reported to other VMs."""
        return LoadShare(
            self.running,
            self.pending_tokens,
            int(self.recent_sum.recent(now_ms)),
            int(self.burst_sum.recent(now_ms)),
        )

    def note_share(self, vm_id: VmId, share: LoadShare, now_ms: int) -> None:
        """Store the load share that another VM reported."""
        peer = self.peer_loads.setdefault(vm_id, PeerLoad())
        peer.running = share.running
        peer.pending_tokens = share.unread_tokens
        peer.recent_sum.replace(share.recent_tokens, now_ms)
        peer.burst_sum.replace(share.burst_tokens, now_ms)
        peer.reported_ms = now_ms

    def drop_share(self, vm_id: VmId) -> None:
        """Remove the share of a VM that has no requests here."""
        self.peer_loads.pop(vm_id, None)

    def oldest_report_age_ms(self, now_ms: int) -> int | None:
        """Return the age of the oldest share of another VM, None if none."""
        reported_times = [peer.reported_ms for peer in self.peer_loads.values()]
        return now_ms - min(reported_times) if reported_times else None

    def drop_silent_vms(self, silence_timeout_ms: int, now_ms: int) -> None:
        """Drop the shares of VMs that did not report within the time-out."""
        self.peer_loads = {
            vm_id: peer
            for vm_id, peer in self.peer_loads.items()
            if now_ms - peer.reported_ms <= silence_timeout_ms
        }

    def unranked_tokens(self) -> int:
        """Return the pending tokens of all VMs whose rank is not known."""
        return max(0, self.total_pending_tokens - self._ranked_tokens)

    def begin(
        self, prompt: Prompt, now_ms: int, rank: int | None = None
    ) -> int:
        """Count a sent request; return its uncached prompt tokens."""
        uncached = self.cache.uncached_tokens(prompt)
        self.cache.note_prefilled(prompt)
        self.recent_sum.add(uncached, now_ms)
        self.burst_sum.add(uncached, now_ms)
        self.running += 1
        self.pending_tokens += uncached
        if rank is not None:
            # What was queued before is worked off at the speed until now.
            speed = self.speed(now_ms).prefill_tokens_per_ms
            self.profile.queue.advance(speed, now_ms)
            self.profile.queue.add(rank, uncached, now_ms)
            self._ranked_tokens += uncached
        return uncached

    def mark_prefilled(self, uncached: int, rank: int | None = None) -> None:
        """Count the uncached tokens of a request as prefilled."""
        self.pending_tokens -= uncached
        if rank is not None:
            self.profile.queue.remove(rank, uncached)
            self._ranked_tokens -= uncached

    def end(self) -> None:
        """Count a request as finished."""
        self.running -= 1

    def speed(self, now_ms: int) -> EngineSpeed:
        """Return the speeds of the endpoint at this moment."""
        present = self.reported.speed.factor(now_ms)
        return self.profile.speed(now_ms).scaled(present)

    def note_outcome(self, failed: bool) -> None:
        """Update the failure share after an attempt."""
        self.failure_share += _FAILURE_WEIGHT * (failed - self.failure_share)
        if not failed:
            self.availability.note_success()


class Candidate(msgspec.Struct):
    """Describe an endpoint that a request may be placed on."""

    endpoint_id: EndpointId
    load: EndpointLoad
    slots: int
    # Tokens that the engine's memory holds, None if unknown.
    memory_tokens: int | None = None
