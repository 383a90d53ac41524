"""Name the deliberate faults that the checks must catch."""

import enum


class Fault(enum.Enum):
    """Break one rule of the simulated owner of the core."""

    NONE = 'none'
    ACK_BEFORE_SYNC = 'ack-before-sync'
    NO_PRE_VOTE = 'no-pre-vote'
    VOTE_NOT_PERSISTED = 'vote-not-persisted'
    STALE_READ = 'stale-read'
    OLD_REVISION_ACCEPTED = 'old-revision-accepted'


class CheckFailed(AssertionError):
    """Report a broken property; check names it."""

    def __init__(self, check: str, sentence: str) -> None:
        super().__init__(f'{check}: {sentence}')
        self.check = check


def require(holds: bool, check: str, sentence: str) -> None:
    """Raise CheckFailed unless the property holds."""
    if not holds:
        raise CheckFailed(check, sentence)
