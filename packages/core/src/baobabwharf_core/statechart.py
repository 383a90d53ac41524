"""Load state charts from JSON files and compile them to transition tables."""

import json
from importlib import resources

from baobabwharf_core.invariants import check_invariant


class StateChart:
    """Hold a compiled chart: a table that maps (state, event) to a state."""

    def __init__(
        self,
        name: str,
        initial: str,
        table: dict[tuple[str, str], str],
        final: frozenset[str],
    ) -> None:
        self._name = name
        self._initial = initial
        self._table = table
        self._final = final

    @property
    def name(self) -> str:
        """Return the name of the chart."""
        return self._name

    @property
    def initial(self) -> str:
        """Return the initial state."""
        return self._initial

    @property
    def states(self) -> frozenset[str]:
        """Return all states."""
        sources = {source for source, _event in self._table}
        return frozenset(sources | set(self._table.values()) | self._final)

    @property
    def transitions(self) -> dict[tuple[str, str], str]:
        """Return the transition table."""
        return dict(self._table)

    def is_final(self, state: str) -> bool:
        """Return whether the state has no transitions."""
        return state in self._final

    def accepts(self, state: str, event: str) -> bool:
        """Return whether the event is allowed in the state."""
        return (state, event) in self._table

    def step(self, state: str, event: str) -> str:
        """Return the next state; an event not in the chart is a defect."""
        next_state = self._table.get((state, event))
        if next_state is None:
            check_invariant(
                False,
                f'State chart {self._name}: no event {event} in state {state}.',
            )
            return state
        return next_state


def compile_chart(document: dict[str, object]) -> StateChart:
    """Validate and compile a chart document."""
    name = str(document['name'])
    states = document['states']
    check_invariant(
        isinstance(states, dict),
        f'State chart {name}: "states" is not an object.',
    )
    assert isinstance(states, dict)
    initial = str(document['initial'])
    check_invariant(
        initial in states,
        f'State chart {name}: the initial state is not defined.',
    )
    table = {
        (source, event): target
        for source, events in states.items()
        for event, target in events.items()
    }
    for target in table.values():
        check_invariant(
            target in states, f'State chart {name}: no state {target}.'
        )
    final = frozenset(source for source, events in states.items() if not events)
    _check_reachable(name, initial, table, frozenset(states))
    return StateChart(name, initial, table, final)


def load_chart(name: str) -> StateChart:
    """Load a chart of this package by name."""
    path = resources.files('baobabwharf_core').joinpath(
        'charts', f'{name}.json'
    )
    return compile_chart(json.loads(path.read_text()))


def _check_reachable(
    name: str,
    initial: str,
    table: dict[tuple[str, str], str],
    states: frozenset[str],
) -> None:
    reached = {initial}
    frontier = [initial]
    while frontier:
        state = frontier.pop()
        for (source, _event), target in table.items():
            if source == state and target not in reached:
                reached.add(target)
                frontier.append(target)
    unreachable = sorted(states - reached)
    check_invariant(
        not unreachable,
        f'State chart {name}: unreachable states {unreachable}.',
    )
