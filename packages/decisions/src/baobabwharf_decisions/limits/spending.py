"""Report the tokens spent in the last few periods.

A message holds only the spending of the last periods, so its size follows the
traffic and not the number of customers.  Each period is reported several times,
so a lost datagram loses nothing.

The load is thousands of customers that spend tokens over a day, but only a few
of them at any moment.
"""

from collections import deque
from typing import Annotated, final

import msgspec
from baobabwharf_core.ids import CustomerId, Incarnation, VmId
from baobabwharf_core.input_types import (
    EXACT_INTEGER,
    Amount,
    ExactInteger,
    SmallCount,
)

# How often each period is reported, and so how many datagrams in a row may be
# lost.
REPORTED_PERIODS = 4

Tokens = dict[CustomerId, Amount]


def add_tokens(total: Tokens, spent: Tokens) -> None:
    """Add the spending of customers to a total, in place."""
    for customer_id, tokens in spent.items():
        total[customer_id] = total.get(customer_id, 0) + tokens


class Period(msgspec.Struct, frozen=True, array_like=True):
    """Hold the tokens spent in one period; refunds are negative."""

    number: ExactInteger
    tokens: Tokens


class Spending(msgspec.Struct, frozen=True):
    """Report the last periods of one VM, or of all clients of a relay."""

    vm_id: VmId
    incarnation: Annotated[Incarnation, EXACT_INTEGER]
    periods: tuple[Period, ...]
    vms: SmallCount = 1


class LastReport(msgspec.Struct, frozen=True):
    """Hold the time of a VM's last report and how many VMs it covered."""

    vms: int
    at_ms: int


@final
class SpendingWindow:
    """Collect spending by period and keep the last closed ones."""

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
        """Return whether the kept closed periods hold no spending."""
        return not any(period.tokens for period in self._closed)

    def add(self, spent: Tokens) -> None:
        """Count tokens in the open period."""
        add_tokens(self._open, spent)

    def close(self) -> None:
        """Close the open period and begin the next one."""
        self._number += 1
        self._closed.append(Period(self._number, self._open))
        self._open = {}


@final
class SpendingReader:
    """Read the reports of other VMs, taking each period once."""

    def __init__(self) -> None:
        self._newest: dict[VmId, tuple[Incarnation, int]] = {}

    def newest_period(self, vm_id: VmId) -> int:
        """Return the number of the newest period read of a VM, 0 for none."""
        return self._newest.get(vm_id, (Incarnation(0), 0))[1]

    def take_new(self, spending: Spending) -> Tokens | None:
        """Sum the periods not read before; return None if there are none."""
        known = self._newest.get(spending.vm_id, (Incarnation(0), 0))
        newest_read = known[1] if known[0] == spending.incarnation else 0
        last = spending.periods[-1].number if spending.periods else 0
        if spending.incarnation < known[0] or last <= newest_read:
            return None
        self._newest[spending.vm_id] = (spending.incarnation, last)
        total: Tokens = {}
        for period in spending.periods:
            if period.number > newest_read:
                add_tokens(total, period.tokens)
        return total

    def forget(self, vm_id: VmId) -> None:
        """Drop the state of a VM that no longer reports."""
        self._newest.pop(vm_id, None)
