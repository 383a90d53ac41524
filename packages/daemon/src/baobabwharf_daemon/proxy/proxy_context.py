"""Hold the components that all requests of a VM share."""

import asyncio

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

_MS_PER_S = 1000


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
        # Time-outs of the running requests, which a drain may shorten.
        self.timeouts: set[asyncio.Timeout] = set()

    def begin_drain(self, length_ms: int) -> None:
        """Begin the drain; requests that run to its end are answered then."""
        now_ms = self.clock.now_ms()
        self.drain.begin(now_ms, length_ms)
        left_s = (self.drain.last_answer_ms - now_ms) / _MS_PER_S
        end_s = asyncio.get_running_loop().time() + left_s
        for timeout in self.timeouts:
            when_s = timeout.when()
            if not timeout.expired() and (when_s is None or when_s > end_s):
                timeout.reschedule(end_s)

    def apply_config(self, config: FleetConfig) -> None:
        """Apply the number of entry VMs that share the retry budget."""
        self.retry_budget.set_vm_count(len(entry_vms(config.vms.values())))
