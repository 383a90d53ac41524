"""Count finished requests cheaply and publish the counts when asked."""

from collections import Counter

from baobabwharf_daemon.metrics import REQUESTS, render_metrics

# Adding to a metric of aioprometheus costs as much as a routing step, so the
# request path adds to this and the metrics page publishes it.
_finished: Counter[tuple[str, str]] = Counter()


def count_request(kind: str, outcome: str) -> None:
    """Count a finished request."""
    _finished[kind, outcome] += 1


def metrics_page(accept: str) -> tuple[bytes, dict[str, str]]:
    """Publish the counts and return the page and its headers."""
    for (kind, outcome), count in _finished.items():
        REQUESTS.set({'kind': kind, 'outcome': outcome}, count)
    return render_metrics(accept)
