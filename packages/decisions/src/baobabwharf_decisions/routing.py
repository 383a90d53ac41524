"""Choose the region that serves a request, at its entry VM."""

import random
from collections.abc import Iterator, Mapping

import msgspec
from baobabwharf_core.ids import ModelId, RegionId, ServiceId, WorkClass
from baobabwharf_core.refusals import Refusal, RefusalCode
from baobabwharf_core.requests import RequestFacts
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

# A region is known no longer after ten missed summaries.
SUMMARY_LIFETIME_MS = 5000
# A silent origin may be replaced by one whose clock, and so whose sequence, is
# behind.
_ORIGIN_SILENCE_MS = 2000
# Part of another region's reported room that all VMs elsewhere may fill
# together before its next report; above it they would all fill it twice.
_ROOM_SHARE = 0.8
# Work stays at home while it is expected within this part of the target.
_STAY_SHARE = 0.1
# Another region must be faster by this part of the expected time at home.
_MARGIN_SHARE = 0.2
# A request whose end is not reported counts this many mean times: a count up
# to the deadline of batch work would make every other region look full.
_IN_FLIGHT_FACTOR = 2
_MIN_IN_FLIGHT_MS = 1000
_DEFAULT_DELAY_MS = 50.0
_DEFAULT_BYTES_PER_MS = 12_500.0
# Bytes of an answer on the wire for each token, with event framing.
_BYTES_PER_TOKEN = 200


class LocalEstimate(msgspec.Struct, frozen=True):
    """State what the own region offers a request; times in ms."""

    serves: bool
    first_token_ms: float
    complete_ms: float
    # Goal of the most urgent class that shares the endpoints.
    strictest_target_ms: int | None = None


class RegionVmCounts(msgspec.Struct, frozen=True):
    """Count the live VMs of each region."""

    vms: Mapping[RegionId, int]
    own_region: RegionId

    @property
    def own(self) -> int:
        """Return the live VMs of the own region."""
        return max(1, self.vms.get(self.own_region, 1))

    def count_outside(self, region: RegionId) -> int:
        """Return the live VMs outside a region."""
        total = sum(self.vms.values()) - self.vms.get(region, 0)
        return max(1, total)


class RegionDecision(msgspec.Struct, frozen=True):
    """Name the region and the reason."""

    region: RegionId
    reason: str
    forced: bool = False


class _Report(msgspec.Struct):
    summary: RegionSummary
    taken_ms: int
    groups: dict[tuple[ServiceId, ModelId | None], GroupSummary]


class _RemoteEstimate(msgspec.Struct, frozen=True):
    region: RegionId
    first_token_ms: float


