"""Show the state of the fleet and explain requests."""

from typing import Any
from urllib.parse import quote

from cleo.helpers import argument

from baobabwharf_cli.base_command import OperatorCommand, pick
from baobabwharf_cli.client import EVENTS_PATH, REQUESTS_PATH, STATUS_PATH
from baobabwharf_cli.exit_codes import ExitCode

_STATUS_COLUMNS = (
    'vm_id',
    'region',
    'zone',
    'revision',
    'age_ms',
    'alive',
    'role',
    'incarnation',
)


class StatusCommand(OperatorCommand):
    """Show the state of each VM."""

    name = 'status'
    description = 'Show the state of each VM.'

    def perform(self) -> ExitCode:
        """Print one line for each VM."""
        read = self.api.get(STATUS_PATH)
        if read.is_error():
            return self.fail(read.error)
        picked = pick(read.ok, 'vms')
        if picked.is_error():
            return self.fail(picked.error)
        rows = [_cells(vm, _STATUS_COLUMNS) for vm in picked.ok]
        return self.show(read.ok, list(_STATUS_COLUMNS), rows)


class EventsCommand(OperatorCommand):
    """Show recent events."""

    name = 'events'
    description = 'Show recent events.'

    def perform(self) -> ExitCode:
        """Print one line for each event."""
        read = self.api.get(EVENTS_PATH)
        if read.is_error():
            return self.fail(read.error)
        picked = pick(read.ok, 'events')
        if picked.is_error():
            return self.fail(picked.error)
        events = picked.ok
        columns = tuple(dict.fromkeys(name for one in events for name in one))
        rows = [_cells(event, columns) for event in events]
        return self.show(read.ok, list(columns), rows)


class ExplainCommand(OperatorCommand):
    """Explain the decisions for a request."""

    name = 'explain'
    description = 'Explain the decisions for a request.'
    arguments = [argument('request-id', 'Value of X-Request-Id.')]

    def perform(self) -> ExitCode:
        """Print the sentences."""
        request_id = quote(self.argument('request-id'), safe='')
        # Only the VMs that handled the request know it.
        read = self.api.find(f'{REQUESTS_PATH}/{request_id}')
        if read.is_error():
            return self.fail(read.error)
        if self.option('json'):
            self.print_json(read.ok)
            return ExitCode.DONE
        for part in ('record', 'decisions'):
            for sentence in read.ok.get(part, ()):
                self.say(str(sentence))
        return ExitCode.DONE


def _cells(entry: dict[str, Any], columns: tuple[str, ...]) -> list[str]:
    return [str(entry.get(name, '')) for name in columns]
