"""Track the pending probes."""

from typing import final

import msgspec
from baobabwharf_core.ids import VmId

from baobabwharf_decisions.membership.messages import Exchange


class Probe(msgspec.Struct, frozen=True):
    """Describe a probe that the caller of the core sends and reports on."""

    probe_id: int
    to: VmId
    address: str
    message: Exchange
    timeout_ms: int


class PendingProbe(msgspec.Struct):
    """Track a probe; its group fails once all probes in it have failed."""

    target: VmId
    direct: bool
    group: list[int]


@final
class PendingProbes:
    """Assign probe ids and group the probes of one target."""

    def __init__(self) -> None:
        self._pending: dict[int, PendingProbe] = {}
        self._last_id = 0

    def next_id(self) -> int:
        """Return an unused probe id."""
        self._last_id += 1
        return self._last_id

    def register(
        self, probe: Probe, target: VmId, group: list[int], direct: bool
    ) -> None:
        """Add a probe to its group and track it until it ends."""
        group.append(probe.probe_id)
        self._pending[probe.probe_id] = PendingProbe(target, direct, group)

    def get(self, probe_id: int) -> PendingProbe | None:
        """Return a pending probe, None if it has ended."""
        return self._pending.get(probe_id)

    def succeed(self, probe_id: int) -> None:
        """End all probes of the group after one succeeded."""
        pending = self._pending.pop(probe_id)
        for sibling in pending.group:
            self._pending.pop(sibling, None)

    def fail(self, probe_id: int) -> PendingProbe | None:
        """Remove a failed probe from its group."""
        pending = self._pending.pop(probe_id, None)
        if pending is not None:
            pending.group.remove(probe_id)
        return pending

    def clear(self) -> None:
        """Forget all pending probes."""
        self._pending.clear()
