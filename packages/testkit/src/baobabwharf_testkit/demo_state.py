"""Record a demo fleet that is left running, and stop it later."""

import os
import signal
import time
from pathlib import Path
from typing import Any

import msgspec

from baobabwharf_testkit.fleet import Fleet
from baobabwharf_testkit.workload import CustomerPlan

_STOP_TIMEOUT_S = 20.0
_POLL_S = 0.1


def describe_fleet(
    fleet: Fleet, customers: list[CustomerPlan], keys: dict[str, str]
) -> dict[str, Any]:
    """Return the addresses, keys and pids needed to use the fleet."""
    vms = list(fleet.vms.values())
    return {
        'vms': [
            {
                'id': vm.plan.vm_id,
                'region': vm.plan.region,
                'zone': vm.plan.zone,
                'url': vm.url,
                'operator_url': vm.operator_url,
                'pid': vm.process.pid,
                'data': _absolute(vm.data_folder),
            }
            for vm in vms
        ],
        'endpoints': [
            {
                'id': name,
                'service': instance.plan.service,
                'region': instance.plan.region,
                'url': instance.url,
                'pid': instance.process.pid,
            }
            for name, instance in fleet.endpoints.items()
        ],
        'customers': [
            {
                'id': plan.customer_id,
                'key': keys[plan.customer_id],
                'region': plan.region,
            }
            for plan in customers
        ],
        'operator': {
            'url': vms[0].operator_url,
            'token': fleet.files.operator_token,
        },
        'ca': _absolute(fleet.files.ca_file),
    }


def write_state(path: Path, state: dict[str, Any]) -> None:
    """Write the state file; only its owner may read the keys in it."""
    path.parent.mkdir(parents=True, exist_ok=True)
    path.touch(mode=0o600)
    encoded = msgspec.json.encode(state)
    path.write_bytes(msgspec.json.format(encoded, indent=2))


def running_pids(path: Path) -> list[int]:
    """Return the pids of a state file that still belong to a fleet."""
    if not path.exists():
        return []
    state = msgspec.json.decode(path.read_bytes())
    entries = state['endpoints'] + state['vms']
    return [
        entry['pid'] for entry in entries if _is_project_process(entry['pid'])
    ]


def stop_pids(path: Path) -> bool:
    """Terminate exactly the processes of a state file; return success."""
    waiting = running_pids(path)
    for pid in waiting:
        os.kill(pid, signal.SIGTERM)
    deadline_s = time.monotonic() + _STOP_TIMEOUT_S
    while waiting and time.monotonic() < deadline_s:
        time.sleep(_POLL_S)
        waiting = running_pids(path)
    if not waiting:
        path.unlink(missing_ok=True)
    return not waiting


def _is_project_process(pid: int) -> bool:
    """Return whether a pid still belongs to a process of this project."""
    try:
        status = Path(f'/proc/{pid}/stat').read_text()
        command = Path(f'/proc/{pid}/cmdline').read_bytes()
    except OSError:
        return False
    ended = status.rpartition(')')[2].split()[0] == 'Z'
    return not ended and b'baobabwharf_' in command


def _absolute(path: Path | str | None) -> str | None:
    return str(Path(path).resolve()) if path else None
