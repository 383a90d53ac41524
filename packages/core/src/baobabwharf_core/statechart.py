"""Load state charts from JSON files and compile them into tables."""

import json
from importlib import resources

from baobabwharf_core.invariants import check_invariant


class StateChart:
    """Hold a compiled chart: one table from (state, event) to state."""

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
        """Tell whether no event leaves the state."""
        return state in self._final

    def accepts(self, state: str, event: str) -> bool:
        """Tell whether the event is allowed in the state."""
        return (state, event) in self._table

    def step(self, state: str, event: str) -> str:
        """Return the next state; an event not in the chart is a defect."""
        following = self._table.get((state, event))
        if following is None:
            check_invariant(
                False,
                f'Chart {self._name} has no event {event} in state {state}.',
            )
            return state
        return following


def compile_chart(document: dict[str, object]) -> StateChart:
    """Validate and compile a chart document."""
    name = str(document['name'])
    states = document['states']
    check_invariant(isinstance(states, dict), f'{name}: states is no object.')
    assert isinstance(states, dict)
    initial = str(document['initial'])
    check_invariant(initial in states, f'{name}: initial state is missing.')
    table = {
        (source, event): following
        for source, events in states.items()
        for event, following in events.items()
    }
    for following in table.values():
        check_invariant(following in states, f'{name}: no state {following}.')
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
        for (source, _event), following in table.items():
            if source == state and following not in reached:
                reached.add(following)
                frontier.append(following)
    missing = sorted(states - reached)
    check_invariant(not missing, f'{name}: unreachable states {missing}.')
