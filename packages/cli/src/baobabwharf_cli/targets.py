"""Set and list the targets of classes of work."""

from baobabwharf_core.changes import Change, SetTarget
from baobabwharf_core.ids import WorkClass
from baobabwharf_core.model import Target
from cleo.helpers import argument, option

from baobabwharf_cli.base_command import (
    CHANGE_OPTIONS,
    ChangeCommand,
    OperatorCommand,
    UsageFault,
)
from baobabwharf_cli.exit_codes import ExitCode

_HEADERS = ['class', 'first token ms', 'complete ms', 'max away share']


class SetTargetCommand(ChangeCommand):
    """Set the target of a class of work."""

    name = 'target set'
    description = 'Set the target of a class of work.'
    arguments = [argument('class', 'Class of work.')]
    options = [
        *CHANGE_OPTIONS,
        option('first-token-ms', None, 'Time to first token.', flag=False),
        option('complete-ms', None, 'Time to the whole answer.', flag=False),
        option(
            'max-away-share',
            None,
            'Cap on the share sent to another region, 0 to 1.',
            flag=False,
            default='1.0',
        ),
    ]

    def change(self) -> Change:
        """Return the change that sets the target."""
        first = self.option('first-token-ms')
        complete = self.option('complete-ms')
        return SetTarget(
            Target(
                work_class=WorkClass(self.argument('class')),
                first_token_ms=self.number('--first-token-ms', first),
                complete_ms=self.number('--complete-ms', complete),
                max_away_share=self._share(),
            )
        )

    def _share(self) -> float:
        try:
            share = float(self.option('max-away-share'))
        except ValueError:
            raise UsageFault('--max-away-share must be a number.') from None
        if not 0 <= share <= 1:
            raise UsageFault('--max-away-share must be between 0 and 1.')
        return share


class ListTargetsCommand(OperatorCommand):
    """List all targets."""

    name = 'target list'
    description = 'List all targets.'

    def perform(self) -> ExitCode:
        """Print all targets."""
        read = self.api.config()
        if read.is_error():
            return self.fail(read.error)
        targets = sorted(
            read.ok.targets.values(), key=lambda entry: entry.work_class
        )
        return self.show(targets, _HEADERS, [_row(one) for one in targets])


def _row(target: Target) -> list[str]:
    return [
        target.work_class,
        str(target.first_token_ms),
        str(target.complete_ms),
        str(target.max_away_share),
    ]
