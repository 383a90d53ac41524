"""Describe evidence about traits of requests that crash endpoints.

Reports hold ages instead of times, since the clocks of VMs differ.
"""

import msgspec
from baobabwharf_core.ids import EndpointId
from baobabwharf_core.input_types import DurationIntegerMs, ExactInteger

CrashKey = tuple[EndpointId, ExactInteger]


class ReportedCrash(msgspec.Struct, frozen=True, array_like=True):
    """Name a crashed endpoint and the unproved traits that were on it."""

    endpoint_id: EndpointId
    incarnation: ExactInteger
    age_ms: DurationIntegerMs
    trait_ids: tuple[str, ...]


class ReportedProof(msgspec.Struct, frozen=True, array_like=True):
    """Tell when an answer to a request with this trait last went on."""

    trait_id: str
    age_ms: DurationIntegerMs


class ReportedQuarantine(msgspec.Struct, frozen=True, array_like=True):
    """Describe the quarantine of a trait.

    An episode ends when a proof frees the trait; the next quarantine of the trait
    has a higher episode.
    """

    trait_id: str
    episode: ExactInteger
    crashes: tuple[CrashKey, ...]
    age_ms: DurationIntegerMs
    first_crashes: ExactInteger
    is_doubtful: bool
    freed_age_ms: DurationIntegerMs | None
    is_watched: bool


class ReportedProbe(msgspec.Struct, frozen=True, array_like=True):
    """Announce the trial of a quarantined trait; the order tells which one."""

    trait_id: str
    order: tuple[ExactInteger, ExactInteger]
    age_ms: DurationIntegerMs


class CrashReport(msgspec.Struct, frozen=True, array_like=True):
    """Hold what a VM tells the others; a later report may repeat it."""

    crashes: tuple[ReportedCrash, ...] = ()
    proofs: tuple[ReportedProof, ...] = ()
    quarantines: tuple[ReportedQuarantine, ...] = ()
    probes: tuple[ReportedProbe, ...] = ()

    @property
    def is_empty(self) -> bool:
        """Return whether there is nothing to send."""
        return not (
            self.crashes or self.proofs or self.quarantines or self.probes
        )
