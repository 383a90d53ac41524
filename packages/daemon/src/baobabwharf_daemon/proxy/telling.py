"""Build the tasks that tell other entry VMs what this one does."""

import msgspec
from baobabwharf_core.clock import Clock
from baobabwharf_core.model import VmRecord

from baobabwharf_daemon.decision_log import DecisionLog
from baobabwharf_daemon.interfaces import ConfigSource, LimitClient
from baobabwharf_daemon.limits_components import LimitsComponents
from baobabwharf_daemon.proxy.load_book import LoadBook
from baobabwharf_daemon.proxy.load_exchange import LoadExchange
from baobabwharf_daemon.proxy.metering import Metering
from baobabwharf_daemon.proxy.relay_exchange import Member, RelayExchange
from baobabwharf_daemon.proxy.relay_mode import RelayMode
from baobabwharf_daemon.settings import Settings
from baobabwharf_daemon.task import Task


class Telling(msgspec.Struct, frozen=True):
    """Hold the tasks and who limits customers."""

    limits: LimitClient
    tasks: tuple[Task, ...]


def build_telling(
    settings: Settings,
    own: VmRecord,
    clock: Clock,
    loads: LoadBook,
    parts: LimitsComponents,
    source: ConfigSource,
    log: DecisionLog,
) -> Telling:
    """Meter customers where ports for it are set, else lend tokens."""
    ports = settings.listen
    if (
        ports.load_port is None
        or ports.meter_port is None
        or ports.relay_port is None
    ):
        return Telling(parts.lending, (parts.lending,))
    mode = RelayMode(source)
    exchange = LoadExchange(
        own, ports.load_port, loads, parts.peers, mode, clock.wall_ms()
    )
    if own.has_disk:
        relay = RelayExchange(
            own, ports.relay_port, clock, parts.peers, mode, None
        )
        return Telling(parts.lending, (exchange, relay))
    metering = Metering(own, ports.meter_port, clock, parts.peers, source, mode)
    member = Member(own, loads, metering, clock, log)
    relay = RelayExchange(
        own, ports.relay_port, clock, parts.peers, mode, member
    )
    return Telling(metering, (metering, exchange, relay))
