"""Describe and count the runs of the simulation of deadly requests."""

from collections import Counter

import msgspec
from baobabwharf_decisions.proxying.request_traits import Traits


class BlamePlan(msgspec.Struct, frozen=True, kw_only=True):
    """Describe one run; times are in seconds."""

    vms: int = 6
    endpoints: int = 6
    seconds: int = 20
    loss: float = 0.1
    # That a report is sent twice, and that it arrives up to 2 s late.
    disorder: float = 0
    sound_per_s: float = 20
    # Requests to a plain service have no prompt and are answered sooner.
    is_plain: bool = False
    # The spells of each deadly trait: trait, from, until.
    spells: tuple[tuple[str, float, float], ...] = (('bad-0', 2, 1e6),)
    deadly_per_s: float = 2
    # How often a VM sends a deadly request on to another endpoint at once.
    deadly_resends: int = 0
    # A part that each request with a deadly part holds too.
    companion: str | None = None
    companion_sound_per_s: float = 0
    # Times of crashes without a deadly part: time, number of endpoints.
    other_crashes: tuple[tuple[float, int], ...] = ()
    restarted_vm_at: float | None = None
    partitioned_vm: tuple[float, float] | None = None

    @property
    def begin_ms(self) -> tuple[int, int]:
        """Return how long endpoints take until they begin to answer."""
        return (20, 120) if self.is_plain else (80, 500)

    def deadly_trait(self, traits: Traits, now_ms: int) -> str | None:
        """Return the trait of a request that is deadly now."""
        now_s = now_ms / 1000
        for trait_id, start_s, end_s in self.spells:
            if trait_id in traits and start_s <= now_s < end_s:
                return trait_id
        return None

    def is_partitioned(self, now_ms: int) -> bool:
        """Return whether the first VM is cut off from the others now."""
        if self.partitioned_vm is None:
            return False
        start_s, end_s = self.partitioned_vm
        return start_s <= now_ms / 1000 < end_s


class BlameOutcome(msgspec.Struct):
    """Hold what a run counted; times are in ms."""

    crashes: Counter[str] = msgspec.field(default_factory=Counter)
    crash_ms: dict[str, list[int]] = msgspec.field(default_factory=dict)
    named_ms: dict[str, int] = msgspec.field(default_factory=dict)
    named_at_crash: dict[str, int] = msgspec.field(default_factory=dict)
    sends_ms: dict[str, list[int]] = msgspec.field(default_factory=dict)
    probes_ms: dict[str, list[int]] = msgspec.field(default_factory=dict)
    served: int = 0
    sound: int = 0
    wrongly_refused: int = 0
    wrongly_refused_parts: Counter[str] = msgspec.field(default_factory=Counter)
    last_wrong_refusal_ms: int = 0
    largest_report_bytes: int = 0

    def sends_after(self, part_id: str, at_ms: int) -> list[int]:
        """Return the sends of a part that were not trials after a time."""
        probes = set(self.probes_ms.get(part_id, ()))
        return [
            sent_ms
            for sent_ms in self.sends_ms.get(part_id, ())
            if sent_ms > at_ms and sent_ms not in probes
        ]
