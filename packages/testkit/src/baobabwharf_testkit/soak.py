"""Inject seeded faults into a fleet while clients verify every response."""

import argparse
import asyncio
import shutil
import sys
import tempfile
import time
from pathlib import Path

import uvloop

from baobabwharf_testkit.calls import Outcome
from baobabwharf_testkit.fleet import Fleet
from baobabwharf_testkit.fleet_plan import (
    ROTAWEN,
    FleetPlan,
    deployment_endpoints,
    region_vms,
)
from baobabwharf_testkit.fleet_setup import set_up_customers, set_up_services
from baobabwharf_testkit.readiness import FleetError
from baobabwharf_testkit.request_records import read_saved_records
from baobabwharf_testkit.soak_actions import ActionLoop, EventPrinter
from baobabwharf_testkit.soak_clients import RateLimitCheck, SoakClients
from baobabwharf_testkit.soak_endpoints import EndpointFaultInjector
from baobabwharf_testkit.soak_operators import SoakOperators
from baobabwharf_testkit.soak_vms import VmFaultInjector
from baobabwharf_testkit.tables import format_table
from baobabwharf_testkit.workload import CustomerPlan, deployment_customers

_NS_PER_S = 1_000_000_000
# Configuration must be in force everywhere within seconds of the last fault.
_CONVERGENCE_TIMEOUT_S = 15.0
_POLL_S = 0.2
_FLOOD_RATE = 400
_FLOOD_BURST = 800
_OUTCOMES = tuple(Outcome)


