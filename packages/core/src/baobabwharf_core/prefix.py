"""Hash prompt prefixes in blocks, as endpoints report them."""

import hashlib

BLOCK_CHARS = 256
_DIGEST_BYTES = 8


def prefix_hashes(prompt: str, limit: int = 64) -> tuple[int, ...]:
    """Return one chained hash for each whole block of the prompt."""
    hashes = []
    previous = b''
    whole = min(len(prompt) // BLOCK_CHARS, limit)
    for index in range(whole):
        block = prompt[index * BLOCK_CHARS : (index + 1) * BLOCK_CHARS]
        previous = hashlib.blake2b(
            previous + block.encode(),
            digest_size=_DIGEST_BYTES,
        ).digest()
        hashes.append(int.from_bytes(previous, 'big'))
    return tuple(hashes)
