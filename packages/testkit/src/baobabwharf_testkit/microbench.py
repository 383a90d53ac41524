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
from baobabwharf_core.requests import AttemptOutcome, RequestFacts
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
_ENDPOINTS = (11, 110, 1100)
_CUSTOMERS = (140, 1400, 14_000)
_BLOCKS = 16
_ROUNDS = 3000
_NS_PER_US = 1000


def facts_of(index: int, customers: int = 5) -> RequestFacts:
    """Return a typical chat request."""
    return RequestFacts(
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
        prefix_hashes=tuple(range(index % 50 * _BLOCKS, index % 50 * 16 + 12)),
    )


def fill(directory: EndpointDirectory, count: int, rng: random.Random) -> None:
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
        base = rng.randrange(50) * _BLOCKS
        events = tuple(
            CacheEvent(step, CacheEventKind.STORED, base + step)
            for step in range(_BLOCKS)
        )
        load = LoadReport(rng.randrange(9), 0)
        directory.heartbeat(Heartbeat(name, incarnation, 1, load, events), 0)


def timed(
    action: Callable[[int], Any],
    rounds: int = _ROUNDS,
    after: Callable[[int], None] | None = None,
) -> list[float]:
    """Return the time of each round in microseconds, sorted.

    What follows a round is not counted.
    """
    spans = []
    for index in range(rounds):
        began = time.perf_counter_ns()
        action(index)
        spans.append((time.perf_counter_ns() - began) / _NS_PER_US)
        if after is not None:
            after(index)
    return sorted(spans)


def report(name: str, size: int, spans: list[float], **more: Any) -> None:
    """Print one line with the median and the 99th percentile."""
    line = {
        'bench': name,
        'size': size,
        'p50_us': round(spans[len(spans) // 2], 2),
        'p99_us': round(spans[len(spans) * 99 // 100], 2),
        **more,
    }
    print(json.dumps(line), flush=True)


def bench_endpoints(count: int) -> None:
    """Measure the choice of an endpoint and the upkeep of the directory."""
    rng = random.Random(_SEED)
    tracemalloc.start()
    directory = EndpointDirectory(rng)
    fill(directory, count, rng)
    used_bytes = tracemalloc.get_traced_memory()[0] // count
    tracemalloc.stop()
    chooser = EndpointChooser(_REGION, directory, rng)
    requests = [facts_of(index) for index in range(100)]
    held: list[EndpointId] = []

    def route(index: int) -> None:
        facts = requests[index % 100]
        candidate = chooser.choose(facts, frozenset(), 0.0, 10)
        if candidate is not None:
            directory.sent(candidate.endpoint.endpoint_id, 0.0, 10)
            held.append(candidate.endpoint.endpoint_id)
        # The oldest request ends, so that a part of the fleet stays free.
        if len(held) > count:
            outcome = AttemptOutcome(held.pop(0), True, True, 300, 5000, 200)
            directory.ended(outcome, 10)

    report('endpoint_choice', count, timed(route), bytes_each=used_bytes)

    def beat(index: int) -> None:
        name = EndpointId(f'e{index % count}')
        load = LoadReport(index % 9, 0)
        directory.heartbeat(
            Heartbeat(name, Incarnation(1), 2 + index, load), 20
        )

    report('heartbeat', count, timed(beat))
    report('tick', count, timed(lambda index: directory.tick(30), 50))

    def sum_up(index: int) -> None:
        summarise(_REGION, directory, (), index, 3, 30)

    report('summary', count, timed(sum_up, 50))


def region_router(
    count: int, rng: random.Random
) -> tuple[RegionRouter, RegionVmCounts]:
    """Return a router that knows some regions with room."""
    router = RegionRouter(_REGION, {}, rng)
    names = [RegionId(f'r{index}') for index in range(count)]
    for name in names:
        group = GroupSummary(_SERVICE, _MODEL, 10_000, 5000, 5000.0, 0.25)
        router.on_summary(RegionSummary(name, 1, 3, (group,)), 0)
    return router, RegionVmCounts(dict.fromkeys(names, 3), _REGION)


def bench_path(count: int) -> None:
    """Measure the whole path at an entry VM: region, room and endpoint."""
    rng = random.Random(_SEED)
    directory = EndpointDirectory(rng)
    fill(directory, count, rng)
    lanes = Dispatcher(_REGION, directory, rng)
    router, peers = region_router(9, rng)
    requests = [facts_of(number) for number in range(_ROUNDS)]
    held: list[EndpointId] = []

    def route(index: int) -> None:
        facts = requests[index]
        home = lanes.local_estimate(facts, 10)
        router.choose(facts, home, peers, 1.0, 10)
        candidate = lanes.place_now(facts, frozenset(), 10)
        if candidate is not None:
            held.append(candidate.endpoint.endpoint_id)

    def release(index: int) -> None:
        if len(held) > count:
            directory.ended(
                AttemptOutcome(held.pop(0), True, True, 300, 5000, 200), 10
            )

    report('routing_path', count, timed(route, after=release))


def bench_regions(count: int) -> None:
    """Measure the choice of a region under pressure."""
    router, peers = region_router(count, random.Random(_SEED))
    home = LocalEstimate(True, 2000.0, 9000.0)
    requests = [facts_of(index) for index in range(_ROUNDS)]

    def route(index: int) -> None:
        router.choose(requests[index], home, peers, 1.0, 10)

    report('region_choice', count, timed(route))


def bench_admission(customers: int) -> None:
    """Measure queueing and placing with many customers waiting."""
    tracemalloc.start()
    lane = Admission()
    for customer in range(customers):
        lane.charge(facts_of(customer, customers), customer)
    used_bytes = tracemalloc.get_traced_memory()[0] // customers
    tracemalloc.stop()
    capacity = Capacity(8000, 5000.0)
    # Half of the queue is filled; each round adds one and places one.
    waiting = [facts_of(number, customers) for number in range(1000)]
    for facts in waiting:
        lane.offer(facts, frozenset(), capacity, 30_000, 0)
    last = 1000 + _ROUNDS
    more = [facts_of(number, customers) for number in range(1000, last)]

    def fits(ticket: Ticket) -> bool | None:
        return True

    def admit(index: int) -> None:
        lane.offer(more[index], frozenset(), capacity, 30_000, 1)
        next(lane.place(fits, 1))

    report('admission', customers, timed(admit), bytes_each=used_bytes)


def main() -> None:
    """Run all measurements over two decades of sizes."""
    for count in _ENDPOINTS:
        bench_endpoints(count)
        bench_path(count)
    for count in (3, 9, 30):
        bench_regions(count)
    for count in _CUSTOMERS:
        bench_admission(count)


if __name__ == '__main__':
    main()
