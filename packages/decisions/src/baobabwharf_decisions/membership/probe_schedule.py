"""Choose the members to probe, at a fixed rate for any fleet size."""

import itertools
import random
from collections.abc import Iterable
from typing import final

from baobabwharf_core.ids import RegionId

from baobabwharf_decisions.membership.member_table import (
    ALIVE,
    DEAD,
    JOINING,
    SUSPECT,
    Member,
    MemberTable,
)

PERIOD_MS = 250
# Every this many periods one dead or joining member is probed as well.
_DEAD_OR_JOINING_PROBE_PERIODS = 4
# Where a region is preferred, one in this many probes goes to other regions.
# Failures are found in the region, and news cross within a second: in a fleet of
# a hundred VMs dozens of such probes start each second.
_OTHER_REGIONS_PERIODS = 4
# Expected number of VMs that probe a suspect reported by another VM.
_SUSPECT_PROBERS = 4


@final
class ProbeSchedule:
    """Go through the members in random order, suspects first.

    With a preferred region most probes go to its members.
    """

    def __init__(
        self, rng: random.Random, preferred: RegionId | None = None
    ) -> None:
        self._rng = rng
        self._preferred = preferred
        self._order: list[Member] = []
        self._elsewhere: list[Member] = []
        self._next_ms: int | None = None
        self._periods = 0

    def due(self, table: MemberTable, now_ms: int) -> list[Member]:
        """Return the members to probe now, at most two."""
        if self._next_ms is None:
            self._next_ms = now_ms
        if now_ms < self._next_ms:
            return []
        # Periods missed during a pause are not made up for.
        self._next_ms = max(self._next_ms + PERIOD_MS, now_ms)
        self._periods += 1
        chosen = [self._choose(table), self._choose_dead_or_joining(table)]
        return [member for member in chosen if member is not None]

    def _choose(self, table: MemberTable) -> Member | None:
        return self._choose_suspect(table) or self._next_in_order(table)

    def _choose_suspect(self, table: MemberTable) -> Member | None:
        share = _SUSPECT_PROBERS / max(len(table), 1)
        suspects = [
            member
            for member in table.in_states(SUSPECT)
            if member.record is not None
            and (member.own_failures or self._rng.random() < share)
        ]
        return self._rng.choice(suspects) if suspects else None

    def _next_in_order(self, table: MemberTable) -> Member | None:
        if not self._order or (self._preferred and not self._elsewhere):
            self._fill(table.in_states(ALIVE, SUSPECT))
        orders = [self._order, self._elsewhere]
        if not self._periods % _OTHER_REGIONS_PERIODS:
            orders.reverse()
        for member in itertools.chain.from_iterable(map(_drain, orders)):
            if member.state == ALIVE and member.record is not None:
                return member
        return None

    def _fill(self, members: list[Member]) -> None:
        """Begin a new round in the lists that have been gone through."""
        self._rng.shuffle(members)
        near = [member for member in members if self._is_preferred(member)]
        self._order = self._order or near
        far = [member for member in members if not self._is_preferred(member)]
        self._elsewhere = self._elsewhere or far

    def _is_preferred(self, member: Member) -> bool:
        return (
            self._preferred is None
            or member.record is None
            or member.record.region == self._preferred
        )

    def _choose_dead_or_joining(self, table: MemberTable) -> Member | None:
        if self._periods % _DEAD_OR_JOINING_PROBE_PERIODS != 1:
            return None
        candidates = [
            member
            for member in table.in_states(DEAD, JOINING)
            if member.record is not None
        ]
        return self._rng.choice(candidates) if candidates else None


def _drain(members: list[Member]) -> Iterable[Member]:
    """Take members from the end of a list while they are asked for."""
    while members:
        yield members.pop()
