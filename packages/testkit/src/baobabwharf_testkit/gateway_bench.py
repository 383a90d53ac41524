"""Compare the gateway with a pass-through proxy and with direct calls."""

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
_OUTPUT_TOKENS = 16
# Enough capacity that the engines are never the bottleneck.
_ENGINES = 4
_SLOTS = 1024
_UNLIMITED_TOKENS = 1_000_000_000
_SMALL_PROMPT_CHARS = 200
_LARGE_PROMPT_CHARS = 64 * 1024
_RESULTS = Path('build') / 'bench.jsonl'
_WARM_UP_S = 0.5
_WARM_UP_ATTEMPTS = 20
_READY_TIMEOUT_MS = 20_000
_STOP_TIMEOUT_MS = 10_000
_PATHS = ('direct', 'bare', 'gateway')
_PERCENTILES = (50.0, 99.0)
_COLUMNS = (
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


class GatewayBench:
    """Run one daemon, its engines and a pass-through proxy."""

    def __init__(self, folder: Path) -> None:
        vm = VmPlan('bench-vm1', _REGION, 'z1', has_disk=True)
        plan = FleetPlan(vms=(vm,), log_level='WARNING')
        self._fleet = Fleet(plan, folder)
        self._passthrough_port = free_port()
        self._folder = folder
        self._passthrough: ManagedProcess | None = None
        self._key = ''

    async def start(self) -> None:
        """Start all processes and create the configuration."""
        await self._fleet.start()
        operator = self._fleet.operator()
        await set_up_services(self._fleet, operator, ROTAWEN)
        customer = CustomerPlan(
            'bench', _REGION, _UNLIMITED_TOKENS, _UNLIMITED_TOKENS
        )
        keys = await set_up_customers(operator, (customer,))
        await operator.close()
        self._key = keys['bench']
        self._start_engines()
        engines = self._fleet.endpoints
        await self._fleet.wait_registered(*engines)
        urls = [endpoint.url for endpoint in engines.values()]
        self._passthrough = ManagedProcess(
            'baobabwharf_testkit.passthrough',
            [f'--port={self._passthrough_port}', *urls],
            self._folder / 'passthrough.log',
        )
        self._passthrough.start()
        url = f'http://127.0.0.1:{self._passthrough_port}/health'
        await wait_until_ready(
            [Probe(url, self._passthrough)], True, _READY_TIMEOUT_MS
        )

    async def stop(self) -> None:
        """Stop all processes."""
        if self._passthrough is not None:
            await self._passthrough.terminate(_STOP_TIMEOUT_MS)
        await self._fleet.stop()

    async def run_cell(
        self, prompt_chars: int, streams: int, rounds: int, duration_s: float
    ) -> dict[str, Any]:
        """Measure one prompt size and stream count, alternating the paths."""
        request = self._request(prompt_chars)
        all_ports = [self._ports(path) for path in _PATHS]
        for ports in all_ports:
            await self._warm_up(ports, request, streams)
        results: dict[str, list[Measurement]] = {name: [] for name in _PATHS}
        for _ in range(rounds):
            for path, ports in zip(_PATHS, all_ports, strict=True):
                results[path].append(
                    await measure(ports, request, streams, duration_s)
                )
        return _summarise(prompt_chars, streams, duration_s, results)

    async def _warm_up(
        self, ports: tuple[int, ...], request: bytes, streams: int
    ) -> None:
        # A new customer's tokens are lent only after one chunk lifetime, so the
        # first streams fail.
        for _ in range(_WARM_UP_ATTEMPTS):
            measured = await measure(ports, request, streams, _WARM_UP_S)
            if not measured.failed:
                return
        raise FleetError(f'Warm-up streams still fail: {measured.sample!r}')

    def _start_engines(self) -> None:
        for number in range(1, _ENGINES + 1):
            plan = engine_plan(ROTAWEN, _REGION, number, 0)
            plan.extra_settings.update(
                slots=_SLOTS,
                prefill_tokens_per_s=0,
                cache_blocks=0,
                records_requests=False,
            )
            self._fleet.add_endpoint(plan)

    def _ports(self, path: str) -> tuple[int, ...]:
        if path == 'bare':
            return (self._passthrough_port,)
        if path == 'direct':
            return tuple(
                endpoint.port for endpoint in self._fleet.endpoints.values()
            )
        return tuple(vm.ports['caller_port'] for vm in self._fleet.vms.values())

    def _request(self, prompt_chars: int) -> bytes:
        prompt = 'roof ' * (prompt_chars // 5)
        call = completion_call(
            CallKind.CHAT, ROTAWEN.model_service, prompt, _OUTPUT_TOKENS
        )
        headers = {'Authorization': f'Bearer {self._key}'}
        return request_bytes(call.path, call.body, headers)


def _summarise(
    prompt_chars: int,
    streams: int,
    duration_s: float,
    results: dict[str, list[Measurement]],
) -> dict[str, Any]:
    rates = {
        path: statistics.median(
            measurement.complete / duration_s for measurement in measured
        )
        for path, measured in results.items()
    }
    times = {
        path: [
            statistics.median(
                measurement.total_us.get_value_at_percentile(percent)
                for measurement in measured
            )
            for percent in _PERCENTILES
        ]
        for path, measured in results.items()
    }
    added_ratios = [
        _ratio(gateway - direct, passthrough - direct)
        for direct, passthrough, gateway in zip(
            *(times[path] for path in _PATHS), strict=True
        )
    ]
    return {
        'prompt_chars': prompt_chars,
        'streams': streams,
        'streams_per_s': rates,
        'whole_us_p50_p99': times,
        'throughput_ratio': _ratio(rates['gateway'], rates['bare']),
        'added_p50_ratio': added_ratios[0],
        'added_p99_ratio': added_ratios[1],
        'failed': {
            path: sum(measurement.failed for measurement in measured)
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
        bench = GatewayBench(Path(folder))
        try:
            await bench.start()
            for prompt_chars in (_SMALL_PROMPT_CHARS, _LARGE_PROMPT_CHARS):
                for streams in (1, 32, 256):
                    cell = await bench.run_cell(
                        prompt_chars, streams, rounds, duration_s
                    )
                    cells.append(cell)
                    print(msgspec.json.encode(cell).decode(), flush=True)
        finally:
            await bench.stop()
    lines = [msgspec.json.encode(cell).decode() for cell in cells]
    _RESULTS.write_text('\n'.join(lines) + '\n')
    print(format_table(_COLUMNS, [_row(cell) for cell in cells]))
    return 1 if any(sum(cell['failed'].values()) for cell in cells) else 0


def main() -> int:
    """Run all measurements; return 1 if a stream failed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--rounds', type=int, default=5)
    parser.add_argument('--seconds', type=float, default=2.0)
    options = parser.parse_args()
    return uvloop.run(_run(options.rounds, options.seconds))


if __name__ == '__main__':
    sys.exit(main())
