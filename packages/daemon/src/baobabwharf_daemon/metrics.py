"""Count what the daemon does, with bounded label sets."""

from aioprometheus import Counter, Gauge, Registry, render

REGISTRY = Registry()

REQUESTS = Counter(
    'baobabwharf_requests_total',
    'Requests by service kind and outcome.',
    registry=REGISTRY,
)
REFUSALS = Counter(
    'baobabwharf_refusals_total', 'Refusals by reason.', registry=REGISTRY
)
RETRIES = Counter(
    'baobabwharf_retries_total', 'Retries by reason.', registry=REGISTRY
)
FORWARDED = Counter(
    'baobabwharf_forwarded_total',
    'Requests forwarded by region.',
    registry=REGISTRY,
)
REVISION = Gauge(
    'baobabwharf_config_revision',
    'Configuration revision in force.',
    registry=REGISTRY,
)


def render_metrics(accept: str) -> tuple[bytes, dict[str, str]]:
    """Return the metrics page and its HTTP headers."""
    return render(REGISTRY, [accept] if accept else [])
