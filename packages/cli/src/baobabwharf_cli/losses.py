"""Command that shows which requests were lost in each second, and why."""

import enum
from bisect import bisect_left
from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping
from pathlib import Path
from typing import Any

import msgspec
from cleo.commands.command import Command
from cleo.helpers import argument

from baobabwharf_cli.exit_codes import ExitCode
from baobabwharf_cli.trace import read_lines

_MS_PER_S = 1000
# Load reports of other VMs are about this old when a request is refused.
_ROOM_WINDOW_MS = 200
# A request that waited for longer than this share of its target waited long.
_LONG_WAIT_SHARE = 0.5
_OVER_RATE = 'rate_exceeded'
_ANSWERED = 'answered'
_REFUSALS = frozenset(
    (
        'queue_full',
        'no_endpoint',
        'deadline_unreachable',
        'request_quarantined',
        'vm_not_ready',
        'vm_stopping',
    )
)
_BREAKS = frozenset(('stream_broken', 'drain_ended', 'deadline_reached'))

Line = Mapping[str, Any]


class Loss(enum.Enum):
    """Name what became of a request, as columns of the table."""

    IN_TIME = 'in time'
    REFUSED_WITH_ROOM = 'refused, room elsewhere'
    REFUSED = 'refused'
    FAILED = 'failed'
    BROKEN = 'broken off'
    UNFINISHED = 'unfinished'
    LATE_WAITING = 'late, waited'
    LATE_RETRIED = 'late, retried'
    LATE_AT_ENDPOINT = 'late at endpoint'


class Ended(msgspec.Struct, frozen=True):
    """Hold how one request ended; times in ms, as in the log."""

    second: int
    route: str
    loss: Loss
    reason: str


class _Request:
    """Collect the lines of one request."""

    def __init__(self) -> None:
        self.placed_ms: list[int] = []
        self.ended: Line | None = None

    def add(self, line: Line) -> None:
        if line['event'] == 'placed':
            self.placed_ms.append(line['time_ms'])
        elif line['event'] == 'request_ended':
            self.ended = line


def find_losses(lines: Iterable[Line]) -> list[Ended]:
    """Return how each request ended that was inside its customer's rate.

    Refused with room elsewhere are those for whose service another region
    placed a request on an endpoint within 200 ms.
    """
    found = _Logs(lines).judge_all()
    first = min((one.second for one in found), default=0)
    return [
        msgspec.structs.replace(one, second=one.second - first) for one in found
    ]


class _Rooms:
    """Know when endpoints of a service in a region took a request."""

    def __init__(
        self, lines: Iterable[Line], requests: Mapping[str, _Request]
    ) -> None:
        self._times: dict[tuple[str, str], list[int]] = defaultdict(list)
        for line in lines:
            ended = requests[line['request']].ended
            # Without a number of running requests, it was placed on a VM.
            at_endpoint = line.get('running') is not None
            if line['event'] == 'placed' and ended and at_endpoint:
                key = (ended['service'], line['region'])
                self._times[key].append(line['time_ms'])
        for times in self._times.values():
            times.sort()

    def exist(self, service: str, own: str | None, time_ms: int) -> bool:
        """Return whether another region had room about that time."""
        return any(
            _has_between(
                times, time_ms - _ROOM_WINDOW_MS, time_ms + _ROOM_WINDOW_MS
            )
            for (name, region), times in self._times.items()
            if name == service and region != own
        )


def _has_between(times: list[int], first: int, last: int) -> bool:
    index = bisect_left(times, first)
    return index < len(times) and times[index] <= last


