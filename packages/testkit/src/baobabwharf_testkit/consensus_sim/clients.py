"""Simulate clients of the group and VMs that follow its configuration."""

from typing import final

from baobabwharf_core.changes import (
    ChangeCode,
    ChangeOutcome,
    ChangeRequest,
    CreateCustomer,
    CreateKey,
    SetCap,
    WithdrawKey,
)
from baobabwharf_core.codec import encode
from baobabwharf_core.fleet_config import Customer, FleetConfig, KeyRecord
from baobabwharf_core.ids import (
    CustomerId,
    KeyId,
    LogIndex,
    RequestId,
    Revision,
)
from baobabwharf_decisions.config_replication import ConfigCopy
from baobabwharf_decisions.fleet_state.commands import (
    Answer,
    ApplyChange,
    ChangeAnswer,
    Command,
)

from baobabwharf_testkit.consensus_sim.event_scheduler import EventScheduler
from baobabwharf_testkit.consensus_sim.faults import Fault, require
from baobabwharf_testkit.consensus_sim.node import SimNode

_CUSTOMER = CustomerId('rotawen')
_KEY_COUNT = 5


@final
class History:
    """Check that reads see all changes that were answered before they began."""

    def __init__(self) -> None:
        self.latest_revision = Revision(0)
        self.answers: dict[RequestId, ChangeOutcome] = {}
        self.reads = 0

    def on_answer(self, outcome: ChangeOutcome) -> None:
        """Check that all answers to a request id are equal."""
        first = self.answers.setdefault(outcome.request_id, outcome)
        require(
            first == outcome,
            'exactly once',
            f'{outcome.request_id} has two answers.',
        )
        if outcome.code is ChangeCode.ACCEPTED:
            self.latest_revision = max(self.latest_revision, outcome.revision)

    def on_read(self, min_revision: Revision, revision: Revision) -> None:
        """Check that a read is not older than the revision at its start."""
        require(
            revision >= min_revision,
            'linearisable reads',
            f'A read returned revision {revision} after {min_revision} was answered.',
        )
        self.reads += 1
        self.latest_revision = max(self.latest_revision, revision)


@final
class SimClient:
    """Send changes, retry them at other nodes, and read."""

    def __init__(
        self,
        name: str,
        scheduler: EventScheduler,
        nodes: list[SimNode],
        history: History,
    ) -> None:
        self._name = name
        self._scheduler = scheduler
        self._nodes = nodes
        self._history = history
        self._count = 0
        self._stopped = False
        self._request: ChangeRequest | None = None

    def stop(self) -> None:
        """Stop sending."""
        self._stopped = True

    def step(self) -> None:
        """Send or retry a change, or read; schedule the next step."""
        if self._stopped:
            return
        generator = self._scheduler.random
        if self._scheduler.chance(40):
            self._read()
        else:
            self._change()
        self._scheduler.call_later(40 + generator.random() * 160, self.step)

    def _change(self) -> None:
        if self._request is None:
            self._request = self._next_request()
        command = Command(
            int(self._scheduler.now_ms), ApplyChange(self._request)
        )
        node = self._choose_node()
        node.propose(encode(command), self._handle_answer)

    def _choose_node(self) -> SimNode:
        leaders = [node for node in self._nodes if node.leads]
        # Several nodes may consider themselves leader; any may be chosen.
        return self._scheduler.random.choice(leaders or self._nodes)

    def _handle_answer(
        self, index: LogIndex, term: int, answer: Answer
    ) -> None:
        if not isinstance(answer, ChangeAnswer):
            return
        self._history.on_answer(answer.outcome)
        pending = self._request
        # A lost answer makes the client send the change again.
        answer_lost = self._scheduler.chance(20)
        if pending is None or answer_lost:
            return
        if pending.request_id == answer.outcome.request_id:
            self._request = None

    def _next_request(self) -> ChangeRequest:
        self._count += 1
        generator = self._scheduler.random
        key_id = KeyId(f'key-{generator.randrange(_KEY_COUNT)}')
        change = generator.choice(
            (
                CreateCustomer(Customer(_CUSTOMER, 10, 10)),
                SetCap(_CUSTOMER, self._count, self._count),
                CreateKey(KeyRecord(key_id, _CUSTOMER, key_id.encode())),
                WithdrawKey(key_id),
            )
        )
        expected = None
        if self._scheduler.chance(20):
            expected = self._history.latest_revision
        request_id = RequestId(f'{self._name}-{self._count}')
        return ChangeRequest(request_id, change, expected)

    def _read(self) -> None:
        node = self._choose_node()
        min_revision = self._history.latest_revision

        def listener(allowed: bool) -> None:
            if allowed:
                revision = node.machine.config.revision
                self._history.on_read(min_revision, revision)

        node.read(listener)


@final
class SimWatcher:
    """Follow the configuration from changing upstream nodes."""

    def __init__(
        self, scheduler: EventScheduler, nodes: list[SimNode], fault: Fault
    ) -> None:
        self._scheduler = scheduler
        self._nodes = nodes
        self._fault = fault
        self._copy = ConfigCopy()
        self._revision = Revision(0)
        self._withdrawn: set[bytes] = set()

    def step(self) -> None:
        """Fetch from a random node; answers arrive late and out of order."""
        generator = self._scheduler.random
        node = generator.choice(self._nodes)
        config = node.machine.config
        if node.core is not None:
            delay_ms = generator.random() * 400
            self._scheduler.call_later(
                delay_ms, lambda: self._receive_config(config)
            )
        self._scheduler.call_later(100, self.step)

    def _receive_config(self, config: FleetConfig) -> None:
        if self._fault is Fault.OLD_REVISION_ACCEPTED:
            self._copy = ConfigCopy()
        self._copy.offer(config)
        revision = self._copy.config.revision
        require(
            revision >= self._revision,
            'configuration never reverts',
            f'Revision {revision} is in force after {self._revision}.',
        )
        self._revision = revision
        self._withdrawn |= {
            key.digest for key in config.keys.values() if key.withdrawn
        }
        require(
            all(map(self._copy.is_withdrawn, self._withdrawn)),
            'withdrawal is final',
            'A withdrawn key is valid again.',
        )
