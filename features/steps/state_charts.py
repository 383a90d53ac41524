"""Exercise the state chart interpreter."""

from baobabwharf_core.invariants import InvariantViolation
from baobabwharf_core.statechart import StateChart, compile_chart, load_chart
from behave import then, when
from behave.runner import Context


class StateChartSubject:
    """Hold one loaded chart."""

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
    def breaks(document: dict[str, object]) -> bool:
        try:
            compile_chart(document)
        except InvariantViolation:
            return True
        return False


@when('the chart "{name}" is loaded')
def load(context: Context, name: str) -> None:
    context.subject = StateChartSubject(load_chart(name))


@then('every state of it can be reached')
def all_reached(context: Context) -> None:
    subject = context.subject
    assert subject.reachable() == subject.chart.states


@then('an event that it does not name breaks an invariant')
def unknown_event(context: Context) -> None:
    chart = context.subject.chart
    try:
        chart.step(chart.initial, 'no_such_event')
    except InvariantViolation:
        return
    raise AssertionError('The unknown event was accepted.')


@then('a chart that leads to a missing state breaks an invariant')
def missing_state(context: Context) -> None:
    document: dict[str, object] = {
        'name': 'broken',
        'initial': 'first',
        'states': {'first': {'go': 'nowhere'}},
    }
    assert StateChartSubject.breaks(document)
