"""Keep the granted requests of an engine within its memory.

An engine crashes when the prompts and answers that it holds exceed its memory,
and all its requests are lost.

Load pattern: many long prompts with long answers, where slots remain free.
"""

from collections.abc import Sequence
from typing import final

import msgspec
from baobabwharf_core.ids import EndpointId

from baobabwharf_decisions.proxying.endpoint_load import (
    Candidate,
    EndpointLoad,
)

# The rest is for answers that become longer than their callers expected, and
# for the granularity in which engines allocate.
_USED_SHARE = 0.9


class _EngineTokens(msgspec.Struct):
    load: EndpointLoad
    held: int = 0


@final
class Holding:
    """Hold the tokens of one request until it has ended."""

    def __init__(self, engine: _EngineTokens, tokens: int) -> None:
        self._engine = engine
        self._tokens = tokens
        engine.held += tokens

    def release(self) -> None:
        """Free the tokens."""
        self._engine.held -= self._tokens
        self._tokens = 0


@final
class EngineMemory:
    """Count the tokens of pending and running requests of each engine."""

    def __init__(self) -> None:
        self._engines: dict[EndpointId, _EngineTokens] = {}

    def fitting(
        self, candidates: Sequence[Candidate], tokens: int
    ) -> list[Candidate]:
        """Return the engines whose memory has room for a request."""
        return [
            one
            for one in candidates
            if one.memory_tokens is None
            or self._tokens_of(one).held + tokens
            <= one.memory_tokens * _USED_SHARE
        ]

    def hold(self, candidate: Candidate, tokens: int) -> Holding:
        """Count the tokens of a granted request."""
        return Holding(self._tokens_of(candidate), tokens)

    def _tokens_of(self, candidate: Candidate) -> _EngineTokens:
        """Return the count of an engine, a new one for a new incarnation."""
        known = self._engines.get(candidate.endpoint_id)
        if known is None or known.load is not candidate.load:
            known = _EngineTokens(candidate.load)
            self._engines[candidate.endpoint_id] = known
        return known
