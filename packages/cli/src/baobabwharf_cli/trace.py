"""Follow one request through the log files of all VMs."""

import json
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

from cleo.commands.command import Command
from cleo.helpers import argument

from baobabwharf_cli.exit_codes import ExitCode

_HIDDEN = frozenset(('time_ms', 'vm', 'event', 'level', 'request'))


def read_lines(paths: Iterable[Path]) -> Iterator[dict[str, Any]]:
    """Return the JSON lines of log files, whatever stands before them."""
    for path in paths:
        with path.open(encoding='utf-8', errors='replace') as content:
            for text in content:
                line = _parse(text)
                if line is not None:
                    yield line


def trace(lines: Iterable[dict[str, Any]], request_id: str) -> list[str]:
    """Return the lines of one request over all VMs, in order of time."""
    found = [line for line in lines if line.get('request') == request_id]
    found.sort(key=_time_ms)
    if not found:
        return []
    start_ms = _time_ms(found[0])
    return [_describe(line, start_ms) for line in found]


def _parse(text: str) -> dict[str, Any] | None:
    start = text.find('{')
    if start < 0:
        return None
    try:
        line = json.loads(text[start:])
    except ValueError:
        # Other programs may write into the same file.
        return None
    return line if isinstance(line, dict) else None


def _time_ms(line: dict[str, Any]) -> int:
    return int(line.get('time_ms', 0))


def _describe(line: dict[str, Any], start_ms: int) -> str:
    fields = ' '.join(
        f'{name}={value}' for name, value in line.items() if name not in _HIDDEN
    )
    after_ms = _time_ms(line) - start_ms
    return f'{after_ms:>7} ms  {line.get("vm")}  {line.get("event")}  {fields}'


class TraceCommand(Command):
    """Print what the logs say of a request."""

    name = 'trace'
    description = 'Print what the log files of all VMs say of a request.'
    arguments = [
        argument('request', 'Id of the request.'),
        argument('files', 'Log files of VMs.', multiple=True),
    ]

    def handle(self) -> int:
        """Print the lines, or say that there are none."""
        paths = [Path(name) for name in self.argument('files')]
        missing = [path for path in paths if not path.is_file()]
        if missing:
            self.line_error(f'There is no file {missing[0]}.')
            return ExitCode.INVALID
        lines = trace(read_lines(paths), self.argument('request'))
        for line in lines:
            self.line(line)
        if not lines:
            self.line_error(
                'No line names this request. Lines of one kind above the '
                'bound of a second are only counted (suppressed_before).'
            )
            return ExitCode.NOT_FOUND
        return ExitCode.DONE
