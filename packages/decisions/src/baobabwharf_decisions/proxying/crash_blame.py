"""Find the part of a prompt that crashes endpoints and refuse it.

A deadly part crashes each endpoint that begins to answer a request with it.
Each VM reports the unproved parts that were on a crashed endpoint, and which of
them were in an answer since.  A part without such an answer that was in several
crashes is quarantined, then tried by one VM at a time.

The load is requests with a deadly part that come to any VM, no two alike,
between sound requests that share their other parts.
"""

import enum
from collections.abc import Iterable, Sequence
from typing import final

import msgspec
from baobabwharf_core.ids import EndpointId, VmId

from baobabwharf_decisions.proxying.crash_evidence import (
    SIMULTANEOUS_NEW_MS,
    CrashEvidence,
    shared_part_ids,
)
from baobabwharf_decisions.proxying.crash_report import CrashKey, CrashReport
from baobabwharf_decisions.proxying.part_probes import PartProbes
from baobabwharf_decisions.proxying.part_quarantine import (
    BLAME_NEW_CRASHES,
    BLAME_PROVED_CRASHES,
    Quarantine,
    QuarantineTable,
)
from baobabwharf_decisions.proxying.prompt_cache import Prompt

# Parts that always came together are tried together only after this time, in
# which a request with one of them may prove it alone.
_JOINT_PROBE_DELAY_MS = 10_000


class VerdictAction(enum.Enum):
    """Tell what to do with a request."""

    ALLOW = 'allow'
    PROBE = 'probe'
    REFUSE = 'refuse'


class Verdict(msgspec.Struct, frozen=True):
    """Allow or refuse a prompt, or allow it as the trial of one part."""

    action: VerdictAction
    part_id: str | None = None
    retry_after_ms: int | None = None


_ALLOW = Verdict(VerdictAction.ALLOW)


