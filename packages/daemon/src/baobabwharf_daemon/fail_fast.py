"""Stop the process on a defect, so that it does not go on with broken state."""

import asyncio
import os
from collections.abc import Coroutine, Iterator
from contextlib import contextmanager
from typing import Any

from baobabwharf_core.invariants import InvariantViolation

from baobabwharf_daemon.log import get_logger

# The files survive a stop at any moment, so no orderly stop is tried.
EXIT_DEFECT = 70

_log = get_logger('daemon')


def abort_process(fault: BaseException) -> None:
    """Log a defect and end the process at once."""
    _log.critical(
        'The process stops on a defect.', exc_info=fault, stack_info=True
    )
    os._exit(EXIT_DEFECT)


@contextmanager
def abort_on_invariant_violation() -> Iterator[None]:
    """Stop the process when the block breaks an invariant."""
    try:
        yield
    except InvariantViolation as fault:
        abort_process(fault)


def spawn(work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
    """Run a loop that must not end; an exception stops the process."""
    task = asyncio.create_task(work)
    task.add_done_callback(_check)
    return task


def _check(task: asyncio.Task[None]) -> None:
    if task.cancelled():
        return
    fault = task.exception()
    if fault is not None:
        abort_process(fault)
