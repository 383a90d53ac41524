"""Define deliberate defects that the checks must detect."""

import enum


class Fault(enum.Enum):
    """Select a rule that the simulated replicas or watchers violate."""

    NONE = 'none'
    ACK_BEFORE_SYNC = 'ack-before-sync'
    NO_PRE_VOTE = 'no-pre-vote'
    VOTE_NOT_PERSISTED = 'vote-not-persisted'
    STALE_READ = 'stale-read'
    OLD_REVISION_ACCEPTED = 'old-revision-accepted'


class CheckFailed(AssertionError):
    """Report a violated property, which `check` names."""

    def __init__(self, check: str, message: str) -> None:
        super().__init__(f'{check}: {message}')
        self.check = check


def require(condition: bool, check: str, message: str) -> None:
    """Raise CheckFailed unless the property holds."""
    if not condition:
        raise CheckFailed(check, message)
