"""Provide a small fleet behind fault proxies for functional tests."""

import shutil
import tempfile
from pathlib import Path

import aiohttp
from baobabwharf_core.changes import (
    Change,
    ChangeCode,
    CreateCustomer,
    CreateKey,
)
from baobabwharf_core.fleet_config import Customer, KeyRecord
from baobabwharf_core.ids import (
    CustomerId,
    KeyId,
    RegionId,
    RequestId,
    Revision,
)

from baobabwharf_testkit.calls import (
    Call,
    CheckResult,
    Response,
    check_response,
)
from baobabwharf_testkit.endpoint_control import FAULTS_PATH
from baobabwharf_testkit.endpoint_model import SeenRequest
from baobabwharf_testkit.fleet import Fleet
from baobabwharf_testkit.fleet_plan import (
    ROTAWEN,
    FleetPlan,
    LinkPlan,
    VmPlan,
    engine_plan,
    service_plan,
)
from baobabwharf_testkit.fleet_setup import make_change, set_up_services
from baobabwharf_testkit.load import Caller, EntryVms
from baobabwharf_testkit.operator_client import (
    FleetAnswer,
    key_digest,
    new_key,
)
from baobabwharf_testkit.readiness import Probe, wait_until_ready
from baobabwharf_testkit.request_records import (
    RequestRecords,
    fetch_request_records,
)

FIRST_REGION, SECOND_REGION, REGION_WITHOUT_ENDPOINTS = ROTAWEN.regions
_RATE = 100_000
_TOKENS_PER_S = 60.0
# New endpoints must be known in all regions within seconds.
_MODELS_TIMEOUT_MS = 5000
_CONFIG_PATH = '/operator/v1/config'


