"""Entry point of the operator command line."""

import sys
from importlib import metadata

from cleo.application import Application
from cleo.exceptions import CleoError
from cleo.io.inputs.argv_input import ArgvInput

from baobabwharf_cli.config import ApplyCommand, ExportCommand
from baobabwharf_cli.customers import (
    CreateCustomerCommand,
    ListCustomersCommand,
    RemoveCustomerCommand,
    SetCapCommand,
    SetResidencyCommand,
    ShowCustomerCommand,
)
from baobabwharf_cli.diagnostics import (
    EventsCommand,
    ExplainCommand,
    StatusCommand,
)
from baobabwharf_cli.exit_codes import EXIT_CODES_HELP, ExitCode
from baobabwharf_cli.keys import (
    CreateEndpointKeyCommand,
    CreateKeyCommand,
    ListKeysCommand,
    WithdrawEndpointKeyCommand,
    WithdrawKeyCommand,
)
from baobabwharf_cli.losses import LossesCommand
from baobabwharf_cli.routes import ListRoutesCommand, SetRouteCommand
from baobabwharf_cli.targets import ListTargetsCommand, SetTargetCommand
from baobabwharf_cli.tls import TlsCommand
from baobabwharf_cli.trace import TraceCommand
from baobabwharf_cli.vms import RemoveVmCommand

COMMANDS = (
    CreateCustomerCommand,
    ListCustomersCommand,
    RemoveCustomerCommand,
    SetCapCommand,
    SetResidencyCommand,
    ShowCustomerCommand,
    CreateKeyCommand,
    ListKeysCommand,
    WithdrawKeyCommand,
    CreateEndpointKeyCommand,
    WithdrawEndpointKeyCommand,
    SetTargetCommand,
    ListTargetsCommand,
    SetRouteCommand,
    ListRoutesCommand,
    ApplyCommand,
    ExportCommand,
    StatusCommand,
    EventsCommand,
    ExplainCommand,
    RemoveVmCommand,
    TraceCommand,
    LossesCommand,
    TlsCommand,
)


def build_application() -> Application:
    """Return the application with all commands."""
    application = Application('baobabwharf', _version())
    application.auto_exits(False)
    application.catch_exceptions(False)
    for command in COMMANDS:
        instance = command()
        instance.help = EXIT_CODES_HELP
        application.add(instance)
    return application


def run(arguments: list[str]) -> int:
    """Run the command line and return its exit code."""
    try:
        return build_application().run(ArgvInput(['baobabwharf', *arguments]))
    except CleoError as error:
        sys.stderr.write(f'{str(error).strip()}\n')
        return int(ExitCode.INVALID)


def main() -> None:
    """Run with the arguments of the process and exit with its code."""
    sys.exit(run(sys.argv[1:]))


def _version() -> str:
    try:
        return metadata.version('baobabwharf-cli')
    except metadata.PackageNotFoundError:
        return 'unknown'


if __name__ == '__main__':
    main()
