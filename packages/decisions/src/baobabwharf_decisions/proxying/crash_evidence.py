"""Count the crashes that a trait of requests may have caused.

A trait is suspected of a crash if an unproved request with it was on the
crashed endpoint.  It is cleared if a request with it is answered later, since a
deadly trait crashes each endpoint that begins to answer.
"""

from collections import OrderedDict
from collections.abc import Container, Iterable, Mapping, Sequence, Sized
from typing import final

import msgspec

from baobabwharf_decisions.proxying.crash_report import (
    CrashKey,
    ReportedCrash,
    ReportedProof,
)
from baobabwharf_decisions.proxying.request_traits import Traits
from baobabwharf_decisions.proxying.trait_proofs import TraitProofs

# A deadly trait that is asked for less often than this does little harm.
EVIDENCE_WINDOW_MS = 60_000
# Losing a zone or link takes many endpoints at once; VMs notice within a round
# trip between regions and a scheduling delay.
SIMULTANEOUS_MS = 250
# The same for traits that were not answered lately, of which few requests run at
# once: the time to notice a reset plus the delay of a report.
SIMULTANEOUS_NEW_MS = 120
_MAX_CRASHES = 64
_MAX_TRAITS_OF_CRASH = 128
# The caps on what is reported keep a report in one datagram.
_REPORTED_CRASHES = 6
_REPORTED_TRAITS = 64
_REPORTED_PROOFS = 32


def _by_crashes(
    trait_ids: Iterable[str], keys_by_trait: Mapping[str, Sized]
) -> list[str]:
    """Sort traits by the number of their crashes, most first."""
    return sorted(
        trait_ids,
        key=lambda trait_id: len(keys_by_trait[trait_id]),
        reverse=True,
    )


class _Crash(msgspec.Struct):
    at_ms: int
    own_traits: dict[str, None]
    traits: dict[str, None]


