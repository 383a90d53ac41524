"""Track the load of endpoints as reported by the VMs of this region."""

from collections.abc import Iterable, Mapping
from typing import final

from baobabwharf_core.clock import Clock
from baobabwharf_core.deployment import DeployedService
from baobabwharf_core.ids import EndpointId, ServiceId, VmId
from baobabwharf_decisions.proxying.endpoint_load import (
    NO_LOAD,
    EndpointLoad,
    LoadShare,
)
from baobabwharf_decisions.proxying.endpoint_table import (
    EndpointRecord,
    EndpointTable,
)

# Part of an engine's cache for prompts; generated tokens take the rest.
_PROMPT_CACHE_SHARE = 0.85
# Cache size before the deployment is known; no requests are sent until then.
_UNKNOWN_CACHE_TOKENS = 0


@final
class LoadTracker:
    """Hold the load of the current incarnation of each endpoint."""

    def __init__(self, clock: Clock, endpoint_table: EndpointTable) -> None:
        self._clock = clock
        self._endpoint_table = endpoint_table
        self._cache_tokens: dict[ServiceId, int] = {}
        self._loads: dict[EndpointId, tuple[int, EndpointLoad]] = {}

    def resize_caches(self, services: Iterable[DeployedService]) -> None:
        """Apply the cache sizes of the deployment's engines."""
        self._cache_tokens = {
            service.name: int(service.engine.cache_tokens * _PROMPT_CACHE_SHARE)
            for service in services
            if service.engine is not None
        }
        for endpoint_id, (_incarnation, load) in self._loads.items():
            entry = self._endpoint_table.entries.get(endpoint_id)
            if entry is not None:
                load.cache.resize(self._cache_size(entry.record))

    def load(self, record: EndpointRecord) -> EndpointLoad:
        """Return the load of an endpoint, a new one for a new incarnation."""
        known = self._loads.get(record.endpoint_id)
        if known is None or known[0] != record.incarnation:
            known = (
                record.incarnation,
                EndpointLoad(self._cache_size(record)),
            )
            self._loads[record.endpoint_id] = known
        return known[1]

    def own_shares(self) -> dict[EndpointId, LoadShare]:
        """Return this VM's share of the load of each endpoint in use."""
        now_ms = self._clock.now_ms()
        shares = {
            endpoint_id: load.share(now_ms)
            for endpoint_id, (_incarnation, load) in self._loads.items()
        }
        return {
            endpoint_id: share
            for endpoint_id, share in shares.items()
            if share != NO_LOAD
        }

    def own_plain_shares(self) -> dict[EndpointId, LoadShare]:
        """Return this VM's shares of endpoints that are not engines."""
        entries = self._endpoint_table.entries
        return {
            endpoint_id: share
            for endpoint_id, share in self.own_shares().items()
            if endpoint_id in entries
            and entries[endpoint_id].record.service not in self._cache_tokens
        }

    def update_shares(
        self, vm_id: VmId, shares: Mapping[EndpointId, LoadShare]
    ) -> None:
        """Replace the load shares of another VM.

        An endpoint missing from shares has no load from that VM.
        """
        now_ms = self._clock.now_ms()
        for endpoint_id, (_incarnation, load) in self._loads.items():
            if endpoint_id not in shares:
                load.drop_share(vm_id)
        for endpoint_id, share in shares.items():
            entry = self._endpoint_table.entries.get(endpoint_id)
            if entry is not None:
                self.load(entry.record).note_share(vm_id, share, now_ms)

    def _cache_size(self, record: EndpointRecord) -> int:
        return self._cache_tokens.get(record.service, _UNKNOWN_CACHE_TOKENS)

    def drop_stale(self, silence_timeout_ms: int) -> None:
        """Drop the shares of silent VMs and the loads of removed endpoints."""
        now_ms = self._clock.now_ms()
        for endpoint_id in tuple(self._loads):
            load = self._loads[endpoint_id][1]
            if endpoint_id in self._endpoint_table.entries:
                load.drop_silent_vms(silence_timeout_ms, now_ms)
            elif not load.running:
                self._loads.pop(endpoint_id)
