"""Divide the memory for responses that are read before they are passed on.

Load pattern: many responses that are large or never end.  A response that is
buffered as a whole can still be retried or refused when it is truncated; with
many of them at once, each is passed on earlier and the memory stays bounded.
"""

from typing import final

_TOTAL_BYTES = 16 * 1024 * 1024
_MAX_BYTES = 262_144
_MIN_BYTES = 8192
# A response may take at most this part of what is left.
_DIVISOR = 8


@final
class BufferBudget:
    """Grant each response a number of bytes that it may buffer."""

    def __init__(self) -> None:
        self._reserved_bytes = 0

    def reserve(self, length: int | None) -> int:
        """Return how many bytes of a response may be buffered.

        length is the size of the response if it is known.
        """
        left = max(0, _TOTAL_BYTES - self._reserved_bytes) // _DIVISOR
        granted = max(_MIN_BYTES, min(_MAX_BYTES, left))
        if length is not None:
            granted = min(granted, length)
        self._reserved_bytes += granted
        return granted

    def release(self, granted: int) -> None:
        """Return what was granted."""
        self._reserved_bytes -= granted
