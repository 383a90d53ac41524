"""Plan which models and roles engines should have."""

import math

import msgspec
from baobabwharf_core.ids import EndpointId, FencingToken, RegionId

from baobabwharf_decisions.capacity_model import (
    SETTLE_MS,
    Demand,
    Engine,
    Order,
    OrderKind,
    PlanState,
    WeightStore,
    Work,
)

# Engines are planned for this part of their slots, so that bursts find room.
_PLANNED_SHARE = 0.7
# A plan must be wanted for this long before a drain begins; shorter peaks end
# before the weights are loaded.
HYSTERESIS_MS = 60_000

Needs = dict[tuple[RegionId, Work], int]


class Plan(msgspec.Struct, frozen=True):
    """Hold the next state and the orders to send now."""

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
    """Return the orders that bring engines nearer to the demand.

    One engine at a time changes in each region, and the weight store serves
    one load at a time.
    """
    needs = {
        (demand.region, demand.work): _engines_needed(demand, engines)
        for demand in demands
    }
    wanted = _wanted_since(state, engines, needs, now_ms)
    loads, free_ms = _loads(engines, needs, store, token, state, now_ms)
    drains = _drains(engines, needs, wanted, token, now_ms)
    return Plan(PlanState(wanted, free_ms), (*loads, *drains))


def _loads(
    engines: tuple[Engine, ...],
    needs: Needs,
    store: WeightStore,
    token: FencingToken,
    state: PlanState,
    now_ms: int,
) -> tuple[list[Order], int]:
    """Return the loads that the weight store can serve now."""
    loads: list[Order] = []
    free_ms = state.store_free_ms
    for engine in engines:
        if _drained(engine) and now_ms >= free_ms:
            loads.append(_load(engine, engines, needs, token))
            free_ms = now_ms + _load_ms(engine, loads[-1].work, store)
    return loads, free_ms


def _drains(
    engines: tuple[Engine, ...],
    needs: Needs,
    wanted: dict[tuple[RegionId, Work], int],
    token: FencingToken,
    now_ms: int,
) -> list[Order]:
    drains: list[Order] = []
    for region, work in _ripe(wanted, now_ms):
        donor = _donor(engines, needs, region, work, now_ms)
        if donor is not None:
            name = donor.endpoint_id
            drains.append(Order(name, OrderKind.DRAIN, work, token))
            # The next change of the region waits until this one is seen.
            engines = tuple(each for each in engines if each.region != region)
    return drains


def _engines_needed(demand: Demand, engines: tuple[Engine, ...]) -> int:
    slots = [each.slots for each in engines if each.region == demand.region]
    if not slots or demand.slots <= 0:
        return 0
    planned = sum(slots) / len(slots) * _PLANNED_SHARE
    # A region that needs a model keeps at least one engine for it.
    return max(1, math.ceil(demand.slots / planned))


def _count(engines: tuple[Engine, ...], region: RegionId, work: Work) -> int:
    """Return the engines that serve a model now."""
    return sum(
        engine.region == region
        and engine.work == work
        and engine.usable
        and engine.draining_to is None
        for engine in engines
    )


def _coming(engines: tuple[Engine, ...], region: RegionId, work: Work) -> int:
    return sum(
        engine.region == region and engine.draining_to == work
        for engine in engines
    )


def _wanted_since(
    state: PlanState,
    engines: tuple[Engine, ...],
    needs: Needs,
    now_ms: int,
) -> dict[tuple[RegionId, Work], int]:
    """Return since when each region has too few engines for a model."""
    return {
        key: state.wanted_since_ms.get(key, now_ms)
        for key, need in needs.items()
        if _count(engines, *key) + _coming(engines, *key) < need
    }


def _ripe(
    wanted: dict[tuple[RegionId, Work], int], now_ms: int
) -> list[tuple[RegionId, Work]]:
    ripe = [
        (since_ms, key)
        for key, since_ms in wanted.items()
        if now_ms - since_ms >= HYSTERESIS_MS
    ]
    return [key for _since, key in sorted(ripe)]


def _donor(
    engines: tuple[Engine, ...],
    needs: Needs,
    region: RegionId,
    work: Work,
    now_ms: int,
) -> Engine | None:
    """Return the engine that is spared most easily."""
    local = [engine for engine in engines if engine.region == region]
    if any(engine.draining_to is not None for engine in local):
        return None
    spare = [
        engine
        for engine in local
        if engine.usable
        and engine.work != work
        and now_ms - engine.changed_ms >= SETTLE_MS
        and _may_lose(engines, needs, engine)
    ]
    return min(spare, key=_running, default=None)


def _may_lose(
    engines: tuple[Engine, ...],
    needs: Needs,
    engine: Engine,
) -> bool:
    key = (engine.region, engine.work)
    return _count(engines, *key) > needs.get(key, 0)


def _drained(engine: Engine) -> bool:
    return engine.draining_to is not None and engine.running == 0


def _load(
    engine: Engine,
    engines: tuple[Engine, ...],
    needs: Needs,
    token: FencingToken,
) -> Order:
    """Return the order for the next work of a drained engine.

    It takes its old work again when all others that did it are lost.
    """
    key = (engine.region, engine.work)
    work = engine.draining_to or engine.work
    if needs.get(key, 0) > 0 and _count(engines, *key) == 0:
        work = engine.work
    return Order(engine.endpoint_id, OrderKind.LOAD, work, token)


def _load_ms(engine: Engine, work: Work, store: WeightStore) -> int:
    """Return how long the store is busy; a change of role loads nothing."""
    if work.model == engine.work.model:
        return 0
    size = store.model_bytes.get(work.model, 0)
    return math.ceil(size / store.bytes_per_s * 1000)


def _running(engine: Engine) -> tuple[int, EndpointId]:
    return (engine.running, engine.endpoint_id)
