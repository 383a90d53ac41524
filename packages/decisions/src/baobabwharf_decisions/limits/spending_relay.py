"""Sum the spending of many VMs, so that each receives a single message.

The VMs of a region report to a relay as its clients; relays send each other the
sums of their clients, and each client receives the sum of all other VMs.  If
each VM reported to every other one, the reports would take more messages than
the requests.

The load is a customer with a high request rate that sends to all of a hundred
VMs or more.
"""

from collections import deque
from typing import final

import msgspec
from baobabwharf_core.ids import Incarnation, VmId

from baobabwharf_decisions.limits.spending import (
    REPORTED_PERIODS,
    LastReport,
    Period,
    Spending,
    SpendingReader,
    SpendingWindow,
    Tokens,
    add_tokens,
)

# A client or relay that is silent for longer is left out of the sums; equal to
# the time after which meters themselves treat a VM as silent.
SILENCE_TIMEOUT_MS = 600


class _ClosedPeriod(msgspec.Struct, frozen=True):
    number: int
    total: Tokens
    by_client: dict[VmId, Tokens]


@final
class SpendingRelay:
    """Add up spending on one relay VM; times are monotonic ms."""

    def __init__(self, own: VmId, incarnation: Incarnation) -> None:
        self._own = own
        self._incarnation = incarnation
        self._reader = SpendingReader()
        self._clients_window = SpendingWindow()
        self._total: Tokens = {}
        self._by_client: dict[VmId, Tokens] = {}
        self._closed: deque[_ClosedPeriod] = deque(maxlen=REPORTED_PERIODS)
        self._number = 0
        self._clients: dict[VmId, LastReport] = {}
        self._relays: dict[VmId, LastReport] = {}

    @property
    def has_clients(self) -> bool:
        """Return whether any VM reports to this relay."""
        return bool(self._clients)

    @property
    def relays(self) -> tuple[VmId, ...]:
        """Return the relays that recently reported to this one."""
        return tuple(self._relays)

    def apply_client_report(self, spending: Spending, now_ms: int) -> None:
        """Add a report of a client."""
        self._clients[spending.vm_id] = LastReport(1, now_ms)
        new_tokens = self._reader.take_new(spending) or {}
        add_tokens(self._by_client.setdefault(spending.vm_id, {}), new_tokens)
        add_tokens(self._total, new_tokens)
        self._clients_window.add(new_tokens)

    def apply_relay_report(self, spending: Spending, now_ms: int) -> None:
        """Add the sum of another relay's clients."""
        if spending.vm_id != self._own:
            self._relays[spending.vm_id] = LastReport(spending.vms, now_ms)
            add_tokens(self._total, self._reader.take_new(spending) or {})

    def close(self, now_ms: int) -> Spending:
        """Close the open period and return the report to other relays."""
        self._clients = self._without_silent(self._clients, now_ms)
        self._relays = self._without_silent(self._relays, now_ms)
        self._number += 1
        closed = _ClosedPeriod(self._number, self._total, self._by_client)
        self._closed.append(closed)
        self._total = {}
        self._by_client = {}
        self._clients_window.close()
        return Spending(
            self._own,
            self._incarnation,
            self._clients_window.periods,
            len(self._clients),
        )

    def answer(self, client: VmId, seen_period: int) -> Spending:
        """Return the spending of all other VMs in periods after the one seen.

        A client that has seen no period receives only the newest one.
        """
        after = (
            seen_period if 0 < seen_period <= self._number else self._number - 1
        )
        others = sum(report.vms for report in self._relays.values())
        return Spending(
            self._own,
            self._incarnation,
            tuple(
                Period(closed.number, _without(closed, client))
                for closed in self._closed
                if closed.number > after
            ),
            max(0, len(self._clients) - 1) + others,
        )

    def _without_silent(
        self, reports: dict[VmId, LastReport], now_ms: int
    ) -> dict[VmId, LastReport]:
        kept: dict[VmId, LastReport] = {}
        for vm_id, report in reports.items():
            if now_ms - report.at_ms <= SILENCE_TIMEOUT_MS:
                kept[vm_id] = report
            else:
                self._reader.forget(vm_id)
        return kept


def _without(closed: _ClosedPeriod, client: VmId) -> Tokens:
    own = closed.by_client.get(client)
    if not own:
        return closed.total
    remaining = {
        customer_id: tokens - own.get(customer_id, 0)
        for customer_id, tokens in closed.total.items()
    }
    return {
        customer_id: tokens
        for customer_id, tokens in remaining.items()
        if tokens
    }
