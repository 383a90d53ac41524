"""Record what an attempt tells about its endpoint or region."""

from baobabwharf_daemon.metrics import FIRST_EVENT_RATIO
from baobabwharf_daemon.proxy.attempt import Attempt, caller_headers
from baobabwharf_daemon.proxy.http_messages import (
    Header,
    ResponseHead,
    ResponseMetadata,
)
from baobabwharf_daemon.proxy.proxy_context import ProxyContext
from baobabwharf_daemon.proxy.region_reports import (
    read_region_report,
    region_report_headers,
)
from baobabwharf_daemon.proxy.request_plan import RequestPlan


def response_headers(
    context: ProxyContext, plan: RequestPlan, head: ResponseHead
) -> list[Header]:
    """Return the headers of a response for the caller or the other VM."""
    report = region_report_headers(plan, context.clock.now_ms())
    return caller_headers(head) + report


def note_region_report(
    context: ProxyContext,
    plan: RequestPlan,
    attempt: Attempt,
    head: ResponseHead,
) -> None:
    """Store what another region reports about its load."""
    if attempt.destination.record is not None:
        return
    regions = context.selector.regions
    regions.outlook.note_answer(attempt.destination.region)
    report = read_region_report(head)
    if report is not None:
        regions.note_report(
            plan, attempt.destination.region, report, attempt.took_ms
        )


def note_statements(
    context: ProxyContext, attempt: Attempt, metadata: ResponseMetadata
) -> None:
    """Heed what an endpoint says about itself in the head of a response."""
    record = attempt.destination.record
    load = context.selector.load_of(attempt.destination)
    if record is None or load is None:
        return
    now_ms = context.clock.now_ms()
    if metadata.load is not None:
        context.selector.note_sample(attempt.destination, metadata.load)
    if metadata.pause_ms is not None:
        load.availability.pause(metadata.pause_ms, now_ms)
        context.log.record(
            'endpoint_paused',
            endpoint=record.endpoint_id,
            pause_ms=metadata.pause_ms,
        )
    _note_leaving(context, attempt)


def _note_leaving(context: ProxyContext, attempt: Attempt) -> None:
    record = attempt.destination.record
    if attempt.leaving and record is not None:
        context.endpoint_sync.note_leaving(record)
        context.pool.drop(record.address)


def end_attempt(
    context: ProxyContext, plan: RequestPlan, attempt: Attempt
) -> None:
    """Record how an attempt went and release its connection."""
    context.crashes.note_end(attempt, plan.metadata)
    _note_first_event(plan, attempt)
    _note_leaving(context, attempt)
    if attempt.skipped_statuses:
        context.log.record(
            'responses_skipped',
            request=plan.metadata.request_id,
            statuses=attempt.skipped_statuses,
            address=attempt.destination.address,
            reused=attempt.reused,
        )
    attempt.close()


def _note_first_event(plan: RequestPlan, attempt: Attempt) -> None:
    """Compare the time to the first event with the expected one."""
    expectation = attempt.destination.expectation
    plan.first_event_ms = attempt.first_event_ms
    plan.expected_ms = None
    if expectation is None:
        return
    plan.expected_ms = round(expectation.first_event_ms)
    if attempt.first_event_ms is not None and plan.expected_ms > 0:
        FIRST_EVENT_RATIO.observe(
            {'route': plan.metadata.route},
            attempt.first_event_ms / plan.expected_ms,
        )