class FleetFixture:
    """Run four VMs with TLS in three regions, the last without endpoints."""

    def __init__(self, seed: int) -> None:
        vms = tuple(
            VmPlan(f'{region}-vm1', region, f'{region}-z1', has_disk=True)
            for region in ROTAWEN.regions
        )
        diskless = VmPlan(
            f'{FIRST_REGION}-vm2', FIRST_REGION, f'{FIRST_REGION}-z2'
        )
        plan = FleetPlan(
            vms=(*vms, diskless),
            link=LinkPlan(delay_ms=5.0),
            proxied=True,
            tls=True,
        )
        folder = Path(tempfile.mkdtemp(prefix='baobabwharf-fleet-'))
        self._folder = folder
        self._fleet = Fleet(plan, folder, seed)
        self._seed = seed
        self._keys: list[str] = []

    @property
    def fleet(self) -> Fleet:
        """Return the fleet."""
        return self._fleet

    async def start(self) -> None:
        """Start VMs and endpoints."""
        await self._fleet.start()
        operator = self._fleet.operator()
        await set_up_services(self._fleet, operator, ROTAWEN)
        await operator.close()
        for region in (FIRST_REGION, SECOND_REGION):
            plan = engine_plan(ROTAWEN, region, 1, _TOKENS_PER_S)
            self._fleet.add_endpoint(plan)
            self._fleet.add_endpoint(service_plan(ROTAWEN, region))
        await self._fleet.wait_registered(*self._fleet.endpoints)
        await self._wait_for_models()

    async def stop(self) -> None:
        """Stop everything and remove the files."""
        await self._fleet.stop()
        shutil.rmtree(self._folder, ignore_errors=True)

    async def create_customer(
        self, name: str, *residency: str, rate: int = _RATE
    ) -> str:
        """Create a customer and return its key."""
        operator = self._fleet.operator()
        customer = Customer(
            CustomerId(name),
            rate,
            2 * rate,
            tuple(RegionId(region) for region in residency),
        )
        await make_change(operator, CreateCustomer(customer))
        key = new_key()
        self._keys.append(key)
        record = KeyRecord(KeyId(name), CustomerId(name), key_digest(key))
        await make_change(operator, CreateKey(record), wait=True)
        await operator.close()
        return key

    async def send_with_retries(
        self, key: str, vm_id: str, call: Call, retry_timeout_ms: float = 10_000
    ) -> tuple[CheckResult, Response]:
        """Send a call to one VM; retry it while that is safe."""
        caller = self._caller(key, vm_id)
        try:
            return await caller.send_with_retries(call, retry_timeout_ms)
        finally:
            await caller.close()

    async def send(
        self, key: str, vm_id: str, call: Call
    ) -> tuple[CheckResult, Response]:
        """Send a call once to one VM."""
        caller = self._caller(key, vm_id)
        try:
            response = await caller.send(call)
        finally:
            await caller.close()
        return check_response(call, response), response

    async def change(
        self,
        vm_id: str,
        change: Change,
        request_id: RequestId | None = None,
        expected: Revision | None = None,
        attempts: int = 1,
        wait_ms: int = 0,
    ) -> FleetAnswer:
        """Submit a change to one VM; wait for the fleet for up to wait_ms."""
        operator = self._fleet.operator(vm_id)
        try:
            return await operator.change(
                change,
                request_id=request_id,
                expected=expected,
                attempts=attempts,
                wait_ms=wait_ms,
            )
        finally:
            await operator.close()

    async def change_until_accepted(
        self, vm_id: str, change: Change, wait_ms: int = 0
    ) -> FleetAnswer:
        """Submit a change until it is accepted."""
        outcome = await self.change(vm_id, change, attempts=30, wait_ms=wait_ms)
        assert outcome.code is ChangeCode.ACCEPTED, outcome
        return outcome

    async def revision(self, vm_id: str) -> Revision:
        """Return the revision in force on a VM, or -1 if it does not answer."""
        operator = self._fleet.operator(vm_id)
        config = await operator.get(_CONFIG_PATH)
        await operator.close()
        return Revision(config['revision'] if config else -1)

    async def set_faults(self, **faults: int) -> None:
        """Set the same faults on all engines."""
        engines = [
            instance
            for instance in self._fleet.endpoints.values()
            if 'models' in instance.plan.extra_settings
        ]
        async with aiohttp.ClientSession(raise_for_status=True) as session:
            for instance in engines:
                await session.post(instance.url + FAULTS_PATH, json=faults)

    async def request_records(self) -> RequestRecords:
        """Return what the endpoints saw and ran."""
        return await fetch_request_records(self._fleet, self._keys)

    async def seen_requests(self, request_id: str) -> list[SeenRequest]:
        """Return what the endpoints saw of one request."""
        request_records = await self.request_records()
        return [
            request
            for request in request_records.seen
            if request.request_id == request_id
        ]

    async def _wait_for_models(self) -> None:
        """Wait until all VMs list the model, as a caller would."""
        key = await self.create_customer('start')
        probes = [
            Probe(f'{vm.url}/v1/models', vm.process, 'data')
            for vm in self._fleet.vms.values()
        ]
        context = self._fleet.files.context
        await wait_until_ready(probes, context, _MODELS_TIMEOUT_MS, key)

    async def list_entry_vms(self, vm_id: str) -> list[str]:
        """Return the ids of the entry VMs that a VM lists."""
        url = f'{self._fleet.vms[vm_id].url}/v1/entry-vms'
        connector = aiohttp.TCPConnector(ssl=self._fleet.files.context)
        async with (
            aiohttp.ClientSession(connector=connector) as session,
            session.get(url) as response,
        ):
            document = await response.json()
        return [vm['vm_id'] for vm in document['vms']]

    def _caller(self, key: str, vm_id: str) -> Caller:
        vm = self._fleet.vms[vm_id]
        entries = SingleEntryVm((vm.url,), vm.plan.region, self._seed)
        return Caller(key, entries, self._fleet.files.context, self._seed)


class SingleEntryVm(EntryVms):
    """Always use one VM, whatever the list of entry VMs says."""

    async def choose(self, session: aiohttp.ClientSession) -> str:
        """Return the URL of the VM."""
        return self.initial_urls[0]
