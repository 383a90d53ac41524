"""Bound prompts so that running streams do not pause too long.

Load pattern: many prompts reach an engine at once.  While it reads them it
makes one token for each running stream between two chunks, so an event of
many tokens takes that many chunks.  Where that is longer than the pause that
callers accept, the prompts sent to an engine within a pause are bounded, and
what is beyond goes to another engine or is refused.
"""

from baobabwharf_decisions.proxying.prefill_rate import (
    MAX_PREFILL_TOKENS_PER_MS,
)

# Prompt tokens that an engine reads between two tokens of its streams, and
# the time that takes together with the step for the tokens themselves.
_CHUNK_TOKENS = 4096
_STEP_MS = 3.5
_CHUNK_MS = _CHUNK_TOKENS / MAX_PREFILL_TOKENS_PER_MS + _STEP_MS
# Over that time prompts are counted, decaying: about one pause.
BURST_WINDOW_MS = 400
# Arrivals are uneven, so some windows stay below the bound; the emulator's
# peaks are served best with that much more.
_UNEVENNESS = 1.08


def burst_bound(pause_ms: int | None, tokens_per_event: int) -> float | None:
    """Return the prompt tokens for MEMORY_MS, None if no pause is too long."""
    if pause_ms is None or tokens_per_event <= 0:
        return None
    token_ms = pause_ms / tokens_per_event
    if token_ms >= _CHUNK_MS:
        return None
    share = max(0.0, 1 - _STEP_MS / token_ms)
    return share * MAX_PREFILL_TOKENS_PER_MS * BURST_WINDOW_MS * _UNEVENNESS
