"""Build the membership task and the token lending task of a VM."""

import random

import msgspec
from baobabwharf_core.clock import Clock
from baobabwharf_core.ids import VmId

from baobabwharf_daemon.interfaces import ConfigSource
from baobabwharf_daemon.membership_task import MembershipTask
from baobabwharf_daemon.rpc import RpcClient, RpcServer
from baobabwharf_daemon.settings import Settings
from baobabwharf_daemon.token_lending import TokenLending


class LimitsComponents(msgspec.Struct, frozen=True):
    """Hold both tasks; membership is started first and stopped last."""

    membership: MembershipTask
    lending: TokenLending


def build_limits_components(
    settings: Settings,
    clock: Clock,
    rng: random.Random,
    server: RpcServer,
    client: RpcClient,
    config_source: ConfigSource,
) -> LimitsComponents:
    """Create both tasks and register their RPC handlers."""
    membership = MembershipTask(settings, clock, rng, client, config_source)
    lending = TokenLending(
        VmId(settings.vm_id), clock, client, config_source, membership
    )
    membership.register(server)
    lending.register(server)
    return LimitsComponents(membership, lending)
