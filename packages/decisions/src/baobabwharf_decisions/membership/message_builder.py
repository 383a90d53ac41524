"""Build the membership messages that this VM sends."""

from typing import final

from baobabwharf_core.ids import VmId

from baobabwharf_decisions.membership.gossip_store import GossipStore
from baobabwharf_decisions.membership.identity import Identity
from baobabwharf_decisions.membership.member_table import (
    ALIVE,
    DEAD,
    JOINING,
    LEFT,
    SUSPECT,
    Member,
    MemberTable,
)
from baobabwharf_decisions.membership.messages import (
    Exchange,
    ExchangeReply,
    MemberUpdate,
    Piggyback,
)
from baobabwharf_decisions.membership.piggyback import PiggybackQueue, pack
from baobabwharf_decisions.membership.probes import PendingProbes, Probe


@final
class MessageBuilder:
    """Build probes and replies with piggybacked updates."""

    def __init__(
        self,
        own: Identity,
        table: MemberTable,
        queue: PiggybackQueue,
        gossip_store: GossipStore,
        pending_probes: PendingProbes,
    ) -> None:
        self._own = own
        self._table = table
        self._queue = queue
        self._gossip_store = gossip_store
        self._pending_probes = pending_probes

    def probe(
        self, member: Member, target: VmId | None, timeout_ms: int
    ) -> Probe:
        """Return a probe of the member, or of the target through the member."""
        assert member.record is not None
        record = self._own.record
        join = member.state == JOINING
        # The receiver may not have the record of this VM yet, without which it
        # could not answer.
        piggyback = self._piggyback(member.vm_id, [self._own.update()])
        message = Exchange(
            record.vm_id, record.incarnation, piggyback, target, join
        )
        return Probe(
            self._pending_probes.next_id(),
            member.vm_id,
            member.record.peer_address,
            message,
            timeout_ms,
        )

    def reply(self, request: Exchange, reached: bool) -> ExchangeReply:
        """Return the reply; a joining VM gets the full state."""
        record = self._own.record
        piggyback = self._piggyback(request.sender, [])
        if request.join:
            piggyback = self._full_state()
        return ExchangeReply(
            record.vm_id, record.incarnation, reached, piggyback
        )

    def _full_state(self) -> Piggyback:
        known = self._table.in_states(ALIVE, SUSPECT, DEAD, LEFT)
        updates = [member.update() for member in known]
        return pack(
            [*updates, self._own.update(), *self._gossip_store.all_items()]
        )

    def _piggyback(self, to: VmId, first: list[MemberUpdate]) -> Piggyback:
        # A VM that is thought to be suspect, dead or left must learn of it, so
        # that it can refute it.
        member = self._table.get(to)
        doubted = member is not None and member.state in {SUSPECT, DEAD, LEFT}
        if member is not None and doubted:
            first.append(member.update())
        return self._queue.take(first)
