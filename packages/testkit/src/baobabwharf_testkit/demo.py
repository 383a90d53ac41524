"""Start a fleet, run both deployments' workloads and print one table."""

import argparse
import asyncio
import shutil
import sys
import time
from pathlib import Path

import uvloop

from baobabwharf_testkit.calls import CallKind, Outcome
from baobabwharf_testkit.demo_state import (
    describe_fleet,
    running_pids,
    stop_pids,
    write_state,
)
from baobabwharf_testkit.fleet import Fleet
from baobabwharf_testkit.fleet_plan import (
    ROTAWEN,
    SAMITI,
    Deployment,
    FleetPlan,
    deployment_endpoints,
    region_vms,
)
from baobabwharf_testkit.fleet_setup import set_up_customers, set_up_services
from baobabwharf_testkit.load import Caller, EntryVms, Statistics
from baobabwharf_testkit.readiness import FleetError
from baobabwharf_testkit.request_records import fetch_request_records
from baobabwharf_testkit.tables import format_ms, format_table, percentile
from baobabwharf_testkit.workload import (
    CallGenerator,
    CustomerPlan,
    deployment_customers,
)

FOLDER = Path('build') / 'demo'
FLEET_FILE = FOLDER / 'fleet.json'
_DEPLOYMENTS = (ROTAWEN, SAMITI)
_REGIONS = ROTAWEN.regions
_CALLS_PER_CUSTOMER = 24
_WORKERS_PER_CUSTOMER = 4
_SEED = 1
_HEADERS = (
    'deployment',
    'work',
    'sent',
    'complete',
    'refused',
    'failed',
    'unsent',
    'broken',
    'wrong',
    'first token p50 ms',
    'first token p99 ms',
    'total p50 ms',
    'total p99 ms',
)
_REPORTED_OUTCOMES = (
    Outcome.COMPLETE,
    Outcome.REFUSED,
    Outcome.FAILED,
    Outcome.UNSENT,
    Outcome.BROKEN,
    Outcome.WRONG,
)


class Demo:
    """Run the steps of the demo on one fleet."""

    def __init__(self, folder: Path) -> None:
        plan = FleetPlan(vms=region_vms(_REGIONS), link=ROTAWEN.link, tls=True)
        self._fleet = Fleet(plan, folder, _SEED)
        self._customers: list[CustomerPlan] = []
        self._keys: dict[str, str] = {}
        self._statistics: dict[str, Statistics] = {}
        self._failures: list[str] = []

    @property
    def failures(self) -> list[str]:
        """Return one sentence for each failed check."""
        return self._failures

    async def prepare(self) -> None:
        """Start daemons and endpoints and create the configuration."""
        started = time.monotonic()
        await self._fleet.start()
        _print_elapsed(f'{len(self._fleet.vms)} daemons are ready', started)
        operator = self._fleet.operator()
        try:
            for deployment in _DEPLOYMENTS:
                await set_up_services(self._fleet, operator, deployment)
                customers = deployment_customers(deployment, _REGIONS)
                self._customers.extend(customers)
                self._keys.update(await set_up_customers(operator, customers))
        finally:
            await operator.close()
        _print_elapsed('The configuration is in force on all VMs', started)
        for deployment in _DEPLOYMENTS:
            for plan in deployment_endpoints(deployment, _REGIONS):
                self._fleet.add_endpoint(plan)
        await self._fleet.wait_registered(*self._fleet.endpoints)
        _print_elapsed(
            f'{len(self._fleet.endpoints)} endpoints announced', started
        )

    async def run(self) -> None:
        """Send the workload of one deployment after the other."""
        for deployment in _DEPLOYMENTS:
            started = time.monotonic()
            statistics = Statistics()
            self._statistics[deployment.name] = statistics
            customers = deployment_customers(deployment, _REGIONS)
            await asyncio.gather(
                *(
                    self._run_customer(deployment, plan, statistics)
                    for plan in customers
                )
            )
            _print_elapsed(
                f'The workload of {deployment.name} is done', started
            )

    async def report(self) -> None:
        """Print the result table and collect the failures."""
        rows = [
            row
            for name, statistics in self._statistics.items()
            for row in _rows(name, statistics)
        ]
        print(format_table(_HEADERS, rows))
        for name, statistics in self._statistics.items():
            for reason, count in statistics.reasons.items():
                self._failures.append(f'{name}: {count} x {reason}')
            self._failures.extend(statistics.wrong)
        await self._check_endpoints()

    async def stop(self) -> None:
        """Stop everything gracefully."""
        started = time.monotonic()
        codes = await self._fleet.stop()
        _print_elapsed(f'{len(codes)} processes stopped', started)
        for name, code in codes.items():
            if code != 0:
                self._failures.append(f'{name} ended with code {code}.')

    def kill_fleet(self) -> None:
        """Kill all processes after a failure."""
        self._fleet.kill_all()

    def save_state(self) -> None:
        """Write the state file of the running fleet."""
        state = describe_fleet(self._fleet, self._customers, self._keys)
        write_state(FLEET_FILE, state)
        print(f'The fleet is described in {FLEET_FILE}.')

    async def _run_customer(
        self,
        deployment: Deployment,
        plan: CustomerPlan,
        statistics: Statistics,
    ) -> None:
        caller = Caller(
            self._keys[plan.customer_id],
            EntryVms(self._fleet.urls(plan.region), plan.region, _SEED),
            self._fleet.files.context,
            _SEED,
        )
        generator = CallGenerator(deployment, plan.customer_id, _SEED)
        # Send every kind at least once, independent of the seed.
        calls = [generator.next_call_of_kind(kind) for kind in CallKind]
        calls += [
            generator.next_call()
            for _ in range(_CALLS_PER_CUSTOMER - len(calls))
        ]

        async def work() -> None:
            while calls:
                call = calls.pop()
                result, response = await caller.send_with_retries(call)
                statistics.record(call, result, response)

        await asyncio.gather(*(work() for _ in range(_WORKERS_PER_CUSTOMER)))
        await caller.close()

    async def _check_endpoints(self) -> None:
        records = await fetch_request_records(
            self._fleet, list(self._keys.values())
        )
        print(
            f'{records.runs.total()} bookings ran, '
            f'{len(records.repeated)} of them more than once; '
            f'{len(records.seen)} requests reached the endpoints, '
            f'{records.requests_with_key} of them with a key of a caller.'
        )
        complete = sum(
            counts.outcomes[CallKind.BOOKING][Outcome.COMPLETE]
            for counts in self._statistics.values()
        )
        if len(records.runs) < complete:
            self._failures.append('A confirmed booking did not run.')
        if records.repeated:
            self._failures.append('A booking ran more than once.')
        if records.requests_with_key:
            self._failures.append('An endpoint saw a key of a caller.')


