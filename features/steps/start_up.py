"""Start the platform's program up to the reading of its settings."""

import os
import subprocess
import sys

from behave import then, when
from behave.runner import Context

_SCRIPT = """
import gc, runpy
try:
    runpy.run_path('platform/run.py')
except SystemExit as ended:
    print(ended.code, gc.isenabled(), gc.get_freeze_count())
"""
_EXIT_BAD_SETTINGS = 2


@when('the program of the platform has imported its code and finds no settings')
def start(context: Context) -> None:
    environment = {**os.environ, 'BAOBABWHARF_SETTINGS': '/nonexistent'}
    ended = subprocess.run(
        [sys.executable, '-c', _SCRIPT],
        capture_output=True,
        text=True,
        timeout=60,
        check=True,
        env=environment,
    )
    code, is_on, left_out = ended.stdout.split()
    assert int(code) == _EXIT_BAD_SETTINGS, ended.stderr
    context.collector = (is_on, int(left_out))


@then('its collector is on and leaves out more than {count:d} objects')
def leaves_out(context: Context, count: int) -> None:
    is_on, left_out = context.collector
    assert is_on == 'True'
    assert left_out > count, left_out
