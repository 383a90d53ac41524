"""Plan the assignment of models and roles to engines."""

import math

import msgspec
from baobabwharf_core.ids import EndpointId, FencingToken, RegionId

from baobabwharf_decisions.capacity_model import (
    COOLDOWN_MS,
    Assignment,
    Demand,
    Engine,
    Order,
    OrderKind,
    PlanState,
    WeightStore,
)

# Share of the slots that planned demand may fill; the rest absorbs bursts.
_PLANNED_UTILISATION = 0.7
# A shortage must last this long before a drain begins; shorter peaks end before
# the weights are loaded.
HYSTERESIS_MS = 60_000

Needs = dict[tuple[RegionId, Assignment], int]


class Plan(msgspec.Struct, frozen=True):
    """Hold the next planner state and the orders to send now."""

    state: PlanState
    orders: tuple[Order, ...]


def plan(
    state: PlanState,
    engines: tuple[Engine, ...],
    demands: tuple[Demand, ...],
    store: WeightStore,
    token: FencingToken,
    now_ms: int,
) -> Plan:
    """Return the orders that bring the assignments closer to the demand.

    In each region one engine changes at a time, and the weight store serves
    one load at a time.
    """
    needs = {
        (demand.region, demand.assignment): _engines_needed(demand, engines)
        for demand in demands
    }
    shortages = _shortages_since(state, engines, needs, now_ms)
    loads, free_ms = _loads(engines, needs, store, token, state, now_ms)
    drains = _drains(engines, needs, shortages, token, now_ms)
    return Plan(PlanState(shortages, free_ms), (*loads, *drains))


def _loads(
    engines: tuple[Engine, ...],
    needs: Needs,
    store: WeightStore,
    token: FencingToken,
    state: PlanState,
    now_ms: int,
) -> tuple[list[Order], int]:
    """Return the load orders that the weight store can serve now."""
    loads: list[Order] = []
    free_ms = state.store_free_ms
    for engine in engines:
        if _drained(engine) and now_ms >= free_ms:
            loads.append(_load(engine, engines, needs, token))
            free_ms = now_ms + _load_ms(engine, loads[-1].assignment, store)
    return loads, free_ms


def _drains(
    engines: tuple[Engine, ...],
    needs: Needs,
    shortages: dict[tuple[RegionId, Assignment], int],
    token: FencingToken,
    now_ms: int,
) -> list[Order]:
    drains: list[Order] = []
    for region, assignment in _lasting_shortages(shortages, now_ms):
        engine = _engine_to_drain(engines, needs, region, assignment, now_ms)
        if engine is not None:
            name = engine.endpoint_id
            drains.append(Order(name, OrderKind.DRAIN, assignment, token))
            # At most one change per region until this drain is reported.
            engines = tuple(each for each in engines if each.region != region)
    return drains


def _engines_needed(demand: Demand, engines: tuple[Engine, ...]) -> int:
    slots = [each.slots for each in engines if each.region == demand.region]
    if not slots or demand.slots <= 0:
        return 0
    planned = sum(slots) / len(slots) * _PLANNED_UTILISATION
    # A region with demand for a model keeps at least one engine for it.
    return max(1, math.ceil(demand.slots / planned))


def _count_serving(
    engines: tuple[Engine, ...], region: RegionId, assignment: Assignment
) -> int:
    """Return the number of engines that serve an assignment now."""
    return sum(
        engine.region == region
        and engine.assignment == assignment
        and engine.usable
        and engine.draining_to is None
        for engine in engines
    )


def _count_draining_to(
    engines: tuple[Engine, ...], region: RegionId, assignment: Assignment
) -> int:
    return sum(
        engine.region == region and engine.draining_to == assignment
        for engine in engines
    )


def _shortages_since(
    state: PlanState,
    engines: tuple[Engine, ...],
    needs: Needs,
    now_ms: int,
) -> dict[tuple[RegionId, Assignment], int]:
    """Return when each current shortage of engines began."""
    return {
        key: state.shortage_since_ms.get(key, now_ms)
        for key, need in needs.items()
        if _count_serving(engines, *key) + _count_draining_to(engines, *key)
        < need
    }


def _lasting_shortages(
    shortages: dict[tuple[RegionId, Assignment], int], now_ms: int
) -> list[tuple[RegionId, Assignment]]:
    lasting = [
        (since_ms, key)
        for key, since_ms in shortages.items()
        if now_ms - since_ms >= HYSTERESIS_MS
    ]
    return [key for _since, key in sorted(lasting)]


def _engine_to_drain(
    engines: tuple[Engine, ...],
    needs: Needs,
    region: RegionId,
    assignment: Assignment,
    now_ms: int,
) -> Engine | None:
    """Return the spare engine with the fewest running requests, if any."""
    local = [engine for engine in engines if engine.region == region]
    if any(engine.draining_to is not None for engine in local):
        return None
    spare = [
        engine
        for engine in local
        if engine.usable
        and engine.assignment != assignment
        and now_ms - engine.changed_ms >= COOLDOWN_MS
        and _is_spare(engines, needs, engine)
    ]
    return min(spare, key=_running, default=None)


def _is_spare(
    engines: tuple[Engine, ...],
    needs: Needs,
    engine: Engine,
) -> bool:
    key = (engine.region, engine.assignment)
    return _count_serving(engines, *key) > needs.get(key, 0)


def _drained(engine: Engine) -> bool:
    return engine.draining_to is not None and engine.running == 0


def _load(
    engine: Engine,
    engines: tuple[Engine, ...],
    needs: Needs,
    token: FencingToken,
) -> Order:
    """Return the load order for a drained engine.

    The engine keeps its old assignment if no other engine serves that any more.
    """
    key = (engine.region, engine.assignment)
    assignment = engine.draining_to or engine.assignment
    if needs.get(key, 0) > 0 and _count_serving(engines, *key) == 0:
        assignment = engine.assignment
    return Order(engine.endpoint_id, OrderKind.LOAD, assignment, token)


def _load_ms(engine: Engine, assignment: Assignment, store: WeightStore) -> int:
    """Return how long the store is busy; a role change loads no weights."""
    if assignment.model == engine.assignment.model:
        return 0
    size = store.model_bytes.get(assignment.model, 0)
    return math.ceil(size / store.bytes_per_s * 1000)


def _running(engine: Engine) -> tuple[int, EndpointId]:
    return (engine.running, engine.endpoint_id)
