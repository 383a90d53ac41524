"""Export and apply the configuration as a whole."""

import msgspec
from baobabwharf_core.changes import ApplyConfig, Change
from baobabwharf_core.model import FleetConfig
from cleo.helpers import argument

from baobabwharf_cli.base_command import (
    ChangeCommand,
    OperatorCommand,
    UsageFault,
    read_file,
)
from baobabwharf_cli.exit_codes import ExitCode


class ExportCommand(OperatorCommand):
    """Print the configuration in force, which "apply" accepts."""

    name = 'export'
    description = 'Print the configuration in force as JSON.'

    def perform(self) -> ExitCode:
        """Print the configuration."""
        read = self.api.config()
        if read.is_error():
            return self.fail(read.error)
        self.print_json(read.ok)
        return ExitCode.DONE


class ApplyCommand(ChangeCommand):
    """Replace customers, targets and routes from a file; keys stay."""

    name = 'apply'
    description = 'Replace customers, targets and routes; keys stay.'
    arguments = [argument('file', 'File as written by "export".')]

    def change(self) -> Change:
        """Return the change that applies the file."""
        if self.option('expect-revision') is None:
            raise UsageFault(
                'Give --expect-revision N, so that no change in between is '
                'overwritten; "export" prints the revision.'
            )
        path = self.argument('file')
        try:
            config = msgspec.json.decode(read_file(path), type=FleetConfig)
        except msgspec.MsgspecError as fault:
            raise UsageFault(f'{path}: {fault}.') from None
        return ApplyConfig(config)
