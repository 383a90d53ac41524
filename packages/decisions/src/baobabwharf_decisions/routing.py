"""Choose at the entry VM the region that serves a request."""

import random
from collections.abc import Iterator, Mapping

import msgspec
from baobabwharf_core.ids import ModelId, RegionId, ServiceId, WorkClass
from baobabwharf_core.refusals import Refusal, RefusalCode
from baobabwharf_core.requests import RequestAttributes
from expression import Error, Ok, Result

from baobabwharf_decisions.spillover import (
    LINK_QUEUE_MS,
    Destination,
    InFlightRequests,
    LinkMeter,
    RecentSends,
    SpilloverBudget,
)
from baobabwharf_decisions.summaries import GroupSummary, RegionSummary
from baobabwharf_decisions.wait_estimate import expected_wait_ms

# A summary expires after this time, which is ten missed summaries.
SUMMARY_LIFETIME_MS = 5000
# After this silence a summary with a lower sequence is accepted: the origin may
# have been replaced by one whose clock, and so whose sequence, is behind.
_ORIGIN_SILENCE_MS = 2000
# Share of the free slots reported by a region that all VMs of other regions
# together may fill before its next summary; with a larger share they would fill
# the same slots twice.
_ROOM_SHARE = 0.8
# Requests stay in the own region while the expected time to the first token is
# below this share of the target.
_FAST_ENOUGH_SHARE = 0.1
# Another region must be faster by this share of the expected time in the own
# region.
_MIN_GAIN_SHARE = 0.2
# A request whose end is not reported counts as running for this many mean
# service times; counting it until the deadline of batch requests would make
# every other region look full.
_IN_FLIGHT_FACTOR = 2
_MIN_IN_FLIGHT_MS = 1000
_DEFAULT_DELAY_MS = 50.0
_DEFAULT_BYTES_PER_MS = 12_500.0
# Bytes on the wire per response token, including event framing.
_BYTES_PER_TOKEN = 200


class LocalEstimate(msgspec.Struct, frozen=True):
    """Estimate the latency of a request in the own region; times in ms."""

    serves: bool
    first_token_ms: float
    complete_ms: float
    # First-token target of the most urgent class that shares the endpoints.
    strictest_target_ms: int | None = None


class RegionVmCounts(msgspec.Struct, frozen=True):
    """Hold the number of live VMs in each region."""

    vms: Mapping[RegionId, int]
    own_region: RegionId

    @property
    def own(self) -> int:
        """Return the number of live VMs in the own region."""
        return max(1, self.vms.get(self.own_region, 1))

    def count_outside(self, region: RegionId) -> int:
        """Return the number of live VMs outside a region."""
        total = sum(self.vms.values()) - self.vms.get(region, 0)
        return max(1, total)


class RegionDecision(msgspec.Struct, frozen=True):
    """Hold the chosen region and the reason.

    A decision is forced if the own region can't serve the request; it is then
    not charged to the spillover budget.
    """

    region: RegionId
    reason: str
    forced: bool = False


class _ReceivedSummary(msgspec.Struct):
    summary: RegionSummary
    # Time of receipt less the age that the sender stated.
    as_of_ms: int
    groups: dict[tuple[ServiceId, ModelId | None], GroupSummary]


class _RemoteEstimate(msgspec.Struct, frozen=True):
    region: RegionId
    first_token_ms: float


