"""Run only the replicated state of a VM, controlled by JSON lines on stdin.

The functional tests of the consensus tasks use it so that they need neither
the gateway nor gossip: the VMs in the settings count as alive.
"""

import asyncio
import json
import random
import resource
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, final

import msgspec
from baobabwharf_core.changes import ChangeRequest, InstallDeployment
from baobabwharf_core.clock import SystemClock
from baobabwharf_core.deployment import Deployment
from baobabwharf_core.ids import CustomerId, RequestId
from baobabwharf_daemon.consensus_components import (
    ConsensusComponents,
    build_consensus_components,
)
from baobabwharf_daemon.interfaces import ClaimState
from baobabwharf_daemon.log import set_up_logging
from baobabwharf_daemon.rpc import RpcClient, RpcServer, read_secret
from baobabwharf_daemon.settings import Settings, load_settings
from baobabwharf_decisions.consensus.messages import Options

Command = dict[str, Any]
CommandHandler = Callable[[Command], Awaitable[Any]]


@final
class ConsensusVm:
    """Execute commands against the consensus tasks of one VM."""

    def __init__(self, components: ConsensusComponents) -> None:
        self._components = components
        self._handlers: dict[str, CommandHandler] = {
            'propose': self._propose,
            'install': self._install,
            'outcome': self._outcome,
            'state': self._state,
            'begin': self._begin,
            'finish': self._finish,
            'withdraw': self._withdraw,
            'limit_files': self._limit_files,
        }

    async def execute(self, line: bytes) -> bytes:
        """Execute one command and return its result as a line of JSON."""
        command = json.loads(line)
        result = await self._handlers[command['do']](command)
        return msgspec.json.encode(result) + b'\n'

    async def _propose(self, command: Command) -> Any:
        request = msgspec.convert(command['request'], ChangeRequest)
        return await self._components.changes.propose(request)

    async def _install(self, command: Command) -> Any:
        """Install a deployment whose document has the given size."""
        version = command['version']
        document = f'{version:08d}'.encode().ljust(command['bytes'], b'.')
        change = InstallDeployment(Deployment(version, document=document))
        return await self._components.changes.propose(
            ChangeRequest(RequestId(f'install-{version}'), change)
        )

    async def _outcome(self, command: Command) -> Any:
        return await self._components.changes.outcome(
            RequestId(command['request_id'])
        )

    async def _state(self, command: Command) -> Any:
        follower = self._components.follower
        digest = str(command.get('digest', '')).encode()
        consensus = self._components.consensus
        status = consensus.core_status if consensus else None
        return {
            'ready': follower.ready,
            'revision': follower.config.revision,
            'age_ms': follower.age_ms,
            'withdrawn': follower.is_withdrawn(digest),
            'role': status.role if status else '',
            'voters': status.membership.voters if status else (),
            'learners': status.membership.learners if status else (),
        }

    async def _begin(self, command: Command) -> Any:
        result = await self._components.claims.begin(
            CustomerId(command['customer']),
            command['key'],
            str(command['body']).encode(),
            RequestId(command['request_id']),
        )
        return result.ok if result.is_ok() else result.error

    async def _finish(self, command: Command) -> Any:
        answer = msgspec.convert(command['answer'], ClaimState)
        return await self._components.claims.finish(
            CustomerId(command['customer']),
            command['key'],
            RequestId(command['request_id']),
            answer,
        )

    async def _withdraw(self, command: Command) -> Any:
        digest = str(command['digest']).encode()
        self._components.follower.accept_withdrawals((digest,))
        return True

    async def _limit_files(self, command: Command) -> Any:
        """Limit the file size so that writes fail as on a full disk."""
        limits = resource.getrlimit(resource.RLIMIT_FSIZE)
        limit = command['bytes'] if command['bytes'] >= 0 else limits[1]
        resource.setrlimit(resource.RLIMIT_FSIZE, (limit, limits[1]))
        return True


async def run_vm(settings: Settings, options: Options) -> None:
    """Serve until standard input closes, then stop the tasks in reverse."""
    secret = read_secret(settings.fleet_secret_file)
    server = RpcServer(secret, settings.tls)
    client = RpcClient(secret, settings.tls)
    rng = random.Random(settings.vm_id)
    components = build_consensus_components(
        settings, SystemClock(), rng, server, client, tuple, options
    )
    await server.start(settings.listen.host, settings.listen.peer_port)
    for task in components.tasks:
        await task.start()
    await _serve_commands(ConsensusVm(components))
    for task in reversed(components.tasks):
        await task.stop()
    client.close()


async def _serve_commands(vm: ConsensusVm) -> None:
    reader = asyncio.StreamReader()
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    while True:
        line = await reader.readline()
        if not line:
            return
        sys.stdout.buffer.write(await vm.execute(line))
        sys.stdout.buffer.flush()


def main() -> int:
    """Run a VM with the given settings file and election timeout in ms."""
    loaded = load_settings(Path(sys.argv[1]))
    if loaded.is_error():
        sys.stderr.write('\n'.join(loaded.error))
        return 2
    set_up_logging(loaded.ok.log)
    options = Options(election_ms=int(sys.argv[2]))
    asyncio.run(run_vm(loaded.ok, options))
    return 0


if __name__ == '__main__':
    sys.exit(main())
