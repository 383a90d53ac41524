"""Hash prompt prefixes block by block, like the cache events of endpoints."""

import struct
from hashlib import blake2b

BLOCK_CHARS = 256
_DIGEST_BYTES = 8


def prefix_hashes(prompt: str, limit: int = 64) -> tuple[int, ...]:
    """Return a chained hash for each complete block of the prompt.

    Each hash covers its block and all blocks before it.
    """
    block_count = min(len(prompt) // BLOCK_CHARS, limit)
    digests = []
    previous = b''
    for block in _split_blocks(prompt[: block_count * BLOCK_CHARS]):
        previous = blake2b(previous + block, digest_size=_DIGEST_BYTES).digest()
        digests.append(previous)
    return struct.unpack(f'>{block_count}Q', b''.join(digests))


def _split_blocks(text: str) -> list[bytes]:
    starts = range(0, len(text), BLOCK_CHARS)
    encoded = text.encode()
    # ASCII text has one byte per character and can be sliced after encoding.
    if len(encoded) == len(text):
        return [encoded[start : start + BLOCK_CHARS] for start in starts]
    return [text[start : start + BLOCK_CHARS].encode() for start in starts]
