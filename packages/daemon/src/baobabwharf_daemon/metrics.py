"""Define the metrics of the daemon, with bounded label sets."""

from aioprometheus import Counter, Gauge, Histogram, Registry, render

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
ATTEMPTS = Counter(
    'baobabwharf_attempts_ended_total',
    'Attempts that gave no answer, by how they ended.',
    registry=REGISTRY,
)
CRASH_EVIDENCE = Counter(
    'baobabwharf_crash_evidence_total',
    'Lost answers that had not begun and reports of other VMs, by source.',
    registry=REGISTRY,
)
PLACEMENT_ASKS = Counter(
    'baobabwharf_placement_asks_total',
    'Asks for an engine by outcome, unanswered ones at the asking VM.',
    registry=REGISTRY,
)
SKIPPED_RECORDS = Counter(
    'baobabwharf_records_skipped_total',
    'Invalid records among valid ones of other VMs and endpoints, by kind.',
    registry=REGISTRY,
)
INPUT_BYTES = Gauge(
    'baobabwharf_input_bytes',
    'Memory held for requests that arrive, wait or run.',
    registry=REGISTRY,
)
INPUT_LIMIT = Gauge(
    'baobabwharf_input_limit_bytes',
    'Limit of the memory held for requests.',
    registry=REGISTRY,
)
INPUT_LARGEST = Gauge(
    'baobabwharf_input_largest_bytes',
    'Memory held for the largest of these requests.',
    registry=REGISTRY,
)
INPUT_CLOSED = Counter(
    'baobabwharf_input_closed_total',
    'Connections closed while a request arrived, to free memory, by reason.',
    registry=REGISTRY,
)
# The buckets cover the usual targets of some hundred ms and the deadlines.
LATENCY = Histogram(
    'baobabwharf_request_seconds',
    'Time from a whole request to the end of its answer, by route.',
    registry=REGISTRY,
    buckets=[0.01, 0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1.2, 2.5, 6.0, 12.0],
)
FIRST_BLOCK = Histogram(
    'baobabwharf_first_block_seconds',
    'Time from a whole request to the first byte of its answer, by route.',
    registry=REGISTRY,
    buckets=[0.01, 0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1.2, 2.5, 6.0, 12.0],
)
DROPPED_LINES = Gauge(
    'baobabwharf_log_lines_dropped',
    'Log lines that were dropped because nobody read them.',
    registry=REGISTRY,
)
CONFIG_HISTORY_BYTES = Gauge(
    'baobabwharf_config_history_bytes',
    'Encoded size of the configuration changes kept for other VMs.',
    registry=REGISTRY,
)
REPLICA_LOG_BYTES = Gauge(
    'baobabwharf_replica_log_bytes',
    'Size of the log entries after the newest snapshot.',
    registry=REGISTRY,
)
REPLICA_LEADS = Gauge(
    'baobabwharf_replica_leads',
    '1 if the replica of this VM leads, else 0.',
    registry=REGISTRY,
)
REPLICA_VOTERS = Gauge(
    'baobabwharf_replica_voters',
    'Voters of the group in the newest membership that the replica holds.',
    registry=REGISTRY,
)
REVISION = Gauge(
    'baobabwharf_config_revision',
    'Configuration revision in force.',
    registry=REGISTRY,
)


def render_metrics(accept: str) -> tuple[bytes, dict[str, str]]:
    """Return the metrics in the accepted format and the HTTP headers."""
    return render(REGISTRY, [accept] if accept else [])
