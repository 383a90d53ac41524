"""Steps that run VM processes which contain only the replicated state."""

import json
import shutil
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from baobabwharf_testkit.ports import free_port
from baobabwharf_testkit.processes import anonymous_memory_mb
from behave import given, then, when
from behave.runner import Context

_PORTS = ('caller_port', 'operator_port', 'peer_port', 'forward_port')
_ELECTION_MS = 500
# Far longer than any step needs; only a defect makes a step reach it.
_WAIT_TIMEOUT_S = 30.0


class VmProcess:
    """Control one VM process over its standard input and output."""

    def __init__(self, folder: Path, settings: dict[str, Any]) -> None:
        self.name = settings['vm_id']
        self.data = folder / self.name
        self.path = folder / f'{self.name}.json'
        self.log = folder / f'{self.name}.log'
        self.path.write_text(json.dumps(settings))
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        module = 'baobabwharf_testkit.consensus_vm'
        with self.log.open('ab') as log:
            self.process = subprocess.Popen(
                [
                    sys.executable,
                    '-m',
                    module,
                    str(self.path),
                    f'{_ELECTION_MS}',
                ],
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                stderr=log,
            )

    def kill(self) -> None:
        if self.process is not None:
            self.process.kill()
            self.process.communicate()
            self.process = None

    def ask(self, command: str, **arguments: Any) -> Any:
        assert self.process is not None
        assert self.process.stdin is not None
        assert self.process.stdout is not None
        line = json.dumps({'do': command, **arguments}) + '\n'
        self.process.stdin.write(line.encode())
        self.process.stdin.flush()
        answer = self.process.stdout.readline()
        assert answer, f'{self.name} ended: {self.log.read_text()}'
        return json.loads(answer)

    def memory_mb(self) -> int:
        """Return the memory without mapped files, as the platform counts it."""
        assert self.process is not None
        return anonymous_memory_mb(self.process.pid)

    def propose(self, request_id: str, change: dict[str, Any]) -> Any:
        request = {'request_id': request_id, 'change': change}
        return self.ask('propose', request=request)


