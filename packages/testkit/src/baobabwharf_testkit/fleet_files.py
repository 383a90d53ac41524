"""Write the settings, the secret and the certificates of a fleet."""

import secrets
import ssl
import subprocess
import sys
from pathlib import Path
from typing import Any

import msgspec

from baobabwharf_testkit.fleet_links import FleetLinks
from baobabwharf_testkit.fleet_plan import FleetPlan
from baobabwharf_testkit.fleet_processes import (
    HOST,
    EndpointInstance,
    Vm,
    address_overrides,
    peer_settings,
    vm_settings,
)


class FleetFiles:
    """Write the files of a fleet in one folder."""

    def __init__(self, plan: FleetPlan, folder: Path) -> None:
        self._plan = plan
        self._folder = folder
        self._operator_token = secrets.token_urlsafe(32)
        self._context: ssl.SSLContext | bool = True

    @property
    def operator_token(self) -> str:
        """Return the token of the operator interface."""
        return self._operator_token

    @property
    def ca_file(self) -> str | None:
        """Return the path of the CA certificate, if TLS is on."""
        return str(self._tls_folder / 'ca.pem') if self._plan.tls else None

    @property
    def context(self) -> ssl.SSLContext | bool:
        """Return the SSL context with which clients check certificates."""
        return self._context

    def write_common(self, vms: dict[str, Vm]) -> None:
        """Write the folders, the secret and the certificates."""
        for vm in vms.values():
            folder = vm.data_folder or vm.folder
            folder.mkdir(parents=True, exist_ok=True)
        self._secret_file.write_text(secrets.token_urlsafe(32))
        if self._plan.tls:
            self._write_certificates(tuple(vms))

    def write_settings(self, vms: dict[str, Vm], links: FleetLinks) -> None:
        """Write the settings file of each VM."""
        for vm_id, vm in vms.items():
            others = [other for other in vms.values() if other is not vm]
            settings = vm_settings(
                self._plan,
                vm,
                [peer_settings(other) for other in others],
                self._secret_file,
                self._operator_token,
            )
            overrides: dict[str, str] = {}
            for other in others:
                overrides.update(address_overrides(vm, other, links))
            if overrides:
                settings['address_overrides'] = overrides
            if self._plan.tls:
                settings['tls'] = self._tls_settings(vm_id)
            vm.settings_file.write_bytes(msgspec.json.encode(settings))

    def write_endpoint(
        self, instance: EndpointInstance, vms: list[Vm], key: str, seed: int
    ) -> None:
        """Write the settings file of an endpoint that announces to some VMs."""
        plan = instance.plan
        settings: dict[str, Any] = {
            'endpoint_id': plan.endpoint_id,
            'service': plan.service,
            'region': plan.region,
            'zone': vms[0].plan.zone,
            'kind': plan.kind,
            'port': instance.port,
            'vm_urls': [vm.url for vm in vms],
            'endpoint_key': key,
            'ca_file': self.ca_file,
            'seed': seed,
            **plan.extra_settings,
        }
        instance.settings_file.write_bytes(msgspec.json.encode(settings))

    @property
    def _secret_file(self) -> Path:
        return self._folder / 'secret'

    @property
    def _tls_folder(self) -> Path:
        return self._folder / 'tls'

    def _tls_settings(self, vm_id: str) -> dict[str, str]:
        return {
            'ca_file': str(self._tls_folder / 'ca.pem'),
            'certificate_file': str(self._tls_folder / f'{vm_id}.pem'),
            'key_file': str(self._tls_folder / f'{vm_id}-key.pem'),
        }

    def _write_certificates(self, vm_ids: tuple[str, ...]) -> None:
        command = [sys.executable, '-m', 'baobabwharf_cli.main', 'tls']
        command.append(str(self._tls_folder))
        command.extend(f'--vm={vm_id}={HOST}' for vm_id in vm_ids)
        subprocess.run(command, check=True, stdout=subprocess.DEVNULL)
        self._context = ssl.create_default_context(cafile=self.ca_file)
