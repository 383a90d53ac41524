"""Choose which VM tries a quarantined trait, so that one trial runs at a time.

VMs take turns by a rendezvous order and announce a trial when they send it.
The end of each turn is left free, so that the announcement arrives before the
next VM may send.
"""

from collections.abc import Iterable
from typing import final

import msgspec
from baobabwharf_core.ids import VmId

from baobabwharf_decisions.hashing import hash_point
from baobabwharf_decisions.proxying.crash_report import ReportedProbe
from baobabwharf_decisions.proxying.trait_quarantine import Quarantine

_TURN_MS = 500
# Several times the delay between regions.
_TURN_GUARD_MS = 200
# With more VMs than turns, some share a turn; otherwise a trait that few VMs are
# asked for would wait too long.
_MAX_TURNS = 8
# A trial whose result is not known by then is taken for lost.
_PROBE_TIMEOUT_MS = 10_000
# A trial usually shows its result within this time.
_PROBE_RESULT_MS = 1000
# A VM that sent no report for this time takes no turns.
_VM_SILENCE_MS = 10_000
_MAX_VMS = 512


class _Probe(msgspec.Struct, frozen=True):
    order: tuple[int, int]
    sent_ms: int


@final
class TraitProbes:
    """Hold the trials of all VMs and give turns."""

    def __init__(self, vm_id: VmId) -> None:
        self._vm_id = vm_id
        self._own: dict[str, _Probe] = {}
        self._others: dict[VmId, dict[str, _Probe]] = {}
        self._reported_ms: dict[VmId, int] = {}

    def start(self, entry: Quarantine, now_ms: int) -> None:
        """Record that this VM sends the trial of a trait."""
        self._own[entry.trait_id] = _Probe(entry.order, now_ms)

    def cancel(self, trait_id: str) -> bool:
        """Forget the trial of this VM; return whether there was one."""
        return self._own.pop(trait_id, None) is not None

    def replace(
        self, vm_id: VmId, probes: Iterable[ReportedProbe], now_ms: int
    ) -> None:
        """Replace the trials of another VM."""
        self._reported_ms[vm_id] = now_ms
        self._others[vm_id] = {
            probe.trait_id: _Probe(probe.order, now_ms - probe.age_ms)
            for probe in probes
        }
        if len(self._reported_ms) > _MAX_VMS:
            self._forget(
                min(self._reported_ms, key=self._reported_ms.__getitem__)
            )

    def is_running(self, entry: Quarantine, now_ms: int) -> bool:
        """Return whether a VM tries the trait now."""
        return any(
            probe.order == entry.order
            and now_ms - probe.sent_ms < _PROBE_TIMEOUT_MS
            for probes in (self._own, *self._others.values())
            if (probe := probes.get(entry.trait_id)) is not None
        )

    def wait_ms(self, entry: Quarantine, now_ms: int) -> int:
        """Return the time until this VM may try the trait, 0 for now."""
        if now_ms < entry.due_ms:
            return entry.due_ms - now_ms
        if self.is_running(entry, now_ms):
            return _PROBE_RESULT_MS
        turns, own_turn = self._turns(entry, now_ms)
        cycle_ms = turns * _TURN_MS
        offset_ms = (now_ms - entry.due_ms - own_turn * _TURN_MS) % cycle_ms
        if offset_ms < _TURN_MS - _TURN_GUARD_MS:
            return 0
        return cycle_ms - offset_ms

    def reported(self, now_ms: int) -> tuple[ReportedProbe, ...]:
        """Return the trials of this VM whose result may still come."""
        return tuple(
            ReportedProbe(trait_id, probe.order, now_ms - probe.sent_ms)
            for trait_id, probe in self._own.items()
            if now_ms - probe.sent_ms < _PROBE_TIMEOUT_MS
        )

    def drop_expired(self, now_ms: int) -> None:
        """Forget trials without a result and VMs that are silent."""
        for trait_id, probe in tuple(self._own.items()):
            if now_ms - probe.sent_ms >= _PROBE_TIMEOUT_MS:
                self._own.pop(trait_id)
        for vm_id, reported_ms in tuple(self._reported_ms.items()):
            if now_ms - reported_ms > _VM_SILENCE_MS:
                self._forget(vm_id)

    def _turns(self, entry: Quarantine, now_ms: int) -> tuple[int, int]:
        vm_ids = [
            vm_id
            for vm_id, reported_ms in self._reported_ms.items()
            if now_ms - reported_ms <= _VM_SILENCE_MS
        ]
        vm_ids.append(self._vm_id)
        hold = [str(number) for number in entry.order]
        vm_ids.sort(
            key=lambda vm_id: (hash_point(entry.trait_id, *hold, vm_id), vm_id)
        )
        turns = min(len(vm_ids), _MAX_TURNS)
        return turns, vm_ids.index(self._vm_id) % turns

    def _forget(self, vm_id: VmId) -> None:
        self._reported_ms.pop(vm_id)
        self._others.pop(vm_id)
