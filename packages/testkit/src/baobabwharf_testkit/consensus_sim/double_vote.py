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
from baobabwharf_testkit.consensus_sim.event_scheduler import EventScheduler
from baobabwharf_testkit.consensus_sim.faults import Fault
from baobabwharf_testkit.consensus_sim.node import SimNode

_VOTER = VmId('vm-voter')
_CANDIDATES = (VmId('vm-one'), VmId('vm-two'))
_VOTERS = (_VOTER, *_CANDIDATES)
_DELAY_MS = 5.0
_RUN_MS = 20_000.0


@final
class DoubleVote:
    """Let two candidates ask one voter, which restarts after its first vote.

    The candidates cannot reach each other.  Granted pre-votes are held back
    until both candidates have one, so that both campaign in the same term.
    """

    def __init__(self, seed: int, fault: Fault) -> None:
        self._scheduler = EventScheduler(seed)
        self._checks = SafetyChecks()
        self._held_pre_votes: dict[VmId, Message] = {}
        self._requesters: set[VmId] = set()
        self._nodes = {name: self._make_node(name, fault) for name in _VOTERS}

    def run(self) -> int:
        """Run the schedule; return how many candidates requested the vote."""
        for node in self._nodes.values():
            node.start()
        self._scheduler.run_until(_RUN_MS)
        return len(self._requesters)

    def _make_node(self, name: VmId, fault: Fault) -> SimNode:
        disk = SimDisk(Snapshot(membership=Membership(_VOTERS)), fault)
        return SimNode(
            name,
            self._scheduler,
            self._checks,
            disk,
            self._send,
            Options(),
            fault,
        )

    def _send(self, sender: VmId, receiver: VmId, message: Message) -> None:
        from_voter = sender == _VOTER and isinstance(message, VoteRequest)
        if from_voter or _VOTER not in {sender, receiver}:
            return
        if isinstance(message, VoteAnswer) and message.pre:
            self._hold_pre_vote(receiver, message)
        elif isinstance(message, VoteRequest) and not message.pre:
            self._deliver_vote_request(message)
        elif isinstance(message, VoteAnswer):
            self._schedule_delivery(receiver, message, _DELAY_MS)
            self._scheduler.call_later(1.0, self._restart_voter)
        elif isinstance(message, VoteRequest):
            self._schedule_delivery(receiver, message, _DELAY_MS)

    def _hold_pre_vote(self, receiver: VmId, message: VoteAnswer) -> None:
        if message.granted:
            self._held_pre_votes[receiver] = message
        if len(self._held_pre_votes) == len(_CANDIDATES):
            for candidate, answer in self._held_pre_votes.items():
                self._schedule_delivery(candidate, answer, _DELAY_MS)
            self._held_pre_votes = {}

    def _deliver_vote_request(self, message: VoteRequest) -> None:
        # The second request arrives after the restart of the voter.
        delay_ms = _DELAY_MS + 200 * len(self._requesters)
        self._requesters.add(message.sender)
        self._schedule_delivery(_VOTER, message, delay_ms)

    def _schedule_delivery(
        self, receiver: VmId, message: Message, delay_ms: float
    ) -> None:
        node = self._nodes[receiver]
        self._scheduler.call_later(delay_ms, partial(node.receive, message))

    def _restart_voter(self) -> None:
        node = self._nodes[_VOTER]
        node.crash()
        node.start()
