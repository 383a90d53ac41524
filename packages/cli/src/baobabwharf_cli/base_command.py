"""Base classes and options shared by all commands."""

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

from baobabwharf_cli.client import ConnectionOptions, Failure, OperatorClient
from baobabwharf_cli.exit_codes import EXIT_CODE_BY_CHANGE_CODE, ExitCode

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
        f'File that holds the operator token; default ${TOKEN_VARIABLE}.',
        flag=False,
    ),
    option(
        'ca-file',
        None,
        f'Certificate of the private CA; default ${CA_VARIABLE}.',
        flag=False,
    ),
    option(
        'timeout-ms',
        None,
        'Time to wait for a response, in ms.',
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
        'Request id of the change; use the same id to resend it.',
        flag=False,
    ),
    option(
        'expect-revision',
        None,
        'Apply the change only if this is the current revision.',
        flag=False,
    ),
    option(
        'no-wait',
        None,
        'Return once accepted, without waiting until all live VMs have it.',
    ),
]


class UsageError(Exception):
    """Report an invalid command line; the message is shown to the user."""


class OperatorCommand(Command, abc.ABC):
    """Provide the base of commands that call the operator interface.

    Results are printed as JSON or as text, depending on --json.
    """

    options = ACCESS_OPTIONS

    @abc.abstractmethod
    def perform(self) -> ExitCode:
        """Execute the command and return its exit code."""

    def handle(self) -> int:
        """Run the command; a usage error ends with exit code INVALID."""
        try:
            return int(self.perform())
        except UsageError as error:
            return int(self.fail(Failure(ExitCode.INVALID, str(error))))

    @property
    def client(self) -> OperatorClient:
        """Return the client of the operator interface."""
        return OperatorClient(self._connection_options())

    def fail(self, failure: Failure) -> ExitCode:
        """Print why the command failed and return its exit code."""
        if self.option('json'):
            name = failure.exit_code.name.lower()
            self.print_json({'error': name, 'sentence': failure.message})
        else:
            self.print_error(failure.message)
        return failure.exit_code

    def print_json(self, document: object) -> None:
        """Print a JSON document."""
        encoded = msgspec.json.encode(document)
        self.print_text(msgspec.json.format(encoded, indent=2).decode())

    def print_text(self, text: str) -> None:
        """Print a text without interpreting style tags of cleo in it."""
        self.io.write_line(text, type=OutputType.RAW)

    def print_error(self, text: str) -> None:
        """Print a text to standard error without interpreting style tags."""
        self.io.write_error_line(text, type=OutputType.RAW)

    def print_table(self, headers: list[str], rows: list[list[str]]) -> None:
        """Print a table, or "None." if it has no rows."""
        if rows:
            escaped_rows = [
                [Formatter.escape(cell) for cell in row] for row in rows
            ]
            # The casts are needed because the annotations of cleo expect a
            # single header and cells of mixed types.
            self.render_table(
                cast(Any, headers), cast(Any, escaped_rows), style='compact'
            )
        else:
            self.print_text('None.')

    def print_result(
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

    def parse_whole_number(self, name: str, text: Any) -> int:
        """Parse a non-negative integer; name is used in error messages."""
        try:
            value = int(text)
        except (TypeError, ValueError):
            raise UsageError(f'{name} must be an integer.') from None
        if value < 0:
            raise UsageError(f'{name} must not be negative.')
        return value

    def _connection_options(self) -> ConnectionOptions:
        environment_urls = os.environ.get(URL_VARIABLE, '').split(',')
        urls = self.option('url') or [url for url in environment_urls if url]
        if not urls:
            raise UsageError(f'Give --url or set {URL_VARIABLE}.')
        return ConnectionOptions(
            urls=tuple(url.rstrip('/') for url in urls),
            token=self._token(),
            ca_file=self.option('ca-file') or os.environ.get(CA_VARIABLE),
            timeout_ms=self.parse_whole_number(
                '--timeout-ms', self.option('timeout-ms')
            ),
        )

    def _token(self) -> str:
        path = self.option('token-file')
        if not path:
            return os.environ.get(TOKEN_VARIABLE, '')
        return read_file(path).decode().strip()


class ChangeCommand(OperatorCommand):
    """Provide the base of commands that submit a change."""

    options = CHANGE_OPTIONS

    def perform(self) -> ExitCode:
        """Build the change, submit it and print its outcome."""
        return self.submit(self.build_change(), {})

    def build_change(self) -> Change:
        """Return the change that the command line describes."""
        raise NotImplementedError

    def submit(self, change: Change, secrets: dict[str, str]) -> ExitCode:
        """Submit a change; print the secrets unless it certainly failed."""
        request = ChangeRequest(
            self._request_id(), change, self._expected_revision()
        )
        outcome_result = self.client.submit(request, not self.option('no-wait'))
        if outcome_result.is_error():
            return self.fail(outcome_result.error)
        return self._report(outcome_result.ok, secrets)

    def _report(
        self, outcome: ChangeOutcome, secrets: dict[str, str]
    ) -> ExitCode:
        code = EXIT_CODE_BY_CHANGE_CODE[outcome.code]
        may_be_in_force = code in {ExitCode.DONE, ExitCode.UNKNOWN}
        secrets_to_print = secrets if may_be_in_force else {}
        if self.option('json'):
            self.print_json(msgspec.to_builtins(outcome) | secrets_to_print)
            return code
        for name, secret in secrets_to_print.items():
            self.print_text(f'{name}: {secret}')
        self._print_outcome(outcome, code)
        return code

    def _print_outcome(self, outcome: ChangeOutcome, code: ExitCode) -> None:
        if code is ExitCode.DONE:
            self.print_text(f'Accepted at revision {outcome.revision}.')
            if outcome.sentence:
                self.print_text(outcome.sentence)
            return
        self.print_error(f'{outcome.code.value}: {outcome.sentence}')
        if code in {ExitCode.UNKNOWN, ExitCode.NOT_ACCEPTED}:
            self.print_error(
                f'Resend it with --request-id {outcome.request_id}.'
            )

    def _request_id(self) -> RequestId:
        value = self.option('request-id')
        return RequestId(value or f'op-{uuid.uuid4()}')

    def _expected_revision(self) -> Revision | None:
        value = self.option('expect-revision')
        if value is None:
            return None
        return Revision(self.parse_whole_number('--expect-revision', value))


def read_file(path: str) -> bytes:
    """Read a file given on the command line."""
    try:
        return Path(path).read_bytes()
    except OSError as error:
        raise UsageError(f'{path}: {error.strerror}.') from None


def extract_list(document: Any, name: str) -> Result[list[Any], Failure]:
    """Return a JSON list, or the list under a name of a JSON object."""
    items = document.get(name) if isinstance(document, dict) else document
    if isinstance(items, list):
        return Ok(items)
    return Error(
        Failure(
            ExitCode.INTERNAL,
            f'The response does not contain the list "{name}".',
        )
    )