class _Logs:
    """Hold the lines of all requests and judge how each ended."""

    def __init__(self, lines: Iterable[Line]) -> None:
        all_lines = [line for line in lines if line.get('request')]
        self._requests: dict[str, _Request] = defaultdict(_Request)
        for added in all_lines:
            self._requests[added['request']].add(added)
        self._rooms = _Rooms(all_lines, self._requests)
        # The region of a VM is that of the endpoints that it reaches.
        self._regions: dict[str, str] = {
            line['vm']: line['region']
            for line in all_lines
            if line['event'] == 'placed' and line.get('running') is not None
        }

    def judge_all(self) -> list[Ended]:
        """Return how each request ended, unless it was above its rate."""
        found = []
        for request in self._requests.values():
            ended = request.ended
            if ended is None and request.placed_ms:
                second = request.placed_ms[0] // _MS_PER_S
                found.append(Ended(second, '?', Loss.UNFINISHED, ''))
            elif ended is not None and ended['outcome'] != _OVER_RATE:
                found.append(self._judge(request, ended))
        return found

    def _judge(self, request: _Request, ended: Line) -> Ended:
        started_ms = ended['time_ms'] - ended['took_ms']
        outcome = ended['outcome']
        loss = Loss.FAILED
        if outcome in _REFUSALS:
            loss = self._refusal(ended)
        elif outcome == _ANSWERED:
            loss = _lateness(request, ended, started_ms)
        elif outcome in _BREAKS:
            loss = Loss.BROKEN
        second = started_ms // _MS_PER_S
        return Ended(second, ended['route'], loss, outcome)

    def _refusal(self, ended: Line) -> Loss:
        own = self._regions.get(ended['vm'])
        if self._rooms.exist(ended['service'], own, ended['time_ms']):
            return Loss.REFUSED_WITH_ROOM
        return Loss.REFUSED


def _lateness(request: _Request, ended: Line, started_ms: int) -> Loss:
    target_ms = ended.get('target_ms')
    first_ms = ended['first_ms']
    if target_ms is None or first_ms is None or first_ms <= target_ms:
        return Loss.IN_TIME
    if ended['sends'] > 1:
        return Loss.LATE_RETRIED
    waited_ms = min(request.placed_ms, default=started_ms) - started_ms
    if waited_ms > target_ms * _LONG_WAIT_SHARE:
        return Loss.LATE_WAITING
    return Loss.LATE_AT_ENDPOINT


def format_table(found: Iterable[Ended], *, by_route: bool) -> list[str]:
    """Return a heading and one row for each second, or for each route."""
    rows: dict[str, Counter[Loss]] = defaultdict(Counter)
    for one in found:
        rows[one.route if by_route else f'{one.second:>6}'][one.loss] += 1
    heading = ' route' if by_route else 'second'
    table = [' | '.join((heading, *(loss.value for loss in Loss)))]
    for key, counts in sorted(rows.items()):
        cells = [str(counts[loss]).rjust(len(loss.value)) for loss in Loss]
        table.append(' | '.join((key.rjust(len(heading)), *cells)))
    return table


def format_reasons(found: Iterable[Ended]) -> list[str]:
    """Return one line for each kind and reason of losses, most first."""
    reasons = Counter(
        (one.loss.value, one.reason)
        for one in found
        if one.loss is not Loss.IN_TIME
    )
    return [
        f'{count:>6}  {loss}: {reason}'
        for (loss, reason), count in reasons.most_common()
    ]


class LossesCommand(Command):
    """Print what became of the requests of each second."""

    name = 'losses'
    description = 'Print from log files which requests were lost, and why.'
    arguments = [argument('files', 'Log files of VMs.', multiple=True)]

    def handle(self) -> int:
        """Print a table of seconds and one of routes."""
        paths = [Path(name) for name in self.argument('files')]
        missing = [path for path in paths if not path.is_file()]
        if missing:
            self.line_error(f'File not found: {missing[0]}')
            return ExitCode.INVALID
        found = find_losses(read_lines(paths))
        if not found:
            self.line_error('No log line tells the end of a request.')
            return ExitCode.NOT_FOUND
        table = (
            *format_table(found, by_route=False),
            *format_table(found, by_route=True),
            *format_reasons(found),
        )
        for row in table:
            self.line(row)
        return ExitCode.DONE
