"""Build the tasks of membership and limits of one VM."""

import random

import msgspec
from baobabwharf_core.clock import Clock

from baobabwharf_daemon.interfaces import ConfigSource, LimitClient
from baobabwharf_daemon.peers import Peers
from baobabwharf_daemon.rpc import RpcClient, RpcServer
from baobabwharf_daemon.settings import Settings
from baobabwharf_daemon.static_limits import StaticLimits
from baobabwharf_daemon.task import Task


class LimitsParts(msgspec.Struct, frozen=True):
    """Hold the tasks of membership and limits."""

    peers: Peers
    lending: LimitClient

    @property
    def tasks(self) -> tuple[Task, ...]:
        """Return the tasks in the order to start."""
        return (self.peers,)


def build_limits_parts(
    settings: Settings,
    clock: Clock,
    generator: random.Random,
    server: RpcServer,
    client: RpcClient,
    config: ConfigSource,
) -> LimitsParts:
    """Build the tasks and register their calls at the server."""
    peers = Peers(settings, clock, generator, client, config)
    peers.register(server)
    return LimitsParts(peers, StaticLimits(clock, config))
