"""Hold traits of requests in quarantine and try them again after a time.

All VMs share the quarantines.  Merging two copies keeps the later episode;
within an episode it joins the crashes, and a trait that was freed stays free, so
that reports may be lost, repeated and reordered.
"""

from collections.abc import Iterable, Iterator
from typing import final

import msgspec

from baobabwharf_decisions.proxying.crash_report import (
    CrashKey,
    ReportedQuarantine,
)

# Crashes in which a trait has to be suspected before it is quarantined: a trait
# that was answered lately is more likely one that came along.
BLAME_NEW_CRASHES = 2
BLAME_PROVED_CRASHES = 3
# The wait before the first trial; each further crash doubles it.
_FIRST_HOLD_MS = 30_000
# The wait for a trait that is blamed beside a more likely one.
_DOUBTFUL_HOLD_MS = 2000
_MAX_HOLD_MS = 600_000
# Crashes after which a trait that was freed is blamed sooner.
_WATCH_MS = 600_000
# A quarantine that nobody tries ends this long after its hold.
_UNTRIED_MS = 600_000
_MAX_QUARANTINES = 64
# More crashes don't lengthen the hold.
_MAX_LISTED_CRASHES = 8
# An entry about to expire is not taken over from another VM, which may count
# its age from a later time; otherwise two VMs could keep it alive.
_EXPIRY_MARGIN_MS = 5_000
_REPORTED_QUARANTINES = 8


class Quarantine(msgspec.Struct):
    """Hold one episode of a trait; times are of the local clock."""

    trait_id: str
    episode: int
    crashes: dict[CrashKey, None]
    blamed_ms: int
    # The crashes when it was blamed; more of them lengthen the hold.
    first_crashes: int
    is_doubtful: bool
    freed_ms: int | None = None
    is_watched: bool = False

    @property
    def is_active(self) -> bool:
        """Return whether requests with the trait are refused."""
        return self.freed_ms is None

    @property
    def strikes(self) -> int:
        """Return 1 for the first blame and one more for each later crash."""
        return max(1, len(self.crashes) - self.first_crashes + 1)

    @property
    def order(self) -> tuple[int, int]:
        """Return which hold of the trait this is."""
        return (self.episode, self.strikes)

    @property
    def due_ms(self) -> int:
        """Return when the trait may be tried again."""
        if self.is_doubtful and self.strikes == 1:
            return self.blamed_ms + _DOUBTFUL_HOLD_MS
        hold_ms = _FIRST_HOLD_MS << (self.strikes - 1)
        return self.blamed_ms + min(hold_ms, _MAX_HOLD_MS)

    @property
    def expires_ms(self) -> int:
        """Return when the entry may be forgotten."""
        if self.freed_ms is None:
            return self.due_ms + _UNTRIED_MS
        return self.freed_ms + _WATCH_MS


