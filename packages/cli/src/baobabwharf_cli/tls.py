"""Command that issues the TLS certificates of a fleet."""

import datetime
import ipaddress
from pathlib import Path

from cleo.helpers import argument, option

from baobabwharf_cli.base_command import OperatorCommand, UsageError
from baobabwharf_cli.certificate_authority import (
    load_or_create_authority,
    write_owner_only_file,
)
from baobabwharf_cli.exit_codes import ExitCode

_DEFAULT_DAYS = '365'
_HEADERS = ['vm_id', 'address', 'certificate_file']


class TlsCommand(OperatorCommand):
    """Create or load a private CA and issue a certificate for each VM."""

    name = 'tls'
    description = 'Issue certificates for VMs from a private CA.'
    arguments = [argument('folder', 'Folder for the PEM files.')]
    options = [
        option(
            'vm',
            None,
            'VM as ID=IP-ADDRESS; repeatable.',
            flag=False,
            multiple=True,
        ),
        option(
            'days',
            None,
            'Days until the certificates expire.',
            flag=False,
            default=_DEFAULT_DAYS,
        ),
        option('json', None, 'Print JSON.'),
    ]

    def perform(self) -> ExitCode:
        """Write ca.pem, ca-key.pem, ID.pem and ID-key.pem."""
        vms = [_parse_vm(text) for text in self.option('vm')]
        if not vms:
            raise UsageError('At least one --vm ID=IP-ADDRESS is required.')
        days = self.parse_whole_number('--days', self.option('days'))
        rows = _issue_all(
            Path(self.argument('folder')), vms, datetime.timedelta(days=days)
        )
        document = [dict(zip(_HEADERS, row, strict=True)) for row in rows]
        return self.print_result(document, _HEADERS, rows)


def _issue_all(
    folder: Path, vms: list[tuple[str, str]], lifetime: datetime.timedelta
) -> list[list[str]]:
    folder.mkdir(parents=True, exist_ok=True)
    authority = load_or_create_authority(folder, lifetime)
    rows = []
    for vm_id, address in vms:
        certificate, key = authority.issue(vm_id, address, lifetime)
        path = folder / f'{vm_id}.pem'
        path.write_bytes(certificate)
        write_owner_only_file(folder / f'{vm_id}-key.pem', key)
        rows.append([vm_id, address, str(path)])
    return rows


def _parse_vm(text: str) -> tuple[str, str]:
    vm_id, _equals, address = text.partition('=')
    try:
        ipaddress.ip_address(address)
    except ValueError:
        raise UsageError(
            f'--vm {text} does not have the form ID=IP-ADDRESS.'
        ) from None
    if not vm_id or '/' in vm_id:
        raise UsageError(f'--vm {text} does not have the form ID=IP-ADDRESS.')
    return vm_id, address
