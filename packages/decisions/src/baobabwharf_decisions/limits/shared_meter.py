"""Meter customers over all VMs by telling each other what was spent.

Load pattern: one customer sends several times its rate at all VMs while VMs
restart, freeze and lose each other.  Every VM keeps a bucket for the whole
group of VMs that it hears, takes its own spending out of it at once and that
of the others when they tell.  VMs that are not heard are taken to spend their
equal share.  What the VMs spend before they have told each other exceeds the
cap for a moment and is paid back, so this scheme needs a stated slack; the
lending scheme needs none but refuses more while VMs restart.
"""

import math
from collections.abc import Iterable, Mapping
from typing import final

from baobabwharf_core.ids import CustomerId, Incarnation, VmId
from baobabwharf_core.model import Customer
from expression import Error, Ok, Result

from baobabwharf_decisions.limits.spending import (
    LastReport,
    Spending,
    SpendingReader,
    SpendingWindow,
)

# Several periods of telling; until then both sides of a cut spend the whole
# rate, which the slack has to bear.
SILENCE_TIMEOUT_MS = 600
# A VM is taken for silent after so many periods of telling.
SILENCE_PERIODS = 3
# Members of a relay that stops need half of that to notice and the rest until
# the next relay speaks for all; VMs that are cut off a relay itself notices.
RELAYED_SILENCE_PERIODS = 10
# Nobody knows what was spent before a start of all VMs.
_START_SHARE = 0.5
# Over that time the spending of others is averaged to guess what they spend
# until their next word.
_ESTIMATE_WINDOW_MS = 1000
_MS_PER_S = 1000
_MIN_RETRY_MS = 50


@final
class _Bucket:
    def __init__(self, level: float, now_ms: int) -> None:
        self.level = level
        self.at_ms = now_ms
        # What others spent of late, decaying.
        self._spent_by_others = 0.0

    def refill(self, rate_per_s: float, cap: float, now_ms: int) -> None:
        passed_ms = now_ms - self.at_ms
        self.level = min(cap, self.level + rate_per_s * passed_ms / _MS_PER_S)
        self.at_ms = now_ms
        self._spent_by_others *= math.exp(-passed_ms / _ESTIMATE_WINDOW_MS)

    def charge_others(self, tokens: float) -> None:
        """Take out what others have spent."""
        self.level -= tokens
        self._spent_by_others += tokens

    def estimate_unreported(self, unreported_ms: int) -> float:
        """Return what others have likely spent since their last word."""
        return (
            max(0.0, self._spent_by_others)
            * unreported_ms
            / _ESTIMATE_WINDOW_MS
        )


