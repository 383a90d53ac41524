"""Hash prompt prefixes in blocks, as endpoints report them."""

import struct
from hashlib import blake2b

BLOCK_CHARS = 256
_DIGEST_BYTES = 8


def prefix_hashes(prompt: str, limit: int = 64) -> tuple[int, ...]:
    """Return one chained hash for each whole block of the prompt."""
    whole = min(len(prompt) // BLOCK_CHARS, limit)
    digests = []
    previous = b''
    for block in _blocks(prompt[: whole * BLOCK_CHARS]):
        previous = blake2b(previous + block, digest_size=_DIGEST_BYTES).digest()
        digests.append(previous)
    return struct.unpack(f'>{whole}Q', b''.join(digests))


def _blocks(text: str) -> list[bytes]:
    starts = range(0, len(text), BLOCK_CHARS)
    raw = text.encode()
    if len(raw) == len(text):
        return [raw[start : start + BLOCK_CHARS] for start in starts]
    return [text[start : start + BLOCK_CHARS].encode() for start in starts]
