"""Set and list the route rules of services."""

from baobabwharf_core.changes import Change, SetRoute
from baobabwharf_core.ids import ServiceId, WorkClass
from baobabwharf_core.model import RouteRule, route_key
from cleo.helpers import argument, option

from baobabwharf_cli.base_command import (
    CHANGE_OPTIONS,
    ChangeCommand,
    OperatorCommand,
    UsageFault,
)
from baobabwharf_cli.exit_codes import ExitCode

_HEADERS = ['service', 'path prefix', 'open to all', 'repeatable', 'class']


class SetRouteCommand(ChangeCommand):
    """Set the rule for calls of a service below a path prefix."""

    name = 'route set'
    description = 'Set the rule for calls of a service below a path prefix.'
    arguments = [
        argument('service', 'Name of the service.'),
        argument('path-prefix', 'Path prefix.', optional=True, default='/'),
    ]
    options = [
        *CHANGE_OPTIONS,
        option('open-to-all', None, 'Serve callers without a key.'),
        option('not-repeatable', None, 'Calls must not be repeated.'),
        option(
            'class',
            None,
            'Class of work.',
            flag=False,
            default='interactive',
        ),
    ]

    def change(self) -> Change:
        """Return the change that sets the rule."""
        prefix = self.argument('path-prefix')
        if not prefix.startswith('/'):
            raise UsageFault('The path prefix must begin with "/".')
        return SetRoute(
            RouteRule(
                service=ServiceId(self.argument('service')),
                path_prefix=prefix,
                open_to_all=bool(self.option('open-to-all')),
                repeatable=not self.option('not-repeatable'),
                work_class=WorkClass(self.option('class')),
            )
        )


class ListRoutesCommand(OperatorCommand):
    """List all route rules."""

    name = 'route list'
    description = 'List all route rules.'

    def perform(self) -> ExitCode:
        """Print all route rules."""
        read = self.api.config()
        if read.is_error():
            return self.fail(read.error)
        rules = sorted(read.ok.routes.values(), key=_order)
        return self.show(rules, _HEADERS, [_row(rule) for rule in rules])


def _order(rule: RouteRule) -> str:
    return route_key(rule.service, rule.path_prefix)


def _row(rule: RouteRule) -> list[str]:
    return [
        rule.service,
        rule.path_prefix,
        'yes' if rule.open_to_all else 'no',
        'yes' if rule.repeatable else 'no',
        rule.work_class,
    ]
