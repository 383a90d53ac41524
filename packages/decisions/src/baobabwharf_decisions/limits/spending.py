"""Tell what was spent in the last few periods.

Load pattern: thousands of customers spend over a day, a few of them in any
moment.  A message names only what was spent in its last periods, so its size
follows the traffic and not the number of customers.  A period is told several
times, so a lost datagram loses nothing.
"""

from collections import deque
from typing import final

import msgspec
from baobabwharf_core.ids import CustomerId, Incarnation, VmId

# How often a period is told; as many datagrams in a row may get lost.
REPORTED_PERIODS = 4

Tokens = dict[CustomerId, int]


def add_tokens(total: Tokens, spent: Tokens) -> None:
    """Add what customers have spent to a total."""
    for customer_id, tokens in spent.items():
        total[customer_id] = total.get(customer_id, 0) + tokens


class Period(msgspec.Struct, frozen=True, array_like=True):
    """Hold what was spent in one period; returned tokens are negative."""

    number: int
    tokens: Tokens


class Spending(msgspec.Struct, frozen=True):
    """Tell the last periods of one VM, or of several that one speaks for."""

    vm_id: VmId
    incarnation: Incarnation
    periods: tuple[Period, ...]
    vms: int = 1


class LastReport(msgspec.Struct, frozen=True):
    """Remember when a VM spoke last, and for how many VMs."""

    vms: int
    at_ms: int


@final
class SpendingWindow:
    """Collect what is spent, period by period."""

    def __init__(self) -> None:
        self._open: Tokens = {}
        self._number = 0
        self._closed: deque[Period] = deque(maxlen=REPORTED_PERIODS)

    @property
    def periods(self) -> tuple[Period, ...]:
        """Return the closed periods, the oldest first."""
        return tuple(self._closed)

    @property
    def is_empty(self) -> bool:
        """Tell whether nothing was spent in the closed periods."""
        return not any(period.tokens for period in self._closed)

    def add(self, spent: Tokens) -> None:
        """Count tokens in the open period."""
        add_tokens(self._open, spent)

    def close(self) -> None:
        """Begin the next period."""
        self._number += 1
        self._closed.append(Period(self._number, self._open))
        self._open = {}


@final
class SpendingReader:
    """Take each period of other VMs once."""

    def __init__(self) -> None:
        self._newest: dict[VmId, tuple[Incarnation, int]] = {}

    def newest(self, vm_id: VmId) -> int:
        """Return the newest period taken of a VM, 0 for none."""
        return self._newest.get(vm_id, (Incarnation(0), 0))[1]

    def fresh(self, spending: Spending) -> Tokens | None:
        """Return what was not known yet, None if nothing in it is new."""
        known = self._newest.get(spending.vm_id, (Incarnation(0), 0))
        seen = known[1] if known[0] == spending.incarnation else 0
        last = spending.periods[-1].number if spending.periods else 0
        if spending.incarnation < known[0] or last <= seen:
            return None
        self._newest[spending.vm_id] = (spending.incarnation, last)
        total: Tokens = {}
        for period in spending.periods:
            if period.number > seen:
                add_tokens(total, period.tokens)
        return total

    def forget(self, vm_id: VmId) -> None:
        """Drop a VM that is gone."""
        self._newest.pop(vm_id, None)
