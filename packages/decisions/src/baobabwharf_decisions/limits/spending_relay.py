"""Sum the spending of many VMs, so that each one hears one message.

Load pattern: a hot customer sends to all of a hundred VMs or more.  Told by
each VM to each other one, its spending would cost more messages than the
requests.  The VMs of a region tell a relay; relays tell each other the sums
of their members, and each member hears the sum of all others.
"""

from collections import deque
from typing import final

import msgspec
from baobabwharf_core.ids import Incarnation, VmId

from baobabwharf_decisions.limits.spending import (
    REPORTED_PERIODS,
    LastReport,
    Period,
    Spending,
    SpendingReader,
    SpendingWindow,
    Tokens,
    add_tokens,
)

# A member or relay that is silent for so long is not spoken for any more: the
# time in which meters themselves take a VM for silent.
SILENCE_TIMEOUT_MS = 600


class _Closed(msgspec.Struct, frozen=True):
    number: int
    total: Tokens
    by_member: dict[VmId, Tokens]


@final
class SpendingRelay:
    """Add up on one VM; times are monotonic ms."""

    def __init__(self, own: VmId, incarnation: Incarnation) -> None:
        self._own = own
        self._incarnation = incarnation
        self._reader = SpendingReader()
        self._of_members = SpendingWindow()
        self._total: Tokens = {}
        self._by_member: dict[VmId, Tokens] = {}
        self._closed: deque[_Closed] = deque(maxlen=REPORTED_PERIODS)
        self._number = 0
        self._members: dict[VmId, LastReport] = {}
        self._relays: dict[VmId, LastReport] = {}

    @property
    def has_members(self) -> bool:
        """Tell whether any VM relies on this relay."""
        return bool(self._members)

    @property
    def relays(self) -> tuple[VmId, ...]:
        """Return the relays heard."""
        return tuple(self._relays)

    def hear_member(self, spending: Spending, now_ms: int) -> None:
        """Take what a VM has spent."""
        self._members[spending.vm_id] = LastReport(1, now_ms)
        fresh = self._reader.fresh(spending) or {}
        add_tokens(self._by_member.setdefault(spending.vm_id, {}), fresh)
        add_tokens(self._total, fresh)
        self._of_members.add(fresh)

    def hear_relay(self, spending: Spending, now_ms: int) -> None:
        """Take what the members of another relay have spent."""
        if spending.vm_id != self._own:
            self._relays[spending.vm_id] = LastReport(spending.vms, now_ms)
            add_tokens(self._total, self._reader.fresh(spending) or {})

    def close(self, now_ms: int) -> Spending:
        """Begin the next period; return what to tell other relays."""
        self._members = self._without_silent(self._members, now_ms)
        self._relays = self._without_silent(self._relays, now_ms)
        self._number += 1
        closed = _Closed(self._number, self._total, self._by_member)
        self._closed.append(closed)
        self._total = {}
        self._by_member = {}
        self._of_members.close()
        return Spending(
            self._own,
            self._incarnation,
            self._of_members.periods,
            len(self._members),
        )

    def answer(self, member: VmId, seen: int) -> Spending:
        """Return what all others spent in the periods after the one seen.

        A member that has seen no period hears only of the newest one.
        """
        after = seen if 0 < seen <= self._number else self._number - 1
        others = sum(one.vms for one in self._relays.values())
        return Spending(
            self._own,
            self._incarnation,
            tuple(
                Period(closed.number, _without(closed, member))
                for closed in self._closed
                if closed.number > after
            ),
            max(0, len(self._members) - 1) + others,
        )

    def _without_silent(
        self, heard: dict[VmId, LastReport], now_ms: int
    ) -> dict[VmId, LastReport]:
        kept: dict[VmId, LastReport] = {}
        for vm_id, one in heard.items():
            if now_ms - one.at_ms <= SILENCE_TIMEOUT_MS:
                kept[vm_id] = one
            else:
                self._reader.forget(vm_id)
        return kept


def _without(closed: _Closed, member: VmId) -> Tokens:
    own = closed.by_member.get(member)
    if not own:
        return closed.total
    left = {
        customer_id: tokens - own.get(customer_id, 0)
        for customer_id, tokens in closed.total.items()
    }
    return {
        customer_id: tokens for customer_id, tokens in left.items() if tokens
    }