class ConsensusFleetSubject:
    """Run three regions with one disk VM and one diskless VM each."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        (folder / 'secret').write_text('secret')
        names = ('a1', 'a2', 'b1', 'b2', 'c1', 'c2')
        self.ports = {
            name: {port: free_port() for port in _PORTS} for name in names
        }
        self.vms = {
            name: VmProcess(folder, self.settings(name)) for name in names
        }

    def settings(self, name: str) -> dict[str, Any]:
        has_disk = name.endswith('1')
        return {
            'vm_id': name,
            'region': name[0],
            'zone': f'{name[0]}-zone',
            'listen': self.ports[name],
            'data_folder': str(self.folder / name) if has_disk else None,
            'initial_voters': ['a1', 'b1', 'c1'],
            'peers': [
                self.peer(other) for other in self.ports if other != name
            ],
            'fleet_secret_file': str(self.folder / 'secret'),
        }

    def peer(self, name: str) -> dict[str, Any]:
        ports = self.ports[name]
        return {
            'vm_id': name,
            'region': name[0],
            'zone': f'{name[0]}-zone',
            'peer_address': f'127.0.0.1:{ports["peer_port"]}',
            'forward_address': f'127.0.0.1:{ports["forward_port"]}',
            'caller_url': f'http://127.0.0.1:{ports["caller_port"]}',
            'has_disk': name.endswith('1'),
        }

    def start(self, *names: str) -> None:
        for name in names or tuple(self.vms):
            self.vms[name].start()

    def kill(self, *names: str) -> None:
        for name in names or tuple(self.vms):
            self.vms[name].kill()

    def running(self) -> list[VmProcess]:
        return [vm for vm in self.vms.values() if vm.process is not None]

    def leader(self) -> VmProcess:
        def find() -> list[VmProcess]:
            return [
                vm
                for vm in self.running()
                if vm.ask('state')['role'] == 'leader'
            ]

        wait_until(lambda: len(find()) == 1, 'one leader')
        return find()[0]

    def wait_for_revision(self, revision: int) -> None:
        def reached() -> bool:
            states = [vm.ask('state') for vm in self.running()]
            return all(state['revision'] == revision for state in states)

        wait_until(reached, f'revision {revision} everywhere')


def wait_until(condition: Callable[[], bool], what: str) -> None:
    deadline = time.monotonic() + _WAIT_TIMEOUT_S
    while not condition():
        assert time.monotonic() < deadline, f'Timed out waiting for {what}.'
        time.sleep(0.1)


def create_customer(name: str) -> dict[str, Any]:
    customer = {
        'customer_id': name,
        'rate_tokens_per_s': 10,
        'burst_tokens': 20,
    }
    return {'type': 'CreateCustomer', 'customer': customer}


@given('a consensus fleet of three regions')
def start_fleet(context: Context) -> None:
    fleet = ConsensusFleetSubject(context.path)
    context.fleet = fleet
    context.add_cleanup(fleet.kill)
    fleet.start()


@when('{count:d} customers are created through consensus VM "{name}"')
def create_customers(context: Context, count: int, name: str) -> None:
    vm = context.fleet.vms[name]
    for number in range(count):
        customer = f'{name}-{number}'
        outcome = vm.propose(f'create-{customer}', create_customer(customer))
        assert outcome['code'] == 'accepted', outcome


@when(
    '{count:d} deployments of {size:d} bytes are installed through consensus VM "{name}"'
)
def install_deployments(
    context: Context, count: int, size: int, name: str
) -> None:
    vm = context.fleet.vms[name]
    for version in range(1, count + 1):
        outcome = vm.ask('install', version=version, bytes=size)
        assert outcome['code'] == 'accepted', outcome


@then('no consensus VM uses more than {limit_mb:d} MB of memory')
def memory_level(context: Context, limit_mb: int) -> None:
    used_mb = {vm.name: vm.memory_mb() for vm in context.fleet.running()}
    print(f'memory in MB: {used_mb}')
    assert max(used_mb.values()) <= limit_mb, used_mb


@then('consensus revision {revision:d} is in force on every running VM')
def in_force(context: Context, revision: int) -> None:
    context.fleet.wait_for_revision(revision)


@then(
    'a resend of request "{request_id}" to consensus VM "{name}" gives revision {revision:d}'
)
def resend(context: Context, request_id: str, name: str, revision: int) -> None:
    customer = request_id.removeprefix('create-')
    vm = context.fleet.vms[name]
    outcome = vm.propose(request_id, create_customer(customer))
    assert (outcome['code'], outcome['revision']) == ('accepted', revision)
    asked = vm.ask('outcome', request_id=request_id)
    assert asked == outcome, asked


@when('the consensus leader is killed')
def kill_leader(context: Context) -> None:
    context.killed = context.fleet.leader().name
    context.fleet.kill(context.killed)


@when('the killed consensus VM returns')
def return_leader(context: Context) -> None:
    context.fleet.start(context.killed)


@when('all consensus VMs are killed and started again')
def restart_all(context: Context) -> None:
    context.fleet.kill()
    context.fleet.start()


@when('consensus VM "{name}" loses its data folder while it is down')
def lose_folder(context: Context, name: str) -> None:
    context.fleet.kill(name)
    shutil.rmtree(context.fleet.vms[name].data)
    context.fleet.start(name)


@when('the log of consensus VM "{name}" is damaged while it is down')
def damage_log(context: Context, name: str) -> None:
    context.fleet.kill(name)
    log = sorted((context.fleet.vms[name].data / 'raft').glob('log-*'))[-1]
    content = bytearray(log.read_bytes())
    content[len(content) // 2] ^= 1
    log.write_bytes(content)
    context.fleet.start(name)


@then('consensus VM "{name}" is a voter again')
def voter_again(context: Context, name: str) -> None:
    # While the replica catches up, its own membership may be the one before
    # its disk was lost.
    def is_voter() -> bool:
        states = [
            vm.ask('state')
            for vm in context.fleet.running()
            if vm.name.endswith('1')
        ]
        return all(
            name in state['voters'] and not state['learners']
            for state in states
        )

    wait_until(is_voter, f'voter {name}')


@then('the log of consensus VM "{name}" contains "{text}"')
def log_contains(context: Context, name: str, text: str) -> None:
    assert text in context.fleet.vms[name].log.read_text()


@when('the consensus VMs "{names}" are killed')
def kill_vms(context: Context, names: str) -> None:
    context.fleet.kill(*names.split())


@when('the consensus VMs "{names}" are started')
def start_vms(context: Context, names: str) -> None:
    context.fleet.start(*names.split())


@then('consensus VM "{name}" refuses a change as not accepted')
def refuses(context: Context, name: str) -> None:
    vm = context.fleet.vms[name]

    def refused() -> bool:
        # Until the check-quorum timeout, the isolated leader can only
        # answer "unknown".
        change = create_customer('nobody')
        return vm.propose('refused', change)['code'] == 'not_accepted'

    wait_until(refused, 'a refusal')


@when('the disk of the consensus leader is full')
def fill_disk(context: Context) -> None:
    context.full_disk_vm = context.fleet.leader()
    context.full_disk_vm.ask('limit_files', bytes=1)


@when('that consensus disk has free space again')
def free_disk(context: Context) -> None:
    context.full_disk_vm.ask('limit_files', bytes=-1)


@when('key "{digest}" is withdrawn ahead of the log on consensus VM "{name}"')
def withdraw(context: Context, digest: str, name: str) -> None:
    context.fleet.vms[name].ask('withdraw', digest=digest)


@then('key "{digest}" is withdrawn on consensus VMs "{names}"')
def withdrawn(context: Context, digest: str, names: str) -> None:
    vms = [context.fleet.vms[name] for name in names.split()]

    def known() -> bool:
        return all(vm.ask('state', digest=digest)['withdrawn'] for vm in vms)

    wait_until(known, 'a withdrawal')


@when('consensus VM "{name}" claims booking "{key}" with body "{body}"')
def claim(context: Context, name: str, key: str, body: str) -> None:
    context.claims = getattr(context, 'claims', 0) + 1
    context.claim = context.fleet.vms[name].ask(
        'begin',
        customer='rotawen',
        key=key,
        body=body,
        request_id=f'claim-{context.claims}',
    )


@then('the booking claim is granted')
def claim_granted(context: Context) -> None:
    assert context.claim.get('granted') is True, context.claim


@then('the booking claim is "{state}" and not granted')
def claim_known(context: Context, state: str) -> None:
    found = (context.claim.get('state'), context.claim.get('granted'))
    assert found == (state, False), context.claim


@then('the booking claim is refused with "{code}"')
def claim_refused(context: Context, code: str) -> None:
    assert context.claim.get('code') == code, context.claim


@when('consensus VM "{name}" finishes booking "{key}"')
def finish(context: Context, name: str, key: str) -> None:
    answer = {'state': 'finished', 'granted': False, 'owner': name}
    done = context.fleet.vms[name].ask(
        'finish',
        customer='rotawen',
        key=key,
        request_id='claim-1',
        answer={**answer, 'status': 200},
    )
    assert done is True
