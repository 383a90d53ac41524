"""Put replicas, network, clients and faults together for one seed."""

from typing import final

import msgspec
from baobabwharf_core.ids import VmId
from baobabwharf_decisions.consensus.messages import (
    PLAIN_LOOP,
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
from baobabwharf_testkit.consensus_sim.event_scheduler import Timeline
from baobabwharf_testkit.consensus_sim.fault_injector import Nemesis
from baobabwharf_testkit.consensus_sim.faults import Fault, require
from baobabwharf_testkit.consensus_sim.network import SimNetwork
from baobabwharf_testkit.consensus_sim.node import SimNode

_STORM_MS = 6000.0
# After the faults, callers go on while three elections may fail, and are silent
# at the end: what only the next change repairs is not repaired.
_ELECTIONS = 3
_GROW_MS = 1000.0
_SILENT_MS = 3500.0
_SPARES = 2


class Summary(msgspec.Struct, frozen=True):
    """Describe a run that broke no check."""

    trace: int
    committed: int
    answers: int
    reads: int


@final
class World:
    """Run one seed: first faults, then a calm time in which all agree."""

    def __init__(self, seed: int, fault: Fault) -> None:
        self._timeline = Timeline(seed)
        self._checks = SafetyChecks()
        self._calls_ms = 0.0
        self._history = History()
        self._network = SimNetwork(self._timeline, self._receive)
        self._nodes = self._make_nodes(fault)
        self._by_id = {node.vm_id: node for node in self._nodes}
        self._nemesis = Nemesis(
            self._timeline, self._network, self._nodes, self._checks
        )
        self._watchers = [
            SimWatcher(self._timeline, self._nodes, fault) for _twice in '12'
        ]

    def run(self) -> Summary:
        """Run the seed; raise CheckFailed or InvariantViolation."""
        for node in self._nodes:
            node.start()
        for name in ('client-a', 'client-b', 'client-c'):
            client = SimClient(name, self._timeline, self._nodes, self._history)
            self._timeline.after(500, client.act)
            self._timeline.after(_STORM_MS + self._calls_ms, client.stop)
        for watcher in self._watchers:
            watcher.act()
        self._timeline.after(800, self._nemesis.act)
        self._timeline.run_until(_STORM_MS)
        self._nemesis.calm()
        before = len(self._history.answers)
        self._timeline.after(self._calls_ms + _GROW_MS, self._nemesis.grow)
        self._timeline.run_until(_STORM_MS + self._calls_ms + _SILENT_MS)
        answered = len(self._history.answers) - before
        require(answered > 0, 'recovery', 'No change was answered at the end.')
        self._check_agreement()
        return Summary(
            self._timeline.trace,
            self._checks.last_committed,
            len(self._history.answers),
            self._history.reads,
        )

    def _make_nodes(self, fault: Fault) -> list[SimNode]:
        generator = self._timeline.random
        size = generator.choice((3, 3, 5))
        voters = tuple(VmId(f'vm-{number}') for number in range(size))
        options = self._choose_options(fault)
        # An election timeout is at most twice its base.
        self._calls_ms = 500.0 + 2 * _ELECTIONS * options.election_ms
        nodes = []
        for number in range(size + _SPARES):
            first = Snapshot()
            if number < size:
                first = Snapshot(membership=Membership(voters))
            node = SimNode(
                VmId(f'vm-{number}'),
                self._timeline,
                self._checks,
                SimDisk(first, fault),
                self._network.send,
                options,
                fault,
            )
            node.drift = 0.98 + generator.random() * 0.04
            node.compact_after = generator.randrange(5, 40)
            nodes.append(node)
        return nodes

    def _choose_options(self, fault: Fault) -> Options:
        generator = self._timeline.random
        plain = generator.randrange(4) == 0
        base = PLAIN_LOOP if plain else Options()
        return msgspec.structs.replace(
            base,
            election_ms=generator.choice((300, 1000)),
            chunk_bytes=generator.choice((1000, 4000, 65_536)),
            max_batch_entries=generator.choice((1, 3, 256)),
            pre_vote=fault is not Fault.NO_PRE_VOTE,
        )

    def _receive(self, receiver: VmId, message: Message) -> None:
        kind = type(message).__name__
        self._timeline.note(f'{message.sender} {receiver} {kind}')
        self._by_id[receiver].receive(message)

    def _check_agreement(self) -> None:
        running = [node for node in self._nodes if node.core is not None]
        leading = [node for node in running if node.leads]
        require(
            len(leading) == 1,
            'recovery',
            f'{len(leading)} replicas lead after the faults have ended.',
        )
        core = leading[0].core
        assert core is not None
        members = core.status.membership.members
        revisions = {
            node.machine.config.revision
            for node in running
            if node.vm_id in members
        }
        # Callers have been silent for some time, so nothing is on its way.
        require(
            len(revisions) == 1,
            'recovery',
            f'Members hold the revisions {sorted(revisions)}.',
        )
