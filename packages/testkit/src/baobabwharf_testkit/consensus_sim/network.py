"""Simulate links that delay, drop, duplicate and reorder messages."""

from collections.abc import Callable
from typing import final

from baobabwharf_core.ids import VmId
from baobabwharf_decisions.consensus.messages import Message

from baobabwharf_testkit.consensus_sim.event_scheduler import EventScheduler

MessageHandler = Callable[[VmId, Message], None]


@final
class SimNetwork:
    """Deliver messages between replicas."""

    def __init__(
        self, scheduler: EventScheduler, receive: MessageHandler
    ) -> None:
        self._scheduler = scheduler
        self._receive = receive
        self.blocked: set[tuple[VmId, VmId]] = set()
        self.drop_rate = 0.0
        self.duplicate_rate = 0.0
        self.delay_ms = 5.0
        self.jitter_ms = 5.0

    def send(self, sender: VmId, receiver: VmId, message: Message) -> None:
        """Send a message, which may be dropped, duplicated or reordered."""
        generator = self._scheduler.random
        if generator.random() >= self.drop_rate:
            self._schedule_delivery(sender, receiver, message)
        if generator.random() < self.duplicate_rate:
            self._schedule_delivery(sender, receiver, message)

    def heal(self) -> None:
        """Remove all network faults."""
        self.blocked.clear()
        self.drop_rate = 0.0
        self.duplicate_rate = 0.0
        self.delay_ms = 5.0
        self.jitter_ms = 5.0

    def _schedule_delivery(
        self, sender: VmId, receiver: VmId, message: Message
    ) -> None:
        delay_ms = (
            self.delay_ms + self._scheduler.random.random() * self.jitter_ms
        )
        self._scheduler.call_later(
            delay_ms, lambda: self._deliver(sender, receiver, message)
        )

    def _deliver(self, sender: VmId, receiver: VmId, message: Message) -> None:
        if (sender, receiver) not in self.blocked:
            self._receive(receiver, message)
