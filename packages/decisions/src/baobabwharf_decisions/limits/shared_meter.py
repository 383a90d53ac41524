"""Enforce customer caps over all VMs by exchanging spending reports.

Every VM keeps a bucket for itself and all VMs that report to it; it deducts its
own spending at once and that of the others when they report.  Silent VMs are
assumed to spend their equal share.  What VMs spend before they have reported it
exceeds the cap for a moment and is compensated afterwards, so a customer may
exceed its cap by a bounded number of tokens, the slack;
features/unit/shared_meter.feature checks the bound.  The lending scheme needs
no slack but refuses more requests while VMs restart.

The load is one customer that sends several times its rate to all VMs while VMs
restart, freeze and lose contact with each other.
"""

import math
from collections.abc import Iterable, Mapping
from typing import final

from baobabwharf_core.fleet_config import Customer
from baobabwharf_core.ids import CustomerId, Incarnation, VmId
from expression import Error, Ok, Result

from baobabwharf_decisions.limits.spending import (
    LastReport,
    Spending,
    SpendingReader,
    SpendingWindow,
)

# Minimum silence, of several report periods, before a VM counts as silent.  Until
# then both sides of a network partition spend the whole rate, which the slack has
# to cover.
SILENCE_TIMEOUT_MS = 600
# A VM counts as silent after this many report periods without a report.
SILENCE_PERIODS = 3
# When a relay stops, its clients need half of these periods to detect it and
# the rest until the next relay reports for all.  VMs that lose contact are
# detected by the relay itself.
RELAYED_SILENCE_PERIODS = 10
# Initial level as a share of the burst: after a restart of all VMs nobody knows
# what was spent before.
_START_SHARE = 0.5
# Averaging time of the others' spending, which serves to estimate what they
# spend until their next report.
_ESTIMATE_WINDOW_MS = 1000
_MS_PER_S = 1000
_MIN_RETRY_MS = 50


@final
class _Bucket:
    def __init__(self, level: float, now_ms: int) -> None:
        self.level = level
        self.at_ms = now_ms
        # Recent spending of other VMs, decaying exponentially.
        self._spent_by_others = 0.0

    def refill(self, rate_per_s: float, cap: float, now_ms: int) -> None:
        elapsed_ms = now_ms - self.at_ms
        self.level = min(cap, self.level + rate_per_s * elapsed_ms / _MS_PER_S)
        self.at_ms = now_ms
        self._spent_by_others *= math.exp(-elapsed_ms / _ESTIMATE_WINDOW_MS)

    def charge_others(self, tokens: float) -> None:
        """Deduct what other VMs have reported."""
        self.level -= tokens
        self._spent_by_others += tokens

    def estimate_unreported(self, unreported_ms: int) -> float:
        """Estimate what other VMs spent since their last report."""
        return (
            max(0.0, self._spent_by_others)
            * unreported_ms
            / _ESTIMATE_WINDOW_MS
        )


@final
class SharedMeter:
    """Meter customers on one VM; times are monotonic ms."""

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
        # Whether reports come from relays instead of single VMs.
        self._relayed = False
        self._reporting_vms = 0

    @property
    def nothing_to_report(self) -> bool:
        """Return whether the periods in the report hold no spending."""
        return self._window.is_empty

    def configure(
        self, customers: Mapping[CustomerId, Customer], vms: Iterable[VmId]
    ) -> None:
        """Apply the caps and the registered entry VMs of a new configuration."""
        self._customers = customers
        self._vms = frozenset(vms) | {self._own}
        for customer_id in tuple(self._buckets):
            if customer_id not in customers:
                self._buckets.pop(customer_id)

    def set_report_period(self, period_ms: int) -> None:
        """Set the report period, which grows with the number of VMs."""
        periods = RELAYED_SILENCE_PERIODS if self._relayed else SILENCE_PERIODS
        self._silence_timeout_ms = max(SILENCE_TIMEOUT_MS, periods * period_ms)

    def apply_vm_report(self, spending: Spending, now_ms: int) -> None:
        """Apply a report of another VM unless relays report for all VMs."""
        if not self._relayed:
            self._apply_report(spending, now_ms)

    def apply_relay_report(self, spending: Spending, now_ms: int) -> None:
        """Apply the sum of all other VMs' spending from a relay.

        From then on reports of single VMs are ignored, as the sums include
        them.
        """
        if not self._relayed:
            self._relayed = True
            self._last_reports.clear()
        self._apply_report(spending, now_ms)

    def drop_relay(self) -> None:
        """Switch back to reports of single VMs."""
        if self._relayed:
            self._relayed = False
            self._last_reports.clear()

    def newest_period(self, vm_id: VmId) -> int:
        """Return the number of a VM's newest reported period, 0 for none."""
        return self._reader.newest_period(vm_id)

    def spend(
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

    def refund(self, customer_id: CustomerId, tokens: int) -> None:
        """Credit tokens that were spent but not used."""
        bucket = self._buckets.get(customer_id)
        if bucket is not None:
            bucket.level += tokens
            self._window.add({customer_id: -tokens})

    def describe(self, customer_id: CustomerId, now_ms: int) -> str:
        """Describe the inputs of a decision about a customer."""
        bucket = self._bucket(customer_id, now_ms)
        ages = [now_ms - report.at_ms for report in self._last_reports.values()]
        return (
            f'{bucket.level:.0f} tokens left of the group; share '
            f'{self._share(now_ms):.2f} of the cap; oldest word of another '
            f'VM {max(ages, default=0)} ms ago'
        )

    def report(self) -> Spending:
        """Close the open period and return the spending of this VM."""
        self._window.close()
        return Spending(self._own, self._incarnation, self._window.periods)

    def _apply_report(self, spending: Spending, now_ms: int) -> None:
        new_tokens = self._reader.take_new(spending)
        if new_tokens is None:
            return
        for customer_id, tokens in new_tokens.items():
            self._bucket(customer_id, now_ms).charge_others(tokens)
        self._last_reports[spending.vm_id] = LastReport(spending.vms, now_ms)

    def _charge_silent_vms(self, now_ms: int) -> None:
        """Charge the share of newly silent VMs for the time until detection."""
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
        undetected_s = (
            silent / len(self._vms) * self._silence_timeout_ms / _MS_PER_S
        )
        for customer_id, bucket in self._buckets.items():
            # Other VMs may learn of a customer before this VM does.
            customer = self._customers.get(customer_id)
            if customer is not None:
                bucket.level -= customer.rate_tokens_per_s * undetected_s

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
        """Return the time since the newest report of any other VM."""
        newest_ms = max(
            (report.at_ms for report in self._last_reports.values()), default=0
        )
        return min(self._silence_timeout_ms, now_ms - newest_ms)

    def _share(self, now_ms: int) -> float:
        """Return the part of the cap for this VM and those that report."""
        return min(1.0, (self._count_reporting(now_ms) + 1) / len(self._vms))

    def _count_reporting(self, now_ms: int) -> int:
        recent = {
            vm_id: report.vms
            for vm_id, report in self._last_reports.items()
            if now_ms - report.at_ms <= self._silence_timeout_ms
        }
        if self._relayed:
            # After a change of relay both relays report for the same VMs.
            return max(recent.values(), default=0)
        return sum(vm_id in self._vms for vm_id in recent)
