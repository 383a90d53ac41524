"""Test the state chart interpreter."""

from baobabwharf_core.invariants import InvariantViolation
from baobabwharf_core.statechart import StateChart, compile_chart, load_chart
from behave import then, when
from behave.runner import Context


class StateChartSubject:
    """Hold a loaded state chart."""

    def __init__(self, chart: StateChart) -> None:
        self.chart = chart

    def reachable(self) -> set[str]:
        reached = {self.chart.initial}
        for _state in self.chart.states:
            for (source, _event), target in self.chart.transitions.items():
                if source in reached:
                    reached.add(target)
        return reached

    @staticmethod
    def violates_invariant(document: dict[str, object]) -> bool:
        try:
            compile_chart(document)
        except InvariantViolation:
            return True
        return False


@when('the chart "{name}" is loaded')
def load(context: Context, name: str) -> None:
    context.subject = StateChartSubject(load_chart(name))


@then('every state is reachable')
def all_reachable(context: Context) -> None:
    subject = context.subject
    assert subject.reachable() == subject.chart.states


@then('an unknown event violates an invariant')
def unknown_event(context: Context) -> None:
    chart = context.subject.chart
    try:
        chart.step(chart.initial, 'no_such_event')
    except InvariantViolation:
        return
    raise AssertionError('The unknown event was accepted.')


@then('a chart with an undefined target state violates an invariant')
def undefined_target(context: Context) -> None:
    document: dict[str, object] = {
        'name': 'broken',
        'initial': 'first',
        'states': {'first': {'go': 'nowhere'}},
    }
    assert StateChartSubject.violates_invariant(document)
