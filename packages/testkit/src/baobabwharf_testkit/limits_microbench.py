"""Measure the time per reservation and the memory per customer."""

import gc
import time
import tracemalloc
from typing import Any

from baobabwharf_core.fleet_config import Customer, FleetConfig, VmRecord
from baobabwharf_core.ids import CustomerId, RegionId, VmId, ZoneId
from baobabwharf_decisions.limits import Granted, LimitCore

_ROUNDS = 20_000
_VM_ID = VmId('vm-0')


def measure(customers: int) -> dict[str, Any]:
    """Return µs for reserve and settle, and bytes for each customer."""
    names = [CustomerId(f'customer-{index}') for index in range(customers)]
    core = _build_core(names)
    gc.collect()
    tracemalloc.start()
    for name in names:
        _reserve_and_settle(core, name)
    used_bytes, _peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    begin_ns = time.perf_counter_ns()
    for index in range(_ROUNDS):
        _reserve_and_settle(core, names[index % customers])
    elapsed_us = (time.perf_counter_ns() - begin_ns) / 1000
    return {
        'customers': customers,
        'reserve_settle_us': round(elapsed_us / _ROUNDS, 1),
        'bytes_per_customer': used_bytes // customers,
    }


def _build_core(names: list[CustomerId]) -> LimitCore:
    vm = VmRecord(_VM_ID, RegionId('r'), ZoneId('z'), False, '', '', '')
    config = FleetConfig(
        customers={name: Customer(name, 10**6, 10**6) for name in names},
        vms={_VM_ID: vm},
    )
    core = LimitCore(_VM_ID, 1, 0, 0)
    core.configure(config)
    core.advance(10_000, 10_000)
    return core


def _reserve_and_settle(core: LimitCore, name: CustomerId) -> None:
    core.request(name, 1, 0)
    for action in core.take_actions():
        if isinstance(action, Granted):
            core.settle(action.reservation.reservation_id, 1)
            return
    raise AssertionError(
        'The limit core refused a request of the benchmark: bucket empty.'
    )
