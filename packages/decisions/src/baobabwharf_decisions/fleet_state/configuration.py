"""Apply one change to a configuration.

Every VM applies the same changes to its own copy, so the result must depend on
nothing but the configuration and the change.
"""

from collections.abc import Callable
from typing import Any

import msgspec
from baobabwharf_core import changes
from baobabwharf_core.fleet_config import FleetConfig, route_key
from baobabwharf_core.ids import Revision
from expression import Ok

from baobabwharf_decisions.fleet_state import customers, deployments, keys
from baobabwharf_decisions.fleet_state.change_result import (
    ChangeResult,
    already_exists,
    invalid,
    not_found,
    replace_tables,
)


def apply_change(config: FleetConfig, change: changes.Change) -> ChangeResult:
    """Return the configuration at the next revision, or an error."""
    result = _HANDLERS[type(change)](config, change)
    if result.is_error():
        return result
    revision = Revision(config.revision + 1)
    return Ok(msgspec.structs.replace(result.ok, revision=revision))


def _set_target(config: FleetConfig, change: changes.SetTarget) -> ChangeResult:
    target = change.target
    if min(target.first_token_ms, target.complete_ms) <= 0:
        return invalid('The times of a target must be positive.')
    if not 0 <= target.max_away_share <= 1:
        return invalid('max_away_share must be between 0 and 1.')
    targets = {**config.targets, target.work_class: target}
    return replace_tables(config, targets=targets)


def _set_route(config: FleetConfig, change: changes.SetRoute) -> ChangeResult:
    rule = change.rule
    if not rule.path_prefix.startswith('/'):
        return invalid('A path prefix must begin with a slash.')
    name = route_key(rule.service, rule.path_prefix)
    return replace_tables(config, routes={**config.routes, name: rule})


def _register_vm(
    config: FleetConfig, change: changes.RegisterVm
) -> ChangeResult:
    vm = change.vm
    existing = config.vms.get(vm.vm_id)
    if existing == vm:
        return already_exists('VM', vm.vm_id)
    if existing is not None and vm.incarnation < existing.incarnation:
        return invalid('A newer incarnation of the VM is registered.')
    return replace_tables(config, vms={**config.vms, vm.vm_id: vm})


def _remove_vm(config: FleetConfig, change: changes.RemoveVm) -> ChangeResult:
    if change.vm_id not in config.vms:
        return not_found('VM', change.vm_id)
    vms = dict(config.vms)
    vms.pop(change.vm_id)
    return replace_tables(config, vms=vms)


def _apply_config(
    config: FleetConfig, change: changes.ApplyConfig
) -> ChangeResult:
    new = change.config
    checked: ChangeResult = Ok(config)
    for customer in new.customers.values():
        checked = customers.put_customer(config, customer)
        if checked.is_error():
            return checked
    removed = frozenset(config.customers) - frozenset(new.customers)
    return replace_tables(
        config,
        customers=dict(new.customers),
        targets=dict(new.targets),
        routes=dict(new.routes),
        keys=customers.withdraw_keys_of(config, removed),
    )


_HANDLERS: dict[type, Callable[[FleetConfig, Any], ChangeResult]] = {
    changes.CreateCustomer: customers.create_customer,
    changes.SetCap: customers.set_cap,
    changes.SetResidency: customers.set_residency,
    changes.RemoveCustomer: customers.remove_customer,
    changes.CreateKey: keys.create_key,
    changes.WithdrawKey: keys.withdraw_key,
    changes.CreateEndpointKey: keys.create_endpoint_key,
    changes.WithdrawEndpointKey: keys.withdraw_endpoint_key,
    changes.SetTarget: _set_target,
    changes.SetRoute: _set_route,
    changes.RegisterVm: _register_vm,
    changes.RemoveVm: _remove_vm,
    changes.ApplyConfig: _apply_config,
    changes.InstallDeployment: deployments.install,
    changes.SetEvacuation: deployments.set_evacuation,
}
