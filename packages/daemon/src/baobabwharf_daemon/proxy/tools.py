"""Hold what all exchanges of a VM share."""

from baobabwharf_core.clock import Clock
from baobabwharf_core.model import FleetConfig
from baobabwharf_decisions.membership.serving import entry_vms
from baobabwharf_decisions.proxying.retry_budget import VmRetryBudget

from baobabwharf_daemon.decision_log import DecisionLog
from baobabwharf_daemon.proxy.connection_pool import ConnectionPool
from baobabwharf_daemon.proxy.dialect import Dialect
from baobabwharf_daemon.proxy.endpoint_sync import EndpointSync
from baobabwharf_daemon.proxy.placer import Placer


class Tools:
    """Name the parts that an exchange uses."""

    def __init__(
        self,
        clock: Clock,
        dialect: Dialect,
        placer: Placer,
        sync: EndpointSync,
        log: DecisionLog,
    ) -> None:
        self.clock = clock
        self.dialect = dialect
        self.placer = placer
        self.sync = sync
        self.log = log
        self.pool = ConnectionPool(clock)
        self.retries = VmRetryBudget()

    def follow(self, config: FleetConfig) -> None:
        """Follow the number of VMs that share the retry budget."""
        self.retries.follow(len(entry_vms(config.vms.values())))
