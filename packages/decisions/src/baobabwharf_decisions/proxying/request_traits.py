"""Name what a request has in common with others that may crash endpoints.

A request is recognized by each part of its prompt that other prompts may hold.
"""

from typing import NewType

from baobabwharf_decisions.proxying.prompt_cache import Prompt

TraitId = NewType('TraitId', str)
Traits = tuple[TraitId, ...]


def request_traits(prompt: Prompt) -> Traits:
    """Return the traits of a request: all parts of its prompt but the last."""
    return tuple(TraitId(part.part_id) for part in prompt[:-1])
