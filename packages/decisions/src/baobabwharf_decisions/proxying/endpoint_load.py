"""Follow what this VM has running at an endpoint and how it fares."""

from typing import final

import msgspec

from baobabwharf_decisions.proxying.prompt_cache import Prompt, PromptCache

_FAILURE_WEIGHT = 0.15
# More failures than this share, beside a sound alternative, mark an endpoint.
_FAILING_SHARE = 0.3
_REST_FLOOR_MS = 300
_REST_CEILING_MS = 5000


class LoadSample(msgspec.Struct, frozen=True):
    """Hold what an endpoint told about its load from all callers."""

    running: int
    waiting: int
    slots: int


@final
class EndpointLoad:
    """Count the own requests at one endpoint."""

    def __init__(self, cache_tokens: int) -> None:
        self.cache = PromptCache(cache_tokens)
        self.running = 0
        self.unread_tokens = 0
        self.sample: LoadSample | None = None
        self.sampled_ms = 0
        # What other VMs of the region have there, as they told last.
        self.others_running = 0
        self.others_unread = 0
        self.failure_share = 0.0
        self._rests = 0
        self.rest_until_ms = 0

    @property
    def total_unread(self) -> int:
        """Return the unread prompt tokens of all known requests."""
        return self.unread_tokens + self.others_unread

    @property
    def total_running(self) -> int:
        """Return the running requests of all known VMs."""
        return self.running + self.others_running

    @property
    def failing(self) -> bool:
        """Tell whether it fails so often that others are preferred."""
        return self.failure_share > _FAILING_SHARE

    def begin(self, prompt: Prompt) -> int:
        """Count a request that is sent; return its unread tokens."""
        unread = self.cache.unread_tokens(prompt)
        self.cache.note_read(prompt)
        self.running += 1
        self.unread_tokens += unread
        return unread

    def read(self, unread: int) -> None:
        """Note that the prompt of a request has been read."""
        self.unread_tokens -= unread

    def end(self) -> None:
        """Count a request as ended."""
        self.running -= 1

    def note_sample(self, sample: LoadSample, now_ms: int) -> None:
        """Take what the endpoint says about its load."""
        self.sample = sample
        self.sampled_ms = now_ms

    def note_outcome(self, failed: bool) -> None:
        """Learn from the end of an attempt."""
        self.failure_share += _FAILURE_WEIGHT * (failed - self.failure_share)
        if not failed:
            self._rests = 0

    def rest(self, now_ms: int) -> None:
        """Send nothing for a while, longer after each failure in a row."""
        pause_ms = min(_REST_CEILING_MS, _REST_FLOOR_MS * 2**self._rests)
        self._rests += 1
        self.rest_until_ms = now_ms + pause_ms

    def wake(self) -> None:
        """Forget the failures, since the endpoint has started anew."""
        self._rests = 0
        self.failure_share = 0.0
        self.rest_until_ms = 0
