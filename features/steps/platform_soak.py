"""Run the soak test of the platform's programs as a process."""

import subprocess
import sys

from behave import then, when
from behave.runner import Context

# Start, faults and recovery take less; a hanging soak must not block the tests.
_TIMEOUT_S = 240


@when('the platform soak runs for {seconds:d} s with seed {seed:d}')
def run_soak(context: Context, seconds: int, seed: int) -> None:
    context.soak = subprocess.run(
        [
            sys.executable,
            '-m',
            'baobabwharf_soak',
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


@then('the soak reports no violation')
def no_violation(context: Context) -> None:
    # Without output the soak ended before its first fault.
    shown = context.soak.stdout[-4000:] or context.soak.stderr[-4000:]
    assert context.soak.returncode == 0, shown
