"""Measure the routing and admission decisions; print JSON lines."""

import json
import random
import time
import tracemalloc
from collections.abc import Callable
from typing import Any

from baobabwharf_core.announcements import (
    Announcement,
    CacheEvent,
    CacheEventKind,
    Heartbeat,
    LoadReport,
)
from baobabwharf_core.ids import (
    CustomerId,
    EndpointId,
    Incarnation,
    ModelId,
    RegionId,
    RequestId,
    ServiceId,
    WorkClass,
    ZoneId,
)
from baobabwharf_core.requests import AttemptOutcome, RequestAttributes
from baobabwharf_decisions.admission import Admission, Capacity, Ticket
from baobabwharf_decisions.dispatcher import Dispatcher
from baobabwharf_decisions.endpoint_chooser import EndpointChooser
from baobabwharf_decisions.endpoint_directory import EndpointDirectory
from baobabwharf_decisions.routing import (
    LocalEstimate,
    RegionRouter,
    RegionVmCounts,
)
from baobabwharf_decisions.summaries import (
    GroupSummary,
    RegionSummary,
    summarise,
)

_SEED = 1
_REGION = RegionId('r0')
_SERVICE = ServiceId('chat')
_MODEL = ModelId('m0')
_ENDPOINT_COUNTS = (11, 110, 1100)
_CUSTOMER_COUNTS = (140, 1400, 14_000)
_BLOCKS_PER_PREFIX = 16
_ROUNDS = 3000
_NS_PER_US = 1000


def make_attributes(index: int, customers: int = 5) -> RequestAttributes:
    """Return the attributes of a typical chat request."""
    return RequestAttributes(
        RequestId(f'q{index}'),
        CustomerId(f'c{index % customers}'),
        _SERVICE,
        WorkClass('interactive'),
        (),
        30_000,
        670,
        _MODEL,
        prompt_tokens=800,
        max_output_tokens=256,
        body_bytes=4000,
        prefix_hashes=tuple(
            range(index % 50 * _BLOCKS_PER_PREFIX, index % 50 * 16 + 12)
        ),
    )


def populate_directory(
    directory: EndpointDirectory, count: int, rng: random.Random
) -> None:
    """Announce endpoints with caches and load to a directory."""
    for index in range(count):
        name = EndpointId(f'e{index}')
        incarnation = Incarnation(1)
        directory.announce(
            Announcement(
                name,
                _SERVICE,
                _REGION,
                ZoneId('z0'),
                f'http://10.0.0.1:{index}',
                incarnation,
                (_MODEL,),
                tokens_per_s=rng.uniform(20, 60),
            ),
            0,
        )
        base = rng.randrange(50) * _BLOCKS_PER_PREFIX
        events = tuple(
            CacheEvent(step, CacheEventKind.STORED, base + step)
            for step in range(_BLOCKS_PER_PREFIX)
        )
        load = LoadReport(rng.randrange(9), 0)
        directory.heartbeat(Heartbeat(name, incarnation, 1, load, events), 0)


def time_rounds(
    action: Callable[[int], Any],
    rounds: int = _ROUNDS,
    untimed_action: Callable[[int], None] | None = None,
) -> list[float]:
    """Return the time of each round in microseconds, sorted.

    untimed_action is called after each round.
    """
    durations_us = []
    for index in range(rounds):
        started_ns = time.perf_counter_ns()
        action(index)
        durations_us.append((time.perf_counter_ns() - started_ns) / _NS_PER_US)
        if untimed_action is not None:
            untimed_action(index)
    return sorted(durations_us)


