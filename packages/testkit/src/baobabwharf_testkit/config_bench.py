"""Measure how fast changes are accepted and take effect on nine VMs."""

import argparse
import asyncio
import os
import statistics
import sys
import tempfile
import time
from pathlib import Path

import msgspec
import uvloop
from baobabwharf_core.changes import ChangeCode, CreateCustomer
from baobabwharf_core.fleet_config import Customer
from baobabwharf_core.ids import CustomerId

from baobabwharf_testkit.fleet import Fleet
from baobabwharf_testkit.fleet_plan import FleetPlan, LinkPlan, region_vms
from baobabwharf_testkit.operator_client import OperatorClient
from baobabwharf_testkit.readiness import FleetError

_REGIONS = ('tunis-a', 'sfax-a', 'sousse-a')
_VMS_PER_REGION = 3
_LINK_DELAY_MS = 25.0
_IN_FORCE_WAIT_MS = 5000
_MS_PER_S = 1000
_P99 = 99
_SYNC_COUNT = 50
_SYNC_BYTES = 200
_LEADER_TIMEOUT_S = 20.0


class LatencySummary(msgspec.Struct, frozen=True):
    """Summarise the samples of one measure in ms."""

    measure: str
    p50_ms: float
    p99_ms: float
    samples: int


def _summarise(measure: str, samples: list[float]) -> LatencySummary:
    cuts = statistics.quantiles(samples, n=100, method='inclusive')
    return LatencySummary(
        measure, statistics.median(samples), cuts[_P99 - 1], len(samples)
    )


class ConfigBench:
    """Time changes in a fleet whose links go through fault proxies."""

    def __init__(self, folder: Path, changes: int) -> None:
        self._folder = folder
        self._changes = changes
        self._created = 0
        plan = FleetPlan(
            vms=region_vms(_REGIONS, _VMS_PER_REGION),
            link=LinkPlan(delay_ms=_LINK_DELAY_MS),
            proxied=True,
            log_level='WARNING',
        )
        self._fleet = Fleet(plan, folder)

    async def run(self) -> list[LatencySummary]:
        """Return all measures."""
        try:
            await self._fleet.start()
            return [
                _summarise('one sync of this disk', self._time_disk_syncs()),
                _summarise(
                    'accepted at the leader', await self._time_at_leader()
                ),
                _summarise(
                    'accepted at any VM', await self._time_at_all_vms(0)
                ),
                _summarise(
                    'in force on 9 of 9',
                    await self._time_at_all_vms(_IN_FORCE_WAIT_MS),
                ),
                _summarise(
                    'without a leader after a kill',
                    await self._time_failovers(),
                ),
            ]
        finally:
            await self._fleet.stop()

    def _time_disk_syncs(self) -> list[float]:
        samples: list[float] = []
        with (self._folder / 'sync').open('wb', buffering=0) as file:
            while len(samples) < _SYNC_COUNT:
                started = time.perf_counter()
                file.write(bytes(_SYNC_BYTES))
                os.fsync(file.fileno())
                samples.append((time.perf_counter() - started) * _MS_PER_S)
        return samples

    async def _time_at_leader(self) -> list[float]:
        return await self._time_changes([await self._wait_for_leader()], 0)

    async def _time_at_all_vms(self, wait_ms: int) -> list[float]:
        return await self._time_changes(list(self._fleet.vms), wait_ms)

    async def _time_changes(
        self, vm_ids: list[str], wait_ms: int
    ) -> list[float]:
        operators = [self._fleet.operator(vm_id) for vm_id in vm_ids]
        samples: list[float] = []
        for number in range(self._changes):
            operator = operators[number % len(operators)]
            samples.append(await self._time_change(operator, wait_ms))
        for operator in operators:
            await operator.close()
        return samples

    async def _time_change(
        self, operator: OperatorClient, wait_ms: int
    ) -> float:
        self._created += 1
        customer = Customer(CustomerId(f'customer-{self._created}'), 100, 100)
        started = time.perf_counter()
        outcome = await operator.change(
            CreateCustomer(customer), wait_ms=wait_ms, attempts=100
        )
        if outcome.code is not ChangeCode.ACCEPTED:
            raise FleetError(f'{outcome.code.value}: {outcome.sentence}')
        return (time.perf_counter() - started) * _MS_PER_S

    async def _wait_for_leader(self) -> str:
        deadline_s = time.monotonic() + _LEADER_TIMEOUT_S
        while time.monotonic() < deadline_s:
            leader = await self._find_leader()
            if leader:
                return leader
            await asyncio.sleep(0.1)
        raise FleetError('No leader was elected in time.')

    async def _find_leader(self) -> str:
        operator = self._fleet.operator()
        status = await operator.get('/operator/v1/status')
        await operator.close()
        if not status:
            return ''
        leaders = [
            str(vm['vm_id'])
            for vm in status['vms']
            if vm['role'] == 'leader' and vm['alive']
        ]
        return leaders[0] if leaders else ''

    async def _time_failovers(self) -> list[float]:
        """Kill the leader and time until another VM accepts a change."""
        samples: list[float] = []
        while len(samples) < len(_REGIONS):
            leader = await self._wait_for_leader()
            self._fleet.vms[leader].process.kill()
            others = [vm for vm in self._fleet.vms if vm != leader]
            operator = self._fleet.operator(others[0])
            samples.append(await self._time_change(operator, 0))
            await operator.close()
            await self._fleet.restart(leader)
            # The status of other VMs is refreshed every five seconds.
            await asyncio.sleep(_IN_FORCE_WAIT_MS / _MS_PER_S)
        return samples


async def _run(changes: int) -> int:
    with tempfile.TemporaryDirectory(prefix='baobabwharf-') as folder:
        summaries = await ConfigBench(Path(folder), changes).run()
    print(f'{_VMS_PER_REGION * len(_REGIONS)} VMs, {_LINK_DELAY_MS} ms one way')
    for summary in summaries:
        print(msgspec.json.encode(summary).decode())
    return 0


def main() -> int:
    """Print each measure as one JSON line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--changes', type=int, default=30)
    return uvloop.run(_run(parser.parse_args().changes))


if __name__ == '__main__':
    sys.exit(main())
