"""Commands that export and apply the whole configuration."""

import msgspec
from baobabwharf_core.changes import ApplyConfig, Change
from baobabwharf_core.fleet_config import FleetConfig
from cleo.helpers import argument

from baobabwharf_cli.base_command import (
    ChangeCommand,
    OperatorCommand,
    UsageError,
    read_file,
)
from baobabwharf_cli.exit_codes import ExitCode


class ExportCommand(OperatorCommand):
    """Print the configuration in force in the format that "apply" reads."""

    name = 'export'
    description = 'Print the configuration in force as JSON.'

    def perform(self) -> ExitCode:
        """Print the configuration."""
        config_result = self.client.config()
        if config_result.is_error():
            return self.fail(config_result.error)
        self.print_json(config_result.ok)
        return ExitCode.DONE


class ApplyCommand(ChangeCommand):
    """Replace customers, targets and routes by those of a file; keep keys."""

    name = 'apply'
    description = 'Replace customers, targets and routes; keep the keys.'
    arguments = [argument('file', 'File in the format of "export".')]

    def build_change(self) -> Change:
        """Return the change that applies the file."""
        if self.option('expect-revision') is None:
            raise UsageError(
                '--expect-revision N is required, so that no concurrent change '
                'is overwritten; "export" prints the revision.'
            )
        path = self.argument('file')
        try:
            config = msgspec.json.decode(read_file(path), type=FleetConfig)
        except msgspec.MsgspecError as error:
            raise UsageError(f'{path}: {error}.') from None
        return ApplyConfig(config)
