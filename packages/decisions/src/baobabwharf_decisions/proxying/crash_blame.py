"""Find the trait of requests that crash endpoints and refuse it.

A deadly trait crashes each endpoint that begins to answer a request with it.
Each VM reports the unproved traits that were on a crashed endpoint, and which of
them were in an answer since.  A trait without such an answer that was in several
crashes is quarantined, then tried by one VM at a time.

The load is requests with a deadly trait that come to any VM, no two alike,
between sound requests that share their other traits.
"""

import enum
from collections.abc import Iterable, Sequence
from typing import final

import msgspec
from baobabwharf_core.ids import EndpointId, VmId

from baobabwharf_decisions.proxying.blame_decision import BlameDecision
from baobabwharf_decisions.proxying.crash_evidence import (
    CrashEvidence,
)
from baobabwharf_decisions.proxying.crash_report import CrashReport
from baobabwharf_decisions.proxying.request_traits import Traits
from baobabwharf_decisions.proxying.trait_probes import TraitProbes
from baobabwharf_decisions.proxying.trait_quarantine import (
    QuarantineTable,
)

# Traits that always came together are tried together only after this time, in
# which a request with one of them may prove it alone.
_JOINT_PROBE_DELAY_MS = 10_000


class VerdictAction(enum.Enum):
    """Tell what to do with a request."""

    ALLOW = 'allow'
    PROBE = 'probe'
    REFUSE = 'refuse'


class Verdict(msgspec.Struct, frozen=True):
    """Allow or refuse a request, or allow it as the trial of one trait."""

    action: VerdictAction
    trait_id: str | None = None
    retry_after_ms: int | None = None


_ALLOW = Verdict(VerdictAction.ALLOW)


@final
class CrashBlame:
    """Hold what one VM knows about traits that crash endpoints."""

    def __init__(self, vm_id: VmId) -> None:
        self._vm_id = vm_id
        self._evidence = CrashEvidence()
        self._quarantines = QuarantineTable()
        self._probes = TraitProbes(vm_id)
        self._decision = BlameDecision(
            self._evidence, self._quarantines, self._probes
        )
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
        suspects: Sequence[Traits],
        now_ms: int,
    ) -> None:
        """Record lost connections and the requests not yet proved on them."""
        key = (endpoint_id, incarnation)
        self._evidence.drop_expired(now_ms)
        if self._evidence.add_own(key, suspects, now_ms):
            self._changed = True
            self._decision.evaluate((key,), now_ms)

    def note_answer(self, traits: Traits, now_ms: int) -> None:
        """Clear all traits of a request whose answer went on."""
        if self._evidence.note_proofs(traits, now_ms):
            self._changed = True
        if self._quarantines.has_active:
            self._free(traits, now_ms, now_ms)

    def verdict(self, traits: Traits, now_ms: int) -> Verdict:
        """Return whether a request may be sent."""
        if not self._quarantines.has_active:
            return _ALLOW
        entries = self._quarantines.active_of(traits)
        if not entries:
            return _ALLOW
        wait_ms = max(self._probes.wait_ms(entry, now_ms) for entry in entries)
        if len(entries) > 1:
            joint_ms = max(entry.due_ms for entry in entries)
            wait_ms = max(wait_ms, joint_ms + _JOINT_PROBE_DELAY_MS - now_ms)
        last = max(entries, key=lambda entry: (entry.due_ms, entry.trait_id))
        if wait_ms > 0:
            return Verdict(VerdictAction.REFUSE, last.trait_id, wait_ms)
        return Verdict(VerdictAction.PROBE, last.trait_id)

    def note_probe(self, trait_id: str, now_ms: int) -> None:
        """Record that the trial of a trait is sent."""
        entry = self._quarantines.active(trait_id)
        if entry is not None:
            self._probes.start(entry, now_ms)
            self._changed = True

    def note_probe_unsent(self, trait_id: str, now_ms: int) -> None:
        """Record that a trial ended without reaching an endpoint."""
        if self._probes.cancel(trait_id):
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
            self._evidence.note_reported_proof(proof.trait_id, at_ms)
            self._free((proof.trait_id,), at_ms, now_ms)
        # A long report may have displaced crashes that it updated first.
        held = set(self._evidence.keys())
        if self._decision.evaluate(
            [key for key in news if key in held], now_ms
        ):
            self._changed = True

    def drop_expired(self, now_ms: int) -> None:
        """Forget evidence and quarantines that are too old."""
        self._evidence.drop_expired(now_ms)
        self._quarantines.drop_expired(now_ms)
        self._probes.drop_expired(now_ms)

    def explain(self, trait_id: str, now_ms: int) -> str | None:
        """Describe why a trait is refused, for the decision log."""
        entry = self._quarantines.active(trait_id)
        if entry is None:
            return None
        endpoints = ', '.join(
            f'{endpoint_id}/{incarnation}'
            for endpoint_id, incarnation in entry.crashes
        )
        return (
            f'trait {trait_id} was in {len(entry.crashes)} crashes'
            f' ({endpoints}), the last {now_ms - entry.blamed_ms} ms ago;'
            f' strike {entry.strikes}, episode {entry.episode}'
        )

    def _free(self, trait_ids: Iterable[str], at_ms: int, now_ms: int) -> None:
        freed = [
            entry
            for entry in self._quarantines.active_of(trait_ids)
            if self._decision.is_cleared(entry, at_ms)
        ]
        for entry in freed:
            self._quarantines.free(entry, at_ms)
            self._probes.cancel(entry.trait_id)
            self._changed = True
        if freed:
            # Crashes that the freed trait had explained count for others again.
            self._decision.evaluate(self._evidence.keys(), now_ms)
