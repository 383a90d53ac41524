"""Tell other regions in responses how a forwarded request was placed."""

from baobabwharf_decisions.proxying.region_outlook import RegionReport

from baobabwharf_daemon.proxy.http_messages import (
    Header,
    ResponseHead,
    parse_number,
)
from baobabwharf_daemon.proxy.request_plan import RequestPlan

# Expected wait and spent time, both in ms.
REGION_LOAD_HEADER = b'Baobabwharf-Region-Load'


def region_report_headers(plan: RequestPlan, now_ms: int) -> list[Header]:
    """Return the header of a response to another VM, none without a forecast."""
    if not plan.forwarded or plan.region_wait_ms is None:
        return []
    value = b'%d,%d' % (max(0, plan.region_wait_ms), now_ms - plan.started_ms)
    return [(REGION_LOAD_HEADER, value)]


def read_region_report(head: ResponseHead) -> RegionReport | None:
    """Return what another VM reported, None if it reported nothing valid."""
    value = head.header(REGION_LOAD_HEADER.lower())
    wait, _comma, spent = (value or b'').partition(b',')
    wait_ms, spent_ms = parse_number(wait), parse_number(spent)
    if wait_ms is None or spent_ms is None:
        return None
    return RegionReport(wait_ms, spent_ms)
