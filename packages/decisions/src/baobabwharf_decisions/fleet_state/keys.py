"""Apply changes of customer keys and endpoint keys."""

from typing import Any

import msgspec
from baobabwharf_core import changes
from baobabwharf_core.fleet_config import (
    EndpointKeyRecord,
    FleetConfig,
    KeyRecord,
)

from baobabwharf_decisions.fleet_state.change_result import (
    ChangeResult,
    already_exists,
    invalid,
    not_found,
    replace_tables,
)


def create_key(config: FleetConfig, change: changes.CreateKey) -> ChangeResult:
    """Add a customer key."""
    key = change.key
    if key.customer_id not in config.customers:
        return not_found('customer', key.customer_id)
    error = _check_new_key(config.keys, key)
    if error is not None:
        return error
    return replace_tables(config, keys={**config.keys, key.key_id: key})


def _check_new_key(
    table: dict[Any, Any], key: KeyRecord | EndpointKeyRecord
) -> ChangeResult | None:
    if key.key_id in table:
        return already_exists('key', key.key_id)
    if not key.digest or key.withdrawn:
        return invalid('A new key needs a digest and is not withdrawn.')
    if any(existing.digest == key.digest for existing in table.values()):
        return invalid('The digest belongs to another key.')
    return None


def withdraw_key(
    config: FleetConfig, change: changes.WithdrawKey
) -> ChangeResult:
    """Withdraw a customer key."""
    key = config.keys.get(change.key_id)
    if key is None:
        return not_found('key', change.key_id)
    withdrawn = msgspec.structs.replace(key, withdrawn=True)
    return replace_tables(
        config, keys={**config.keys, change.key_id: withdrawn}
    )


def create_endpoint_key(
    config: FleetConfig, change: changes.CreateEndpointKey
) -> ChangeResult:
    """Add an endpoint key."""
    error = _check_new_key(config.endpoint_keys, change.key)
    if error is not None:
        return error
    table = {**config.endpoint_keys, change.key.key_id: change.key}
    return replace_tables(config, endpoint_keys=table)


def withdraw_endpoint_key(
    config: FleetConfig, change: changes.WithdrawEndpointKey
) -> ChangeResult:
    """Withdraw an endpoint key."""
    key = config.endpoint_keys.get(change.key_id)
    if key is None:
        return not_found('endpoint key', change.key_id)
    withdrawn = msgspec.structs.replace(key, withdrawn=True)
    table = {**config.endpoint_keys, change.key_id: withdrawn}
    return replace_tables(config, endpoint_keys=table)
