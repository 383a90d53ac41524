"""Offer what all commands share."""

import abc
import os
import uuid
from pathlib import Path
from typing import Any, cast

import msgspec
from baobabwharf_core.changes import Change, ChangeOutcome, ChangeRequest
from baobabwharf_core.ids import RequestId, Revision
from cleo.commands.command import Command
from cleo.formatters.formatter import Formatter
from cleo.helpers import option
from cleo.io.inputs.option import Option
from cleo.io.outputs.output import Type as OutputType
from expression import Error, Ok, Result

from baobabwharf_cli.client import Access, Fault, OperatorApi
from baobabwharf_cli.exit_codes import EXIT_OF_CHANGE, ExitCode

URL_VARIABLE = 'BAOBABWHARF_URL'
TOKEN_VARIABLE = 'BAOBABWHARF_TOKEN'
CA_VARIABLE = 'BAOBABWHARF_CA'

_DEFAULT_TIMEOUT_MS = '5000'

ACCESS_OPTIONS: list[Option] = [
    option(
        'url',
        'u',
        f'Operator URL of a VM; repeatable, default ${URL_VARIABLE}.',
        flag=False,
        multiple=True,
    ),
    option(
        'token-file',
        None,
        f'File with the operator token; default ${TOKEN_VARIABLE}.',
        flag=False,
    ),
    option(
        'ca-file',
        None,
        f'Certificate of the private authority; default ${CA_VARIABLE}.',
        flag=False,
    ),
    option(
        'timeout-ms',
        None,
        'Time to wait for an answer.',
        flag=False,
        default=_DEFAULT_TIMEOUT_MS,
    ),
    option('json', None, 'Print JSON.'),
]
CHANGE_OPTIONS: list[Option] = [
    *ACCESS_OPTIONS,
    option(
        'request-id',
        None,
        'Request id of the change; give it again to resend.',
        flag=False,
    ),
    option(
        'expect-revision',
        None,
        'Make the change only at this revision.',
        flag=False,
    ),
    option(
        'no-wait',
        None,
        'Return once accepted, before it is in force on all live VMs.',
    ),
]


class UsageFault(Exception):
    """Say what is wrong with the command line."""


class OperatorCommand(Command, abc.ABC):
    """Print a result as JSON or text and choose the exit code."""

    options = ACCESS_OPTIONS

    @abc.abstractmethod
    def perform(self) -> ExitCode:
        """Do the work of the command."""

    def handle(self) -> int:
        """Run the command; wrong values end with the code for INVALID."""
        try:
            return int(self.perform())
        except UsageFault as fault:
            return int(self.fail(Fault(ExitCode.INVALID, str(fault))))

    @property
    def api(self) -> OperatorApi:
        """Return the client of the operator interface."""
        return OperatorApi(self._access())

    def fail(self, fault: Fault) -> ExitCode:
        """Print why the command failed and return its exit code."""
        if self.option('json'):
            name = fault.exit_code.name.lower()
            self.print_json({'error': name, 'sentence': fault.sentence})
        else:
            self.complain(fault.sentence)
        return fault.exit_code

    def print_json(self, document: object) -> None:
        """Print a JSON document."""
        encoded = msgspec.json.encode(document)
        self.say(msgspec.json.format(encoded, indent=2).decode())

    def say(self, text: str) -> None:
        """Print a text as it is, without reading style tags in it."""
        self.io.write_line(text, type=OutputType.RAW)

    def complain(self, text: str) -> None:
        """Print a text as it is to standard error."""
        self.io.write_error_line(text, type=OutputType.RAW)

    def print_table(self, headers: list[str], rows: list[list[str]]) -> None:
        """Print a table, or a sentence if it has no rows."""
        if rows:
            shown = [[Formatter.escape(cell) for cell in row] for row in rows]
            # The annotations of cleo name a single header and mixed cells.
            self.render_table(
                cast(Any, headers), cast(Any, shown), style='compact'
            )
        else:
            self.say('None.')

    def show(
        self,
        document: object,
        headers: list[str],
        rows: list[list[str]],
    ) -> ExitCode:
        """Print a document as JSON or its rows as a table."""
        if self.option('json'):
            self.print_json(document)
        else:
            self.print_table(headers, rows)
        return ExitCode.DONE

    def number(self, name: str, text: Any) -> int:
        """Return a whole number that is not negative."""
        try:
            value = int(text)
        except (TypeError, ValueError):
            raise UsageFault(f'{name} must be a whole number.') from None
        if value < 0:
            raise UsageFault(f'{name} must not be negative.')
        return value

    def _access(self) -> Access:
        from_environment = os.environ.get(URL_VARIABLE, '').split(',')
        urls = self.option('url') or [url for url in from_environment if url]
        if not urls:
            raise UsageFault(f'Give --url or set {URL_VARIABLE}.')
        return Access(
            urls=tuple(url.rstrip('/') for url in urls),
            token=self._token(),
            ca_file=self.option('ca-file') or os.environ.get(CA_VARIABLE),
            timeout_ms=self.number('--timeout-ms', self.option('timeout-ms')),
        )

    def _token(self) -> str:
        path = self.option('token-file')
        if not path:
            return os.environ.get(TOKEN_VARIABLE, '')
        return read_file(path).decode().strip()


