"""Return the asyncio task that handles a request."""

import asyncio
from typing import Any


def current_task() -> asyncio.Task[Any]:
    """Return the running task; must be called from within a task."""
    task = asyncio.current_task()
    assert task is not None
    return task
