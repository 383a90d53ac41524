"""Simulate links that delay, drop, repeat and reorder messages."""

from collections.abc import Callable
from typing import final

from baobabwharf_core.ids import VmId
from baobabwharf_decisions.consensus.messages import Message

from baobabwharf_testkit.consensus_sim.event_scheduler import Timeline

Receive = Callable[[VmId, Message], None]


@final
class SimNetwork:
    """Carry messages between replicas."""

    def __init__(self, timeline: Timeline, receive: Receive) -> None:
        self._timeline = timeline
        self._receive = receive
        self.blocked: set[tuple[VmId, VmId]] = set()
        self.drop_share = 0.0
        self.repeat_share = 0.0
        self.delay_ms = 5.0
        self.jitter_ms = 5.0

    def send(self, sender: VmId, receiver: VmId, message: Message) -> None:
        """Carry a message, perhaps; jitter reorders messages."""
        generator = self._timeline.random
        if generator.random() >= self.drop_share:
            self._carry(sender, receiver, message)
        if generator.random() < self.repeat_share:
            self._carry(sender, receiver, message)

    def heal(self) -> None:
        """Remove all faults."""
        self.blocked.clear()
        self.drop_share = 0.0
        self.repeat_share = 0.0
        self.delay_ms = 5.0
        self.jitter_ms = 5.0

    def _carry(self, sender: VmId, receiver: VmId, message: Message) -> None:
        delay_ms = (
            self.delay_ms + self._timeline.random.random() * self.jitter_ms
        )
        self._timeline.after(
            delay_ms, lambda: self._arrive(sender, receiver, message)
        )

    def _arrive(self, sender: VmId, receiver: VmId, message: Message) -> None:
        if (sender, receiver) not in self.blocked:
            self._receive(receiver, message)
