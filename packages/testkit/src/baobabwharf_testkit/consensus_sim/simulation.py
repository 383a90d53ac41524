"""Simulate replicas, network, clients and faults for one seed."""

from typing import final

import msgspec
from baobabwharf_core.ids import VmId
from baobabwharf_decisions.consensus.messages import (
    STOP_AND_WAIT,
    CompactionThreshold,
    Membership,
    Message,
    Options,
    Snapshot,
)

from baobabwharf_testkit.consensus_sim.checks import SafetyChecks
from baobabwharf_testkit.consensus_sim.clients import (
    History,
    SimClient,
    SimWatcher,
)
from baobabwharf_testkit.consensus_sim.disk import SimDisk
from baobabwharf_testkit.consensus_sim.event_scheduler import EventScheduler
from baobabwharf_testkit.consensus_sim.fault_injector import FaultInjector
from baobabwharf_testkit.consensus_sim.faults import Fault, require
from baobabwharf_testkit.consensus_sim.network import SimNetwork
from baobabwharf_testkit.consensus_sim.node import SimNode

_FAULT_PHASE_MS = 6000.0
# After the fault phase clients continue for as long as three failed elections
# may take.  They are idle at the end, so that the check finds states which only
# the next change would repair.
_FAILED_ELECTIONS = 3
_LEARNER_DELAY_MS = 1000.0
_IDLE_PHASE_MS = 3500.0
_SPARE_NODES = 2


class RunSummary(msgspec.Struct, frozen=True):
    """Summarise a run in which all checks held."""

    trace: int
    committed: int
    answers: int
    reads: int


@final
class Simulation:
    """Run one seed: a fault phase, then a recovery to agreement."""

    def __init__(self, seed: int, fault: Fault) -> None:
        self._scheduler = EventScheduler(seed)
        self._checks = SafetyChecks()
        self._client_phase_ms = 0.0
        self._history = History()
        self._network = SimNetwork(self._scheduler, self._deliver)
        self._nodes = self._make_nodes(fault)
        self._by_id = {node.vm_id: node for node in self._nodes}
        self._fault_injector = FaultInjector(
            self._scheduler, self._network, self._nodes, self._checks
        )
        self._watchers = [
            SimWatcher(self._scheduler, self._nodes, fault) for _index in '12'
        ]

    def run(self) -> RunSummary:
        """Run the seed; raise CheckFailed or InvariantViolation."""
        for node in self._nodes:
            node.start()
        for name in ('client-a', 'client-b', 'client-c'):
            client = SimClient(
                name, self._scheduler, self._nodes, self._history
            )
            self._scheduler.call_later(500, client.step)
            self._scheduler.call_later(
                _FAULT_PHASE_MS + self._client_phase_ms, client.stop
            )
        for watcher in self._watchers:
            watcher.step()
        self._scheduler.call_later(800, self._fault_injector.inject_next)
        self._scheduler.run_until(_FAULT_PHASE_MS)
        self._fault_injector.stop_faults()
        answered_before = len(self._history.answers)
        self._scheduler.call_later(
            self._client_phase_ms + _LEARNER_DELAY_MS,
            self._fault_injector.add_learner,
        )
        self._scheduler.run_until(
            _FAULT_PHASE_MS + self._client_phase_ms + _IDLE_PHASE_MS
        )
        answer_count = len(self._history.answers) - answered_before
        require(
            answer_count > 0,
            'recovery',
            'No change was answered after the fault phase.',
        )
        self._check_agreement()
        return RunSummary(
            self._scheduler.trace,
            self._checks.last_committed,
            len(self._history.answers),
            self._history.reads,
        )

    def _make_nodes(self, fault: Fault) -> list[SimNode]:
        generator = self._scheduler.random
        size = generator.choice((3, 3, 5))
        voters = tuple(VmId(f'vm-{number}') for number in range(size))
        options = self._choose_options(fault)
        # An election timeout is at most twice its base value.
        self._client_phase_ms = (
            500.0 + 2 * _FAILED_ELECTIONS * options.election_ms
        )
        nodes = []
        for number in range(size + _SPARE_NODES):
            initial_snapshot = Snapshot()
            if number < size:
                initial_snapshot = Snapshot(membership=Membership(voters))
            node = SimNode(
                VmId(f'vm-{number}'),
                self._scheduler,
                self._checks,
                SimDisk(initial_snapshot, fault),
                self._network.send,
                options,
                fault,
            )
            node.clock_rate = 0.98 + generator.random() * 0.04
            node.compact_after = CompactionThreshold(
                generator.randrange(5, 40), generator.choice((2000, 100_000))
            )
            nodes.append(node)
        return nodes

    def _choose_options(self, fault: Fault) -> Options:
        generator = self._scheduler.random
        stop_and_wait = generator.randrange(4) == 0
        base = STOP_AND_WAIT if stop_and_wait else Options()
        return msgspec.structs.replace(
            base,
            election_ms=generator.choice((300, 1000)),
            chunk_bytes=generator.choice((1000, 4000, 65_536)),
            max_batch_entries=generator.choice((1, 3, 256)),
            max_batch_bytes=generator.choice((200, 1000, 262_144)),
            max_inflight_bytes=generator.choice((500, 4_194_304)),
            pre_vote=fault is not Fault.NO_PRE_VOTE,
        )

    def _deliver(self, receiver: VmId, message: Message) -> None:
        kind = type(message).__name__
        self._scheduler.add_to_trace(f'{message.sender} {receiver} {kind}')
        self._by_id[receiver].receive(message)

    def _check_agreement(self) -> None:
        running = [node for node in self._nodes if node.core is not None]
        leaders = [node for node in running if node.leads]
        require(
            len(leaders) == 1,
            'recovery',
            f'{len(leaders)} replicas lead after the fault phase.',
        )
        core = leaders[0].core
        assert core is not None
        members = core.status.membership.members
        revisions = {
            node.machine.config.revision
            for node in running
            if node.vm_id in members
        }
        # Clients have been idle for some time, so no change is in flight.
        require(
            len(revisions) == 1,
            'recovery',
            f'Members have different revisions: {sorted(revisions)}.',
        )
