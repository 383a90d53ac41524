"""Start and stop the HTTP tasks of a VM in order."""

import asyncio
import gc
import ssl
from collections.abc import Callable, Coroutine
from typing import Any

from sanic import Sanic

from baobabwharf_daemon.fail_fast import spawn
from baobabwharf_daemon.gateway.drain import Drain
from baobabwharf_daemon.gateway.http_server import HttpServer
from baobabwharf_daemon.task import Task

BackgroundJob = Callable[[], Coroutine[Any, Any, None]]
_GC_THRESHOLDS = (20_000, 50, 100)


class Listener(Task):
    """Run one HTTP listener as a task."""

    def __init__(
        self,
        app: Sanic,
        host: str,
        port: int,
        context: ssl.SSLContext | None,
        receive_bytes: int | None = None,
    ) -> None:
        self._server = HttpServer(app, host, port, context, receive_bytes)

    async def start(self) -> None:
        """Start to listen."""
        await self._server.start()

    async def stop(self) -> None:
        """Close the listener and its connections."""
        await self._server.stop()


class BackgroundTasks(Task):
    """Run background jobs until stopped."""

    def __init__(self, *jobs: BackgroundJob) -> None:
        self._jobs = jobs
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Start all jobs."""
        self._tasks = [spawn(job()) for job in self._jobs]

    async def stop(self) -> None:
        """Cancel all jobs."""
        for task in self._tasks:
            task.cancel()


class Gateway(Task):
    """Start all HTTP tasks of a VM in order and stop them in reverse."""

    def __init__(self, drain: Drain, tasks: tuple[Task, ...]) -> None:
        self._drain = drain
        self._tasks = tasks
        self._started: list[Task] = []

    @property
    def drain(self) -> Drain:
        """Return the drain: call request_stop() on SIGTERM, then await wait()."""
        return self._drain

    async def start(self) -> None:
        """Open the connection pools, then the listeners."""
        for task in self._tasks:
            await task.start()
            self._started.append(task)
        # With the default thresholds, 256 streams spent a third of their CPU
        # time in frequent collections of the young generation.
        gc.collect()
        gc.freeze()
        gc.set_threshold(*_GC_THRESHOLDS)

    async def stop(self) -> None:
        """Close the listeners, then the connection pools."""
        while self._started:
            await self._started.pop().stop()
