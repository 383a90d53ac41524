"""Test the capacity planner."""

import random
from unittest import mock

import msgspec
from baobabwharf_decisions.capacity import plan
from baobabwharf_decisions.capacity_model import (
    Assignment,
    Demand,
    Engine,
    OrderKind,
    PlanState,
    WeightStore,
)
from behave import then, when
from behave.runner import Context

ONE = Assignment('one')
TWO = Assignment('two')
STORE = WeightStore(1e9, {'one': 10**10, 'two': 10**10})


def engines_of(count: int, assignment: Assignment = ONE) -> tuple[Engine, ...]:
    return tuple(
        Engine(f'e{index}', 'a', assignment, 8, index) for index in range(count)
    )


@when('capacity sees demand for a second model for {seconds:d} s')
def sees_demand(context: Context, seconds: int) -> None:
    demands = (Demand('a', ONE, 8), Demand('a', TWO, 4))
    engines = engines_of(4)
    first = plan(PlanState(), engines, demands, STORE, 7, 0)
    assert not first.orders
    now_ms = seconds * 1000
    context.demands = demands
    context.now_ms = now_ms
    context.plan = plan(first.state, engines, demands, STORE, 7, now_ms)


@then('capacity gives no order')
def no_order(context: Context) -> None:
    assert not context.plan.orders


@then('capacity drains exactly one engine with the fencing token {token:d}')
def drains_one(context: Context, token: int) -> None:
    (order,) = context.plan.orders
    assert order.kind is OrderKind.DRAIN
    assert order.endpoint_id == 'e0', (
        'the engine with the fewest running requests'
    )
    assert order.fencing_token == token


@then('capacity loads the second model only once that engine is empty')
def loads_empty(context: Context) -> None:
    engines = list(engines_of(4))
    for running, expected in ((3, []), (0, [OrderKind.LOAD])):
        engines[0] = msgspec.structs.replace(
            engines[0], running=running, draining_to=TWO
        )
        following = plan(
            context.plan.state,
            tuple(engines),
            context.demands,
            STORE,
            7,
            context.now_ms,
        )
        assert [order.kind for order in following.orders] == expected


@then('capacity starts a second load only when the first has left the store')
def limits_load_rate(context: Context) -> None:
    engines = tuple(
        msgspec.structs.replace(engine, region=region, draining_to=TWO)
        for engine, region in zip(engines_of(2), ('a', 'b'), strict=True)
    )
    engines = tuple(
        msgspec.structs.replace(engine, running=0) for engine in engines
    )
    first = plan(PlanState(), engines, (), STORE, 7, 0)
    assert len(first.orders) == 1, first.orders
    rest = engines[1:]
    # 10 GB at 1 GB/s occupy the store for 10 s.
    assert not plan(first.state, rest, (), STORE, 7, 9999).orders
    assert len(plan(first.state, rest, (), STORE, 7, 10_000).orders) == 1


class PlanRun:
    """Execute the orders of the planner under randomly changing demand."""

    def __init__(self, seed: int) -> None:
        print(f'capacity: seed {seed}')
        self.rng = random.Random(seed)
        self.unserved = 0
        self.changes = 0
        self.engines = {
            f'{region}{index}': Engine(
                f'{region}{index}', region, (ONE, TWO)[index % 2], 8, 1
            )
            for region in 'ab'
            for index in range(4)
        }

    def run(self, count: int) -> None:
        state = PlanState()
        demands = self.demands()
        for step in range(count):
            if step % 15 == 0:
                demands = self.demands()
            now_ms = step * 30_000
            engines = tuple(self.engines.values())
            served = self.served()
            done = plan(state, engines, demands, STORE, 1, now_ms)
            state = done.state
            for order in done.orders:
                self.execute(order, now_ms)
            lost = served - self.served()
            needed = {(each.region, each.assignment) for each in demands}
            self.unserved += bool(lost & needed)
            self.finish_some()

    def demands(self) -> tuple[Demand, ...]:
        return tuple(
            Demand(region, assignment, self.rng.choice((2, 8, 16, 24)))
            for region in 'ab'
            for assignment in (ONE, TWO)
        )

    def served(self) -> set:
        return {
            (engine.region, engine.assignment)
            for engine in self.engines.values()
            if engine.draining_to is None
        }

    def execute(self, order, now_ms: int) -> None:
        engine = self.engines[order.endpoint_id]
        if order.kind is OrderKind.DRAIN:
            assert engine.draining_to is None
            changed = {'draining_to': order.assignment}
        else:
            assert engine.running == 0, 'loaded before it was drained'
            self.changes += 1
            changed = {
                'assignment': order.assignment,
                'draining_to': None,
                'changed_ms': now_ms,
                'running': 1,
            }
        self.engines[order.endpoint_id] = msgspec.structs.replace(
            engine, **changed
        )

    def finish_some(self) -> None:
        for name, engine in self.engines.items():
            if engine.draining_to is not None and self.rng.random() < 0.5:
                self.engines[name] = msgspec.structs.replace(engine, running=0)


@when('capacity runs {count:d} random plans from seed {seed:d}')
def run_plans(context: Context, count: int, seed: int) -> None:
    context.run = PlanRun(seed)
    context.run.run(count)


@when(
    'capacity runs {count:d} random plans that take any engine '
    'from seed {seed:d}'
)
def run_greedy(context: Context, count: int, seed: int) -> None:
    context.run = PlanRun(seed)
    with mock.patch(
        'baobabwharf_decisions.capacity._is_spare',
        lambda engines, needs, engine: True,
    ):
        context.run.run(count)


@then('capacity never left a needed model without an engine')
def always_served(context: Context) -> None:
    assert context.run.unserved == 0, context.run.unserved


@then('capacity left a needed model without an engine')
def not_served(context: Context) -> None:
    assert context.run.unserved > 0


@then('capacity changed engines at least once')
def changed(context: Context) -> None:
    assert context.run.changes > 0
