"""Hash names so that all VMs rank and split alike."""

import hashlib

_DIGEST_BYTES = 8
# One more than the highest point.
POINTS = 1 << (8 * _DIGEST_BYTES)


def hash_names(*names: str) -> bytes:
    """Return a digest; two of them compare at random, but alike on all VMs."""
    joined = ' '.join(names).encode()
    return hashlib.blake2b(joined, digest_size=_DIGEST_BYTES).digest()


def hash_point(*names: str) -> int:
    """Return the digest as a number from 0 to below POINTS."""
    return int.from_bytes(hash_names(*names), 'big')
