"""Apply changes of customers."""

from typing import Any

import msgspec
from baobabwharf_core import changes
from baobabwharf_core.fleet_config import Customer, FleetConfig, KeyRecord
from baobabwharf_core.ids import CustomerId

from baobabwharf_decisions.fleet_state.change_result import (
    ChangeResult,
    already_exists,
    invalid,
    not_found,
    replace_tables,
)


def put_customer(config: FleetConfig, customer: Customer) -> ChangeResult:
    """Add or replace a customer if its rate and burst are valid."""
    if min(customer.rate_tokens_per_s, customer.burst_tokens) <= 0:
        return invalid('Rate and burst must be positive.')
    table = {**config.customers, customer.customer_id: customer}
    return replace_tables(config, customers=table)


def create_customer(
    config: FleetConfig, change: changes.CreateCustomer
) -> ChangeResult:
    """Add a customer."""
    customer_id = change.customer.customer_id
    if not customer_id:
        return invalid('The customer id is empty.')
    if customer_id in config.customers:
        return already_exists('customer', customer_id)
    return put_customer(config, change.customer)


def set_cap(config: FleetConfig, change: changes.SetCap) -> ChangeResult:
    """Set the rate and burst of a customer."""
    customer = config.customers.get(change.customer_id)
    if customer is None:
        return not_found('customer', change.customer_id)
    updated = msgspec.structs.replace(
        customer,
        rate_tokens_per_s=change.rate_tokens_per_s,
        burst_tokens=change.burst_tokens,
    )
    return put_customer(config, updated)


def set_residency(
    config: FleetConfig, change: changes.SetResidency
) -> ChangeResult:
    """Set the residency of a customer."""
    customer = config.customers.get(change.customer_id)
    if customer is None:
        return not_found('customer', change.customer_id)
    updated = msgspec.structs.replace(customer, residency=change.residency)
    return put_customer(config, updated)


def remove_customer(
    config: FleetConfig, change: changes.RemoveCustomer
) -> ChangeResult:
    """Remove a customer and withdraw its keys."""
    if change.customer_id not in config.customers:
        return not_found('customer', change.customer_id)
    customers = dict(config.customers)
    customers.pop(change.customer_id)
    keys = withdraw_keys_of(config, frozenset((change.customer_id,)))
    return replace_tables(config, customers=customers, keys=keys)


def withdraw_keys_of(
    config: FleetConfig, customer_ids: frozenset[CustomerId]
) -> dict[Any, KeyRecord]:
    """Return all keys, with those of the given customers withdrawn."""
    return {
        key_id: (
            msgspec.structs.replace(key, withdrawn=True)
            if key.customer_id in customer_ids
            else key
        )
        for key_id, key in config.keys.items()
    }
