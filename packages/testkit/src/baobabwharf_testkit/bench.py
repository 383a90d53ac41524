"""Measure the gateway beside a bare pass-through in one run."""

import argparse
import statistics
import sys
import tempfile
from pathlib import Path
from typing import Any

import msgspec
import uvloop

from baobabwharf_testkit.calls import CallKind, completion_call
from baobabwharf_testkit.fleet import Fleet
from baobabwharf_testkit.fleet_plan import (
    ROTAWEN,
    FleetPlan,
    VmPlan,
    engine_plan,
)
from baobabwharf_testkit.fleet_setup import set_up_customers, set_up_services
from baobabwharf_testkit.ports import free_port
from baobabwharf_testkit.processes import ManagedProcess
from baobabwharf_testkit.raw_client import Measurement, measure, request_bytes
from baobabwharf_testkit.readiness import FleetError, Probe, wait_until_ready
from baobabwharf_testkit.tables import format_table
from baobabwharf_testkit.workload import CustomerPlan

_REGION = 'bench-a'
_TOKENS = 16
# Enough that the engines are never the slowest part.
_ENGINES = 4
_SLOTS = 1024
_UNLIMITED = 1_000_000_000
_SMALL_CHARS = 200
_LARGE_CHARS = 64 * 1024
_RESULTS = Path('build') / 'bench.jsonl'
_WARM_UP_S = 0.5
_WARM_UP_TRIES = 20
_READY_MS = 20_000
_STOP_MS = 10_000
_PATHS = ('direct', 'bare', 'gateway')
_PERCENTILES = (50.0, 99.0)
_HEADERS = (
    'prompt',
    'streams',
    'direct/s',
    'bare/s',
    'gateway/s',
    'throughput ratio',
    'added p50 ratio',
    'added p99 ratio',
    'failed',
)


