"""Choose free loopback ports."""

import random
import socket

# Below the range that the kernel gives to outgoing connections, so that no
# connection takes a chosen port before its listener starts.
_FIRST_PORT = 10_000
_LAST_PORT = 32_000
_ATTEMPTS = 2000

_chosen: set[int] = set()


def free_port(host: str = '127.0.0.1') -> int:
    """Return a port that nothing listens on and that was not returned before."""
    source = random.SystemRandom()
    for _ in range(_ATTEMPTS):
        port = source.randint(_FIRST_PORT, _LAST_PORT)
        if port not in _chosen and _is_free(host, port):
            _chosen.add(port)
            return port
    raise OSError('No free loopback port was found.')


def _is_free(host: str, port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True
