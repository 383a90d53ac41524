"""Stop the process when an invariant is broken."""


class InvariantViolation(AssertionError):
    """Report a broken invariant; only a defect in the program raises it."""


def check_invariant(holds: bool, sentence: str) -> None:
    """Raise InvariantViolation unless the invariant holds."""
    if not holds:
        raise InvariantViolation(sentence)
