"""Decide whether the fleet is large enough to use relays."""

from typing import final

from baobabwharf_decisions.membership.proxy_vms import entry_vms
from baobabwharf_decisions.membership.relay_selector import needs_relays

from baobabwharf_daemon.interfaces import ConfigSource


@final
class RelayMode:
    """Derive the use of relays from the number of registered entry VMs."""

    def __init__(self, source: ConfigSource) -> None:
        self._source = source
        self._revision = -1
        self._active = False

    @property
    def active(self) -> bool:
        """Return whether VMs report to relays instead of to each other."""
        config = self._source.config
        if config.revision != self._revision:
            self._revision = config.revision
            self._active = needs_relays(len(entry_vms(config.vms.values())))
        return self._active
