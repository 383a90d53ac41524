"""Commands that create, show, change and remove customers."""

import msgspec
from baobabwharf_core.changes import (
    Change,
    CreateCustomer,
    RemoveCustomer,
    SetCap,
    SetResidency,
)
from baobabwharf_core.fleet_config import Customer
from baobabwharf_core.ids import CustomerId, RegionId
from cleo.helpers import argument, option

from baobabwharf_cli.base_command import (
    CHANGE_OPTIONS,
    ChangeCommand,
    OperatorCommand,
)
from baobabwharf_cli.client import Failure
from baobabwharf_cli.exit_codes import ExitCode

_CUSTOMER = argument('customer', 'Id of the customer.')
_RATE = option('rate', None, 'Tokens per second.', flag=False)
_BURST = option('burst', None, 'Burst size in tokens.', flag=False)
_REGION = option(
    'region',
    None,
    'Region that may serve the customer; repeatable, default all regions.',
    flag=False,
    multiple=True,
)
_HEADERS = ['customer', 'tokens/s', 'burst', 'residency']


class CreateCustomerCommand(ChangeCommand):
    """Create a customer."""

    name = 'customer create'
    description = 'Create a customer.'
    arguments = [_CUSTOMER]
    options = [*CHANGE_OPTIONS, _RATE, _BURST, _REGION]

    def build_change(self) -> Change:
        """Return the change that adds the customer."""
        return CreateCustomer(
            Customer(
                customer_id=CustomerId(self.argument('customer')),
                rate_tokens_per_s=self.parse_whole_number(
                    '--rate', self.option('rate')
                ),
                burst_tokens=self.parse_whole_number(
                    '--burst', self.option('burst')
                ),
                residency=_residency(self.option('region')),
            )
        )


class SetCapCommand(ChangeCommand):
    """Set rate and burst of a customer."""

    name = 'customer set-cap'
    description = 'Set rate and burst of a customer.'
    arguments = [_CUSTOMER]
    options = [*CHANGE_OPTIONS, _RATE, _BURST]

    def build_change(self) -> Change:
        """Return the change that sets the cap."""
        return SetCap(
            customer_id=CustomerId(self.argument('customer')),
            rate_tokens_per_s=self.parse_whole_number(
                '--rate', self.option('rate')
            ),
            burst_tokens=self.parse_whole_number(
                '--burst', self.option('burst')
            ),
        )


class SetResidencyCommand(ChangeCommand):
    """Set the regions that may serve a customer."""

    name = 'customer set-residency'
    description = 'Set the regions that may serve a customer.'
    arguments = [_CUSTOMER]
    options = [*CHANGE_OPTIONS, _REGION]

    def build_change(self) -> Change:
        """Return the change that sets the residency."""
        return SetResidency(
            customer_id=CustomerId(self.argument('customer')),
            residency=_residency(self.option('region')),
        )


class RemoveCustomerCommand(ChangeCommand):
    """Remove a customer and withdraw its keys."""

    name = 'customer remove'
    description = 'Remove a customer and withdraw its keys.'
    arguments = [_CUSTOMER]

    def build_change(self) -> Change:
        """Return the change that removes the customer."""
        return RemoveCustomer(CustomerId(self.argument('customer')))


class ListCustomersCommand(OperatorCommand):
    """List all customers."""

    name = 'customer list'
    description = 'List all customers.'

    def perform(self) -> ExitCode:
        """Print all customers."""
        config_result = self.client.config()
        if config_result.is_error():
            return self.fail(config_result.error)
        customers = sorted(
            config_result.ok.customers.values(),
            key=lambda customer: customer.customer_id,
        )
        return self.print_result(
            customers, _HEADERS, [_row(customer) for customer in customers]
        )


class ShowCustomerCommand(OperatorCommand):
    """Show a customer and its keys."""

    name = 'customer show'
    description = 'Show a customer and its keys.'
    arguments = [_CUSTOMER]

    def perform(self) -> ExitCode:
        """Print one customer."""
        config_result = self.client.config()
        if config_result.is_error():
            return self.fail(config_result.error)
        customer_id = CustomerId(self.argument('customer'))
        customer = config_result.ok.customers.get(customer_id)
        if customer is None:
            return self.fail(
                Failure(ExitCode.NOT_FOUND, f'No customer {customer_id}.')
            )
        keys = [
            {'key_id': key.key_id, 'withdrawn': key.withdrawn}
            for key in config_result.ok.keys.values()
            if key.customer_id == customer_id
        ]
        document = msgspec.to_builtins(customer) | {'keys': keys}
        self.print_result(document, _HEADERS, [_row(customer)])
        if not self.option('json'):
            names = [str(key['key_id']) for key in keys if not key['withdrawn']]
            self.print_text(f'Keys in force: {", ".join(names) or "none"}.')
        return ExitCode.DONE


def _residency(regions: list[str]) -> tuple[RegionId, ...]:
    return tuple(RegionId(region) for region in regions)


def _row(customer: Customer) -> list[str]:
    return [
        customer.customer_id,
        str(customer.rate_tokens_per_s),
        str(customer.burst_tokens),
        ', '.join(customer.residency) or 'any',
    ]