def print_result(
    name: str, size: int, durations_us: list[float], **extra_fields: Any
) -> None:
    """Print one line with the median and the 99th percentile."""
    line = {
        'bench': name,
        'size': size,
        'p50_us': round(durations_us[len(durations_us) // 2], 2),
        'p99_us': round(durations_us[len(durations_us) * 99 // 100], 2),
        **extra_fields,
    }
    print(json.dumps(line), flush=True)


def bench_endpoints(count: int) -> None:
    """Measure endpoint choice and the maintenance of the directory."""
    rng = random.Random(_SEED)
    tracemalloc.start()
    directory = EndpointDirectory(rng)
    populate_directory(directory, count, rng)
    used_bytes = tracemalloc.get_traced_memory()[0] // count
    tracemalloc.stop()
    chooser = EndpointChooser(_REGION, directory, rng)
    requests = [make_attributes(index) for index in range(100)]
    in_flight: list[EndpointId] = []

    def route(index: int) -> None:
        attributes = requests[index % 100]
        candidate = chooser.choose(attributes, frozenset(), 0.0, 10)
        if candidate is not None:
            directory.record_sent(candidate.endpoint.endpoint_id, 0.0, 10)
            in_flight.append(candidate.endpoint.endpoint_id)
        # End the oldest request so that part of the fleet stays free.
        if len(in_flight) > count:
            outcome = AttemptOutcome(
                in_flight.pop(0), True, True, 300, 5000, 200
            )
            directory.ended(outcome, 10)

    print_result(
        'endpoint_choice', count, time_rounds(route), bytes_each=used_bytes
    )

    def send_heartbeat(index: int) -> None:
        name = EndpointId(f'e{index % count}')
        load = LoadReport(index % 9, 0)
        directory.heartbeat(
            Heartbeat(name, Incarnation(1), 2 + index, load), 20
        )

    print_result('heartbeat', count, time_rounds(send_heartbeat))
    print_result(
        'tick', count, time_rounds(lambda index: directory.tick(30), 50)
    )

    def build_summary(index: int) -> None:
        summarise(_REGION, directory, (), index, 3, 30)

    print_result('summary', count, time_rounds(build_summary, 50))


def region_router(
    count: int, rng: random.Random
) -> tuple[RegionRouter, RegionVmCounts]:
    """Return a router that knows some regions with free slots."""
    router = RegionRouter(_REGION, {}, rng)
    region_ids = [RegionId(f'r{index}') for index in range(count)]
    for name in region_ids:
        group = GroupSummary(_SERVICE, _MODEL, 10_000, 5000, 5000.0, 0.25)
        router.on_summary(RegionSummary(name, 1, 3, (group,)), 0)
    return router, RegionVmCounts(dict.fromkeys(region_ids, 3), _REGION)


def bench_routing_path(count: int) -> None:
    """Measure the whole path at an entry VM: region, capacity and endpoint."""
    rng = random.Random(_SEED)
    directory = EndpointDirectory(rng)
    populate_directory(directory, count, rng)
    dispatcher = Dispatcher(_REGION, directory, rng)
    router, vm_counts = region_router(9, rng)
    requests = [make_attributes(number) for number in range(_ROUNDS)]
    in_flight: list[EndpointId] = []

    def route(index: int) -> None:
        attributes = requests[index]
        local_estimate = dispatcher.local_estimate(attributes, 10)
        router.choose(attributes, local_estimate, vm_counts, 1.0, 10)
        candidate = dispatcher.place_now(attributes, frozenset(), 10)
        if candidate is not None:
            in_flight.append(candidate.endpoint.endpoint_id)

    def release(index: int) -> None:
        if len(in_flight) > count:
            directory.ended(
                AttemptOutcome(in_flight.pop(0), True, True, 300, 5000, 200), 10
            )

    print_result(
        'routing_path', count, time_rounds(route, untimed_action=release)
    )


def bench_regions(count: int) -> None:
    """Measure the choice of a region under load."""
    router, vm_counts = region_router(count, random.Random(_SEED))
    local_estimate = LocalEstimate(True, 2000.0, 9000.0)
    requests = [make_attributes(index) for index in range(_ROUNDS)]

    def route(index: int) -> None:
        router.choose(requests[index], local_estimate, vm_counts, 1.0, 10)

    print_result('region_choice', count, time_rounds(route))


def bench_admission(customers: int) -> None:
    """Measure queueing and placing with many customers waiting."""
    tracemalloc.start()
    admission = Admission()
    for customer in range(customers):
        admission.charge(make_attributes(customer, customers), customer)
    used_bytes = tracemalloc.get_traced_memory()[0] // customers
    tracemalloc.stop()
    capacity = Capacity(8000, 5000.0)
    # Half of the queue is filled; each round adds one and places one.
    waiting = [make_attributes(number, customers) for number in range(1000)]
    for attributes in waiting:
        admission.offer(attributes, frozenset(), capacity, 30_000, 0)
    request_count = 1000 + _ROUNDS
    new_requests = [
        make_attributes(number, customers)
        for number in range(1000, request_count)
    ]

    def fits(ticket: Ticket) -> bool | None:
        return True

    def admit(index: int) -> None:
        admission.offer(new_requests[index], frozenset(), capacity, 30_000, 1)
        next(admission.place(fits, 1))

    print_result(
        'admission', customers, time_rounds(admit), bytes_each=used_bytes
    )


def main() -> None:
    """Run all measurements over sizes of two orders of magnitude."""
    for count in _ENDPOINT_COUNTS:
        bench_endpoints(count)
        bench_routing_path(count)
    for count in (3, 9, 30):
        bench_regions(count)
    for count in _CUSTOMER_COUNTS:
        bench_admission(count)


if __name__ == '__main__':
    main()
