"""Prepare each scenario with its own temporary folder and processes."""

import tempfile
from pathlib import Path

from behave.model import Scenario
from behave.runner import Context


def before_scenario(context: Context, scenario: Scenario) -> None:
    context.folder = tempfile.TemporaryDirectory(prefix='baobabwharf-')
    context.path = Path(context.folder.name)
    # Runs last, after the processes that write to the folder were ended; the
    # hook after a scenario runs before all clean-ups.
    context.add_cleanup(context.folder.cleanup)
