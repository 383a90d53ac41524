"""Hash names, so that all VMs compute the same order and partition."""

import hashlib

_DIGEST_BYTES = 8
# Number of points; the highest point is one less.
POINTS = 1 << (8 * _DIGEST_BYTES)


def hash_names(*names: str) -> bytes:
    """Return a digest whose order is pseudo-random but equal on all VMs."""
    joined = ' '.join(names).encode()
    return hashlib.blake2b(joined, digest_size=_DIGEST_BYTES).digest()


def hash_point(*names: str) -> int:
    """Return the digest as an integer from 0 to POINTS - 1."""
    return int.from_bytes(hash_names(*names), 'big')