def _rows(name: str, statistics: Statistics) -> list[list[str]]:
    rows = []
    for kind, counts in statistics.outcomes.items():
        first_token_ms = statistics.first_token_ms.get(kind, [])
        total_ms = statistics.total_ms.get(kind, [])
        rows.append(
            [
                name,
                kind.value,
                str(counts.total()),
                *(str(counts[outcome]) for outcome in _REPORTED_OUTCOMES),
                format_ms(percentile(first_token_ms, 0.5)),
                format_ms(percentile(first_token_ms, 0.99)),
                format_ms(percentile(total_ms, 0.5)),
                format_ms(percentile(total_ms, 0.99)),
            ]
        )
    return rows


def _print_elapsed(sentence: str, started: float) -> None:
    print(f'{sentence} after {time.monotonic() - started:.1f} s.', flush=True)


async def _run(keep: bool) -> int:
    shutil.rmtree(FOLDER, ignore_errors=True)
    FOLDER.mkdir(parents=True)
    demo = Demo(FOLDER.resolve())
    try:
        await demo.prepare()
        await demo.run()
        await demo.report()
    except BaseException as error:
        demo.kill_fleet()
        if not isinstance(error, FleetError):
            raise
        print(f'The demo failed: {error}', file=sys.stderr)
        return 1
    if keep:
        demo.save_state()
    else:
        await demo.stop()
    for sentence in demo.failures:
        print(f'FAULT: {sentence}')
    return 1 if demo.failures else 0


def main() -> int:
    """Run, keep or stop the demo fleet."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        '--keep', action='store_true', help='leave the fleet running'
    )
    parser.add_argument(
        '--stop',
        action='store_true',
        help='stop the fleet that was left running',
    )
    options = parser.parse_args()
    if options.stop:
        stopped = stop_pids(FLEET_FILE)
        print(
            'The fleet is stopped.'
            if stopped
            else 'Some processes of the fleet still run.'
        )
        return 0 if stopped else 1
    if running_pids(FLEET_FILE):
        print('A demo fleet is running already; stop it with --stop first.')
        return 2
    print(f'Seed {_SEED}.')
    return uvloop.run(_run(options.keep))


if __name__ == '__main__':
    sys.exit(main())