class RegionRouter:
    """Hold summaries, links and allowances of one entry VM."""

    def __init__(
        self,
        region: RegionId,
        links: dict[RegionId, LinkMeter],
        rng: random.Random,
    ) -> None:
        self._region = region
        self._links = links
        self._rng = rng
        self._reports: dict[RegionId, _Report] = {}
        self._sent: dict[Destination, RecentSends] = {}
        self._budgets: dict[tuple[ServiceId, WorkClass], SpilloverBudget] = {}
        self.in_flight = InFlightRequests()

    def groups_elsewhere(self) -> Iterator[tuple[ServiceId, ModelId | None]]:
        """Yield the service and model of each group in the summaries."""
        for report in self._reports.values():
            yield from report.groups

    def on_summary(
        self, summary: RegionSummary, now_ms: int, age_ms: int = 0
    ) -> bool:
        """Take a summary unless a newer one is known."""
        known = self._reports.get(summary.region)
        if known is not None and now_ms - known.taken_ms < _ORIGIN_SILENCE_MS:
            newer = summary.sequence > known.summary.sequence
        else:
            newer = True
        if not newer:
            return False
        groups = {
            (group.service, group.model): group for group in summary.groups
        }
        taken_ms = now_ms - age_ms
        self._reports[summary.region] = _Report(summary, taken_ms, groups)
        return True

    def choose(
        self,
        facts: RequestFacts,
        home: LocalEstimate,
        peers: RegionVmCounts,
        max_away_share: float,
        now_ms: int,
    ) -> Result[RegionDecision, Refusal]:
        """Return the region; a request that crossed once stays here."""
        allowed_here = not facts.residency or self._region in facts.residency
        if facts.hop > 0:
            return self._stay_after_hop(home, allowed_here)
        if allowed_here and home.serves:
            decision = self._compare_regions(
                facts, home, peers, max_away_share, now_ms
            )
        else:
            choice = self._choose_remote(
                facts, peers, allowed_here, max_away_share, now_ms
            )
            if choice.is_error():
                return choice
            decision = choice.ok
        self._record(facts, decision, now_ms)
        return Ok(decision)

    def _stay_after_hop(
        self, home: LocalEstimate, allowed_here: bool
    ) -> Result[RegionDecision, Refusal]:
        if not allowed_here:
            return Error(
                Refusal(
                    RefusalCode.RESIDENCY_CONFLICT,
                    detail=f'region {self._region} is not allowed',
                )
            )
        if not home.serves:
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
        facts: RequestFacts,
        home: LocalEstimate,
        peers: RegionVmCounts,
        max_away_share: float,
        now_ms: int,
    ) -> RegionDecision:
        budget = self._budget(facts)
        budget.earn(max_away_share)
        # Patient work leaves as early as urgent work, since it holds the slots
        # that urgent work waits for.
        goal_ms = home.strictest_target_ms or facts.first_token_ms
        if home.first_token_ms <= goal_ms * _STAY_SHARE:
            return self._stay('it is fast enough at home')
        if not budget.available:
            return self._stay('the allowance for other regions is used up')
        estimates = self._remote_estimates(facts, peers, True, now_ms)
        best = min(estimates, key=_first_token, default=None)
        if best is None:
            return self._stay('no other region has room')
        gain_ms = home.first_token_ms - best.first_token_ms
        if gain_ms <= home.first_token_ms * _MARGIN_SHARE:
            return self._stay('no other region is much faster')
        # Regions that act on the same report move only a part of their work:
        # the more they would gain, the larger the part.
        if self._rng.random() >= gain_ms / home.first_token_ms:
            return self._stay('only a part of the work is moved at once')
        return RegionDecision(
            best.region,
            f'{int(best.first_token_ms)} ms to the first token there, '
            f'{int(home.first_token_ms)} ms at home',
        )

    def _choose_remote(
        self,
        facts: RequestFacts,
        peers: RegionVmCounts,
        allowed_here: bool,
        max_away_share: float,
        now_ms: int,
    ) -> Result[RegionDecision, Refusal]:
        # A share of zero keeps a class at home, whatever happens there.
        if allowed_here and max_away_share <= 0:
            return Error(
                Refusal(
                    RefusalCode.NO_ENDPOINT,
                    detail='no endpoint at home, and the class stays there',
                )
            )
        estimates = self._remote_estimates(facts, peers, False, now_ms)
        if not estimates:
            return Error(self._no_region_refusal(facts, now_ms))
        best = min(estimates, key=_first_token)
        reason = 'the own region has no endpoint for it'
        if not allowed_here:
            reason = 'the residency of the customer excludes the own region'
        return Ok(RegionDecision(best.region, reason, forced=True))

    def _no_region_refusal(self, facts: RequestFacts, now_ms: int) -> Refusal:
        for region in self._allowed_elsewhere(facts):
            if self._group(region, facts, now_ms) is None:
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
        facts: RequestFacts,
        peers: RegionVmCounts,
        damped: bool,
        now_ms: int,
    ) -> list[_RemoteEstimate]:
        estimates = [
            self._remote_estimate(region, facts, peers, damped, now_ms)
            for region in self._allowed_elsewhere(facts)
        ]
        return [estimate for estimate in estimates if estimate is not None]

    def _remote_estimate(
        self,
        region: RegionId,
        facts: RequestFacts,
        peers: RegionVmCounts,
        damped: bool,
        now_ms: int,
    ) -> _RemoteEstimate | None:
        group = self._group(region, facts, now_ms)
        if group is None or not peers.vms.get(region):
            return None
        link = self._link(region)
        link_ms = link.queue_ms(now_ms, peers.own)
        if link_ms >= LINK_QUEUE_MS:
            return None
        destination = (region, facts.service, facts.model)
        sent = self._sent_since(destination)
        share = peers.count_outside(region)
        if damped and not self._has_room(group, sent, share):
            return None
        # The other VMs act on the same report and send about as much.
        load = group.requests + sent * share
        load = max(load, self.in_flight.count(destination))
        link_ms += facts.body_bytes / link.bytes_per_ms + 2 * link.delay_ms
        first_ms = link_ms + _remote_first_token_ms(group, facts, load)
        return _RemoteEstimate(region, first_ms)

    def _has_room(self, group: GroupSummary, sent: int, share: int) -> bool:
        room = (group.slots - group.requests) * _ROOM_SHARE / share
        whole = int(room)
        # A part of a place is one place for a part of the VMs.
        return sent < whole + (self._rng.random() < room - whole)

    def _record(
        self, facts: RequestFacts, decision: RegionDecision, now_ms: int
    ) -> None:
        region = decision.region
        if region == self._region:
            return
        destination = (region, facts.service, facts.model)
        group = self._group(region, facts, now_ms)
        until_ms = now_ms + _in_flight_ms(group, facts)
        self.in_flight.begin(facts.request_id, destination, until_ms)
        self._sent.setdefault(destination, RecentSends()).sent(now_ms)
        answer_bytes = facts.max_output_tokens * _BYTES_PER_TOKEN
        self._link(region).sent(max(facts.body_bytes, answer_bytes))
        if not decision.forced:
            self._budget(facts).spend()

    def _stay(self, reason: str) -> RegionDecision:
        return RegionDecision(self._region, reason)

    def _allowed_elsewhere(self, facts: RequestFacts) -> list[RegionId]:
        return [
            region
            for region in self._reports
            if region != self._region
            and (not facts.residency or region in facts.residency)
        ]

    def _group(
        self, region: RegionId, facts: RequestFacts, now_ms: int
    ) -> GroupSummary | None:
        report = self._reports[region]
        if now_ms - report.taken_ms > SUMMARY_LIFETIME_MS:
            return None
        group = report.groups.get((facts.service, facts.model))
        if group is None or group.slots == 0:
            return None
        return group

    def _sent_since(self, destination: Destination) -> int:
        region = destination[0]
        record = self._sent.get(destination)
        if record is None:
            return 0
        # The report was made at least one delay before it arrived.
        made_ms = self._reports[region].taken_ms
        return record.since(made_ms - int(self._link(region).delay_ms))

    def _link(self, region: RegionId) -> LinkMeter:
        link = self._links.get(region)
        if link is None:
            link = LinkMeter(_DEFAULT_DELAY_MS, _DEFAULT_BYTES_PER_MS)
            self._links[region] = link
        return link

    def _budget(self, facts: RequestFacts) -> SpilloverBudget:
        key = (facts.service, facts.work_class)
        return self._budgets.setdefault(key, SpilloverBudget())


def _in_flight_ms(group: GroupSummary | None, facts: RequestFacts) -> int:
    """Return how long a request counts if its end is not reported."""
    if group is None:
        return facts.deadline_ms
    in_flight_ms = int(group.service_ms * _IN_FLIGHT_FACTOR)
    return min(facts.deadline_ms, max(_MIN_IN_FLIGHT_MS, in_flight_ms))


def _remote_first_token_ms(
    group: GroupSummary, facts: RequestFacts, load: int
) -> float:
    wait_ms = expected_wait_ms(load, group.slots, group.service_ms)
    if not facts.prompt_tokens:
        return wait_ms + group.service_ms
    prompt_ms = facts.prompt_tokens * group.prefill_token_ms
    if facts.prefix_hashes and facts.prefix_hashes[0] in group.prefixes:
        prompt_ms /= 2
    return wait_ms + prompt_ms


def _first_token(estimate: _RemoteEstimate) -> float:
    return estimate.first_token_ms
