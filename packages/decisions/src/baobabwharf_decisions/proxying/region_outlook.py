"""Estimate when other regions would send the first event of a request.

Every response to a forwarded request tells how long the request waited there,
so what a VM knows of a region is as new as the last request that it forwarded.
A region that would be too late is not asked until that report has aged; a
region that was never asked is not judged.  A region that leaves all requests
of a second unanswered counts as cut off and is then tried once a second.

Load pattern: peaks of regions are offset, and a request that is forwarded to a
region at capacity loses a round trip before it is refused.
"""

from typing import final

import msgspec
from baobabwharf_core.ids import RegionId
from baobabwharf_core.input_types import Amount

# What was reported is believed less from report to report age, and not at all
# after this time: the load of a region changes within it.
OUTLOOK_MS = 600
# A region that has not answered any request for this long counts as cut off.  It
# is above the time to a first event of most requests.
CUT_OFF_MS = 1000
# Weight of a new measurement of the network path.
_PATH_WEIGHT = 0.2


class RegionReport(msgspec.Struct, frozen=True, array_like=True):
    """Report how a forwarded request was placed.

    wait_ms is the expected time to its first event without its own prompt, or
    the shortest such time if it was refused.  spent_ms is the time from its
    arrival to this response.
    """

    wait_ms: Amount
    spent_ms: Amount


class _Outlook:
    def __init__(self) -> None:
        self.wait_ms = 0
        self.reported_ms = 0


# Region, route and rank of requests that wait alike.
_Key = tuple[RegionId, str, int]


@final
class RegionOutlook:
    """Hold what other regions reported for each route and rank."""

    def __init__(self) -> None:
        self._outlooks: dict[_Key, _Outlook] = {}
        self._path_ms: dict[RegionId, float] = {}
        # First request without an answer, and the latest one sent after a
        # region counted as cut off.
        self._unanswered_ms: dict[RegionId, int] = {}
        self._tried_ms: dict[RegionId, int] = {}

    def note_sent(self, region: RegionId, now_ms: int) -> None:
        """Record that a request is sent to a region."""
        since_ms = self._unanswered_ms.setdefault(region, now_ms)
        if now_ms - since_ms > CUT_OFF_MS:
            self._tried_ms[region] = now_ms

    def note_answer(self, region: RegionId) -> None:
        """Record any answer of a region, a refusal included."""
        self._unanswered_ms.pop(region, None)
        self._tried_ms.pop(region, None)

    def is_cut_off(self, region: RegionId, now_ms: int) -> bool:
        """Return whether a region is left out until it is tried again."""
        since_ms = self._unanswered_ms.get(region, now_ms)
        tried_ms = self._tried_ms.get(region)
        return (
            now_ms - since_ms > CUT_OFF_MS
            and tried_ms is not None
            and now_ms - tried_ms < CUT_OFF_MS
        )

    def note(
        self, key: _Key, report: RegionReport, took_ms: int, now_ms: int
    ) -> None:
        """Store a report that arrived took_ms after the request was sent."""
        region = key[0]
        outlook = self._outlooks.setdefault(key, _Outlook())
        outlook.wait_ms = report.wait_ms
        outlook.reported_ms = now_ms
        path_ms = float(max(0, took_ms - report.spent_ms))
        known_ms = self._path_ms.get(region, path_ms)
        self._path_ms[region] = known_ms + _PATH_WEIGHT * (path_ms - known_ms)

    def expected_ms(self, key: _Key, now_ms: int) -> float:
        """Return the expected time to a first event, without the prompt."""
        path_ms = self._path_ms.get(key[0], 0.0)
        outlook = self._outlooks.get(key)
        if outlook is None:
            return path_ms
        age_ms = now_ms - outlook.reported_ms
        weight = max(0.0, 1 - age_ms / OUTLOOK_MS)
        return path_ms + weight * outlook.wait_ms

    def describe(self, key: _Key, now_ms: int) -> str:
        """Describe what is known, for the log."""
        outlook = self._outlooks.get(key)
        if outlook is None:
            return 'unknown'
        return f'{outlook.wait_ms} ms, {now_ms - outlook.reported_ms} ms ago'