@final
class CrashEvidence:
    """Hold the crashes of the last minute and the proofs of their suspects."""

    def __init__(self) -> None:
        self._crashes: OrderedDict[CrashKey, _Crash] = OrderedDict()
        self._keys_by_trait: dict[str, dict[CrashKey, None]] = {}
        self._own_proofs = TraitProofs()
        # Proofs by any VM, only of suspects.
        self._proof_ms: dict[str, int] = {}

    def add_own(
        self,
        key: CrashKey,
        suspects: Sequence[Traits],
        now_ms: int,
    ) -> bool:
        """Add a crash that this VM noticed; return whether it is news."""
        trait_ids = [trait_id for traits in suspects for trait_id in traits]
        changed = self._add(key, trait_ids, now_ms)
        crash = self._crashes[key]
        known = len(crash.own_traits)
        crash.own_traits.update(
            (trait_id, None)
            for trait_id in trait_ids
            if trait_id in crash.traits
        )
        return changed or len(crash.own_traits) > known

    def add_reported(self, reported: ReportedCrash, now_ms: int) -> bool:
        """Add a crash that another VM noticed; return whether it is news."""
        if reported.age_ms > EVIDENCE_WINDOW_MS:
            return False
        key = (reported.endpoint_id, reported.incarnation)
        return self._add(key, reported.trait_ids, now_ms - reported.age_ms)

    def note_proofs(self, traits: Traits, now_ms: int) -> bool:
        """Clear traits that were answered; return whether one was suspected."""
        cleared = False
        for trait_id in traits:
            self._own_proofs.note(trait_id, now_ms)
            if trait_id in self._keys_by_trait:
                cleared = cleared or bool(self.unproved(trait_id))
                self._note_proof(trait_id, now_ms)
        return cleared

    def was_proved(self, trait_id: str) -> bool:
        """Return whether any VM proved a suspect lately."""
        return trait_id in self._proof_ms

    def note_reported_proof(self, trait_id: str, at_ms: int) -> None:
        """Clear a suspect that was proved on another VM."""
        if trait_id in self._keys_by_trait:
            self._note_proof(trait_id, at_ms)

    def suspects(self, key: CrashKey) -> Iterable[str]:
        """Return the traits that were on the crashed endpoint."""
        return tuple(self._crashes[key].traits)

    def crash_ms(self, key: CrashKey) -> int:
        """Return when the crash was noticed first."""
        return self._crashes[key].at_ms

    def happened_by(self, key: CrashKey, at_ms: int) -> bool:
        """Return whether a crash that is held came no later than a time."""
        crash = self._crashes.get(key)
        return crash is not None and crash.at_ms <= at_ms

    def keys(self) -> tuple[CrashKey, ...]:
        """Return the crashes held."""
        return tuple(self._crashes)

    def unproved(self, trait_id: str) -> list[CrashKey]:
        """Return the crashes after the last proof of a trait, oldest first."""
        proved_ms = self._proof_ms.get(trait_id)
        keys = [
            key
            for key in self._keys_by_trait.get(trait_id, ())
            if proved_ms is None or self._crashes[key].at_ms > proved_ms
        ]
        return sorted(keys, key=lambda key: (self._crashes[key].at_ms, key))

    def counted(
        self,
        trait_id: str,
        explained: Container[CrashKey],
        freed_ms: int | None,
    ) -> list[CrashKey]:
        """Return the crashes that count against a trait, oldest first.

        Those before the trait was freed are ignored, and those at about the same
        time count as one.
        """
        counted: list[CrashKey] = []
        group_ms: int | None = None
        is_proved = self.was_proved(trait_id)
        gap_ms = SIMULTANEOUS_MS if is_proved else SIMULTANEOUS_NEW_MS
        for key in self.unproved(trait_id):
            at_ms = self._crashes[key].at_ms
            is_old = freed_ms is not None and at_ms <= freed_ms
            if is_old or key in explained:
                continue
            if group_ms is None or at_ms - group_ms > gap_ms:
                counted.append(key)
                group_ms = at_ms
        return counted

    def reported_crashes(self, now_ms: int) -> tuple[ReportedCrash, ...]:
        """Return this VM's crashes, without traits that were cleared since."""
        reported: list[ReportedCrash] = []
        traits_left = _REPORTED_TRAITS
        for key, crash in reversed(self._crashes.items()):
            unproved = [
                trait_id
                for trait_id in crash.own_traits
                if self._proof_ms.get(trait_id, crash.at_ms - 1) < crash.at_ms
            ]
            by_crashes = _by_crashes(unproved, self._keys_by_trait)
            trait_ids = by_crashes[:traits_left]
            if trait_ids and len(reported) < _REPORTED_CRASHES:
                traits_left -= len(trait_ids)
                age_ms = now_ms - crash.at_ms
                reported.append(ReportedCrash(*key, age_ms, tuple(trait_ids)))
        return tuple(reported)

    def reported_proofs(self, now_ms: int) -> tuple[ReportedProof, ...]:
        """Return this VM's proofs, those of traits in most crashes first."""
        proved = self._own_proofs.of_suspects(self._keys_by_trait.keys())
        trait_ids = _by_crashes(sorted(proved), self._keys_by_trait)
        return tuple(
            ReportedProof(trait_id, now_ms - proved[trait_id])
            for trait_id in trait_ids[:_REPORTED_PROOFS]
        )

    def drop_expired(self, now_ms: int) -> None:
        """Drop crashes that are older than the window."""
        for key, crash in tuple(self._crashes.items()):
            if now_ms - crash.at_ms > EVIDENCE_WINDOW_MS:
                self._drop(key)
        self._own_proofs.drop_expired(now_ms)

    def _add(self, key: CrashKey, trait_ids: Iterable[str], at_ms: int) -> bool:
        changed = key not in self._crashes
        if changed:
            if len(self._crashes) >= _MAX_CRASHES:
                self._drop(next(iter(self._crashes)))
            self._crashes[key] = _Crash(at_ms, {}, {})
        crash = self._crashes[key]
        crash.at_ms = min(crash.at_ms, at_ms)
        for trait_id in trait_ids:
            if trait_id in crash.traits:
                continue
            if len(crash.traits) < _MAX_TRAITS_OF_CRASH:
                crash.traits[trait_id] = None
                changed = True
                self._keys_by_trait.setdefault(trait_id, {})[key] = None
                proved_ms = self._own_proofs.find_ms(trait_id)
                if proved_ms is not None:
                    self._note_proof(trait_id, proved_ms)
        return changed

    def _note_proof(self, trait_id: str, at_ms: int) -> None:
        self._proof_ms[trait_id] = max(
            at_ms, self._proof_ms.get(trait_id, at_ms)
        )

    def _drop(self, key: CrashKey) -> None:
        for trait_id in self._crashes.pop(key).traits:
            keys = self._keys_by_trait[trait_id]
            keys.pop(key)
            if not keys:
                self._keys_by_trait.pop(trait_id)
                self._proof_ms.pop(trait_id, None)
