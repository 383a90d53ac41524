"""Build the tasks that exchange loads and spending with other VMs."""

import msgspec
from baobabwharf_core.clock import Clock
from baobabwharf_core.fleet_config import VmRecord

from baobabwharf_daemon.decision_log import DecisionLog
from baobabwharf_daemon.interfaces import ConfigSource, LimitClient
from baobabwharf_daemon.limits_components import LimitsComponents
from baobabwharf_daemon.proxy.load_exchange import LoadExchange
from baobabwharf_daemon.proxy.load_tracker import LoadTracker
from baobabwharf_daemon.proxy.metering import Metering
from baobabwharf_daemon.proxy.relay_exchange import RelayClient, RelayExchange
from baobabwharf_daemon.proxy.relay_mode import RelayMode
from baobabwharf_daemon.settings import Settings
from baobabwharf_daemon.task import Task


class PeerExchange(msgspec.Struct, frozen=True):
    """Hold the exchange tasks and the client for customer limits."""

    limits: LimitClient
    tasks: tuple[Task, ...]


def build_peer_exchange(
    settings: Settings,
    own: VmRecord,
    clock: Clock,
    loads: LoadTracker,
    limits: LimitsComponents,
    config_source: ConfigSource,
    log: DecisionLog,
) -> PeerExchange:
    """Build the exchange tasks and the client for customer limits.

    Disk VMs, and all VMs if the metering ports are not set, lend tokens; the
    others use shared metering.
    """
    ports = settings.listen
    if (
        ports.load_port is None
        or ports.meter_port is None
        or ports.relay_port is None
    ):
        return PeerExchange(limits.lending, (limits.lending,))
    mode = RelayMode(config_source)
    exchange = LoadExchange(
        own, ports.load_port, loads, limits.membership, mode, clock.wall_ms()
    )
    if own.has_disk:
        relay = RelayExchange(
            own, ports.relay_port, clock, limits.membership, mode, None
        )
        return PeerExchange(limits.lending, (exchange, relay))
    metering = Metering(
        own, ports.meter_port, clock, limits.membership, config_source, mode
    )
    relay_client = RelayClient(
        own,
        loads,
        metering,
        clock,
        log,
        plain_only=settings.overload_control
        and ports.placement_port is not None,
    )
    relay = RelayExchange(
        own, ports.relay_port, clock, limits.membership, mode, relay_client
    )
    return PeerExchange(metering, (metering, exchange, relay))
