"""Serve any path as a simulated plain service."""

import asyncio

from aiohttp import web
from baobabwharf_core.announcements import REQUEST_ID_HEADER

from baobabwharf_testkit.endpoint_engine import Slots
from baobabwharf_testkit.endpoint_model import (
    EndpointSettings,
    Faults,
    Records,
    Run,
)
from baobabwharf_testkit.endpoint_openai import refusal_response
from baobabwharf_testkit.expected_responses import body_digest, sheet_text

_CROSSED = 'crossed-answer'
_MS_PER_S = 1000
_READ_METHODS = frozenset(('GET', 'HEAD'))


class PlainService:
    """Answer any path with its job sheet and record each booking."""

    def __init__(
        self,
        settings: EndpointSettings,
        slots: Slots,
        records: Records,
        faults: Faults,
    ) -> None:
        self._settings = settings
        self._slots = slots
        self._records = records
        self._faults = faults

    def routes(self) -> list[web.RouteDef]:
        """Return the route that takes any path."""
        return [web.route('*', '/{path:.*}', self._serve)]

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        if self._faults.consume('refuse_next'):
            return refusal_response(request)
        body = await request.read()
        await self._slots.acquire(0)
        try:
            return await self._run(request, body)
        finally:
            self._slots.release()

    async def _run(
        self, request: web.Request, body: bytes
    ) -> web.StreamResponse:
        run = _describe(request, body)
        if request.method not in _READ_METHODS:
            self._records.add_run(run)
        await asyncio.sleep(self._settings.service_ms / _MS_PER_S)
        if self._faults.consume('late_next'):
            await asyncio.sleep(self._faults.late_ms / _MS_PER_S)
        if self._faults.consume('break_next') and request.transport is not None:
            request.transport.abort()
        crossed = self._faults.consume('cross_next')
        response_id = _CROSSED if crossed else run.request_id
        return web.json_response(
            {
                'endpoint_id': self._settings.endpoint_id,
                'method': run.method,
                'path': run.path,
                'body_digest': _CROSSED if crossed else run.body_digest,
                'sheet': sheet_text(run.path),
            },
            status=500 if self._faults.consume('fail_next') else 200,
            headers={REQUEST_ID_HEADER: response_id},
        )


def _describe(request: web.Request, body: bytes) -> Run:
    return Run(
        method=request.method,
        path=request.path_qs,
        request_id=request.headers.get(REQUEST_ID_HEADER, ''),
        idempotency_key=request.headers.get('Idempotency-Key', ''),
        body_digest=body_digest(body),
    )
