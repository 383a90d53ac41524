"""Measure memory and idle CPU use of daemons by configuration size."""

import argparse
import asyncio
import sys
import tempfile
from pathlib import Path

import msgspec
import uvloop
from baobabwharf_core.announcements import Heartbeat, LoadReport
from baobabwharf_core.changes import ApplyConfig, ChangeCode
from baobabwharf_core.codec import encode
from baobabwharf_core.fleet_config import FleetConfig
from baobabwharf_core.ids import EndpointId, Incarnation

from baobabwharf_testkit.capacity_fleet_state import Measure, sample_config
from baobabwharf_testkit.fleet import Fleet
from baobabwharf_testkit.fleet_plan import FleetPlan, VmPlan
from baobabwharf_testkit.readiness import FleetError

_CUSTOMER_COUNTS = (1000, 4000, 14_000)
_CHANGE_TIMEOUT_MS = 10_000
_CLOCK_TICKS_PER_S = 100
_BYTES_PER_KIB = 1024
_SETTLE_S = 3.0


class DaemonBench:
    """Run one VM with a disk and one without and read their process counters."""

    def __init__(self, folder: Path, idle_s: float) -> None:
        self._fleet = Fleet(
            FleetPlan(
                vms=(
                    VmPlan('with-disk', 'tunis-a', 'z1', has_disk=True),
                    VmPlan('without-disk', 'tunis-a', 'z2'),
                ),
                log_level='WARNING',
            ),
            folder,
        )
        self._idle_s = idle_s

    async def run(self) -> list[Measure]:
        """Return the measures for all configuration sizes."""
        measures: list[Measure] = []
        try:
            await self._fleet.start()
            for size in (0, *_CUSTOMER_COUNTS):
                await self._apply_config(size)
                measures.extend(await self._measure_daemons(size))
        finally:
            await self._fleet.stop()
        return measures

    async def _apply_config(self, customers: int) -> None:
        config = FleetConfig(customers=sample_config(customers, 0).customers)
        operator = self._fleet.operator()
        outcome = await operator.change(
            ApplyConfig(config), wait_ms=_CHANGE_TIMEOUT_MS
        )
        await operator.close()
        if outcome.code is not ChangeCode.ACCEPTED:
            raise FleetError(f'{outcome.code.value}: {outcome.sentence}')
        await asyncio.sleep(_SETTLE_S)

    async def _measure_daemons(self, size: int) -> list[Measure]:
        pids = {name: vm.process.pid for name, vm in self._fleet.vms.items()}
        before = {name: _cpu_s(pid) for name, pid in pids.items()}
        await asyncio.sleep(self._idle_s)
        measures = []
        for name, pid in pids.items():
            share = (_cpu_s(pid) - before[name]) / self._idle_s
            measures.append(
                Measure(f'daemon {name}', size, 'idle core share', share, '')
            )
            measures.append(
                Measure(f'daemon {name}', size, 'memory', _rss_bytes(pid), 'B')
            )
        return measures


def _cpu_s(pid: int) -> float:
    fields = Path(f'/proc/{pid}/stat').read_text().rsplit(')', 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / _CLOCK_TICKS_PER_S


def _rss_bytes(pid: int) -> int:
    for line in Path(f'/proc/{pid}/status').read_text().splitlines():
        if line.startswith('VmRSS'):
            return int(line.split()[1]) * _BYTES_PER_KIB
    return 0


def message_sizes() -> list[Measure]:
    """Measure the size of messages whose number grows with the fleet."""
    heartbeat = Heartbeat(
        EndpointId('rota-model-tunis-a-001'),
        Incarnation(1_796_360_643_823),
        100_000,
        LoadReport(12, 3, 250, 0.5),
    )
    return [Measure('heartbeat', 1, 'encoded', len(encode(heartbeat)), 'B')]


async def _run(idle_s: float) -> int:
    with tempfile.TemporaryDirectory(prefix='baobabwharf-') as folder:
        measures = await DaemonBench(Path(folder), idle_s).run()
    for measure in (*message_sizes(), *measures):
        print(msgspec.json.encode(measure).decode())
    return 0


def main() -> int:
    """Print each measure as one JSON line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--idle-seconds', type=float, default=8.0)
    return uvloop.run(_run(parser.parse_args().idle_seconds))


if __name__ == '__main__':
    sys.exit(main())
