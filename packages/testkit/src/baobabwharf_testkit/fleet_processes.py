"""Describe the processes of a fleet and their settings."""

import hashlib
from pathlib import Path
from typing import Any

from baobabwharf_testkit.fleet_links import FleetLinks
from baobabwharf_testkit.fleet_plan import EndpointPlan, FleetPlan, VmPlan
from baobabwharf_testkit.ports import free_port
from baobabwharf_testkit.processes import ManagedProcess

HOST = '127.0.0.1'
_PORT_NAMES = ('caller_port', 'operator_port', 'peer_port', 'forward_port')


class Vm:
    """Own the process, ports and folder of one VM."""

    def __init__(self, plan: VmPlan, folder: Path, scheme: str) -> None:
        self._plan = plan
        self._folder = folder
        self._ports = {name: free_port() for name in _PORT_NAMES}
        self._scheme = scheme
        self._process = ManagedProcess(
            'baobabwharf_daemon.main',
            ['--settings', str(self.settings_file)],
            folder / 'daemon.log',
        )

    @property
    def plan(self) -> VmPlan:
        """Return the plan of this VM."""
        return self._plan

    @property
    def folder(self) -> Path:
        """Return the folder of this VM."""
        return self._folder

    @property
    def ports(self) -> dict[str, int]:
        """Return the ports by their names in the settings."""
        return self._ports

    @property
    def process(self) -> ManagedProcess:
        """Return the process of the daemon."""
        return self._process

    @property
    def settings_file(self) -> Path:
        """Return the path of the settings file."""
        return self._folder / 'settings.json'

    @property
    def data_folder(self) -> Path | None:
        """Return the data folder, if this VM has a disk."""
        return self._folder / 'data' if self._plan.has_disk else None

    @property
    def url(self) -> str:
        """Return the URL for callers."""
        return f'{self._scheme}://{HOST}:{self._ports["caller_port"]}'

    @property
    def operator_url(self) -> str:
        """Return the URL for operators."""
        return f'{self._scheme}://{HOST}:{self._ports["operator_port"]}'


class EndpointInstance:
    """Own the process of one simulated endpoint."""

    def __init__(self, plan: EndpointPlan, folder: Path) -> None:
        self._plan = plan
        self._port = free_port()
        self._settings_file = folder / f'{plan.endpoint_id}.json'
        self._process = ManagedProcess(
            'baobabwharf_testkit.endpoint',
            ['--config', str(self._settings_file)],
            folder / f'{plan.endpoint_id}.log',
        )

    @property
    def plan(self) -> EndpointPlan:
        """Return the plan of this endpoint."""
        return self._plan

    @property
    def port(self) -> int:
        """Return the port of this endpoint."""
        return self._port

    @property
    def settings_file(self) -> Path:
        """Return the path of the settings file."""
        return self._settings_file

    @property
    def process(self) -> ManagedProcess:
        """Return the process."""
        return self._process

    @property
    def url(self) -> str:
        """Return the URL of the endpoint."""
        return f'http://{HOST}:{self._port}'


def vm_settings(
    plan: FleetPlan,
    vm: Vm,
    peers: list[dict[str, Any]],
    secret_file: Path,
    operator_token: str,
) -> dict[str, Any]:
    """Return the settings of the daemon of a VM."""
    token_digest = hashlib.sha256(operator_token.encode()).hexdigest()
    settings: dict[str, Any] = {
        'vm_id': vm.plan.vm_id,
        'region': vm.plan.region,
        'zone': vm.plan.zone,
        'listen': {'host': HOST, **vm.ports},
        'initial_voters': list(plan.voters),
        'peers': peers,
        'fleet_secret_file': str(secret_file),
        'operator_token_digests': [token_digest],
        'links': _link_settings(plan, vm),
        'drain_deadline_ms': plan.drain_deadline_ms,
        'log': {'level': plan.log_level},
    }
    if vm.data_folder is not None:
        settings['data_folder'] = str(vm.data_folder)
    return settings


def address_overrides(vm: Vm, peer: Vm, links: FleetLinks) -> dict[str, str]:
    """Return the proxy addresses at which a VM reaches a peer."""
    ports = links.target_ports(vm.plan.vm_id, peer.plan.vm_id, peer.ports)
    return {
        f'{HOST}:{peer.ports[name]}': f'{HOST}:{port}'
        for name, port in ports.items()
        if port != peer.ports[name]
    }


def peer_settings(peer: Vm) -> dict[str, Any]:
    """Return the entry of a VM in the settings of the other VMs."""
    return {
        'vm_id': peer.plan.vm_id,
        'region': peer.plan.region,
        'zone': peer.plan.zone,
        'peer_address': f'{HOST}:{peer.ports["peer_port"]}',
        'forward_address': f'{HOST}:{peer.ports["forward_port"]}',
        'caller_url': peer.url,
        'has_disk': peer.plan.has_disk,
    }


def _link_settings(plan: FleetPlan, vm: Vm) -> list[dict[str, Any]]:
    return [
        {
            'region': region,
            'delay_ms': plan.link.delay_ms,
            'bandwidth_mbit_s': plan.link.bandwidth_mbit_s,
        }
        for region in plan.regions
        if region != vm.plan.region
    ]
