"""Abort the process on a defect, so that it never runs on corrupt state."""

import asyncio
import os
from collections.abc import Coroutine, Iterator
from contextlib import contextmanager
from typing import Any

from baobabwharf_core.invariants import InvariantViolation

from baobabwharf_daemon.log import get_logger

# EX_SOFTWARE of sysexits.h.  The stored files are crash-safe, so no orderly
# shutdown is attempted.
EXIT_SOFTWARE_ERROR = 70

_log = get_logger('daemon')


def abort_process(error: BaseException) -> None:
    """Log a defect and exit at once, without cleanup."""
    _log.critical(
        'Aborting on an internal error.', exc_info=error, stack_info=True
    )
    os._exit(EXIT_SOFTWARE_ERROR)


@contextmanager
def abort_on_invariant_violation() -> Iterator[None]:
    """Abort the process when the block violates an invariant."""
    try:
        yield
    except InvariantViolation as error:
        abort_process(error)


def spawn(coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
    """Start a background task; an exception in it aborts the process."""
    task = asyncio.create_task(coroutine)
    task.add_done_callback(_abort_on_error)
    return task


def _abort_on_error(task: asyncio.Task[None]) -> None:
    if task.cancelled():
        return
    error = task.exception()
    if error is not None:
        abort_process(error)
