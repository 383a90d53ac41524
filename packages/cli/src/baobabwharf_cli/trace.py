"""Command that traces a request through the log files of VMs."""

import json
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

from cleo.commands.command import Command
from cleo.helpers import argument

from baobabwharf_cli.exit_codes import ExitCode

_OMITTED_FIELDS = frozenset(('time_ms', 'vm', 'event', 'level', 'request'))


def read_lines(paths: Iterable[Path]) -> Iterator[dict[str, Any]]:
    """Yield the JSON objects of log files; text before them is ignored."""
    for path in paths:
        with path.open(encoding='utf-8', errors='replace') as log_file:
            for text in log_file:
                line = _parse(text)
                if line is not None:
                    yield line


def trace(lines: Iterable[dict[str, Any]], request_id: str) -> list[str]:
    """Return the log lines of a request from all VMs, ordered by time."""
    matches = [line for line in lines if line.get('request') == request_id]
    matches.sort(key=_time_ms)
    if not matches:
        return []
    start_ms = _time_ms(matches[0])
    return [_format_line(line, start_ms) for line in matches]


def _parse(text: str) -> dict[str, Any] | None:
    start = text.find('{')
    if start < 0:
        return None
    try:
        line = json.loads(text[start:])
    except ValueError:
        # Lines of other programs in the same file are not JSON.
        return None
    return line if isinstance(line, dict) else None


def _time_ms(line: dict[str, Any]) -> int:
    return int(line.get('time_ms', 0))


def _format_line(line: dict[str, Any], start_ms: int) -> str:
    fields = ' '.join(
        f'{name}={value}'
        for name, value in line.items()
        if name not in _OMITTED_FIELDS
    )
    elapsed_ms = _time_ms(line) - start_ms
    return (
        f'{elapsed_ms:>7} ms  {line.get("vm")}  {line.get("event")}  {fields}'
    )


class TraceCommand(Command):
    """Print the log lines of a request."""

    name = 'trace'
    description = 'Print the log lines of a request from the log files of VMs.'
    arguments = [
        argument('request', 'Id of the request.'),
        argument('files', 'Log files of VMs.', multiple=True),
    ]

    def handle(self) -> int:
        """Print the matching lines, or an error if there are none."""
        paths = [Path(name) for name in self.argument('files')]
        missing = [path for path in paths if not path.is_file()]
        if missing:
            self.line_error(f'File not found: {missing[0]}')
            return ExitCode.INVALID
        lines = trace(read_lines(paths), self.argument('request'))
        for line in lines:
            self.line(line)
        if not lines:
            self.line_error(
                'No log line refers to this request. Events above their rate '
                'limit are not logged; suppressed_before counts them.'
            )
            return ExitCode.NOT_FOUND
        return ExitCode.DONE