@final
class QuarantineTable:
    """Hold the quarantines of all traits, by their ids."""

    def __init__(self) -> None:
        self._entries: dict[str, Quarantine] = {}
        self._active_count = 0

    @property
    def has_active(self) -> bool:
        """Return whether any trait is refused."""
        return self._active_count > 0

    def active(self, trait_id: str) -> Quarantine | None:
        """Return the quarantine of a trait that is refused."""
        entry = self._entries.get(trait_id)
        return entry if entry is not None and entry.is_active else None

    def active_of(self, trait_ids: Iterable[str]) -> list[Quarantine]:
        """Return the quarantines of those traits that are refused."""
        entries = (self.active(trait_id) for trait_id in trait_ids)
        return [entry for entry in entries if entry is not None]

    def find(self, trait_id: str) -> Quarantine | None:
        """Return the last quarantine of a trait."""
        return self._entries.get(trait_id)

    def entries(self) -> Iterator[Quarantine]:
        """Iterate over all quarantines."""
        return iter(self._entries.values())

    def is_watched(self, trait_id: str) -> bool:
        """Return whether the next crash quarantines a trait that was freed."""
        entry = self._entries.get(trait_id)
        return entry is not None and not entry.is_active and entry.is_watched

    def blame(
        self,
        trait_id: str,
        crashes: Iterable[CrashKey],
        at_ms: int,
        is_doubtful: bool,
    ) -> None:
        """Begin the next episode of a trait; a watched one keeps its strikes."""
        before = self._entries.get(trait_id)
        listed = dict.fromkeys(crashes)
        episode = 1
        first_crashes = len(listed)
        if before is not None:
            episode = before.episode + 1
            if before.is_watched:
                first_crashes = before.first_crashes
                listed = {**before.crashes, **listed}
        self._entries[trait_id] = Quarantine(
            trait_id,
            episode,
            _newest(listed),
            at_ms,
            first_crashes,
            is_doubtful,
        )
        self._evict()

    def strike(self, entry: Quarantine, key: CrashKey, at_ms: int) -> bool:
        """Add a crash to an active quarantine; return whether it is new."""
        if key in entry.crashes:
            return False
        entry.crashes = _newest({**entry.crashes, key: None})
        entry.blamed_ms = max(entry.blamed_ms, at_ms)
        return True

    def free(self, entry: Quarantine, at_ms: int) -> None:
        """End the episode; a trait that was tried after a long hold is watched."""
        entry.freed_ms = at_ms
        entry.is_watched = entry.strikes > 1 or (
            at_ms >= entry.due_ms and not entry.is_doubtful
        )
        self._recount()

    def doubt_explained(self) -> bool:
        """Shorten the hold of traits that came with one of more crashes.

        They are tried, not freed: an innocent trait may come with each request
        that holds a deadly one.
        """
        active = [entry for entry in self.entries() if entry.is_active]
        explained = [
            entry
            for entry in active
            if not entry.is_doubtful
            and any(
                entry.crashes.keys() < other.crashes.keys() for other in active
            )
        ]
        for entry in explained:
            entry.is_doubtful = True
        return bool(explained)

    def merge(self, reported: ReportedQuarantine, now_ms: int) -> None:
        """Take over what another VM knows of a trait."""
        entry = _from_report(reported, now_ms)
        known = self._entries.get(entry.trait_id)
        if known is None or entry.episode > known.episode:
            if entry.expires_ms - now_ms > _EXPIRY_MARGIN_MS:
                self._entries[entry.trait_id] = entry
        elif entry.episode == known.episode:
            _join(known, entry)
        self._evict()

    def reported(self, now_ms: int) -> tuple[ReportedQuarantine, ...]:
        """Return the quarantines to report, the newest first."""
        entries = sorted(
            self._entries.values(),
            key=lambda entry: (entry.is_active, entry.blamed_ms),
            reverse=True,
        )
        return tuple(
            ReportedQuarantine(
                entry.trait_id,
                entry.episode,
                tuple(entry.crashes),
                now_ms - entry.blamed_ms,
                entry.first_crashes,
                entry.is_doubtful,
                None if entry.freed_ms is None else now_ms - entry.freed_ms,
                entry.is_watched,
            )
            for entry in entries[:_REPORTED_QUARANTINES]
        )

    def drop_expired(self, now_ms: int) -> None:
        """Forget entries that nobody needs any more."""
        for entry in tuple(self._entries.values()):
            if entry.expires_ms <= now_ms:
                self._entries.pop(entry.trait_id)
        self._recount()

    def _evict(self) -> None:
        if len(self._entries) > _MAX_QUARANTINES:
            oldest = min(
                self._entries.values(),
                key=lambda entry: (entry.is_active, entry.blamed_ms),
            )
            self._entries.pop(oldest.trait_id)
        self._recount()

    def _recount(self) -> None:
        self._active_count = sum(
            entry.is_active for entry in self._entries.values()
        )


def _newest(crashes: dict[CrashKey, None]) -> dict[CrashKey, None]:
    return dict.fromkeys(tuple(crashes)[-_MAX_LISTED_CRASHES:])


def _from_report(reported: ReportedQuarantine, now_ms: int) -> Quarantine:
    freed_age_ms = reported.freed_age_ms
    return Quarantine(
        reported.trait_id,
        reported.episode,
        dict.fromkeys(
            (endpoint_id, incarnation)
            for endpoint_id, incarnation in reported.crashes
        ),
        now_ms - reported.age_ms,
        reported.first_crashes,
        reported.is_doubtful,
        None if freed_age_ms is None else now_ms - freed_age_ms,
        reported.is_watched,
    )


def _join(known: Quarantine, other: Quarantine) -> None:
    has_more = known.crashes.keys() - other.crashes.keys()
    lacks = other.crashes.keys() - known.crashes.keys()
    if lacks:
        # Sorted, so that all VMs keep the same crashes at the cap.
        merged = sorted(known.crashes.keys() | other.crashes.keys())
        known.crashes = _newest(dict.fromkeys(merged))
        known.blamed_ms = (
            max(known.blamed_ms, other.blamed_ms)
            if has_more
            else other.blamed_ms
        )
    elif not has_more:
        known.blamed_ms = min(known.blamed_ms, other.blamed_ms)
    known.first_crashes = max(known.first_crashes, other.first_crashes)
    known.is_doubtful = known.is_doubtful or other.is_doubtful
    if other.freed_ms is not None:
        known.freed_ms = min(other.freed_ms, known.freed_ms or other.freed_ms)
        known.is_watched = known.is_watched or other.is_watched
