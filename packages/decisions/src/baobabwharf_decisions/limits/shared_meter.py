"""Meter customers over all VMs by telling each other what was spent.

Load pattern: one customer sends several times its rate at all VMs while VMs
restart, freeze and lose each other.  Every VM keeps a bucket for the whole
group of VMs that it hears, takes its own spending out of it at once and that
of the others when they tell.  VMs that are not heard are taken to spend their
equal share.  What the VMs spend before they have told each other exceeds the
cap for a moment and is paid back, so this scheme needs a stated slack; the
lending scheme needs none but refuses more while VMs restart.
"""

from collections.abc import Iterable, Mapping
from typing import final

import msgspec
from baobabwharf_core.ids import CustomerId, Incarnation, VmId
from baobabwharf_core.model import Customer
from expression import Error, Ok, Result

# Several periods of telling; until then both sides of a cut spend the whole
# rate, which the slack has to bear.
SILENT_MS = 600
# A VM is taken for silent after so many periods of telling.
SILENT_PERIODS = 3
# Nobody knows what was spent before a start of all VMs.
_START_SHARE = 0.5
_MS_PER_S = 1000
_MIN_RETRY_MS = 50


class Spending(msgspec.Struct, frozen=True):
    """Tell what a VM has spent since it started, by customer."""

    vm_id: VmId
    incarnation: Incarnation
    sequence: int
    tokens: dict[CustomerId, int]


@final
class _Bucket:
    def __init__(self, level: float, now_ms: int) -> None:
        self.level = level
        self.at_ms = now_ms

    def refill(self, rate_per_s: float, cap: float, now_ms: int) -> None:
        gained = rate_per_s * (now_ms - self.at_ms) / _MS_PER_S
        self.level = min(cap, self.level + gained)
        self.at_ms = now_ms


@final
class _Heard:
    def __init__(self, told: Spending, now_ms: int) -> None:
        self.told = told
        self.at_ms = now_ms


@final
class SharedMeter:
    """Decide on one VM; times are monotonic ms."""

    def __init__(self, own: VmId, incarnation: Incarnation) -> None:
        self._own = own
        self._incarnation = incarnation
        self._customers: Mapping[CustomerId, Customer] = {}
        self._vms: frozenset[VmId] = frozenset((own,))
        self._buckets: dict[CustomerId, _Bucket] = {}
        self._spent: dict[CustomerId, int] = {}
        self._sequence = 0
        self._silent_ms = SILENT_MS
        self._heard: dict[VmId, _Heard] = {}

    def configure(
        self, customers: Mapping[CustomerId, Customer], vms: Iterable[VmId]
    ) -> None:
        """Follow the caps and the registered entry VMs."""
        self._customers = customers
        self._vms = frozenset(vms) | {self._own}
        for customer_id in tuple(self._buckets):
            if customer_id not in customers:
                self._buckets.pop(customer_id)

    def tell_every(self, period_ms: int) -> None:
        """Learn how often VMs tell; more VMs tell less often."""
        self._silent_ms = max(SILENT_MS, SILENT_PERIODS * period_ms)

    def hear(self, told: Spending, now_ms: int) -> None:
        """Take what another VM has spent since it told last."""
        known = self._heard.get(told.vm_id)
        if known is not None and _older(told, known.told):
            return
        before: Mapping[CustomerId, int] = {}
        if known is not None and known.told.incarnation == told.incarnation:
            before = known.told.tokens
        for customer_id, tokens in told.tokens.items():
            # The first word of a VM tells nothing of when it spent.
            fresh = tokens - before.get(customer_id, 0) if known else 0
            self._bucket(customer_id, now_ms).level -= fresh
        self._heard[told.vm_id] = _Heard(told, now_ms)

    def take(
        self, customer_id: CustomerId, tokens: int, now_ms: int
    ) -> Result[None, int]:
        """Spend tokens; the error is the time in ms until there are enough."""
        customer = self._customers.get(customer_id)
        if customer is None:
            return Ok(None)
        bucket = self._bucket(customer_id, now_ms)
        share = self._share(now_ms)
        # A request above the whole burst waits for a full bucket.
        needed = min(tokens, customer.burst_tokens * share)
        if bucket.level < needed:
            rate = customer.rate_tokens_per_s * share
            wait_ms = (needed - bucket.level) * _MS_PER_S / rate
            return Error(max(_MIN_RETRY_MS, int(wait_ms)))
        bucket.level -= tokens
        self._spent[customer_id] = self._spent.get(customer_id, 0) + tokens
        return Ok(None)

    def give_back(self, customer_id: CustomerId, tokens: int) -> None:
        """Return tokens of a request that did not run."""
        bucket = self._buckets.get(customer_id)
        if bucket is not None:
            bucket.level += tokens
            self._spent[customer_id] -= tokens

    def describe(self, customer_id: CustomerId, now_ms: int) -> str:
        """Return what a decision about a customer rests on."""
        bucket = self._bucket(customer_id, now_ms)
        ages = [now_ms - heard.at_ms for heard in self._heard.values()]
        return (
            f'{bucket.level:.0f} tokens left of the group; share '
            f'{self._share(now_ms):.2f} of the cap; oldest word of another '
            f'VM {max(ages, default=0)} ms ago'
        )

    def report(self) -> Spending:
        """Return what this VM has spent."""
        self._sequence += 1
        return Spending(
            self._own, self._incarnation, self._sequence, dict(self._spent)
        )

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

    def _share(self, now_ms: int) -> float:
        """Return the part of the cap that the VMs heard may spend."""
        heard = [
            vm_id
            for vm_id, heard in self._heard.items()
            if vm_id in self._vms and now_ms - heard.at_ms <= self._silent_ms
        ]
        return (len(heard) + 1) / len(self._vms)


def _older(told: Spending, known: Spending) -> bool:
    order = (told.incarnation, told.sequence)
    return order <= (known.incarnation, known.sequence)