class ChangeCommand(OperatorCommand):
    """Submit one change."""

    options = CHANGE_OPTIONS

    def perform(self) -> ExitCode:
        """Build the change, submit it and print its outcome."""
        return self.submit(self.change(), {})

    def change(self) -> Change:
        """Return the change that the command line describes."""
        raise NotImplementedError

    def submit(self, change: Change, secrets: dict[str, str]) -> ExitCode:
        """Send a change; secrets are printed unless it surely failed."""
        request = ChangeRequest(self._request_id(), change, self._expected())
        submitted = self.api.submit(request, not self.option('no-wait'))
        if submitted.is_error():
            return self.fail(submitted.error)
        return self._report(submitted.ok, secrets)

    def _report(
        self, outcome: ChangeOutcome, secrets: dict[str, str]
    ) -> ExitCode:
        code = EXIT_OF_CHANGE[outcome.code]
        made = code in {ExitCode.DONE, ExitCode.UNKNOWN}
        shown = secrets if made else {}
        if self.option('json'):
            self.print_json(msgspec.to_builtins(outcome) | shown)
            return code
        for name, secret in shown.items():
            self.say(f'{name}: {secret}')
        self._explain(outcome, code)
        return code

    def _explain(self, outcome: ChangeOutcome, code: ExitCode) -> None:
        if code is ExitCode.DONE:
            self.say(f'Accepted at revision {outcome.revision}.')
            if outcome.sentence:
                self.say(outcome.sentence)
            return
        self.complain(f'{outcome.code.value}: {outcome.sentence}')
        if code in {ExitCode.UNKNOWN, ExitCode.NOT_ACCEPTED}:
            self.complain(
                f'Send it again with --request-id {outcome.request_id}.'
            )

    def _request_id(self) -> RequestId:
        given = self.option('request-id')
        return RequestId(given or f'op-{uuid.uuid4()}')

    def _expected(self) -> Revision | None:
        given = self.option('expect-revision')
        if given is None:
            return None
        return Revision(self.number('--expect-revision', given))


def read_file(path: str) -> bytes:
    """Return the content of a file that the command line names."""
    try:
        return Path(path).read_bytes()
    except OSError as fault:
        raise UsageFault(f'{path}: {fault.strerror}.') from None


def pick(document: Any, name: str) -> Result[list[Any], Fault]:
    """Return the list of a document that is a list or an object with one."""
    listed = document.get(name) if isinstance(document, dict) else document
    if isinstance(listed, list):
        return Ok(listed)
    return Error(Fault(ExitCode.INTERNAL, f'The answer holds no {name}.'))
