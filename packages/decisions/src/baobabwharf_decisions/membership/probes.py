"""Remember which probes are under way."""

from typing import final

import msgspec
from baobabwharf_core.ids import VmId

from baobabwharf_decisions.membership.messages import Exchange


class Probe(msgspec.Struct, frozen=True):
    """Ask the driver to send an exchange and to report how it ended."""

    probe_id: int
    to: VmId
    address: str
    message: Exchange
    timeout_ms: int


class PendingProbe(msgspec.Struct):
    """Hold one probe; its group fails when all its probes have failed."""

    target: VmId
    direct: bool
    group: list[int]


@final
class PendingProbes:
    """Number probes and group those with the same target."""

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
        """Await the end of a probe as part of a group."""
        group.append(probe.probe_id)
        self._pending[probe.probe_id] = PendingProbe(target, direct, group)

    def get(self, probe_id: int) -> PendingProbe | None:
        """Return a probe that is under way."""
        return self._pending.get(probe_id)

    def succeed(self, probe_id: int) -> None:
        """End all probes of a group."""
        pending = self._pending.pop(probe_id)
        for sibling in pending.group:
            self._pending.pop(sibling, None)

    def fail(self, probe_id: int) -> PendingProbe | None:
        """End one probe of a group."""
        pending = self._pending.pop(probe_id, None)
        if pending is not None:
            pending.group.remove(probe_id)
        return pending

    def clear(self) -> None:
        """Forget all probes."""
        self._pending.clear()
