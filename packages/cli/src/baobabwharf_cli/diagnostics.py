"""Commands that show VM status, events and decisions for a request."""

from typing import Any
from urllib.parse import quote

from cleo.helpers import argument

from baobabwharf_cli.base_command import OperatorCommand, extract_list
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
        document_result = self.client.get(STATUS_PATH)
        if document_result.is_error():
            return self.fail(document_result.error)
        extracted = extract_list(document_result.ok, 'vms')
        if extracted.is_error():
            return self.fail(extracted.error)
        rows = [_cells(vm, _STATUS_COLUMNS) for vm in extracted.ok]
        return self.print_result(
            document_result.ok, list(_STATUS_COLUMNS), rows
        )


class EventsCommand(OperatorCommand):
    """Show recent events."""

    name = 'events'
    description = 'Show recent events.'

    def perform(self) -> ExitCode:
        """Print one line for each event."""
        document_result = self.client.get(EVENTS_PATH)
        if document_result.is_error():
            return self.fail(document_result.error)
        extracted = extract_list(document_result.ok, 'events')
        if extracted.is_error():
            return self.fail(extracted.error)
        events = extracted.ok
        columns = tuple(
            dict.fromkeys(name for event in events for name in event)
        )
        rows = [_cells(event, columns) for event in events]
        return self.print_result(document_result.ok, list(columns), rows)


class ExplainCommand(OperatorCommand):
    """Explain the decisions for a request."""

    name = 'explain'
    description = 'Explain the decisions for a request.'
    arguments = [argument('request-id', 'Value of X-Request-Id.')]

    def perform(self) -> ExitCode:
        """Print the record and the decisions of the request."""
        request_id = quote(self.argument('request-id'), safe='')
        # Only the VMs that handled the request have its record, so each VM is
        # asked in turn.
        document_result = self.client.find(f'{REQUESTS_PATH}/{request_id}')
        if document_result.is_error():
            return self.fail(document_result.error)
        if self.option('json'):
            self.print_json(document_result.ok)
            return ExitCode.DONE
        for part in ('record', 'decisions'):
            for sentence in document_result.ok.get(part, ()):
                self.print_text(str(sentence))
        return ExitCode.DONE


def _cells(entry: dict[str, Any], columns: tuple[str, ...]) -> list[str]:
    return [str(entry.get(name, '')) for name in columns]
