"""Name what a request has in common with others that may crash endpoints.

A request is recognized as a whole, by its caller, target and body, and by each
part of its prompt that other prompts may hold.
"""

import base64
import hashlib
from typing import NewType

from baobabwharf_decisions.proxying.prompt_cache import Prompt

TraitId = NewType('TraitId', str)
Traits = tuple[TraitId, ...]

# Ids of prompt parts hold no colon, so they can't be taken for a whole request.
_WHOLE_MARK = ':'
# Short, since reports list many; a collision joins requests of one caller.
_DIGEST_BYTES = 9


def whole_request_trait(
    caller: str,
    method: bytes,
    host: str,
    target: bytes,
    body: bytes | bytearray,
) -> TraitId:
    """Return the same trait whenever the request comes again."""
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for field in (caller.encode(), method, host.encode(), target):
        digest.update(b'%d:' % len(field))
        digest.update(field)
    digest.update(body)
    return TraitId(_WHOLE_MARK + base64.b64encode(digest.digest()).decode())


def is_whole_request(trait_id: str) -> bool:
    """Return whether a trait names one request, not a part of a prompt."""
    return trait_id.startswith(_WHOLE_MARK)


def request_traits(prompt: Prompt, whole: TraitId | None) -> Traits:
    """Return the parts of a prompt except the last, and the request itself.

    The last part of a prompt belongs to the request or its session alone.
    """
    parts = tuple(TraitId(part.part_id) for part in prompt[:-1])
    return parts if whole is None else (*parts, whole)
