"""Remember which traits of requests were answered, and when."""

from collections.abc import Set as AbstractSet
from typing import final

from baobabwharf_decisions.proxying.request_traits import is_whole_request

# How long and for how many traits of each kind a VM remembers answers.
_RETENTION_MS = 600_000
_MAX_TRAITS = 4096


@final
class TraitProofs:
    """Hold the last answers of this VM; the kinds don't displace each other.

    Most requests are unlike all others, but share the parts of their prompts.
    """

    def __init__(self) -> None:
        self._shared: dict[str, int] = {}
        self._whole: dict[str, int] = {}

    def note(self, trait_id: str, now_ms: int) -> None:
        """Record an answer; the oldest is forgotten at the cap."""
        table = self._table(trait_id)
        table.pop(trait_id, None)
        table[trait_id] = now_ms
        if len(table) > _MAX_TRAITS:
            table.pop(next(iter(table)))

    def find_ms(self, trait_id: str) -> int | None:
        """Return the time of the last answer."""
        return self._table(trait_id).get(trait_id)

    def of_suspects(self, suspects: AbstractSet[str]) -> dict[str, int]:
        """Return the answers to suspected traits."""
        return {
            trait_id: table[trait_id]
            for table in (self._shared, self._whole)
            for trait_id in table.keys() & suspects
        }

    def drop_expired(self, now_ms: int) -> None:
        """Forget answers that are too old."""
        for table in (self._shared, self._whole):
            while table:
                oldest = next(iter(table))
                if now_ms - table[oldest] < _RETENTION_MS:
                    break
                table.pop(oldest)

    def _table(self, trait_id: str) -> dict[str, int]:
        return self._whole if is_whole_request(trait_id) else self._shared
