"""Choose the members to probe and process messages and probe results."""

import random
from collections.abc import Callable
from typing import final

import msgspec
from baobabwharf_core.fleet_config import VmRecord
from baobabwharf_core.ids import VmId

from baobabwharf_decisions.membership.freeze import FreezeDetector
from baobabwharf_decisions.membership.gossip_store import GossipStore
from baobabwharf_decisions.membership.identity import Identity
from baobabwharf_decisions.membership.member_table import (
    ALIVE,
    DEAD,
    LEFT,
    SUSPECT,
    Member,
    MemberTable,
)
from baobabwharf_decisions.membership.member_transitions import (
    MemberTransitions,
)
from baobabwharf_decisions.membership.message_builder import MessageBuilder
from baobabwharf_decisions.membership.messages import (
    Exchange,
    ExchangeReply,
    MemberUpdate,
    Summary,
)
from baobabwharf_decisions.membership.piggyback import PiggybackQueue
from baobabwharf_decisions.membership.probe_schedule import ProbeSchedule
from baobabwharf_decisions.membership.probes import PendingProbes, Probe

PROBE_TIMEOUT_MS = 200  # above the longest round trip between regions
INDIRECT_TIMEOUT_MS = 350
_INDIRECT_PROBERS = 3
_LEAVE_FAN_OUT = 16


class Callbacks(msgspec.Struct, frozen=True):
    """Hold the handlers of new tombstones, new summaries and member changes."""

    tombstone: Callable[[bytes], None]
    summary: Callable[[Summary], None]
    members_changed: Callable[[], None]


