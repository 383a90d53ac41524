"""Prepare each scenario with its own temporary folder and processes."""

import tempfile
from pathlib import Path

from behave.model import Scenario
from behave.runner import Context


def before_scenario(context: Context, scenario: Scenario) -> None:
    context.folder = tempfile.TemporaryDirectory(prefix='baobabwharf-')
    context.path = Path(context.folder.name)
    # The first clean-up runs last, so that processes no longer write there.
    context.add_cleanup(context.folder.cleanup)
