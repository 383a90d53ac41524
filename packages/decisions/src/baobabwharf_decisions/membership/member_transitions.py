"""Change the state of members from probe results and gossip."""

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

# The suspicion timeout leaves time for the suspect to refute the suspicion and
# for two more rounds of probes.
SUSPICION_MS = 600


@final
class MemberTransitions:
    """Apply evidence to the member table and gossip what changed."""

    def __init__(
        self,
        table: MemberTable,
        gossip: Callable[[MemberUpdate], None],
        on_change: Callable[[Member, str], None],
    ) -> None:
        self._table = table
        self._gossip = gossip
        self._on_change = on_change

    def apply(self, update: MemberUpdate, now_ms: int) -> None:
        """Apply an update that a VM sent about another VM."""
        member = self._table.get_or_add(update.vm_id)
        if member.supersedes(update):
            member.record = member.record or update.record
            return
        before = member.state
        member.accept(update)
        if member.state == SUSPECT and before != SUSPECT:
            member.deadline_ms = now_ms + SUSPICION_MS
            member.own_failures = 0
        if member.state == LEFT and before != LEFT:
            member.left_ms = now_ms
        self._gossip(update)
        self._report_change(member, before)

    def record_message(self, sender: VmId, incarnation: Incarnation) -> None:
        """Treat a message from a VM as evidence that it is alive."""
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

    def record_probe_success(self, member: Member) -> None:
        """Record a successful probe, direct or through another VM."""
        member.own_failures = 0
        before = member.state
        if before in {SUSPECT, DEAD, JOINING}:
            member.apply_event('alive_heard')
            self._report_change(member, before)

    def record_probe_failure(self, member: Member, now_ms: int) -> None:
        """Record that a direct probe and all indirect ones failed."""
        member.own_failures += 1
        if member.state == ALIVE:
            member.apply_event('probe_failed')
            member.deadline_ms = now_ms + SUSPICION_MS
            self._gossip(member.update())

    def expire(self, now_ms: int) -> None:
        """Declare suspects dead whose suspicion timeout has passed."""
        for member in self._table.in_states(SUSPECT):
            # A VM declares a suspect dead only if its own probe failed too.
            if member.deadline_ms <= now_ms and member.own_failures:
                member.apply_event('suspicion_expired')
                self._gossip(member.update())
                self._report_change(member, SUSPECT)

    def restart_suspicions(self, now_ms: int) -> None:
        """Restart all suspicion timeouts after this process was frozen."""
        for member in self._table.in_states(SUSPECT):
            member.deadline_ms = now_ms + SUSPICION_MS
            member.own_failures = 0

    def _report_change(self, member: Member, before: str) -> None:
        if member.state != before:
            self._on_change(member, before)
