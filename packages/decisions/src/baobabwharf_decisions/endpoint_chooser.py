"""Choose an endpoint within a region by estimated latency."""

import random
from collections.abc import Iterator
from itertools import islice

import msgspec
from baobabwharf_core.ids import EndpointId, RegionId
from baobabwharf_core.invariants import check_invariant
from baobabwharf_core.requests import EndpointChoice, RequestAttributes

from baobabwharf_decisions.endpoint_directory import EndpointDirectory
from baobabwharf_decisions.endpoints import EndpointState, LatencyEstimate

# Number of best-ranked endpoints with room whose cost is computed exactly.
RATED_CANDIDATES = 7
_SCAN_LIMIT = 32
# Candidates for the estimate of a region, which needs no exact optimum.
ESTIMATE_CANDIDATES = 2
# VMs that act on the same report would all choose the same endpoint; a small
# random factor spreads their choice among endpoints of nearly equal cost.
_COST_JITTER = 0.05
# A request whose prefix is not cached anywhere goes to the owner of the prefix
# on the hash ring, so that the prefix is cached only once, unless the owner
# costs more than the best candidate by this factor.
_RING_COST_FACTOR = 1.25


class Candidate(msgspec.Struct, frozen=True):
    """Pair an endpoint with the estimated latency and cost of a request."""

    endpoint: EndpointState
    expected: LatencyEstimate
    cached_share: float
    cost: float


class EndpointChooser:
    """Choose among the usable endpoints of a directory."""

    def __init__(
        self, region: RegionId, directory: EndpointDirectory, rng: random.Random
    ) -> None:
        self._region = region
        self._directory = directory
        self._rng = rng

    def allows(self, attributes: RequestAttributes) -> bool:
        """Return whether the residency of a request allows this region."""
        return not attributes.residency or self._region in attributes.residency

    def choose(
        self,
        attributes: RequestAttributes,
        excluded: frozenset[EndpointId],
        reserve_share: float,
        now_ms: int,
        limit: int = RATED_CANDIDATES,
    ) -> Candidate | None:
        """Return the best endpoint with room outside the reserve, if any."""
        check_invariant(
            self.allows(attributes),
            'A request may only be placed in a region of its residency.',
        )
        best: Candidate | None = None
        rated = 0
        for endpoint in self._candidates(attributes, excluded):
            if not self._has_room(endpoint, reserve_share, now_ms):
                continue
            candidate = self._rate(attributes, endpoint, now_ms)
            if best is None or candidate.cost < best.cost:
                best = candidate
            rated += 1
            if rated >= limit:
                break
        if best is not None and attributes.prefix_hashes:
            return self._prefer_ring_owner(
                attributes, best, excluded, reserve_share, now_ms
            )
        return best

    def serves(self, attributes: RequestAttributes, now_ms: int) -> bool:
        """Return whether any endpoint of the region can serve the request."""
        group = self._directory.groups.get(
            (attributes.service, attributes.model)
        )
        if group is None:
            return False
        if any(True for _endpoint in group.ranked()):
            return True
        return any(
            self._directory.may_use(member, now_ms)
            for member in group.members.values()
        )

    def _candidates(
        self, attributes: RequestAttributes, excluded: frozenset[EndpointId]
    ) -> Iterator[EndpointState]:
        group = self._directory.groups.get(
            (attributes.service, attributes.model)
        )
        if group is None:
            return
        for holder in self._directory.prefix_index.holders(
            attributes.prefix_hashes
        ):
            member = group.members.get(holder)
            if member is not None and holder not in excluded:
                yield member
        for endpoint in islice(group.ranked(), _SCAN_LIMIT):
            if endpoint.endpoint_id not in excluded:
                yield endpoint

    def _has_room(
        self, endpoint: EndpointState, reserve_share: float, now_ms: int
    ) -> bool:
        if not self._directory.may_use(endpoint, now_ms):
            return False
        if endpoint.room(now_ms) <= 0:
            return False
        if not reserve_share:
            return True
        allowed = endpoint.announcement.slots * (1 - reserve_share)
        return endpoint.load.requests < allowed

    def _rate(
        self,
        attributes: RequestAttributes,
        endpoint: EndpointState,
        now_ms: int,
    ) -> Candidate:
        cached_share = endpoint.cache.trusted_share(attributes.prefix_hashes)
        expected = endpoint.estimate(attributes, cached_share, now_ms)
        cost = expected.first_token_ms / max(1, attributes.first_token_ms)
        cost += expected.complete_ms / max(1, attributes.deadline_ms)
        cost *= 1 + self._rng.random() * _COST_JITTER
        return Candidate(endpoint, expected, cached_share, cost)

    def _prefer_ring_owner(
        self,
        attributes: RequestAttributes,
        best: Candidate,
        excluded: frozenset[EndpointId],
        reserve_share: float,
        now_ms: int,
    ) -> Candidate:
        if best.cached_share > 0:
            return best
        group = self._directory.groups[attributes.service, attributes.model]
        owner = group.ring_owner(attributes.prefix_hashes[0])
        if owner is None or owner.endpoint_id in excluded:
            return best
        if not self._has_room(owner, reserve_share, now_ms):
            return best
        candidate = self._rate(attributes, owner, now_ms)
        if candidate.cost <= best.cost * _RING_COST_FACTOR:
            return candidate
        return best


def build_endpoint_choice(candidate: Candidate) -> EndpointChoice:
    """Return the data that the gateway needs to call the endpoint."""
    announcement = candidate.endpoint.announcement
    capabilities = announcement.capabilities
    first_ms = int(candidate.expected.first_token_ms)
    cached = int(candidate.cached_share * 100)
    return EndpointChoice(
        announcement.endpoint_id,
        announcement.url,
        capabilities.resume,
        capabilities.cancel,
        capabilities.priority,
        f'expected first token in {first_ms} ms, {cached}% of prompt cached',
    )
