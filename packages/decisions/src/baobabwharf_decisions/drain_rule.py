"""Decide which accepted requests a draining VM may still start."""


def may_start(drain_end_ms: int | None, deadline_at_ms: int) -> bool:
    """Return whether a request reaches its deadline before the drain ends.

    Without a drain, drain_end_ms is None.
    """
    return drain_end_ms is None or deadline_at_ms <= drain_end_ms
