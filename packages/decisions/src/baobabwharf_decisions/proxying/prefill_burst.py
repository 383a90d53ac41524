"""Bound bursts of prefill so that running streams do not pause too long.

While an engine prefills prompts, it generates one token for each running stream
between two prompt chunks, so an event of many tokens takes as many chunks.
Where that is longer than the pause that callers accept, the prompt tokens sent
to an engine within a pause are bounded; excess prompts go to another engine or
are refused.

The load is many prompts that reach an engine at once.
"""

from baobabwharf_decisions.proxying.prefill_rate import (
    MAX_PREFILL_TOKENS_PER_MS,
)

# Prompt tokens that an engine prefills between two decode steps, and the
# duration of a decode step.
_CHUNK_TOKENS = 4096
_STEP_MS = 3.5
_CHUNK_MS = _CHUNK_TOKENS / MAX_PREFILL_TOKENS_PER_MS + _STEP_MS
# Decay time of the count of sent prompt tokens: about one pause.
BURST_WINDOW_MS = 400
# Arrivals are uneven and leave some windows below the bound, so the bound is
# raised by this factor, which serves the emulator's peaks best.
_UNEVENNESS_FACTOR = 1.08


def burst_bound(pause_ms: int | None, tokens_per_event: int) -> float | None:
    """Return the bound for BURST_WINDOW_MS, None if no pause is too long."""
    if pause_ms is None or tokens_per_event <= 0:
        return None
    ms_per_token = pause_ms / tokens_per_event
    if ms_per_token >= _CHUNK_MS:
        return None
    prefill_share = max(0.0, 1 - _STEP_MS / ms_per_token)
    return (
        prefill_share
        * MAX_PREFILL_TOKENS_PER_MS
        * BURST_WINDOW_MS
        * _UNEVENNESS_FACTOR
    )
