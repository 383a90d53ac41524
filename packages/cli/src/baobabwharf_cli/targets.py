"""Commands that set and list the latency targets of work classes."""

from baobabwharf_core.changes import Change, SetTarget
from baobabwharf_core.fleet_config import Target
from baobabwharf_core.ids import WorkClass
from cleo.helpers import argument, option

from baobabwharf_cli.base_command import (
    CHANGE_OPTIONS,
    ChangeCommand,
    OperatorCommand,
    UsageError,
)
from baobabwharf_cli.exit_codes import ExitCode

_HEADERS = ['class', 'first token ms', 'complete ms', 'max away share']


class SetTargetCommand(ChangeCommand):
    """Set the targets of a work class."""

    name = 'target set'
    description = 'Set the targets of a work class.'
    arguments = [argument('class', 'Work class.')]
    options = [
        *CHANGE_OPTIONS,
        option(
            'first-token-ms',
            None,
            'Target time to the first token, in ms.',
            flag=False,
        ),
        option(
            'complete-ms',
            None,
            'Target time to the complete response, in ms.',
            flag=False,
        ),
        option(
            'max-away-share',
            None,
            'Maximum share of requests sent to other regions, 0 to 1.',
            flag=False,
            default='1.0',
        ),
    ]

    def build_change(self) -> Change:
        """Return the change that sets the target."""
        first = self.option('first-token-ms')
        complete = self.option('complete-ms')
        return SetTarget(
            Target(
                work_class=WorkClass(self.argument('class')),
                first_token_ms=self.parse_whole_number(
                    '--first-token-ms', first
                ),
                complete_ms=self.parse_whole_number('--complete-ms', complete),
                max_away_share=self._share(),
            )
        )

    def _share(self) -> float:
        try:
            share = float(self.option('max-away-share'))
        except ValueError:
            raise UsageError('--max-away-share must be a number.') from None
        if not 0 <= share <= 1:
            raise UsageError('--max-away-share must be between 0 and 1.')
        return share


class ListTargetsCommand(OperatorCommand):
    """List all targets."""

    name = 'target list'
    description = 'List all targets.'

    def perform(self) -> ExitCode:
        """Print all targets."""
        config_result = self.client.config()
        if config_result.is_error():
            return self.fail(config_result.error)
        targets = sorted(
            config_result.ok.targets.values(),
            key=lambda target: target.work_class,
        )
        return self.print_result(
            targets, _HEADERS, [_row(target) for target in targets]
        )


def _row(target: Target) -> list[str]:
    return [
        target.work_class,
        str(target.first_token_ms),
        str(target.complete_ms),
        str(target.max_away_share),
    ]
