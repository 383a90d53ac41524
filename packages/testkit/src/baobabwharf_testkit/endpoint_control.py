"""Serve the control paths of a simulated endpoint."""

from collections import Counter
from typing import Any

import msgspec
from aiohttp import web
from baobabwharf_core.announcements import (
    CANCEL_PATH,
    KV_EXPORT_PATH,
    KV_IMPORT_PATH,
    ORDERS_PATH,
    REQUEST_ID_HEADER,
    STATE_PATH,
)

from baobabwharf_testkit.endpoint_engine import Engine
from baobabwharf_testkit.endpoint_model import (
    EndpointSettings,
    Faults,
    Records,
    SeenRequest,
)

SEEN_PATH = '/control/seen'
RUNS_PATH = '/control/runs'
FAULTS_PATH = '/control/faults'
_UNRECORDED = frozenset((SEEN_PATH, RUNS_PATH, FAULTS_PATH))


class Control:
    """Handle orders and cancellations, and expose records to tests."""

    def __init__(
        self,
        settings: EndpointSettings,
        engine: Engine,
        records: Records,
        faults: Faults,
    ) -> None:
        self._settings = settings
        self._engine = engine
        self._records = records
        self._faults = faults
        self._highest_token = 0
        self._role = 'both'
        self._orders: list[dict[str, Any]] = []

    def routes(self) -> list[web.RouteDef]:
        """Return the control routes."""
        return [
            web.post(CANCEL_PATH, self._cancel),
            web.post(ORDERS_PATH, self._order),
            web.get(STATE_PATH, self._state),
            web.post(KV_EXPORT_PATH, self._export),
            web.post(KV_IMPORT_PATH, self._import),
            web.get(SEEN_PATH, self._seen),
            web.get(RUNS_PATH, self._runs),
            web.post(FAULTS_PATH, self._set_faults),
            web.get(FAULTS_PATH, self._get_faults),
        ]

    def record(self, request: web.Request) -> None:
        """Record a request, except the control calls of tests."""
        if request.path in _UNRECORDED or not self._settings.records_requests:
            return
        headers = request.headers
        seen = SeenRequest(
            method=request.method,
            url=request.path_qs,
            request_id=headers.get(REQUEST_ID_HEADER, ''),
            headers=dict(headers),
        )
        self._records.add_seen(seen)

    async def _cancel(self, request: web.Request) -> web.Response:
        body = await request.json()
        cancelled = self._engine.cancel(str(body.get('request_id', '')))
        return web.json_response({'cancelled': cancelled})

    async def _order(self, request: web.Request) -> web.Response:
        order = await request.json()
        token = int(order.get('fencing_token', 0))
        if self._settings.checks_fencing and token < self._highest_token:
            return web.json_response(
                {'accepted': False, 'fencing_token': self._highest_token},
                status=409,
            )
        self._highest_token = max(token, self._highest_token)
        self._apply(order)
        return web.json_response({'accepted': True, 'fencing_token': token})

    def _apply(self, order: dict[str, Any]) -> None:
        self._orders.append(order)
        self._role = order.get('role') or self._role
        models = self._settings.models
        model = order.get('model')
        if model and order.get('kind') == 'unload_model':
            self._settings.models = tuple(
                name for name in models if name != model
            )
        elif model and model not in models:
            self._settings.models = (*models, model)
        adapter = order.get('adapter')
        if adapter and adapter not in self._settings.adapters:
            self._settings.adapters = (*self._settings.adapters, adapter)

    async def _state(self, request: web.Request) -> web.Response:
        return web.json_response(
            {
                'endpoint_id': self._settings.endpoint_id,
                'models': self._settings.models,
                'adapters': self._settings.adapters,
                'role': self._role,
                'fencing_token': self._highest_token,
                'orders': self._orders,
                'running': self._engine.slots.running,
                'queued': self._engine.slots.queued,
                'cancelled': self._engine.cancelled,
            }
        )

    async def _export(self, request: web.Request) -> web.Response:
        return web.json_response({'blocks': self._engine.cache.blocks})

    async def _import(self, request: web.Request) -> web.Response:
        body = await request.json()
        blocks = tuple(int(block) for block in body['blocks'])
        self._engine.cache.store(blocks)
        return web.json_response({'blocks': len(blocks)})

    async def _seen(self, request: web.Request) -> web.Response:
        return _json_response(
            {'dropped': self._records.dropped, 'seen': self._records.seen}
        )

    async def _runs(self, request: web.Request) -> web.Response:
        runs = self._records.runs
        counts = Counter(run.request_id for run in runs)
        return _json_response({'runs': runs, 'counts': counts})

    async def _set_faults(self, request: web.Request) -> web.Response:
        try:
            new_faults = msgspec.json.decode(await request.read(), type=Faults)
        except msgspec.MsgspecError as error:
            return web.json_response({'error': str(error)}, status=400)
        for name in Faults.__struct_fields__:
            setattr(self._faults, name, getattr(new_faults, name))
        return _json_response(self._faults)

    async def _get_faults(self, request: web.Request) -> web.Response:
        return _json_response(self._faults)


def _json_response(value: object) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(value), content_type='application/json'
    )