@final
class CrashBlame:
    """Hold what one VM knows about parts that crash endpoints."""

    def __init__(self, vm_id: VmId) -> None:
        self._vm_id = vm_id
        self._evidence = CrashEvidence()
        self._quarantines = QuarantineTable()
        self._probes = PartProbes(vm_id)
        self._changed = False

    @property
    def changed(self) -> bool:
        """Return whether the next report holds something new."""
        return self._changed

    @property
    def crash_count(self) -> int:
        """Return how many crashes are held."""
        return len(self._evidence.keys())

    def note_crash(
        self,
        endpoint_id: EndpointId,
        incarnation: int,
        suspects: Sequence[Prompt],
        now_ms: int,
    ) -> None:
        """Record lost connections and the prompts not yet proved on them."""
        key = (endpoint_id, incarnation)
        self._evidence.drop_expired(now_ms)
        if self._evidence.add_own(key, suspects, now_ms):
            self._changed = True
            self._evaluate((key,), now_ms)

    def note_answer(self, prompt: Prompt, now_ms: int) -> None:
        """Clear all parts of a prompt whose answer went on."""
        if self._evidence.note_proofs(prompt, now_ms):
            self._changed = True
        if self._quarantines.has_active:
            self._free(shared_part_ids(prompt), now_ms, now_ms)

    def verdict(self, prompt: Prompt, now_ms: int) -> Verdict:
        """Return whether a request may be sent."""
        if not self._quarantines.has_active:
            return _ALLOW
        entries = self._active_parts(shared_part_ids(prompt))
        if not entries:
            return _ALLOW
        wait_ms = max(self._probes.wait_ms(entry, now_ms) for entry in entries)
        if len(entries) > 1:
            joint_ms = max(entry.due_ms for entry in entries)
            wait_ms = max(wait_ms, joint_ms + _JOINT_PROBE_DELAY_MS - now_ms)
        last = max(entries, key=lambda entry: (entry.due_ms, entry.part_id))
        if wait_ms > 0:
            return Verdict(VerdictAction.REFUSE, last.part_id, wait_ms)
        return Verdict(VerdictAction.PROBE, last.part_id)

    def note_probe(self, part_id: str, now_ms: int) -> None:
        """Record that the trial of a part is sent."""
        entry = self._quarantines.active(part_id)
        if entry is not None:
            self._probes.start(entry, now_ms)
            self._changed = True

    def note_probe_unsent(self, part_id: str, now_ms: int) -> None:
        """Record that a trial ended without reaching an endpoint."""
        if self._probes.cancel(part_id):
            self._changed = True

    def report(self, now_ms: int) -> CrashReport:
        """Return what the other VMs should know; it may be sent repeatedly."""
        self._changed = False
        return CrashReport(
            self._evidence.reported_crashes(now_ms),
            self._evidence.reported_proofs(now_ms),
            self._quarantines.reported(now_ms),
            self._probes.reported(now_ms),
        )

    def apply_report(
        self, vm_id: VmId, report: CrashReport, now_ms: int
    ) -> None:
        """Merge the report of another VM."""
        if vm_id == self._vm_id:
            return
        self._probes.replace(vm_id, report.probes, now_ms)
        for quarantine in report.quarantines:
            self._quarantines.merge(quarantine, now_ms)
        news = [
            (crash.endpoint_id, crash.incarnation)
            for crash in report.crashes
            if self._evidence.add_reported(crash, now_ms)
        ]
        for proof in report.proofs:
            at_ms = now_ms - proof.age_ms
            self._evidence.note_reported_proof(proof.part_id, at_ms)
            self._free((proof.part_id,), at_ms, now_ms)
        self._evaluate(news, now_ms)

    def drop_expired(self, now_ms: int) -> None:
        """Forget evidence and quarantines that are too old."""
        self._evidence.drop_expired(now_ms)
        self._quarantines.drop_expired(now_ms)
        self._probes.drop_expired(now_ms)

    def explain(self, part_id: str, now_ms: int) -> str | None:
        """Describe why a part is refused, for the decision log."""
        entry = self._quarantines.active(part_id)
        if entry is None:
            return None
        endpoints = ', '.join(
            f'{endpoint_id}/{incarnation}'
            for endpoint_id, incarnation in entry.crashes
        )
        return (
            f'part {part_id} was in {len(entry.crashes)} crashes'
            f' ({endpoints}), the last {now_ms - entry.blamed_ms} ms ago;'
            f' strike {entry.strikes}, episode {entry.episode}'
        )

    def _active_parts(self, part_ids: Iterable[str]) -> list[Quarantine]:
        entries = (self._quarantines.active(part) for part in part_ids)
        return [entry for entry in entries if entry is not None]

    def _free(self, part_ids: Iterable[str], at_ms: int, now_ms: int) -> None:
        freed = [
            entry
            for entry in self._active_parts(part_ids)
            if self._is_cleared(entry, at_ms)
        ]
        for entry in freed:
            self._quarantines.free(entry, at_ms)
            self._probes.cancel(entry.part_id)
            self._changed = True
        if freed:
            # Crashes that the freed part had explained count for others again.
            self._evaluate(self._evidence.keys(), now_ms)

    def _is_cleared(self, entry: Quarantine, proved_ms: int) -> bool:
        if proved_ms > entry.blamed_ms:
            return True
        # A proof that arrived late may refute some of the crashes.
        refuted = sum(
            self._evidence.happened_by(key, proved_ms) for key in entry.crashes
        )
        left = len(entry.crashes) - refuted
        return (
            refuted > 0 and entry.strikes == 1 and left < BLAME_PROVED_CRASHES
        )

    def _evaluate(self, keys: Iterable[CrashKey], now_ms: int) -> None:
        parts: dict[str, None] = {}
        for key in keys:
            self._strike(key, now_ms)
            parts.update(dict.fromkeys(self._evidence.suspects(key)))
        while self._blame_most_suspected(parts):
            self._changed = True
        if self._quarantines.doubt_explained():
            self._changed = True

    def _strike(self, key: CrashKey, now_ms: int) -> None:
        at_ms = self._evidence.crash_ms(key)
        entries = [
            entry
            for entry in self._active_parts(self._evidence.suspects(key))
            if at_ms - entry.blamed_ms > SIMULTANEOUS_NEW_MS
        ]
        tried = [
            entry
            for entry in entries
            if at_ms >= entry.due_ms or self._probes.is_running(entry, now_ms)
        ]
        for entry in tried or entries:
            if self._quarantines.strike(entry, key, at_ms):
                self._probes.cancel(entry.part_id)
                self._changed = True

    def _blame_most_suspected(self, part_ids: Iterable[str]) -> bool:
        counted = {}
        for part_id in part_ids:
            crashes = self._counted_crashes(part_id)
            if len(crashes) >= self._crashes_to_blame(part_id):
                counted[part_id] = crashes
        most = max((len(crashes) for crashes in counted.values()), default=0)
        blamed = [each for each in counted if len(counted[each]) == most]
        for part_id in blamed:
            self._blame(part_id, counted[part_id], len(blamed) > 1)
        return bool(blamed)

    def _counted_crashes(self, part_id: str) -> list[CrashKey]:
        before = self._quarantines.find(part_id)
        if before is not None and before.is_active:
            return []
        freed_ms = None if before is None else before.freed_ms
        crashes = self._evidence.counted(part_id, (), freed_ms)
        if len(crashes) < self._crashes_to_blame(part_id):
            return []
        explained = self._explained_crashes(len(crashes))
        return self._evidence.counted(part_id, explained, freed_ms)

    def _blame(
        self, part_id: str, crashes: list[CrashKey], is_tied: bool
    ) -> None:
        self._quarantines.blame(
            part_id,
            crashes,
            self._evidence.crash_ms(crashes[-1]),
            is_tied and self._evidence.was_proved(part_id),
        )

    def _crashes_to_blame(self, part_id: str) -> int:
        if self._quarantines.is_watched(part_id):
            return 1
        if self._evidence.was_proved(part_id):
            return BLAME_PROVED_CRASHES
        return BLAME_NEW_CRASHES

    def _explained_crashes(self, count: int) -> set[CrashKey]:
        """Return the crashes with a refused part that was in more of them.

        One with fewer or as many may be blamed only since it was noticed first.
        """
        explained: set[CrashKey] = set()
        for entry in self._quarantines.entries():
            if entry.is_active and len(entry.crashes) > count:
                explained.update(entry.crashes)
                explained.update(self._evidence.unproved(entry.part_id))
        return explained
