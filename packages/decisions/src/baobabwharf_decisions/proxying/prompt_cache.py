"""Remember which prompt parts an endpoint has read."""

from collections import OrderedDict
from typing import final

import msgspec


class PromptPart(msgspec.Struct, frozen=True):
    """Name a part of a prompt and its length in tokens."""

    part_id: str
    tokens: int


Prompt = tuple[PromptPart, ...]


@final
class PromptCache:
    """Guess the cached parts of one endpoint; the least recent ones yield."""

    def __init__(self, capacity_tokens: int) -> None:
        self._capacity = capacity_tokens
        self._parts: OrderedDict[str, int] = OrderedDict()
        self._held = 0

    def resize(self, capacity_tokens: int) -> None:
        """Take another size; what is too much yields with the next prompt."""
        self._capacity = capacity_tokens

    def unread_tokens(self, prompt: Prompt) -> int:
        """Return the tokens after the longest cached beginning."""
        for place, part in enumerate(prompt):
            if part.part_id not in self._parts:
                return sum(rest.tokens for rest in prompt[place:])
        return 0

    def note_prefilled(self, prompt: Prompt) -> None:
        """Remember that the endpoint has read a prompt."""
        for part in prompt:
            self._held -= self._parts.pop(part.part_id, 0)
            self._parts[part.part_id] = part.tokens
            self._held += part.tokens
        while self._held > self._capacity:
            _name, tokens = self._parts.popitem(last=False)
            self._held -= tokens
