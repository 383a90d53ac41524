"""Check invariants and report violations."""

from collections.abc import Callable

ViolationHandler = Callable[[str], None]


class InvariantViolation(AssertionError):
    """Raised when an invariant is violated, which only a defect can cause."""


_handlers: list[ViolationHandler] = []


def on_violation(handler: ViolationHandler) -> None:
    """Register a handler to call before InvariantViolation is raised.

    The daemon ends the process in its handler.  Otherwise a library that
    catches every exception of a request would let the process continue with a
    violated invariant.
    """
    _handlers.append(handler)


def check_invariant(condition: bool, message: str) -> None:
    """Raise InvariantViolation unless the condition is true."""
    if condition:
        return
    for handler in _handlers:
        handler(message)
    raise InvariantViolation(message)
