"""Inject faults into simulated endpoints."""

import asyncio
import random

import aiohttp

from baobabwharf_testkit.endpoint_control import FAULTS_PATH
from baobabwharf_testkit.fleet import Fleet
from baobabwharf_testkit.fleet_processes import EndpointInstance
from baobabwharf_testkit.soak_actions import Action, EventPrinter

_TIMEOUT_S = 3.0
_STOP_TIMEOUT_MS = 20_000


class EndpointFaultInjector:
    """Stop and kill endpoints and make them respond wrongly."""

    def __init__(self, fleet: Fleet, printer: EventPrinter, seed: str) -> None:
        self._fleet = fleet
        self._printer = printer
        self._random = random.Random(seed)

    def actions(self) -> list[Action]:
        """Return all actions."""
        return [
            self.stop_endpoint,
            self.kill_engine,
            self.delay_responses,
            self.cross_responses,
            self.break_responses,
            self.refuse_calls,
        ]

    def planned_actions(self) -> list[Action]:
        """Return the actions of planned maintenance."""
        return [self.stop_endpoint]

    async def stop_endpoint(self) -> None:
        """Stop an endpoint gracefully and start it again."""
        name = self._random.choice(sorted(self._fleet.endpoints))
        instance = self._fleet.endpoints[name]
        self._printer.report(f'Endpoint {name} is stopped.')
        code = await instance.process.terminate(_STOP_TIMEOUT_MS)
        if code != 0:
            self._printer.report(f'Endpoint {name} ended with code {code}.')
        await self._pause(0.5, 2)
        instance.process.start()
        self._printer.report(f'Endpoint {name} is started again.')

    async def kill_engine(self) -> None:
        """Kill an engine and start it again."""
        instance = self._draw_engine()
        name = instance.plan.endpoint_id
        self._printer.report(f'Engine {name} is killed.')
        instance.process.kill()
        await self._pause(1, 3)
        instance.process.start()
        self._printer.report(f'Engine {name} is started again.')

    async def delay_responses(self) -> None:
        """Make an endpoint respond late."""
        await self._set_faults('late', late_ms=1500, late_next=4)

    async def cross_responses(self) -> None:
        """Make an endpoint send responses to other requests."""
        await self._set_faults('crossed', cross_next=3)

    async def break_responses(self) -> None:
        """Make an endpoint break connections in the middle of a response."""
        await self._set_faults('broken', break_next=3, break_after_tokens=4)

    async def refuse_calls(self) -> None:
        """Make an endpoint refuse calls as not executed."""
        await self._set_faults('refused', refuse_next=4)

    async def _set_faults(self, sentence: str, **faults: int) -> None:
        name = self._random.choice(sorted(self._fleet.endpoints))
        instance = self._fleet.endpoints[name]
        timeout = aiohttp.ClientTimeout(total=_TIMEOUT_S)
        self._printer.report(
            f'The next responses of endpoint {name} are {sentence}.'
        )
        async with aiohttp.ClientSession(timeout=timeout) as session:
            try:
                await session.post(instance.url + FAULTS_PATH, json=faults)
            except (aiohttp.ClientError, OSError, TimeoutError) as error:
                self._printer.report(
                    f'Endpoint {name} accepted no faults: {error!r}.'
                )

    async def _pause(self, min_s: float, max_s: float) -> None:
        await asyncio.sleep(self._random.uniform(min_s, max_s))

    def _draw_engine(self) -> EndpointInstance:
        instances = [
            instance
            for instance in self._fleet.endpoints.values()
            if 'models' in instance.plan.extra_settings
        ]
        return self._random.choice(instances)
