"""Build the listeners for callers and for other VMs."""

import msgspec
from baobabwharf_decisions.intake_budget import intake_limit_bytes

from baobabwharf_daemon.proxy.caller_connection import CallerListener
from baobabwharf_daemon.proxy.dialect import Dialect
from baobabwharf_daemon.proxy.head_gate import CallerGate, ForwardGate
from baobabwharf_daemon.proxy.ingress import Ingress, RouteTableSource
from baobabwharf_daemon.proxy.intake import Intake


class Listeners(msgspec.Struct, frozen=True):
    """Hold both listeners and the memory for input that they share."""

    callers: CallerListener
    forwards: CallerListener
    intake: Intake


def build_listeners(
    ingress: Ingress,
    dialect: Dialect,
    table: RouteTableSource,
    memory_mb: int | None,
) -> Listeners:
    """Return listeners that share one budget."""
    limits = ingress.ingress_limits
    intake = Intake(intake_limit_bytes(memory_mb))
    return Listeners(
        CallerListener(
            ingress.serve_caller,
            limits,
            intake,
            CallerGate(ingress, dialect, table),
        ),
        CallerListener(
            ingress.serve_forwarded, limits, intake, ForwardGate(ingress)
        ),
        intake,
    )
