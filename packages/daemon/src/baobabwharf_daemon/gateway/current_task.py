"""Name the task that handles a request."""

import asyncio
from typing import Any


def current_task() -> asyncio.Task[Any]:
    """Return the task that runs now."""
    task = asyncio.current_task()
    assert task is not None
    return task
