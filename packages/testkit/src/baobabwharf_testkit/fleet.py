"""Run a fleet of daemons and simulated endpoints and inject faults."""

import asyncio
import shutil
from collections.abc import Mapping
from pathlib import Path

from baobabwharf_testkit.fleet_files import FleetFiles
from baobabwharf_testkit.fleet_links import FleetLinks
from baobabwharf_testkit.fleet_plan import EndpointPlan, FleetPlan
from baobabwharf_testkit.fleet_processes import EndpointInstance, Vm
from baobabwharf_testkit.operator_client import OperatorClient
from baobabwharf_testkit.readiness import Probe, wait_until_ready

_STOP_MARGIN_MS = 5000
_READY_TIMEOUT_MS = 20_000


class Fleet:
    """Run the processes of a fleet, with their files in one folder."""

    def __init__(self, plan: FleetPlan, folder: Path, seed: int = 1) -> None:
        self._plan = plan
        self._folder = folder
        self._seed = seed
        self._files = FleetFiles(plan, folder)
        self._links = FleetLinks(plan, seed)
        scheme = 'https' if plan.tls else 'http'
        self._vms = {
            vm.vm_id: Vm(vm, folder / vm.vm_id, scheme) for vm in plan.vms
        }
        self._endpoints: dict[str, EndpointInstance] = {}
        self._endpoint_keys: dict[str, str] = {}

    @property
    def links(self) -> FleetLinks:
        """Return the links between the VMs."""
        return self._links

    @property
    def vms(self) -> dict[str, Vm]:
        """Return the VMs by id."""
        return self._vms

    @property
    def endpoints(self) -> dict[str, EndpointInstance]:
        """Return the endpoints by id."""
        return self._endpoints

    @property
    def endpoint_keys(self) -> dict[str, str]:
        """Return the keys by service, with which new endpoints announce."""
        return self._endpoint_keys

    def urls(self, first_region: str = '') -> tuple[str, ...]:
        """Return the caller URLs of all VMs, those of one region first."""
        vms = sorted(
            self._vms.values(), key=lambda vm: vm.plan.region != first_region
        )
        return tuple(vm.url for vm in vms)

    @property
    def files(self) -> FleetFiles:
        """Return the files, with the operator token and certificates."""
        return self._files

    def operator(self, *vm_ids: str) -> OperatorClient:
        """Return a client of the operator interface of some or all VMs."""
        chosen = vm_ids or tuple(self._vms)
        urls = tuple(self._vms[vm_id].operator_url for vm_id in chosen)
        token = self._files.operator_token
        return OperatorClient(urls, token, self._files.ca_file)

    async def start(self, ready_timeout_ms: int = _READY_TIMEOUT_MS) -> None:
        """Start all daemons and wait until they are ready."""
        await self.prepare()
        for vm in self._vms.values():
            vm.process.start()
        await self.wait_ready(*self._vms, timeout_ms=ready_timeout_ms)

    async def prepare(self) -> None:
        """Write the settings of all VMs and start the proxies."""
        self._files.write_common(self._vms)
        await self._links.start(
            {vm_id: vm.ports for vm_id, vm in self._vms.items()}
        )
        self._files.write_settings(self._vms, self._links)

    async def stop(self) -> dict[str, int | None]:
        """Stop everything gracefully; return the exit codes by id."""
        codes = await self._terminate(self._endpoints)
        codes.update(await self._terminate(self._vms))
        await self._links.stop()
        return codes

    def kill_all(self) -> None:
        """Kill all processes."""
        for endpoint in self._endpoints.values():
            endpoint.process.kill()
        for vm in self._vms.values():
            vm.process.kill()

    async def restart(
        self, vm_id: str, ready_timeout_ms: int = _READY_TIMEOUT_MS
    ) -> None:
        """Start a VM again after it was stopped or killed."""
        self._vms[vm_id].process.start()
        await self.wait_ready(vm_id, timeout_ms=ready_timeout_ms)

    def delete_data_folder(self, vm_id: str) -> None:
        """Empty the data folder of a stopped VM."""
        vm = self._vms[vm_id]
        assert not vm.process.running
        if vm.data_folder is not None:
            shutil.rmtree(vm.data_folder, ignore_errors=True)
            vm.data_folder.mkdir()

    async def wait_ready(
        self, *vm_ids: str, timeout_ms: int = _READY_TIMEOUT_MS
    ) -> None:
        """Wait until the VMs answer /health with status 200."""
        vms = [self._vms[vm_id] for vm_id in vm_ids]
        probes = [Probe(f'{vm.url}/health', vm.process) for vm in vms]
        await wait_until_ready(probes, self._files.context, timeout_ms)

    def add_endpoint(self, plan: EndpointPlan) -> EndpointInstance:
        """Start a simulated endpoint with the key of its service."""
        folder = self._folder / 'endpoints'
        folder.mkdir(exist_ok=True)
        instance = EndpointInstance(plan, folder)
        self._endpoints[plan.endpoint_id] = instance
        local = [
            vm for vm in self._vms.values() if vm.plan.region == plan.region
        ]
        key = self._endpoint_keys.get(plan.service, '')
        self._files.write_endpoint(instance, local, key, self._seed)
        instance.process.start()
        return instance

    async def wait_registered(
        self, *endpoint_ids: str, timeout_ms: int = _READY_TIMEOUT_MS
    ) -> None:
        """Wait until the endpoints hold a lease."""
        instances = [self._endpoints[name] for name in endpoint_ids]
        probes = [
            Probe(f'{instance.url}/health', instance.process, 'registered')
            for instance in instances
        ]
        await wait_until_ready(probes, self._files.context, timeout_ms)

    async def _terminate(
        self, instances: Mapping[str, Vm | EndpointInstance]
    ) -> dict[str, int | None]:
        timeout_ms = self._plan.drain_deadline_ms + _STOP_MARGIN_MS
        ended = await asyncio.gather(
            *(
                instance.process.terminate(timeout_ms)
                for instance in instances.values()
            )
        )
        return dict(zip(instances, ended, strict=True))