@final
class MembershipCore:
    """Track the members of the fleet from the view of one VM."""

    def __init__(
        self,
        record: VmRecord,
        seeds: tuple[VmRecord, ...],
        callbacks: Callbacks,
        rng: random.Random,
        detector: FreezeDetector,
        *,
        prefer_region: bool = False,
    ) -> None:
        self._own = Identity(record)
        self._callbacks = callbacks
        self._rng = rng
        self._detector = detector
        self._table = MemberTable()
        self._queue = PiggybackQueue()
        self.gossip_store = GossipStore(
            self._queue, callbacks.tombstone, callbacks.summary, self._table
        )
        self._transitions = MemberTransitions(
            self._table, self._gossip, self._on_change
        )
        self._schedule = ProbeSchedule(
            rng, record.region if prefer_region else None
        )
        self._pending_probes = PendingProbes()
        self.message_builder = MessageBuilder(
            self._own,
            self._table,
            self._queue,
            self.gossip_store,
            self._pending_probes,
        )
        # True from a freeze until another VM has answered.
        self.stale = False
        self._live: tuple[VmRecord, ...] = ()
        self._live_basis: tuple[int, VmRecord, bool] | None = None
        self._gossip(self._own.update())
        self.add_records(seeds)

    @property
    def own(self) -> Identity:
        """Return the identity of this VM."""
        return self._own

    def live(self) -> tuple[VmRecord, ...]:
        """Return the alive and suspect VMs, this VM first.

        The tuple is the same object until a member changes: requests and timers
        ask many times a second, and in large fleets it is long.
        """
        basis = (self._table.changes, self._own.record, self._own.leaving)
        if basis != self._live_basis:
            self._live_basis = basis
            own = () if self._own.leaving else (self._own.record,)
            others = (
                member.record
                for member in self._table.in_states(ALIVE, SUSPECT)
                if member.record is not None
            )
            self._live = (*own, *others)
        return self._live

    def stopping(self, now_ms: int, within_ms: int) -> tuple[VmRecord, ...]:
        """Return VMs that announced less than within_ms ago that they stop."""
        return tuple(
            member.record
            for member in self._table.in_states(LEFT)
            if member.record is not None and now_ms - member.left_ms < within_ms
        )

    def state_of(self, vm_id: VmId) -> str | None:
        """Return the state of another VM, None if it is unknown."""
        member = self._table.get(vm_id)
        return None if member is None else member.state

    def add_records(self, records: tuple[VmRecord, ...]) -> None:
        """Add registered VMs; they are joining until a message arrives."""
        for record in records:
            if record.vm_id != self._own.record.vm_id:
                self._table.get_or_add(record.vm_id, record)

    def forget_removed(self, registered: frozenset[VmId]) -> None:
        """Drop members that are dead or left and no longer registered."""
        for member in self._table.in_states(DEAD, LEFT):
            if member.vm_id not in registered:
                self._table.forget(member.vm_id)

    def tick(self, now_ms: int, wall_ms: int) -> list[Probe]:
        """Expire suspicions and return the probes that are due."""
        if self._detector.observe(now_ms, wall_ms):
            self._recover_from_freeze(now_ms)
        self._transitions.expire(now_ms)
        self.gossip_store.refresh(now_ms)
        probes: list[Probe] = []
        for member in self._schedule.due(self._table, now_ms):
            probes.extend(self._probe(member))
        return probes

    def merge(
        self, sender: VmId, message: Exchange | ExchangeReply, now_ms: int
    ) -> None:
        """Merge the content of a received message into the local state."""
        for update in message.load.updates:
            if update.vm_id != self._own.record.vm_id:
                self._transitions.apply(update, now_ms)
            elif self._own.must_refute(update):
                self._own.raise_incarnation_above(update.incarnation)
                self._gossip(self._own.update())
        self._transitions.record_message(sender, message.incarnation)
        self.gossip_store.merge(message.load)

    def indirect_probe(self, target: VmId) -> Probe | None:
        """Return the indirect probe that another VM requested."""
        member = self._table.get(target)
        if member is None or member.record is None:
            return None
        return self.message_builder.probe(member, None, PROBE_TIMEOUT_MS)

    def answered(
        self, probe_id: int, reply: ExchangeReply, now_ms: int
    ) -> list[Probe]:
        """Process the reply to a probe."""
        self.stale = False
        self.merge(reply.responder, reply, now_ms)
        pending = self._pending_probes.get(probe_id)
        if pending is None:
            return []
        if not reply.reached:
            return self.failed(probe_id, now_ms)
        self._pending_probes.succeed(probe_id)
        member = self._table.get(pending.target)
        if member is not None:
            self._transitions.record_probe_success(member)
        return []

    def failed(self, probe_id: int, now_ms: int) -> list[Probe]:
        """Process a failed probe; return indirect probes to send."""
        pending = self._pending_probes.fail(probe_id)
        if pending is None:
            return []
        member = self._table.get(pending.target)
        if member is None or member.state not in {ALIVE, SUSPECT}:
            return []
        probes: list[Probe] = []
        if pending.direct:
            probes = self._probe_through_others(member, pending.group)
        if not pending.group:
            self._transitions.record_probe_failure(member, now_ms)
        return probes

    def leave(self) -> list[Probe]:
        """Announce that this VM leaves and return the messages to send."""
        self._own.leave()
        self._gossip(self._own.update())
        members = self._table.in_states(ALIVE, SUSPECT)
        self._rng.shuffle(members)
        return [
            self.message_builder.probe(member, None, PROBE_TIMEOUT_MS)
            for member in members[:_LEAVE_FAN_OUT]
            if member.record is not None
        ]

    def _gossip(self, update: MemberUpdate) -> None:
        self._queue.add(update, len(self._table))

    def _on_change(self, member: Member, before: str) -> None:
        if member.state == ALIVE and before != SUSPECT:
            self.gossip_store.resend_tombstones()
        self._callbacks.members_changed()

    def _recover_from_freeze(self, now_ms: int) -> None:
        self.stale = True
        self._pending_probes.clear()
        self._transitions.restart_suspicions(now_ms)
        self._own.raise_incarnation_above(self._own.record.incarnation)
        self._gossip(self._own.update())

    def _probe(self, member: Member) -> list[Probe]:
        probe = self.message_builder.probe(member, None, PROBE_TIMEOUT_MS)
        group: list[int] = []
        # A suspect is probed directly and indirectly at once, because its
        # suspicion timeout is running.
        indirect = []
        if member.state == SUSPECT:
            indirect = self._probe_through_others(member, group)
        self._pending_probes.register(probe, member.vm_id, group, not indirect)
        return [probe, *indirect]

    def _probe_through_others(
        self, member: Member, group: list[int]
    ) -> list[Probe]:
        others = [
            other
            for other in self._table.in_states(ALIVE)
            if other is not member and other.record is not None
        ]
        probers = self._rng.sample(others, min(_INDIRECT_PROBERS, len(others)))
        probes = [
            self.message_builder.probe(
                prober, member.vm_id, INDIRECT_TIMEOUT_MS
            )
            for prober in probers
        ]
        for probe in probes:
            self._pending_probes.register(probe, member.vm_id, group, False)
        return probes
