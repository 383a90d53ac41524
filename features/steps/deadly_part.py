"""Run the soak with a deadly prompt part and sort its violations."""

import functools
import subprocess
import sys

from behave import then, when
from behave.runner import Context

_TIMEOUT_S = 240
_LABEL = 'VIOLATION: '
_CONTAINMENT = 'containment'
_SOUND_PROMPTS = 'sound prompts'
_OTHER = 'other guarantees'
# How the violations of a guarantee begin; all else is another guarantee.
_BEGINNINGS = {
    'Containment: ': _CONTAINMENT,
    'Sound prompts: ': _SOUND_PROMPTS,
}


class DeadlyPartRun:
    """Hold the output of a run."""

    def __init__(self, seconds: int, seed: int) -> None:
        self._process = subprocess.run(
            [
                sys.executable,
                '-m',
                'baobabwharf_soak',
                '--deadly-part',
                '--seconds',
                str(seconds),
                '--seeds',
                str(seed),
            ],
            capture_output=True,
            text=True,
            timeout=_TIMEOUT_S,
            check=False,
        )

    @property
    def output(self) -> str:
        return (self._process.stdout + self._process.stderr)[-4000:]

    @property
    def is_complete(self) -> bool:
        violated = bool(self._violations)
        return self._process.returncode == violated and (
            'seeds, failed: ' in self._process.stdout
        )

    def violations_about(self, guarantee: str) -> list[str]:
        return [
            violation
            for violation in self._violations
            if _guarantee_of(violation) == guarantee
        ]

    @property
    def _violations(self) -> list[str]:
        lines = self._process.stdout.splitlines()
        return [line.partition(_LABEL)[2] for line in lines if _LABEL in line]


def _guarantee_of(violation: str) -> str:
    for beginning, guarantee in _BEGINNINGS.items():
        if violation.startswith(beginning):
            return guarantee
    return _OTHER


@functools.cache
def _run(seconds: int, seed: int) -> DeadlyPartRun:
    return DeadlyPartRun(seconds, seed)


@when('the soak with a deadly part runs for {seconds:d} s with seed {seed:d}')
def run_deadly_part(context: Context, seconds: int, seed: int) -> None:
    context.deadly_run = _run(seconds, seed)


@then('the soak reports no violation about {guarantee}')
def no_violation_about(context: Context, guarantee: str) -> None:
    assert guarantee in (_CONTAINMENT, _SOUND_PROMPTS, _OTHER), guarantee
    run = context.deadly_run
    assert run.is_complete, run.output
    violations = run.violations_about(guarantee)
    assert not violations, '\n'.join(violations)
