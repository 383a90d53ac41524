"""Decide which prompt parts are blamed for crashes.

The part in most crashes is blamed first; a crash that it explains counts for no
part that was in fewer.  Parts that always came together are all blamed.
"""

from collections.abc import Iterable
from typing import final

from baobabwharf_decisions.proxying.crash_evidence import (
    SIMULTANEOUS_NEW_MS,
    CrashEvidence,
)
from baobabwharf_decisions.proxying.crash_report import CrashKey
from baobabwharf_decisions.proxying.part_probes import PartProbes
from baobabwharf_decisions.proxying.part_quarantine import (
    BLAME_NEW_CRASHES,
    BLAME_PROVED_CRASHES,
    Quarantine,
    QuarantineTable,
)


@final
class BlameDecision:
    """Change quarantines as evidence comes in."""

    def __init__(
        self,
        evidence: CrashEvidence,
        quarantines: QuarantineTable,
        probes: PartProbes,
    ) -> None:
        self._evidence = evidence
        self._quarantines = quarantines
        self._probes = probes

    def is_cleared(self, entry: Quarantine, proved_ms: int) -> bool:
        """Return whether a proof ends a quarantine."""
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

    def evaluate(self, keys: Iterable[CrashKey], now_ms: int) -> bool:
        """Blame parts of some crashes; return whether anything changed."""
        changed = False
        parts: dict[str, None] = {}
        for key in keys:
            changed = self._strike(key, now_ms) or changed
            parts.update(dict.fromkeys(self._evidence.suspects(key)))
        while self._blame_most_suspected(parts):
            changed = True
        return self._quarantines.doubt_explained() or changed

    def _strike(self, key: CrashKey, now_ms: int) -> bool:
        changed = False
        at_ms = self._evidence.crash_ms(key)
        entries = [
            entry
            for entry in self._quarantines.active_of(
                self._evidence.suspects(key)
            )
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
                changed = True
        return changed

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
