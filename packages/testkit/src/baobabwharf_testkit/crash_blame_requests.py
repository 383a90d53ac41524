"""Make up the requests of the simulation of deadly requests."""

import itertools
import random
from typing import final

from baobabwharf_decisions.proxying.request_traits import (
    TraitId,
    Traits,
    is_whole_request,
)

from baobabwharf_testkit.crash_blame_plan import BlamePlan

_POPULAR_PARTS = 3
_SESSIONS = 30
_DOCUMENTS = 100
# Half of the requests to a plain service are reads that callers repeat; the
# others are unlike each other.
_POPULAR_SHARE = 0.5
_POPULAR_VIEWS = 5


@final
class RequestSource:
    """Return the traits of sound and deadly requests of a plan."""

    def __init__(self, plan: BlamePlan, rng: random.Random) -> None:
        self._plan = plan
        self._rng = rng
        self._numbers = itertools.count(1)

    def sound(self) -> Traits:
        """Return a sound request."""
        if self._plan.is_plain:
            return (self._plain_request(),)
        return self._prompt(f'document-{self._rng.randrange(_DOCUMENTS)}')

    def companion(self) -> Traits:
        """Return a sound request with a part that deadly ones hold, too."""
        return self._prompt(str(self._plan.companion))

    def deadly(self, trait_id: str) -> Traits:
        """Return a request with a deadly part, or the deadly request."""
        if is_whole_request(trait_id):
            # The same request has the same prompt each time.
            prompt = () if self._plan.is_plain else ('popular-0', 'session-0')
            return tuple(TraitId(name) for name in (*prompt, trait_id))
        companion = self._plan.companion
        before = () if companion is None else (companion,)
        return self._prompt(*before, trait_id)

    def _prompt(self, *middle: str) -> Traits:
        names = (
            f'popular-{self._rng.randrange(_POPULAR_PARTS)}',
            f'session-{self._rng.randrange(_SESSIONS)}',
            *middle,
        )
        return (*(TraitId(name) for name in names), self._new_request())

    def _plain_request(self) -> TraitId:
        if self._rng.random() < _POPULAR_SHARE:
            return TraitId(f':view-{self._rng.randrange(_POPULAR_VIEWS)}')
        return self._new_request()

    def _new_request(self) -> TraitId:
        return TraitId(f':request-{next(self._numbers)}')
