"""List entry VMs and models for callers."""

from typing import Any

from baobabwharf_core.fleet_config import VmRecord

from baobabwharf_daemon.interfaces import MembershipView, ModelCatalog
from baobabwharf_daemon.settings import Settings

VALID_MS = 1000


def list_entry_vms(
    settings: Settings, membership: MembershipView, *, stopping: bool
) -> dict[str, Any]:
    """Return the VMs that accept callers, sorted by network distance."""
    distances = {link.region: link.delay_ms for link in settings.links}
    distances[settings.region] = -1

    def rank(vm: VmRecord) -> tuple[float, bool, str]:
        distance = distances.get(vm.region, float('inf'))
        return distance, vm.zone != settings.zone, vm.vm_id

    vms = sorted(membership.live_vms(), key=rank)
    return {
        'vms': [
            {
                'vm_id': vm.vm_id,
                'url': vm.caller_url,
                'region': vm.region,
                'zone': vm.zone,
            }
            for vm in vms
            if not (stopping and vm.vm_id == settings.vm_id)
        ],
        'valid_ms': VALID_MS,
    }


def model_list(catalog: ModelCatalog) -> dict[str, Any]:
    """Return the models in the format of the OpenAI API."""
    return {
        'object': 'list',
        'data': [
            {
                'id': model,
                'object': 'model',
                'created': 0,
                'owned_by': service,
            }
            for model, service in sorted(catalog.models().items())
        ],
    }
