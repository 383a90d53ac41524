"""Limit the time that a VM spends on responses in very small pieces.

Load pattern: endpoints that send chunks of some bytes without end, on many
connections at once.  Each piece is parsed by itself whatever its size, so that
without a limit all other requests wait for the parser.
"""

from typing import final

# Assumed for each piece; the parser alone takes less.
_PIECE_MS = 0.003
# Share of the time of the event loop that such connections get together at
# most.
_SHARE = 0.1
# Streams of tokens have few pieces in one read.
_MIN_PIECES = 128
_SMALL_PIECE_BYTES = 32
# Connections that come and go in large numbers must not add up to more.
_MAX_DELAY_MS = 5000


@final
class ReadPacer:
    """Schedule the reads of connections that send small pieces."""

    def __init__(self) -> None:
        self._free_ms = 0.0

    def delay_ms(self, now_ms: float, pieces: int, size_bytes: int) -> float:
        """Return how long to wait after a read that held so many pieces."""
        is_small = size_bytes < pieces * _SMALL_PIECE_BYTES
        if pieces < _MIN_PIECES or not is_small:
            return 0
        busy_until_ms = max(self._free_ms, now_ms)
        end_ms = busy_until_ms + pieces * _PIECE_MS / _SHARE
        self._free_ms = min(end_ms, now_ms + _MAX_DELAY_MS)
        return self._free_ms - now_ms