class RegionRouter:
    """Choose regions from the summaries, links and budgets of one VM."""

    def __init__(
        self,
        region: RegionId,
        links: dict[RegionId, LinkMeter],
        rng: random.Random,
    ) -> None:
        self._region = region
        self._links = links
        self._rng = rng
        self._summaries: dict[RegionId, _ReceivedSummary] = {}
        self._sent: dict[Destination, RecentSends] = {}
        self._budgets: dict[tuple[ServiceId, WorkClass], SpilloverBudget] = {}
        self.in_flight = InFlightRequests()

    def groups_elsewhere(self) -> Iterator[tuple[ServiceId, ModelId | None]]:
        """Yield the service and model of each group in the summaries."""
        for received in self._summaries.values():
            yield from received.groups

    def on_summary(
        self, summary: RegionSummary, now_ms: int, age_ms: int = 0
    ) -> bool:
        """Store a summary unless a newer one is known."""
        known = self._summaries.get(summary.region)
        if known is not None and now_ms - known.as_of_ms < _ORIGIN_SILENCE_MS:
            newer = summary.sequence > known.summary.sequence
        else:
            newer = True
        if not newer:
            return False
        groups = {
            (group.service, group.model): group for group in summary.groups
        }
        as_of_ms = now_ms - age_ms
        self._summaries[summary.region] = _ReceivedSummary(
            summary, as_of_ms, groups
        )
        return True

    def choose(
        self,
        attributes: RequestAttributes,
        local: LocalEstimate,
        vm_counts: RegionVmCounts,
        max_away_share: float,
        now_ms: int,
    ) -> Result[RegionDecision, Refusal]:
        """Return the region; a request crosses between regions at most once."""
        allowed_here = (
            not attributes.residency or self._region in attributes.residency
        )
        if attributes.hop > 0:
            return self._stay_after_hop(local, allowed_here)
        if allowed_here and local.serves:
            decision = self._compare_regions(
                attributes, local, vm_counts, max_away_share, now_ms
            )
        else:
            remote = self._choose_remote(
                attributes, vm_counts, allowed_here, max_away_share, now_ms
            )
            if remote.is_error():
                return remote
            decision = remote.ok
        self._record(attributes, decision, now_ms)
        return Ok(decision)

    def _stay_after_hop(
        self, local: LocalEstimate, allowed_here: bool
    ) -> Result[RegionDecision, Refusal]:
        if not allowed_here:
            return Error(
                Refusal(
                    RefusalCode.RESIDENCY_CONFLICT,
                    detail=f'region {self._region} is not allowed',
                )
            )
        if not local.serves:
            return Error(
                Refusal(
                    RefusalCode.NO_ENDPOINT,
                    detail=f'forwarded to {self._region}, which has none',
                )
            )
        reason = 'the request was forwarded here and crosses only once'
        return Ok(RegionDecision(self._region, reason))

    def _compare_regions(
        self,
        attributes: RequestAttributes,
        local: LocalEstimate,
        vm_counts: RegionVmCounts,
        max_away_share: float,
        now_ms: int,
    ) -> RegionDecision:
        budget = self._budget(attributes)
        budget.earn(max_away_share)
        # Less urgent requests leave as early as urgent ones, because they hold
        # the slots that urgent requests wait for.
        target_ms = local.strictest_target_ms or attributes.first_token_ms
        if local.first_token_ms <= target_ms * _FAST_ENOUGH_SHARE:
            return self._keep_local('it is fast enough at home')
        if not budget.available:
            return self._keep_local(
                'the allowance for other regions is used up'
            )
        estimates = self._remote_estimates(attributes, vm_counts, True, now_ms)
        best = min(estimates, key=_first_token, default=None)
        if best is None:
            return self._keep_local('no other region has room')
        gain_ms = local.first_token_ms - best.first_token_ms
        if gain_ms <= local.first_token_ms * _MIN_GAIN_SHARE:
            return self._keep_local('no other region is much faster')
        # All regions see the same summary.  Each forwards only a share of its
        # requests, larger for a larger gain, so that they do not overload one
        # region.
        if self._rng.random() >= gain_ms / local.first_token_ms:
            return self._keep_local('only a part of the work is moved at once')
        return RegionDecision(
            best.region,
            f'{int(best.first_token_ms)} ms to the first token there, '
            f'{int(local.first_token_ms)} ms at home',
        )

    def _choose_remote(
        self,
        attributes: RequestAttributes,
        vm_counts: RegionVmCounts,
        allowed_here: bool,
        max_away_share: float,
        now_ms: int,
    ) -> Result[RegionDecision, Refusal]:
        # With a share of zero a class never leaves its region.
        if allowed_here and max_away_share <= 0:
            return Error(
                Refusal(
                    RefusalCode.NO_ENDPOINT,
                    detail='no endpoint at home, and the class stays there',
                )
            )
        estimates = self._remote_estimates(attributes, vm_counts, False, now_ms)
        if not estimates:
            return Error(self._no_region_refusal(attributes, now_ms))
        best = min(estimates, key=_first_token)
        reason = 'the own region has no endpoint for it'
        if not allowed_here:
            reason = 'the residency of the customer excludes the own region'
        return Ok(RegionDecision(best.region, reason, forced=True))

    def _no_region_refusal(
        self, attributes: RequestAttributes, now_ms: int
    ) -> Refusal:
        for region in self._allowed_elsewhere(attributes):
            if self._group(region, attributes, now_ms) is None:
                continue
            return Refusal(
                RefusalCode.LINK_SATURATED,
                retry_after_ms=LINK_QUEUE_MS,
                detail=f'the link to {region} is full',
            )
        return Refusal(
            RefusalCode.NO_ENDPOINT,
            detail='no allowed region is known to serve it',
        )

    def _remote_estimates(
        self,
        attributes: RequestAttributes,
        vm_counts: RegionVmCounts,
        require_room: bool,
        now_ms: int,
    ) -> list[_RemoteEstimate]:
        estimates = [
            self._remote_estimate(
                region, attributes, vm_counts, require_room, now_ms
            )
            for region in self._allowed_elsewhere(attributes)
        ]
        return [estimate for estimate in estimates if estimate is not None]

    def _remote_estimate(
        self,
        region: RegionId,
        attributes: RequestAttributes,
        vm_counts: RegionVmCounts,
        require_room: bool,
        now_ms: int,
    ) -> _RemoteEstimate | None:
        group = self._group(region, attributes, now_ms)
        if group is None or not vm_counts.vms.get(region):
            return None
        link = self._link(region)
        link_ms = link.queue_ms(now_ms, vm_counts.own)
        if link_ms >= LINK_QUEUE_MS:
            return None
        destination = (region, attributes.service, attributes.model)
        sent = self._sent_since(destination)
        sharing_vms = vm_counts.count_outside(region)
        if require_room and not self._has_room(group, sent, sharing_vms):
            return None
        # Assume that each of the other VMs, which see the same summary, has
        # sent as many requests as this one.
        load = group.requests + sent * sharing_vms
        load = max(load, self.in_flight.count(destination))
        link_ms += attributes.body_bytes / link.bytes_per_ms + 2 * link.delay_ms
        first_token_ms = link_ms + _remote_first_token_ms(
            group, attributes, load
        )
        return _RemoteEstimate(region, first_token_ms)

    def _has_room(
        self, group: GroupSummary, sent: int, sharing_vms: int
    ) -> bool:
        room = (group.slots - group.requests) * _ROOM_SHARE / sharing_vms
        whole = int(room)
        # A fractional free slot is granted with that probability, so that on
        # average this fraction of the VMs takes it.
        return sent < whole + (self._rng.random() < room - whole)

    def _record(
        self,
        attributes: RequestAttributes,
        decision: RegionDecision,
        now_ms: int,
    ) -> None:
        region = decision.region
        if region == self._region:
            return
        destination = (region, attributes.service, attributes.model)
        group = self._group(region, attributes, now_ms)
        until_ms = now_ms + _in_flight_ms(group, attributes)
        self.in_flight.begin(attributes.request_id, destination, until_ms)
        self._sent.setdefault(destination, RecentSends()).record_sent(now_ms)
        answer_bytes = attributes.max_output_tokens * _BYTES_PER_TOKEN
        self._link(region).record_sent(max(attributes.body_bytes, answer_bytes))
        if not decision.forced:
            self._budget(attributes).spend()

    def _keep_local(self, reason: str) -> RegionDecision:
        return RegionDecision(self._region, reason)

    def _allowed_elsewhere(
        self, attributes: RequestAttributes
    ) -> list[RegionId]:
        return [
            region
            for region in self._summaries
            if region != self._region
            and (not attributes.residency or region in attributes.residency)
        ]

    def _group(
        self, region: RegionId, attributes: RequestAttributes, now_ms: int
    ) -> GroupSummary | None:
        received = self._summaries[region]
        if now_ms - received.as_of_ms > SUMMARY_LIFETIME_MS:
            return None
        group = received.groups.get((attributes.service, attributes.model))
        if group is None or group.slots == 0:
            return None
        return group

    def _sent_since(self, destination: Destination) -> int:
        region = destination[0]
        recent = self._sent.get(destination)
        if recent is None:
            return 0
        # The summary was made at least one link delay before it arrived.
        as_of_ms = self._summaries[region].as_of_ms
        return recent.since(as_of_ms - int(self._link(region).delay_ms))

    def _link(self, region: RegionId) -> LinkMeter:
        link = self._links.get(region)
        if link is None:
            link = LinkMeter(_DEFAULT_DELAY_MS, _DEFAULT_BYTES_PER_MS)
            self._links[region] = link
        return link

    def _budget(self, attributes: RequestAttributes) -> SpilloverBudget:
        key = (attributes.service, attributes.work_class)
        return self._budgets.setdefault(key, SpilloverBudget())


def _in_flight_ms(
    group: GroupSummary | None, attributes: RequestAttributes
) -> int:
    """Return how long a request counts as running if no end is reported."""
    if group is None:
        return attributes.deadline_ms
    in_flight_ms = int(group.service_ms * _IN_FLIGHT_FACTOR)
    return min(attributes.deadline_ms, max(_MIN_IN_FLIGHT_MS, in_flight_ms))


def _remote_first_token_ms(
    group: GroupSummary, attributes: RequestAttributes, load: int
) -> float:
    wait_ms = expected_wait_ms(load, group.slots, group.service_ms)
    if not attributes.prompt_tokens:
        return wait_ms + group.service_ms
    prompt_ms = attributes.prompt_tokens * group.prefill_token_ms
    if (
        attributes.prefix_hashes
        and attributes.prefix_hashes[0] in group.prefixes
    ):
        prompt_ms /= 2
    return wait_ms + prompt_ms


def _first_token(estimate: _RemoteEstimate) -> float:
    return estimate.first_token_ms
