"""Run the schedule test of the consensus core in separate processes."""

import re
import subprocess
import sys

from behave import then, when
from behave.runner import Context


class ScheduleSubject:
    """Run the schedule test once and hold its report."""

    def __init__(self, seeds: str, start: str, fault: str) -> None:
        self.arguments = [
            f'--seeds={seeds}',
            f'--start={start}',
            f'--fault={fault}',
            '--jobs=4',
        ]
        self.report = self.run()

    def run(self) -> str:
        module = 'baobabwharf_testkit.consensus_fuzz'
        completed = subprocess.run(
            [sys.executable, '-m', module, *self.arguments],
            capture_output=True,
            text=True,
            check=False,
        )
        assert not completed.stderr, completed.stderr
        return completed.stdout

    @staticmethod
    def trace(report: str) -> str:
        found = re.search('trace ([0-9a-f]+)', report)
        assert found, report
        return found.group(1)


@when(
    '{seeds} consensus schedules from seed {start} run with the fault "{fault}"'
)
def run_schedules(context: Context, seeds: str, start: str, fault: str) -> None:
    context.schedule = ScheduleSubject(seeds, start, fault)
    print(context.schedule.report.splitlines()[-2])


@then('no consensus check is broken')
def none_broken(context: Context) -> None:
    report = context.schedule.report
    assert ', 0 failed,' in report, report


@then('the same consensus schedules give the same trace again')
def same_trace(context: Context) -> None:
    subject = context.schedule
    assert subject.trace(subject.report) == subject.trace(subject.run())


@then('the consensus check "{check}" has caught it')
def caught(context: Context, check: str) -> None:
    report = context.schedule.report
    assert f'caught by {check}:' in report, report
