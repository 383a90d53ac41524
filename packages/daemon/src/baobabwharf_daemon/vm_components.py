"""Build the components that every kind of daemon shares."""

import random

import msgspec
from baobabwharf_core.clock import Clock
from baobabwharf_core.fleet_config import VmRecord
from baobabwharf_core.ids import Incarnation

from baobabwharf_daemon.consensus_components import (
    ConsensusComponents,
    build_consensus_components,
)
from baobabwharf_daemon.limits_components import (
    LimitsComponents,
    build_limits_components,
)
from baobabwharf_daemon.rpc import RpcClient, RpcServer, read_secret
from baobabwharf_daemon.settings import Settings
from baobabwharf_daemon.vm_records import own_record


class VmComponents(msgspec.Struct, frozen=True):
    """Hold the RPC server and client, the replicated state and the limits."""

    record: VmRecord
    server: RpcServer
    client: RpcClient
    consensus: ConsensusComponents
    limits: LimitsComponents


def build_vm_components(
    settings: Settings, clock: Clock, rng: random.Random
) -> VmComponents:
    """Create the components; must be called inside the event loop."""
    secret = read_secret(settings.fleet_secret_file)
    record = own_record(settings, Incarnation(clock.wall_ms()))
    server = RpcServer(secret, settings.tls)
    client = RpcClient(secret, settings.tls, settings.address_overrides)
    consensus = build_consensus_components(
        settings,
        clock,
        rng,
        server,
        client,
        # The membership task needs the follower, so it is built afterwards.
        lambda: limits.membership.live_vms(),
    )
    limits = build_limits_components(
        settings, clock, rng, server, client, consensus.follower
    )
    return VmComponents(record, server, client, consensus, limits)
