"""Measure how memory and processing time grow with the fleet state."""

import argparse
import gc
import itertools
import sys
import time
import tracemalloc
from collections.abc import Callable

import msgspec
from baobabwharf_core.changes import ChangeRequest, SetCap
from baobabwharf_core.codec import encode, encode_frame
from baobabwharf_core.fleet_config import (
    Customer,
    FleetConfig,
    KeyRecord,
    VmRecord,
)
from baobabwharf_core.ids import (
    CustomerId,
    KeyId,
    RegionId,
    RequestId,
    VmId,
    ZoneId,
)
from baobabwharf_decisions.fleet_state.commands import (
    ApplyChange,
    BeginClaim,
    Command,
    FinishClaim,
)
from baobabwharf_decisions.fleet_state.state_machine import FleetStateMachine

_CUSTOMER_SIZES = (1000, 4000, 14_000)
_VM_SIZES = (9, 50, 350)
_CLAIM_SIZES = (1000, 4000, 16_000)
_KEYS_PER_CUSTOMER = 2
_DIGEST_BYTES = 32
_CLAIM_BODY_BYTES = 256
_CLAIM_ROUNDS = 200
_CHANGE_COUNT = 500
_NS_PER_US = 1000


class Measure(msgspec.Struct, frozen=True):
    """Report one measured quantity at one size."""

    subject: str
    size: int
    quantity: str
    figure: float
    unit: str


def sample_config(customers: int, vms: int) -> FleetConfig:
    """Return a configuration of the given size."""
    return FleetConfig(
        customers={
            CustomerId(f'customer-{number:05}'): Customer(
                CustomerId(f'customer-{number:05}'), 10_000, 50_000
            )
            for number in range(customers)
        },
        keys={key.key_id: key for key in _keys(customers)},
        vms={vm.vm_id: vm for vm in _vms(vms)},
    )


def _keys(customers: int) -> list[KeyRecord]:
    return [
        KeyRecord(
            KeyId(f'key-{number:05}-{key_number}'),
            CustomerId(f'customer-{number:05}'),
            number.to_bytes(_DIGEST_BYTES, 'big'),
        )
        for number in range(customers)
        for key_number in range(_KEYS_PER_CUSTOMER)
    ]


def _vms(count: int) -> list[VmRecord]:
    return [
        VmRecord(
            VmId(f'vm-{number:03}'),
            RegionId(f'region-{number % 9}'),
            ZoneId(f'zone-{number % 26}'),
            number % 50 == 0,
            f'10.0.{number // 250}.{number % 250}:7003',
            f'10.0.{number // 250}.{number % 250}:7004',
            f'https://10.0.{number // 250}.{number % 250}:7001',
        )
        for number in range(count)
    ]


def _time_us(work: Callable[[], object], rounds: int) -> float:
    started = time.perf_counter_ns()
    for repeated_work in itertools.repeat(work, rounds):
        repeated_work()
    return (time.perf_counter_ns() - started) / rounds / _NS_PER_US


def _allocated_bytes(build: Callable[[], object]) -> int:
    gc.collect()
    tracemalloc.start()
    retained = build()
    size, _peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del retained
    return size


def measure_configuration(customers: int, vms: int) -> list[Measure]:
    """Measure snapshot size, memory and the time to apply one change."""
    machine = FleetStateMachine()
    config = sample_config(customers, vms)
    empty = machine.snapshot()
    machine.restore(_with_config(empty, config))
    payload = machine.snapshot()
    subject = 'configuration'
    memory = _allocated_bytes(lambda: sample_config(customers, vms))
    restored = FleetStateMachine()
    return [
        Measure(subject, customers, 'snapshot', len(payload), 'B'),
        Measure(subject, customers, 'memory', memory, 'B'),
        Measure(
            subject,
            customers,
            'snapshot encode',
            _time_us(machine.snapshot, 5),
            'us',
        ),
        Measure(
            subject,
            customers,
            'snapshot restore',
            _time_us(lambda: restored.restore(payload), 5),
            'us',
        ),
        *_measure_changes(machine, customers),
    ]


def _with_config(empty: bytes, config: FleetConfig) -> bytes:
    state = msgspec.msgpack.decode(empty)
    state['config'] = msgspec.to_builtins(config, builtin_types=(bytes,))
    return msgspec.msgpack.encode(state)


def _measure_changes(
    machine: FleetStateMachine, customers: int
) -> list[Measure]:
    commands = [
        Command(
            number,
            ApplyChange(
                ChangeRequest(
                    RequestId(f'change-{number}'),
                    SetCap(
                        CustomerId(f'customer-{number % customers:05}'),
                        number + 1,
                        number + 1,
                    ),
                )
            ),
        )
        for number in range(_CHANGE_COUNT)
    ]
    pending = iter(commands)
    elapsed_us = _time_us(lambda: machine.apply(next(pending)), _CHANGE_COUNT)
    record = len(encode_frame(encode(commands[-1])))
    return [
        Measure('change', customers, 'apply', elapsed_us, 'us'),
        Measure('change', customers, 'log record', record, 'B'),
    ]


def measure_claims(claims: int) -> list[Measure]:
    """Measure memory and processing time of finished idempotency claims."""
    machine = FleetStateMachine()
    gc.collect()
    tracemalloc.start()
    for number in range(claims):
        _begin_and_finish_claim(machine, number)
    size, _peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    pending = iter(range(claims, claims + _CLAIM_ROUNDS))
    elapsed_us = _time_us(
        lambda: _begin_and_finish_claim(machine, next(pending)), _CLAIM_ROUNDS
    )
    return [
        Measure('claim', claims, 'memory each', size / claims, 'B'),
        Measure('claim', claims, 'begin and finish', elapsed_us, 'us'),
    ]


def _begin_and_finish_claim(machine: FleetStateMachine, number: int) -> None:
    customer = CustomerId(f'customer-{number % 100:05}')
    key = f'idempotency-{number}'
    request_id = RequestId(f'request-{number}')
    begin = BeginClaim(
        customer, key, b'd' * _DIGEST_BYTES, request_id, VmId('vm-001')
    )
    machine.apply(Command(number, begin))
    body = number.to_bytes(_CLAIM_BODY_BYTES, 'big')
    finish = FinishClaim(
        customer, key, request_id, 'finished', 200, 'application/json', body
    )
    machine.apply(Command(number, finish))


def main() -> int:
    """Print each measure as one JSON line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.parse_args()
    measures: list[Measure] = []
    for customers in _CUSTOMER_SIZES:
        measures.extend(measure_configuration(customers, _VM_SIZES[0]))
    for vms in _VM_SIZES:
        payload = len(encode(sample_config(0, vms)))
        measures.append(Measure('VM record', vms, 'snapshot', payload, 'B'))
    for claims in _CLAIM_SIZES:
        measures.extend(measure_claims(claims))
    for measure in measures:
        print(msgspec.json.encode(measure).decode())
    return 0


if __name__ == '__main__':
    sys.exit(main())
