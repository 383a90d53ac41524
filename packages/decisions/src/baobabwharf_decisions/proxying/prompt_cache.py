"""Estimate which prompt parts an endpoint holds in its cache."""

from collections import OrderedDict
from typing import final

import msgspec
from baobabwharf_core.input_types import ExactInteger

# More than an engine caches; bounds the memory for parts without tokens.
_MAX_PARTS = 16_384


class PromptPart(msgspec.Struct, frozen=True):
    """Name a part of a prompt and its length in tokens."""

    part_id: str
    tokens: ExactInteger


Prompt = tuple[PromptPart, ...]


@final
class PromptCache:
    """Model the prompt cache of one endpoint with LRU eviction."""

    def __init__(self, capacity_tokens: int) -> None:
        self._capacity_tokens = capacity_tokens
        self._parts: OrderedDict[str, int] = OrderedDict()
        self._cached_tokens = 0

    def resize(self, capacity_tokens: int) -> None:
        """Change the capacity; the next prompt evicts what exceeds it."""
        self._capacity_tokens = capacity_tokens

    def uncached_tokens(self, prompt: Prompt) -> int:
        """Return the tokens after the longest cached prefix."""
        for index, part in enumerate(prompt):
            if part.part_id not in self._parts:
                return sum(later.tokens for later in prompt[index:])
        return 0

    def note_prefilled(self, prompt: Prompt) -> None:
        """Record a prefilled prompt and evict the least recently used parts."""
        for part in prompt:
            self._cached_tokens -= self._parts.pop(part.part_id, 0)
            self._parts[part.part_id] = part.tokens
            self._cached_tokens += part.tokens
        while (
            self._cached_tokens > self._capacity_tokens
            or len(self._parts) > _MAX_PARTS
        ):
            _part_id, tokens = self._parts.popitem(last=False)
            self._cached_tokens -= tokens
