"""Count finished requests and export the counts on each scrape."""

from collections import Counter

from baobabwharf_daemon.metrics import REQUESTS, render_metrics

# Incrementing an aioprometheus metric costs as much as a routing step, so
# requests are counted here and copied to the metric when it is scraped.
_finished: Counter[tuple[str, str]] = Counter()


def count_request(kind: str, outcome: str) -> None:
    """Count a finished request."""
    _finished[kind, outcome] += 1


def metrics_page(accept: str) -> tuple[bytes, dict[str, str]]:
    """Update the metric, then return the rendered metrics and headers."""
    for (kind, outcome), count in _finished.items():
        REQUESTS.set({'kind': kind, 'outcome': outcome}, count)
    return render_metrics(accept)
