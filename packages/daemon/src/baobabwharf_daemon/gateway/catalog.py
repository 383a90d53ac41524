"""Remember which models the fleet serves."""

import time
from collections.abc import Iterable
from typing import final

from baobabwharf_core.ids import ModelId, ServiceId

from baobabwharf_daemon.interfaces import EndpointRegistry, ModelCatalog

# Describing a thousand endpoints costs far more than a routing decision.
REFRESH_S = 0.25
MAX_MODELS = 1024


@final
class RegistryCatalog(ModelCatalog):
    """Know the models of this region and those learnt from summaries.

    A model stays known when its last endpoint here is gone, since another
    region may still serve it; the router decides that.
    """

    def __init__(self, registry: EndpointRegistry) -> None:
        self._registry = registry
        self._models: dict[ModelId, ServiceId] = {}
        self._refresh_at = 0.0

    def models(self) -> dict[ModelId, ServiceId]:
        """Return the service of each model."""
        now = time.monotonic()
        if now >= self._refresh_at:
            self._refresh_at = now + REFRESH_S
            self._refresh()
        return self._models

    def learn(self, models: Iterable[tuple[ModelId, ServiceId]]) -> None:
        """Take the models of another region, e.g. from its summary."""
        for model, service in models:
            if model in self._models or len(self._models) < MAX_MODELS:
                self._models[model] = service

    def _refresh(self) -> None:
        for endpoint in self._registry.describe():
            service = ServiceId(endpoint['service'])
            names = endpoint.get('models', ())
            self.learn((ModelId(name), service) for name in names)
