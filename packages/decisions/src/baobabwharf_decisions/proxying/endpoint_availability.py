"""Decide when an endpoint may be sent requests again.

The load is an endpoint that refuses connections, or that turns requests away
and asks for a pause, while every VM of its region has requests for it.
"""

from typing import final

_MIN_BACKOFF_MS = 300
_MAX_BACKOFF_MS = 5000
# An endpoint that asks for a longer pause is tried again after this time.
_MAX_PAUSE_MS = 600_000


@final
class EndpointAvailability:
    """Track the back-off from an endpoint and the pause that it asked for."""

    def __init__(self) -> None:
        self._backoff_count = 0
        self._backoff_until_ms = 0
        self._paused_until_ms = 0

    @property
    def until_ms(self) -> int:
        """Return the time from which the endpoint may be sent requests."""
        return max(self._backoff_until_ms, self._paused_until_ms)

    @property
    def paused_until_ms(self) -> int:
        """Return the end of the pause that the endpoint asked for."""
        return self._paused_until_ms

    def back_off(self, now_ms: int) -> None:
        """Start a back-off; it doubles each time until the next success."""
        backoff_ms = min(
            _MAX_BACKOFF_MS, _MIN_BACKOFF_MS * 2**self._backoff_count
        )
        self._backoff_count += 1
        self._backoff_until_ms = now_ms + backoff_ms

    def note_success(self) -> None:
        """Let the next back-off be a short one; a pause goes on."""
        self._backoff_count = 0

    def pause(self, pause_ms: int, now_ms: int) -> None:
        """Start the pause that the endpoint asked for, or extend it."""
        until_ms = now_ms + min(pause_ms, _MAX_PAUSE_MS)
        self._paused_until_ms = max(self._paused_until_ms, until_ms)
