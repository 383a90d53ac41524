"""Build the tasks that tell other entry VMs what this one does."""

import msgspec
from baobabwharf_core.clock import Clock
from baobabwharf_core.model import VmRecord

from baobabwharf_daemon.interfaces import LimitClient
from baobabwharf_daemon.limits_parts import LimitsParts
from baobabwharf_daemon.proxy.load_book import LoadBook
from baobabwharf_daemon.proxy.load_exchange import LoadExchange
from baobabwharf_daemon.proxy.metering import ConfigGetter, Metering
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
    parts: LimitsParts,
    config: ConfigGetter,
) -> Telling:
    """Meter customers where a port for it is set, else lend tokens."""
    ports = settings.listen
    if ports.load_port is None or ports.meter_port is None:
        return Telling(parts.lending, (parts.lending,))
    if own.has_disk:
        return Telling(parts.lending, ())
    metering = Metering(own, ports.meter_port, clock, parts.peers, config)
    exchange = LoadExchange(
        own, ports.load_port, loads, parts.peers, clock.wall_ms()
    )
    return Telling(metering, (metering, exchange))
