"""Run the daemon from the command line."""

import sys
from pathlib import Path

import uvloop
from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import option

from baobabwharf_daemon import VERSION
from baobabwharf_daemon.allocator import return_large_blocks
from baobabwharf_daemon.app import run_daemon
from baobabwharf_daemon.log import get_logger, set_up_logging
from baobabwharf_daemon.settings import load_settings

EXIT_BAD_SETTINGS = 2


class RunCommand(Command):
    """Run the daemon of this VM."""

    name = 'run'
    description = 'Run the daemon of this VM.'
    options = [
        option('settings', 's', 'The JSON settings file.', flag=False),
        option('check', None, 'Only check the settings.'),
    ]

    def handle(self) -> int:
        """Validate the settings, then run until a stop is requested."""
        path = self.option('settings')
        if not path:
            self.line_error('The option --settings FILE is required.')
            return EXIT_BAD_SETTINGS
        loaded = load_settings(Path(path))
        if loaded.is_error():
            for fault in loaded.error:
                self.line_error(fault)
            return EXIT_BAD_SETTINGS
        if self.option('check'):
            self.line('The settings are valid.')
            return 0
        set_up_logging(loaded.ok.log)
        if not return_large_blocks():
            get_logger('daemon').info(
                'The C library has no threshold for large blocks; large '
                'bodies may leave memory in use.'
            )
        return uvloop.run(run_daemon(loaded.ok))


class _DaemonApplication(Application):
    """Provide a single command that is run without naming it."""

    def __init__(self) -> None:
        super().__init__('baobabwharfd', VERSION)
        command = RunCommand()
        self.add(command)
        self._default_command = command.name or ''
        self._single_command = True


def main() -> None:
    """Run the command-line interface of the daemon."""
    sys.exit(_DaemonApplication().run())


if __name__ == '__main__':
    main()
