"""Decide which traits of requests are blamed for crashes.

The trait in most crashes is blamed first; a crash that it explains counts for no
trait that was in fewer.  Of traits in the same crashes whole requests go first;
if there are none, all are blamed.
"""

from collections.abc import Iterable
from typing import final

from baobabwharf_decisions.proxying.crash_evidence import (
    SIMULTANEOUS_NEW_MS,
    CrashEvidence,
)
from baobabwharf_decisions.proxying.crash_report import CrashKey
from baobabwharf_decisions.proxying.request_traits import is_whole_request
from baobabwharf_decisions.proxying.trait_probes import TraitProbes
from baobabwharf_decisions.proxying.trait_quarantine import (
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
        probes: TraitProbes,
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
        """Blame traits of some crashes; return whether anything changed."""
        changed = False
        traits: dict[str, None] = {}
        for key in keys:
            changed = self._strike(key, now_ms) or changed
            traits.update(dict.fromkeys(self._evidence.suspects(key)))
        while self._blame_most_suspected(traits):
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
                self._probes.cancel(entry.trait_id)
                changed = True
        return changed

    def _blame_most_suspected(self, trait_ids: Iterable[str]) -> bool:
        counted = {}
        for trait_id in trait_ids:
            crashes = self._counted_crashes(trait_id)
            if len(crashes) >= self._crashes_to_blame(trait_id):
                counted[trait_id] = crashes
        most = max((len(crashes) for crashes in counted.values()), default=0)
        most_suspected = [
            each for each in counted if len(counted[each]) == most
        ]
        # Of equals a single request goes first: to refuse it alone costs less
        # than to refuse all requests that share a part.
        blamed = [
            each for each in most_suspected if is_whole_request(each)
        ] or most_suspected
        for trait_id in blamed:
            self._blame(trait_id, counted[trait_id], len(blamed) > 1)
        return bool(blamed)

    def _counted_crashes(self, trait_id: str) -> list[CrashKey]:
        before = self._quarantines.find(trait_id)
        if before is not None and before.is_active:
            return []
        freed_ms = None if before is None else before.freed_ms
        crashes = self._evidence.counted(trait_id, (), freed_ms)
        if len(crashes) < self._crashes_to_blame(trait_id):
            return []
        explained = self._explained_crashes(trait_id, len(crashes))
        return self._evidence.counted(trait_id, explained, freed_ms)

    def _blame(
        self, trait_id: str, crashes: list[CrashKey], is_tied: bool
    ) -> None:
        self._quarantines.blame(
            trait_id,
            crashes,
            self._evidence.crash_ms(crashes[-1]),
            is_tied and self._evidence.was_proved(trait_id),
        )

    def _crashes_to_blame(self, trait_id: str) -> int:
        if self._quarantines.is_watched(trait_id):
            return 1
        if self._evidence.was_proved(trait_id):
            return BLAME_PROVED_CRASHES
        return BLAME_NEW_CRASHES

    def _explained_crashes(self, trait_id: str, count: int) -> set[CrashKey]:
        """Return the crashes with a refused trait that was in more of them.

        One with fewer or as many may be blamed only since it was noticed first.
        A refused request explains as many crashes of a part, too.
        """
        is_shared = not is_whole_request(trait_id)
        explained: set[CrashKey] = set()
        for entry in self._quarantines.entries():
            most = len(entry.crashes)
            if is_shared and is_whole_request(entry.trait_id):
                most += 1
            if entry.is_active and most > count:
                explained.update(entry.crashes)
                explained.update(self._evidence.unproved(entry.trait_id))
        return explained
