"""Hold the components that all requests of a VM share."""

from baobabwharf_core.clock import Clock
from baobabwharf_core.fleet_config import FleetConfig
from baobabwharf_decisions.membership.proxy_vms import entry_vms
from baobabwharf_decisions.proxying.drain_window import DrainWindow
from baobabwharf_decisions.proxying.retry_budget import VmRetryBudget

from baobabwharf_daemon.decision_log import DecisionLog
from baobabwharf_daemon.proxy.connection_pool import ConnectionPool
from baobabwharf_daemon.proxy.crash_watch import CrashWatch
from baobabwharf_daemon.proxy.dialect import Dialect
from baobabwharf_daemon.proxy.endpoint_selector import EndpointSelector
from baobabwharf_daemon.proxy.endpoint_sync import EndpointSync


class ProxyContext:
    """Give request handlers access to the shared components."""

    def __init__(
        self,
        clock: Clock,
        dialect: Dialect,
        selector: EndpointSelector,
        endpoint_sync: EndpointSync,
        log: DecisionLog,
        crashes: CrashWatch,
    ) -> None:
        self.clock = clock
        self.dialect = dialect
        self.selector = selector
        self.endpoint_sync = endpoint_sync
        self.log = log
        self.crashes = crashes
        self.pool = ConnectionPool(clock)
        self.retry_budget = VmRetryBudget()
        self.drain = DrainWindow()

    def apply_config(self, config: FleetConfig) -> None:
        """Apply the number of entry VMs that share the retry budget."""
        self.retry_budget.set_vm_count(len(entry_vms(config.vms.values())))
