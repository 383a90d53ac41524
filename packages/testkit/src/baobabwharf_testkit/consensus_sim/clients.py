"""Simulate callers of the group and VMs that follow its configuration."""

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

from baobabwharf_testkit.consensus_sim.faults import Fault, require
from baobabwharf_testkit.consensus_sim.node import SimNode
from baobabwharf_testkit.consensus_sim.timeline import Timeline

_CUSTOMER = CustomerId('rotawen')
_KEYS = 5


@final
class History:
    """Check that reads see all that was answered before they began."""

    def __init__(self) -> None:
        self.newest = Revision(0)
        self.answers: dict[RequestId, ChangeOutcome] = {}
        self.reads = 0

    def on_answer(self, outcome: ChangeOutcome) -> None:
        """Check that a request id has one answer."""
        first = self.answers.setdefault(outcome.request_id, outcome)
        require(
            first == outcome,
            'exactly once',
            f'{outcome.request_id} has two answers.',
        )
        if outcome.code is ChangeCode.ACCEPTED:
            self.newest = max(self.newest, outcome.revision)

    def on_read(self, floor: Revision, revision: Revision) -> None:
        """Check a read that began when floor was the newest revision."""
        require(
            revision >= floor,
            'linearisable reads',
            f'A read gave revision {revision} after {floor} was answered.',
        )
        self.reads += 1
        self.newest = max(self.newest, revision)


@final
class SimClient:
    """Send changes, resend them elsewhere, and read."""

    def __init__(
        self, name: str, timeline: Timeline, nodes: list[SimNode], log: History
    ) -> None:
        self._name = name
        self._timeline = timeline
        self._nodes = nodes
        self._history = log
        self._count = 0
        self._stopped = False
        self._request: ChangeRequest | None = None

    def stop(self) -> None:
        """Send nothing more."""
        self._stopped = True

    def act(self) -> None:
        """Send, resend or read, and act again later."""
        if self._stopped:
            return
        generator = self._timeline.random
        if self._timeline.chance(40):
            self._read()
        else:
            self._change()
        self._timeline.after(40 + generator.random() * 160, self.act)

    def _change(self) -> None:
        if self._request is None:
            self._request = self._next_request()
        command = Command(
            int(self._timeline.now_ms), ApplyChange(self._request)
        )
        node = self._choose_node()
        node.propose(encode(command), self._answered)

    def _choose_node(self) -> SimNode:
        leading = [node for node in self._nodes if node.leads]
        # Several may believe that they lead, and any may be asked.
        return self._timeline.random.choice(leading or self._nodes)

    def _answered(self, index: LogIndex, term: int, answer: Answer) -> None:
        if not isinstance(answer, ChangeAnswer):
            return
        self._history.on_answer(answer.outcome)
        waiting = self._request
        # Sometimes the answer is lost and the change is sent again.
        lost = self._timeline.chance(20)
        if waiting is None or lost:
            return
        if waiting.request_id == answer.outcome.request_id:
            self._request = None

    def _next_request(self) -> ChangeRequest:
        self._count += 1
        generator = self._timeline.random
        key_id = KeyId(f'key-{generator.randrange(_KEYS)}')
        change = generator.choice(
            (
                CreateCustomer(Customer(_CUSTOMER, 10, 10)),
                SetCap(_CUSTOMER, self._count, self._count),
                CreateKey(KeyRecord(key_id, _CUSTOMER, key_id.encode())),
                WithdrawKey(key_id),
            )
        )
        expected = None
        if self._timeline.chance(20):
            expected = self._history.newest
        request_id = RequestId(f'{self._name}-{self._count}')
        return ChangeRequest(request_id, change, expected)

    def _read(self) -> None:
        node = self._choose_node()
        floor = self._history.newest

        def listener(allowed: bool) -> None:
            if allowed:
                revision = node.machine.config.revision
                self._history.on_read(floor, revision)

        node.read(listener)


@final
class SimWatcher:
    """Follow the configuration of changing upstreams."""

    def __init__(
        self, timeline: Timeline, nodes: list[SimNode], fault: Fault
    ) -> None:
        self._timeline = timeline
        self._nodes = nodes
        self._fault = fault
        self._copy = ConfigCopy()
        self._revision = Revision(0)
        self._withdrawn: set[bytes] = set()

    def act(self) -> None:
        """Ask any node; its answer arrives late and out of order."""
        generator = self._timeline.random
        node = generator.choice(self._nodes)
        config = node.machine.config
        if node.core is not None:
            delay_ms = generator.random() * 400
            self._timeline.after(delay_ms, lambda: self._take(config))
        self._timeline.after(100, self.act)

    def _take(self, config: FleetConfig) -> None:
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
            'A withdrawn key works again.',
        )