@final
class SharedMeter:
    """Decide on one VM; times are monotonic ms."""

    def __init__(self, own: VmId, incarnation: Incarnation) -> None:
        self._own = own
        self._incarnation = incarnation
        self._customers: Mapping[CustomerId, Customer] = {}
        self._vms: frozenset[VmId] = frozenset((own,))
        self._buckets: dict[CustomerId, _Bucket] = {}
        self._window = SpendingWindow()
        self._reader = SpendingReader()
        self._silence_timeout_ms = SILENCE_TIMEOUT_MS
        self._last_reports: dict[VmId, LastReport] = {}
        # Whether relays speak for all other VMs.
        self._relayed = False
        self._reporting_vms = 0

    @property
    def nothing_to_report(self) -> bool:
        """Tell whether the periods to tell hold nothing."""
        return self._window.is_empty

    def configure(
        self, customers: Mapping[CustomerId, Customer], vms: Iterable[VmId]
    ) -> None:
        """Follow the caps and the registered entry VMs."""
        self._customers = customers
        self._vms = frozenset(vms) | {self._own}
        for customer_id in tuple(self._buckets):
            if customer_id not in customers:
                self._buckets.pop(customer_id)

    def set_report_period(self, period_ms: int) -> None:
        """Learn how often VMs tell; more VMs tell less often."""
        periods = RELAYED_SILENCE_PERIODS if self._relayed else SILENCE_PERIODS
        self._silence_timeout_ms = max(SILENCE_TIMEOUT_MS, periods * period_ms)

    def hear(self, spending: Spending, now_ms: int) -> None:
        """Take what another VM has spent since it told last."""
        if not self._relayed:
            self._apply_report(spending, now_ms)

    def hear_relay(self, spending: Spending, now_ms: int) -> None:
        """Take what all others have spent, as a relay tells.

        From now on the words of single VMs are in its sums.
        """
        if not self._relayed:
            self._relayed = True
            self._last_reports.clear()
        self._apply_report(spending, now_ms)

    def drop_relay(self) -> None:
        """Go back to the words of single VMs."""
        if self._relayed:
            self._relayed = False
            self._last_reports.clear()

    def newest_of(self, vm_id: VmId) -> int:
        """Return the newest period that a VM has told."""
        return self._reader.newest(vm_id)

    def take(
        self, customer_id: CustomerId, tokens: int, now_ms: int
    ) -> Result[None, int]:
        """Spend tokens; the error is the time in ms until there are enough."""
        customer = self._customers.get(customer_id)
        if customer is None:
            return Ok(None)
        self._charge_silent_vms(now_ms)
        bucket = self._bucket(customer_id, now_ms)
        share = self._share(now_ms)
        # A request above the whole burst waits for a full bucket.
        needed = min(tokens, customer.burst_tokens * share)
        left = bucket.level - bucket.estimate_unreported(
            self._unreported_ms(now_ms)
        )
        if left < needed:
            rate = customer.rate_tokens_per_s * share
            wait_ms = (needed - left) * _MS_PER_S / rate
            return Error(max(_MIN_RETRY_MS, int(wait_ms)))
        bucket.level -= tokens
        self._window.add({customer_id: tokens})
        return Ok(None)

    def give_back(self, customer_id: CustomerId, tokens: int) -> None:
        """Return tokens of a request that did not run."""
        bucket = self._buckets.get(customer_id)
        if bucket is not None:
            bucket.level += tokens
            self._window.add({customer_id: -tokens})

    def describe(self, customer_id: CustomerId, now_ms: int) -> str:
        """Return what a decision about a customer rests on."""
        bucket = self._bucket(customer_id, now_ms)
        ages = [now_ms - report.at_ms for report in self._last_reports.values()]
        return (
            f'{bucket.level:.0f} tokens left of the group; share '
            f'{self._share(now_ms):.2f} of the cap; oldest word of another '
            f'VM {max(ages, default=0)} ms ago'
        )

    def report(self) -> Spending:
        """Close the running period and return what this VM has spent."""
        self._window.close()
        return Spending(self._own, self._incarnation, self._window.periods)

    def _apply_report(self, spending: Spending, now_ms: int) -> None:
        fresh = self._reader.fresh(spending)
        if fresh is None:
            return
        for customer_id, tokens in fresh.items():
            self._bucket(customer_id, now_ms).charge_others(tokens)
        self._last_reports[spending.vm_id] = LastReport(spending.vms, now_ms)

    def _charge_silent_vms(self, now_ms: int) -> None:
        """Charge the share of VMs for the time in which they went silent."""
        reporting_vms = self._count_reporting(now_ms)
        self._last_reports = {
            vm_id: report
            for vm_id, report in self._last_reports.items()
            if now_ms - report.at_ms <= self._silence_timeout_ms
        }
        silent = max(0, self._reporting_vms - reporting_vms)
        self._reporting_vms = reporting_vms
        if not silent:
            return
        part = silent / len(self._vms) * self._silence_timeout_ms / _MS_PER_S
        for customer_id, bucket in self._buckets.items():
            # Others may know a customer earlier than this VM.
            customer = self._customers.get(customer_id)
            if customer is not None:
                bucket.level -= customer.rate_tokens_per_s * part

    def _bucket(self, customer_id: CustomerId, now_ms: int) -> _Bucket:
        customer = self._customers.get(customer_id)
        rate = 0 if customer is None else customer.rate_tokens_per_s
        burst = 0 if customer is None else customer.burst_tokens
        share = self._share(now_ms)
        bucket = self._buckets.get(customer_id)
        if bucket is None:
            bucket = _Bucket(burst * share * _START_SHARE, now_ms)
            self._buckets[customer_id] = bucket
        bucket.refill(rate * share, burst * share, now_ms)
        return bucket

    def _unreported_ms(self, now_ms: int) -> int:
        """Return how long no other VM has told anything."""
        newest_ms = max(
            (one.at_ms for one in self._last_reports.values()), default=0
        )
        return min(self._silence_timeout_ms, now_ms - newest_ms)

    def _share(self, now_ms: int) -> float:
        """Return the part of the cap that the VMs heard may spend."""
        return min(1.0, (self._count_reporting(now_ms) + 1) / len(self._vms))

    def _count_reporting(self, now_ms: int) -> int:
        recent = {
            vm_id: report.vms
            for vm_id, report in self._last_reports.items()
            if now_ms - report.at_ms <= self._silence_timeout_ms
        }
        if self._relayed:
            # After a change of relay both speak for the same VMs.
            return max(recent.values(), default=0)
        return sum(vm_id in self._vms for vm_id in recent)
