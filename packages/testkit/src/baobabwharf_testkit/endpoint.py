"""Run a simulated endpoint: an engine or a plain service."""

import argparse
import asyncio
import logging
import os
import signal
import sys
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

import msgspec
import uvloop
from aiohttp import web

from baobabwharf_testkit.endpoint_announce import (
    Announcer,
    build_announcement,
)
from baobabwharf_testkit.endpoint_control import Control
from baobabwharf_testkit.endpoint_engine import Engine, LoadHistory
from baobabwharf_testkit.endpoint_model import (
    EndpointKind,
    EndpointSettings,
    Faults,
    Records,
)
from baobabwharf_testkit.endpoint_openai import OpenAi
from baobabwharf_testkit.endpoint_service import PlainService

_LOAD_SAMPLE_INTERVAL_S = 0.05
_MAX_BODY_BYTES = 64 * 1024 * 1024
_MS_PER_S = 1000
_NS_PER_MS = 1_000_000
_SHUTDOWN_S = 1.0

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class Endpoint:
    """Run the listener, engine and announcer of a simulated endpoint."""

    def __init__(self, settings: EndpointSettings) -> None:
        self._settings = settings
        self._engine = Engine(settings)
        self._records = Records()
        self._faults = Faults()
        self._active_requests = 0
        self._idle = asyncio.Event()
        self._idle.set()
        self._runner: web.AppRunner | None = None
        self._tasks: list[asyncio.Task[None]] = []
        self._announcer: Announcer | None = None
        self._history = LoadHistory(settings.load_lag_ms, _now_ms)

    @property
    def url(self) -> str:
        """Return the URL at which the endpoint listens."""
        return f'http://{self._settings.host}:{self._settings.port}'

    async def start(self) -> None:
        """Start listening and announcing."""
        application = self._application()
        self._runner = web.AppRunner(
            application,
            handler_cancellation=True,
            access_log=None,
            shutdown_timeout=_SHUTDOWN_S,
        )
        await self._runner.setup()
        site = web.TCPSite(
            self._runner, self._settings.host, self._settings.port
        )
        await site.start()
        self._settings.port = self._runner.addresses[0][1]
        self._announcer = Announcer(
            self._settings,
            build_announcement(self._settings, self.url, _wall_ms()),
            self._engine,
            self._history,
            self._faults,
        )
        self._tasks = [
            asyncio.create_task(self._announcer.run()),
            asyncio.create_task(self._sample_load()),
        ]

    async def leave(self) -> None:
        """Announce leaving, finish the running requests and close."""
        if self._announcer is not None:
            await self._announcer.leave()
        await asyncio.sleep(self._settings.leave_grace_ms / _MS_PER_S)
        await self._idle.wait()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._runner is not None:
            await self._runner.cleanup()
        self._save_records()

    def _save_records(self) -> None:
        folder = self._settings.records_folder
        if folder is not None:
            name = f'{self._settings.endpoint_id}-{os.getpid()}.json'
            encoded = msgspec.json.encode(self._records.page())
            Path(folder, name).write_bytes(encoded)

    def _application(self) -> web.Application:
        control = Control(
            self._settings, self._engine, self._records, self._faults
        )

        @web.middleware
        async def record(
            request: web.Request, handler: Handler
        ) -> web.StreamResponse:
            control.record(request)
            self._count_active(1)
            try:
                return await handler(request)
            finally:
                self._count_active(-1)

        application = web.Application(
            middlewares=[record], client_max_size=_MAX_BODY_BYTES
        )
        application.add_routes(control.routes())
        application.add_routes([web.get('/health', self._health)])
        if self._settings.kind is EndpointKind.ENGINE:
            openai = OpenAi(self._settings, self._engine, self._faults)
            application.add_routes(openai.routes())
        else:
            service = PlainService(
                self._settings,
                self._engine.slots,
                self._records,
                self._faults,
            )
            application.add_routes(service.routes())
        return application

    def _count_active(self, change: int) -> None:
        self._active_requests += change
        if self._active_requests:
            self._idle.clear()
        else:
            self._idle.set()

    async def _health(self, request: web.Request) -> web.Response:
        announcer = self._announcer
        registered = announcer is not None and announcer.registered
        leaving = announcer is not None and announcer.leaving
        return web.json_response({'registered': registered, 'leaving': leaving})

    async def _sample_load(self) -> None:
        while True:
            self._history.record(self._engine.load())
            await asyncio.sleep(_LOAD_SAMPLE_INTERVAL_S)


async def _serve(settings: EndpointSettings) -> None:
    endpoint = Endpoint(settings)
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopping.set)
    await endpoint.start()
    print(endpoint.url, flush=True)
    await stopping.wait()
    await endpoint.leave()


def _now_ms() -> int:
    return time.monotonic_ns() // _NS_PER_MS


def _wall_ms() -> int:
    return time.time_ns() // _NS_PER_MS


def _parse_arguments(arguments: list[str]) -> EndpointSettings:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--config', type=Path, help='JSON settings file')
    parser.add_argument(
        '--set',
        action='append',
        default=[],
        metavar='NAME=JSON',
        help='set one setting, for example --set slots=4',
    )
    options = parser.parse_args(arguments)
    table = {}
    if options.config:
        table = msgspec.json.decode(options.config.read_bytes(), type=dict)
    for assignment in options.set:
        name, _equals, text = assignment.partition('=')
        table[name] = _parse_value(text)
    return msgspec.convert(table, EndpointSettings)


def _parse_value(text: str) -> object:
    try:
        return msgspec.json.decode(text)
    except msgspec.DecodeError:
        return text


def main(arguments: list[str] | None = None) -> int:
    """Serve until SIGTERM; return 2 on invalid settings."""
    logging.basicConfig(level=logging.INFO)
    try:
        settings = _parse_arguments(
            sys.argv[1:] if arguments is None else arguments
        )
    except (OSError, msgspec.MsgspecError) as error:
        print(f'Invalid settings: {error}', file=sys.stderr)
        return 2
    uvloop.run(_serve(settings))
    return 0


if __name__ == '__main__':
    sys.exit(main())
