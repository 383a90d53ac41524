"""Check that a restarted voter does not vote twice in one term."""

from functools import partial
from typing import final

from baobabwharf_core.ids import VmId
from baobabwharf_decisions.consensus.messages import (
    Membership,
    Message,
    Options,
    Snapshot,
    VoteAnswer,
    VoteRequest,
)

from baobabwharf_testkit.consensus_sim.checks import SafetyChecks
from baobabwharf_testkit.consensus_sim.disk import SimDisk
from baobabwharf_testkit.consensus_sim.event_scheduler import Timeline
from baobabwharf_testkit.consensus_sim.faults import Fault
from baobabwharf_testkit.consensus_sim.node import SimNode

_VOTER = VmId('vm-voter')
_RIVALS = (VmId('vm-one'), VmId('vm-two'))
_VOTERS = (_VOTER, *_RIVALS)
_DELAY_MS = 5.0
_RUN_MS = 20_000.0


@final
class DoubleVote:
    """Let two rivals ask one voter, which restarts after its first vote.

    The rivals can't hear each other.  Answers to pre-votes are kept back
    until both rivals have asked, so that both campaign in the same term.
    """

    def __init__(self, seed: int, fault: Fault) -> None:
        self._timeline = Timeline(seed)
        self._checks = SafetyChecks()
        self._kept: dict[VmId, Message] = {}
        self._asked: set[VmId] = set()
        self._nodes = {name: self._make(name, fault) for name in _VOTERS}

    def run(self) -> int:
        """Run the schedule; return how many rivals asked for the vote."""
        for node in self._nodes.values():
            node.start()
        self._timeline.run_until(_RUN_MS)
        return len(self._asked)

    def _make(self, name: VmId, fault: Fault) -> SimNode:
        disk = SimDisk(Snapshot(membership=Membership(_VOTERS)), fault)
        return SimNode(
            name,
            self._timeline,
            self._checks,
            disk,
            self._send,
            Options(),
            fault,
        )

    def _send(self, sender: VmId, receiver: VmId, message: Message) -> None:
        own = sender == _VOTER and isinstance(message, VoteRequest)
        if own or _VOTER not in {sender, receiver}:
            return
        if isinstance(message, VoteAnswer) and message.pre:
            self._keep(receiver, message)
        elif isinstance(message, VoteRequest) and not message.pre:
            self._ask(message)
        elif isinstance(message, VoteAnswer):
            self._carry(receiver, message, _DELAY_MS)
            self._timeline.after(1.0, self._restart_voter)
        elif isinstance(message, VoteRequest):
            self._carry(receiver, message, _DELAY_MS)

    def _keep(self, receiver: VmId, message: VoteAnswer) -> None:
        if message.granted:
            self._kept[receiver] = message
        if len(self._kept) == len(_RIVALS):
            for rival, kept in self._kept.items():
                self._carry(rival, kept, _DELAY_MS)
            self._kept = {}

    def _ask(self, message: VoteRequest) -> None:
        # The second request arrives after the voter's restart.
        delay_ms = _DELAY_MS + 200 * len(self._asked)
        self._asked.add(message.sender)
        self._carry(_VOTER, message, delay_ms)

    def _carry(self, receiver: VmId, message: Message, wait_ms: float) -> None:
        node = self._nodes[receiver]
        self._timeline.after(wait_ms, partial(node.receive, message))

    def _restart_voter(self) -> None:
        node = self._nodes[_VOTER]
        node.crash()
        node.start()
