"""Track the load and the failures of an endpoint."""

from typing import final

import msgspec
from baobabwharf_core.ids import EndpointId, VmId
from baobabwharf_core.input_types import Amount

from baobabwharf_decisions.proxying import prefill_burst
from baobabwharf_decisions.proxying.endpoint_availability import (
    EndpointAvailability,
)
from baobabwharf_decisions.proxying.prefill_rate import DecayingTokenSum
from baobabwharf_decisions.proxying.prompt_cache import Prompt, PromptCache

_FAILURE_WEIGHT = 0.15
# Endpoints above this failure share are avoided if enough others are healthy.
_FAILING_SHARE = 0.3


class LoadSample(msgspec.Struct, frozen=True):
    """Hold the total load that an endpoint reported about itself."""

    running: int
    waiting: int
    slots: int


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
        self.peer_loads: dict[VmId, PeerLoad] = {}
        self.failure_share = 0.0
        self.availability = EndpointAvailability()

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

    def begin(self, prompt: Prompt, now_ms: int) -> int:
        """Count a sent request; return its uncached prompt tokens."""
        uncached = self.cache.uncached_tokens(prompt)
        self.cache.note_prefilled(prompt)
        self.recent_sum.add(uncached, now_ms)
        self.burst_sum.add(uncached, now_ms)
        self.running += 1
        self.pending_tokens += uncached
        return uncached

    def mark_prefilled(self, uncached: int) -> None:
        """Count the uncached tokens of a request as prefilled."""
        self.pending_tokens -= uncached

    def end(self) -> None:
        """Count a request as finished."""
        self.running -= 1

    def note_sample(self, sample: LoadSample, now_ms: int) -> None:
        """Store the load that the endpoint reported."""
        self.sample = sample
        self.sampled_ms = now_ms

    def describe_sample(self, now_ms: int) -> str | None:
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
            self.availability.note_success()


class Candidate(msgspec.Struct):
    """Describe an endpoint that a request may be placed on."""

    endpoint_id: EndpointId
    load: EndpointLoad
    slots: int
