"""Commands that set and list the route rules of services."""

from baobabwharf_core.changes import Change, SetRoute
from baobabwharf_core.fleet_config import RouteRule, route_key
from baobabwharf_core.ids import ServiceId, WorkClass
from cleo.helpers import argument, option

from baobabwharf_cli.base_command import (
    CHANGE_OPTIONS,
    ChangeCommand,
    OperatorCommand,
    UsageError,
)
from baobabwharf_cli.exit_codes import ExitCode

_HEADERS = ['service', 'path prefix', 'open to all', 'repeatable', 'class']


class SetRouteCommand(ChangeCommand):
    """Set the rule for calls to a service under a path prefix."""

    name = 'route set'
    description = 'Set the rule for calls to a service under a path prefix.'
    arguments = [
        argument('service', 'Name of the service.'),
        argument('path-prefix', 'Path prefix.', optional=True, default='/'),
    ]
    options = [
        *CHANGE_OPTIONS,
        option('open-to-all', None, 'Serve callers that have no key.'),
        option(
            'not-repeatable',
            None,
            'Never retry calls after they may have been executed.',
        ),
        option(
            'class',
            None,
            'Work class of the calls.',
            flag=False,
            default='interactive',
        ),
    ]

    def build_change(self) -> Change:
        """Return the change that sets the rule."""
        prefix = self.argument('path-prefix')
        if not prefix.startswith('/'):
            raise UsageError('The path prefix must start with "/".')
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
        config_result = self.client.config()
        if config_result.is_error():
            return self.fail(config_result.error)
        rules = sorted(config_result.ok.routes.values(), key=_sort_key)
        return self.print_result(
            rules, _HEADERS, [_row(rule) for rule in rules]
        )


def _sort_key(rule: RouteRule) -> str:
    return route_key(rule.service, rule.path_prefix)


def _row(rule: RouteRule) -> list[str]:
    return [
        rule.service,
        rule.path_prefix,
        'yes' if rule.open_to_all else 'no',
        'yes' if rule.repeatable else 'no',
        rule.work_class,
    ]
