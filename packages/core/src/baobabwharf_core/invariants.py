"""Stop the process when an invariant is broken."""

from collections.abc import Callable

ViolationHandler = Callable[[str], None]


class InvariantViolation(AssertionError):
    """Report a broken invariant; only a defect in the program raises it."""


_handlers: list[ViolationHandler] = []


def on_violation(handler: ViolationHandler) -> None:
    """Call a handler before a violation is raised.

    The daemon stops there: a library that catches every exception of a request
    would otherwise let it run on with a broken invariant.
    """
    _handlers.append(handler)


def check_invariant(holds: bool, sentence: str) -> None:
    """Raise InvariantViolation unless the invariant holds."""
    if holds:
        return
    for handler in _handlers:
        handler(sentence)
    raise InvariantViolation(sentence)
