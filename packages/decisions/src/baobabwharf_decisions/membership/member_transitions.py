"""Decide what to believe about the other VMs."""

from collections.abc import Callable
from typing import final

from baobabwharf_core.ids import Incarnation, VmId

from baobabwharf_decisions.membership.member_table import (
    ALIVE,
    DEAD,
    JOINING,
    LEFT,
    SUSPECT,
    Member,
    MemberTable,
)
from baobabwharf_decisions.membership.messages import MemberUpdate

# Time for the suspect to hear of it and for two more rounds of probes.
SUSPICION_MS = 600


@final
class MemberTransitions:
    """Apply evidence to the member table and pass on what is new."""

    def __init__(
        self,
        table: MemberTable,
        spread: Callable[[MemberUpdate], None],
        changed: Callable[[Member, str], None],
    ) -> None:
        self._table = table
        self._spread = spread
        self._changed = changed

    def apply(self, update: MemberUpdate, now_ms: int) -> None:
        """Take what a VM says about another one."""
        member = self._table.get_or_add(update.vm_id)
        if member.supersedes(update):
            member.record = member.record or update.record
            return
        before = member.state
        member.accept(update)
        if member.state == SUSPECT and before != SUSPECT:
            member.deadline_ms = now_ms + SUSPICION_MS
            member.own_failures = 0
        self._spread(update)
        self._report_change(member, before)

    def record_message(self, sender: VmId, incarnation: Incarnation) -> None:
        """Take a message of a VM as evidence that it is alive."""
        member = self._table.get_or_add(sender)
        if incarnation < member.incarnation:
            return
        if member.state == LEFT and incarnation == member.incarnation:
            return
        member.incarnation = incarnation
        member.own_failures = 0
        before = member.state
        member.apply_event('alive_heard')
        self._report_change(member, before)

    def reached(self, member: Member) -> None:
        """Take a probe that got through, directly or by another VM."""
        member.own_failures = 0
        before = member.state
        if before in {SUSPECT, DEAD, JOINING}:
            member.apply_event('alive_heard')
            self._report_change(member, before)

    def suspect(self, member: Member, now_ms: int) -> None:
        """Take a probe that failed on every way."""
        member.own_failures += 1
        if member.state == ALIVE:
            member.apply_event('probe_failed')
            member.deadline_ms = now_ms + SUSPICION_MS
            self._spread(member.update())

    def expire(self, now_ms: int) -> None:
        """Declare suspects dead whose time has passed."""
        for member in self._table.in_states(SUSPECT):
            # Only a VM whose own probe failed declares another one dead.
            if member.deadline_ms <= now_ms and member.own_failures:
                member.apply_event('suspicion_expired')
                self._spread(member.update())
                self._report_change(member, SUSPECT)

    def restart_suspicions(self, now_ms: int) -> None:
        """Begin all suspicions anew after this process was frozen."""
        for member in self._table.in_states(SUSPECT):
            member.deadline_ms = now_ms + SUSPICION_MS
            member.own_failures = 0

    def _report_change(self, member: Member, before: str) -> None:
        if member.state != before:
            self._changed(member, before)
