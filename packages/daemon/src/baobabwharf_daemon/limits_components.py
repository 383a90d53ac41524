"""Build the membership task and the rate limit task of a VM."""

import random

import msgspec
from baobabwharf_core.clock import Clock
from baobabwharf_core.ids import VmId

from baobabwharf_daemon.interfaces import ConfigSource
from baobabwharf_daemon.lending import Lending
from baobabwharf_daemon.membership_task import MembershipTask
from baobabwharf_daemon.rpc import RpcClient, RpcServer
from baobabwharf_daemon.settings import Settings


class LimitsComponents(msgspec.Struct, frozen=True):
    """Hold both tasks; peers must be started first and stopped last."""

    peers: MembershipTask
    lending: Lending


def build_limits_components(
    settings: Settings,
    clock: Clock,
    rng: random.Random,
    server: RpcServer,
    client: RpcClient,
    source: ConfigSource,
) -> LimitsComponents:
    """Create both tasks and register their RPC handlers."""
    peers = MembershipTask(settings, clock, rng, client, source)
    lending = Lending(VmId(settings.vm_id), clock, client, source, peers)
    peers.register(server)
    lending.register(server)
    return LimitsComponents(peers, lending)