class Soak:
    """Run a fleet and its clients and inject faults."""

    def __init__(self, folder: Path, seed: int, planned: bool) -> None:
        self._folder = folder
        self._planned = planned
        self._seed = seed
        plan = FleetPlan(
            vms=region_vms(ROTAWEN.regions), link=ROTAWEN.link, proxied=True
        )
        self._fleet = Fleet(plan, folder, seed)
        self._plans = deployment_customers(ROTAWEN, ROTAWEN.regions)
        self._flooding_customer = CustomerPlan(
            'flooding', ROTAWEN.regions[0], _FLOOD_RATE, _FLOOD_BURST
        )
        self._clients = SoakClients(self._fleet, ROTAWEN, seed)
        self._printer = EventPrinter()
        self._violations: list[str] = []
        self._keys: dict[str, str] = {}

    @property
    def violations(self) -> list[str]:
        """Return one sentence for each violated guarantee."""
        return self._violations

    async def prepare(self) -> None:
        """Start the fleet and create the configuration."""
        await self._fleet.start()
        operator = self._fleet.operator()
        await set_up_services(self._fleet, operator, ROTAWEN)
        plans = (*self._plans, self._flooding_customer)
        self._keys = await set_up_customers(operator, plans)
        await operator.close()
        records = self._folder / 'records'
        records.mkdir()
        for plan in deployment_endpoints(ROTAWEN, ROTAWEN.regions):
            plan.extra_settings.update(records_folder=str(records))
            self._fleet.add_endpoint(plan)
        await self._fleet.wait_registered(*self._fleet.endpoints)

    async def run(self, seconds: float) -> None:
        """Inject faults under load, undo them and check all guarantees."""
        for plan in self._plans:
            self._clients.start(plan, self._keys[plan.customer_id])
        rate_check = self._clients.start_flood(
            self._flooding_customer,
            self._keys[self._flooding_customer.customer_id],
        )
        operators = SoakOperators(
            self._fleet,
            self._plans,
            self._printer,
            f'{self._seed} operators',
        )
        await self._inject_faults(seconds, operators)
        self._fleet.links.end_drops()
        await self._fleet.wait_ready(*self._fleet.vms)
        await self._wait_for_one_revision()
        await operators.check_withdrawn()
        await self._clients.stop()
        self._report(operators, rate_check)

    async def stop(self) -> None:
        """Stop the fleet and check the records of the endpoints."""
        codes = await self._fleet.stop()
        for name, code in codes.items():
            if code != 0:
                self._violations.append(f'{name} ended with code {code}.')
        secrets = list(self._keys.values())
        records = read_saved_records(self._folder / 'records', secrets)
        self._violations.extend(
            self._clients.booking_outcomes.violations(records.runs)
        )
        if records.requests_with_key:
            self._violations.append('An endpoint saw a key of a caller.')
        print(
            f'{records.runs.total()} bookings ran; '
            f'{len(records.seen)} requests were searched for keys.'
        )

    def kill_fleet(self) -> None:
        """Kill all processes after a failure."""
        self._fleet.kill_all()

    async def _inject_faults(
        self, seconds: float, operators: SoakOperators
    ) -> None:
        until_ns = time.monotonic_ns() + int(seconds * _NS_PER_S)
        seed = str(self._seed)
        vms = VmFaultInjector(self._fleet, self._printer, seed)
        endpoints = EndpointFaultInjector(self._fleet, self._printer, seed)
        if self._planned:
            loops = [vms.planned_actions(), endpoints.planned_actions()]
        else:
            # Two loops for VMs, so that faults overlap.
            others = endpoints.actions() + operators.actions()
            loops = [vms.actions(), vms.actions(), others]
        await asyncio.gather(
            *(
                ActionLoop(actions, f'{seed} {number}').run(until_ns)
                for number, actions in enumerate(loops)
            )
        )

    async def _wait_for_one_revision(self) -> None:
        """Wait until all VMs report one revision."""
        deadline_s = time.monotonic() + _CONVERGENCE_TIMEOUT_S
        revisions = await self._revisions()
        while len(revisions) > 1 and time.monotonic() < deadline_s:
            await asyncio.sleep(_POLL_S)
            revisions = await self._revisions()
        if len(revisions) > 1:
            self._violations.append(
                f'VMs are at revisions {sorted(revisions)} after the last fault.'
            )

    async def _revisions(self) -> set[int]:
        found = set()
        for vm_id in self._fleet.vms:
            operator = self._fleet.operator(vm_id)
            config = await operator.get('/operator/v1/config')
            await operator.close()
            found.add(config['revision'] if config else -1)
        return found

    def _report(
        self, operators: SoakOperators, rate_check: RateLimitCheck
    ) -> None:
        statistics = self._clients.statistics
        rows = [
            [
                kind.value,
                str(counts.total()),
                *(str(counts[outcome]) for outcome in _OUTCOMES),
            ]
            for kind, counts in statistics.outcomes.items()
        ]
        headers = ['work', 'sent', *(outcome.value for outcome in _OUTCOMES)]
        print(format_table(headers, rows))
        for reason, count in sorted(statistics.reasons.items()):
            print(f'  {count} x {reason}')
        print(
            f'The flooding customer got {rate_check.tokens} tokens, at most '
            f'{rate_check.peak_ratio:.3f} of its rate and burst.'
        )
        self._violations.extend(statistics.wrong)
        self._violations.extend(operators.violations)
        if rate_check.peak_ratio > 1:
            self._violations.append('A customer exceeded its rate and burst.')
        interrupted = statistics.count(Outcome.BROKEN, Outcome.FAILED)
        if self._planned and interrupted:
            self._violations.append(
                f'Planned stops interrupted {interrupted} calls.'
            )
        if not statistics.count(Outcome.COMPLETE):
            self._violations.append('No call was answered.')


async def _run(seconds: float, seed: int, planned: bool) -> int:
    folder = Path(tempfile.mkdtemp(prefix='baobabwharf-soak-'))
    soak = Soak(folder, seed, planned)
    try:
        await soak.prepare()
        await soak.run(seconds)
    except BaseException as error:
        soak.kill_fleet()
        if not isinstance(error, FleetError):
            raise
        print(f'The soak run failed: {error}', file=sys.stderr)
        return 1
    await soak.stop()
    for sentence in soak.violations:
        print(f'VIOLATION: {sentence}')
    count = len(soak.violations)
    print(f'Seed {seed}: {count} violations.')
    if count:
        print(f'The logs are in {folder}.')
        return 1
    shutil.rmtree(folder, ignore_errors=True)
    return 0


def main() -> int:
    """Run and return 1 if a guarantee was violated."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seconds', type=float, default=60.0)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument(
        '--planned',
        action='store_true',
        help='only planned stops, which must not interrupt any call',
    )
    options = parser.parse_args()
    print(f'Seed {options.seed}.')
    return uvloop.run(_run(options.seconds, options.seed, options.planned))


if __name__ == '__main__':
    sys.exit(main())