class Bench:
    """Own one daemon, two engines and one bare pass-through."""

    def __init__(self, folder: Path) -> None:
        vm = VmPlan('bench-vm1', _REGION, 'z1', has_disk=True)
        plan = FleetPlan(vms=(vm,), log_level='WARNING')
        self._fleet = Fleet(plan, folder)
        self._bare_port = free_port()
        self._folder = folder
        self._bare: ManagedProcess | None = None
        self._key = ''

    async def start(self) -> None:
        """Start everything and create the configuration."""
        await self._fleet.start()
        operator = self._fleet.operator()
        await set_up_services(self._fleet, operator, ROTAWEN)
        customer = CustomerPlan('bench', _REGION, _UNLIMITED, _UNLIMITED)
        keys = await set_up_customers(operator, (customer,))
        await operator.close()
        self._key = keys['bench']
        self._start_engines()
        engines = self._fleet.endpoints
        await self._fleet.wait_registered(*engines)
        urls = [unit.url for unit in engines.values()]
        self._bare = ManagedProcess(
            'baobabwharf_testkit.passthrough',
            [f'--port={self._bare_port}', *urls],
            self._folder / 'passthrough.log',
        )
        self._bare.start()
        url = f'http://127.0.0.1:{self._bare_port}/health'
        await wait_until_ready([Probe(url, self._bare)], True, _READY_MS)

    async def stop(self) -> None:
        """Stop everything."""
        if self._bare is not None:
            await self._bare.terminate(_STOP_MS)
        await self._fleet.stop()

    async def run_cell(
        self, chars: int, streams: int, rounds: int, duration_s: float
    ) -> dict[str, Any]:
        """Measure one size and number of streams in alternating rounds."""
        request = self._request(chars)
        all_ports = [self._ports(path) for path in _PATHS]
        for ports in all_ports:
            await self._warm_up(ports, request, streams)
        results: dict[str, list[Measurement]] = {name: [] for name in _PATHS}
        for _ in range(rounds):
            for path, ports in zip(_PATHS, all_ports, strict=True):
                results[path].append(
                    await measure(ports, request, streams, duration_s)
                )
        return _summarise(chars, streams, duration_s, results)

    async def _warm_up(
        self, ports: tuple[int, ...], request: bytes, streams: int
    ) -> None:
        # A new customer's tokens are lent only after one chunk lifetime.
        for _ in range(_WARM_UP_TRIES):
            measured = await measure(ports, request, streams, _WARM_UP_S)
            if not measured.failed:
                return
        raise FleetError(f'Streams fail: {measured.sample!r}')

    def _start_engines(self) -> None:
        for number in range(1, _ENGINES + 1):
            plan = engine_plan(ROTAWEN, _REGION, number, 0)
            plan.extra.update(
                slots=_SLOTS,
                prefill_tokens_per_s=0,
                cache_blocks=0,
                records_requests=False,
            )
            self._fleet.add_endpoint(plan)

    def _ports(self, path: str) -> tuple[int, ...]:
        if path == 'bare':
            return (self._bare_port,)
        if path == 'direct':
            return tuple(unit.port for unit in self._fleet.endpoints.values())
        return tuple(vm.ports['caller_port'] for vm in self._fleet.vms.values())

    def _request(self, chars: int) -> bytes:
        prompt = 'roof ' * (chars // 5)
        call = completion_call(
            CallKind.CHAT, ROTAWEN.model_service, prompt, _TOKENS
        )
        headers = {'Authorization': f'Bearer {self._key}'}
        return request_bytes(call.path, call.body, headers)


def _summarise(
    chars: int,
    streams: int,
    duration_s: float,
    results: dict[str, list[Measurement]],
) -> dict[str, Any]:
    rates = {
        path: statistics.median(one.complete / duration_s for one in measured)
        for path, measured in results.items()
    }
    times = {
        path: [
            statistics.median(
                one.total_us.get_value_at_percentile(share) for one in measured
            )
            for share in _PERCENTILES
        ]
        for path, measured in results.items()
    }
    added = [
        _ratio(gateway - direct, bare - direct)
        for direct, bare, gateway in zip(
            *(times[path] for path in _PATHS), strict=True
        )
    ]
    return {
        'prompt_chars': chars,
        'streams': streams,
        'streams_per_s': rates,
        'whole_us_p50_p99': times,
        'throughput_ratio': _ratio(rates['gateway'], rates['bare']),
        'added_p50_ratio': added[0],
        'added_p99_ratio': added[1],
        'failed': {
            path: sum(one.failed for one in measured)
            for path, measured in results.items()
        },
        'failed_sample': results['gateway'][-1].sample.decode(errors='replace'),
    }


def _ratio(value: float, baseline: float) -> float | None:
    return round(value / baseline, 3) if baseline > 0 else None


def _row(cell: dict[str, Any]) -> list[str]:
    rates = cell['streams_per_s']
    return [
        str(cell['prompt_chars']),
        str(cell['streams']),
        *(f'{rates[path]:.0f}' for path in _PATHS),
        str(cell['throughput_ratio']),
        str(cell['added_p50_ratio']),
        str(cell['added_p99_ratio']),
        str(sum(cell['failed'].values())),
    ]


async def _run(rounds: int, duration_s: float) -> int:
    _RESULTS.parent.mkdir(exist_ok=True)
    cells = []
    with tempfile.TemporaryDirectory(prefix='baobabwharf-') as folder:
        bench = Bench(Path(folder))
        try:
            await bench.start()
            for chars in (_SMALL_CHARS, _LARGE_CHARS):
                for streams in (1, 32, 256):
                    cell = await bench.run_cell(
                        chars, streams, rounds, duration_s
                    )
                    cells.append(cell)
                    print(msgspec.json.encode(cell).decode(), flush=True)
        finally:
            await bench.stop()
    lines = [msgspec.json.encode(cell).decode() for cell in cells]
    _RESULTS.write_text('\n'.join(lines) + '\n')
    print(format_table(_HEADERS, [_row(cell) for cell in cells]))
    return 1 if any(sum(cell['failed'].values()) for cell in cells) else 0


def main() -> int:
    """Run all cells; return 1 if a stream failed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--rounds', type=int, default=5)
    parser.add_argument('--seconds', type=float, default=2.0)
    chosen = parser.parse_args()
    return uvloop.run(_run(chosen.rounds, chosen.seconds))


if __name__ == '__main__':
    sys.exit(main())
