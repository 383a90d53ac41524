"""Reserve loopback networks, so that test runs side by side share none."""

import socket
from collections.abc import Iterable

import msgspec

# No program of a test listens on this host of its network.
_LOCK_HOST = 254
_LOCK_PORT = 19_999


class ReservedNetwork(msgspec.Struct, frozen=True):
    """Hold the first three parts of addresses that no other run uses."""

    prefix: str
    lock: socket.socket

    def release(self) -> None:
        """Let other runs use the network."""
        self.lock.close()


def reserve_network(prefixes: Iterable[str]) -> ReservedNetwork:
    """Reserve the first of the networks that is free; raise if none is."""
    for prefix in prefixes:
        lock = socket.socket()
        try:
            lock.bind((f'{prefix}.{_LOCK_HOST}', _LOCK_PORT))
        except OSError:
            lock.close()
        else:
            return ReservedNetwork(prefix, lock)
    raise RuntimeError('All loopback networks of the test are in use.')
