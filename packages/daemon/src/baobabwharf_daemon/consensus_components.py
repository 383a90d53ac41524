"""Build the tasks that replicate the fleet state on one VM."""

import random
from pathlib import Path

import msgspec
from baobabwharf_core.clock import Clock
from baobabwharf_core.ids import VmId
from baobabwharf_decisions.consensus.messages import Options

from baobabwharf_daemon.address_book import AddressBook, LiveVms
from baobabwharf_daemon.config_follower import ConfigFollower
from baobabwharf_daemon.consensus_task import ConsensusTask
from baobabwharf_daemon.leader_client import LeaderClient
from baobabwharf_daemon.leader_maintenance import LeaderMaintenance
from baobabwharf_daemon.replica_bootstrap import ReplicaBootstrap
from baobabwharf_daemon.replica_files import ReplicaFiles
from baobabwharf_daemon.replica_links import ReplicaLinks
from baobabwharf_daemon.replica_operations import ReplicaOperations
from baobabwharf_daemon.replica_runner import ApplyListener, ReplicaRunner
from baobabwharf_daemon.replica_writer import ReplicaWriter
from baobabwharf_daemon.replicated_clients import (
    ReplicatedChangeClient,
    ReplicatedClaimClient,
)
from baobabwharf_daemon.rpc import RpcClient, RpcServer
from baobabwharf_daemon.settings import Settings
from baobabwharf_daemon.task import Task

_RAFT_FOLDER = 'raft'
# Four heartbeats fit into an election timeout.  Each heartbeat costs a gRPC
# call at both ends, which is most of the load of an idle replica.  A commit is
# announced immediately and does not wait for the next heartbeat.
_HEARTBEAT_MS = 250


class ConsensusComponents(msgspec.Struct, frozen=True):
    """Hold the components; consensus is None on a VM without a data folder."""

    follower: ConfigFollower
    changes: ReplicatedChangeClient
    claims: ReplicatedClaimClient
    leader: LeaderClient
    consensus: ConsensusTask | None

    @property
    def tasks(self) -> tuple[Task, ...]:
        """Return the tasks in start order; they stop in reverse order."""
        other_tasks: tuple[Task, ...] = (self.follower, self.claims)
        return (
            other_tasks
            if self.consensus is None
            else (self.consensus, *other_tasks)
        )


class _Dependencies(msgspec.Struct, frozen=True):
    settings: Settings
    clock: Clock
    rng: random.Random
    client: RpcClient
    book: AddressBook
    options: Options


def build_consensus_components(
    settings: Settings,
    clock: Clock,
    rng: random.Random,
    server: RpcServer,
    client: RpcClient,
    live_vms: LiveVms,
    options: Options | None = None,
) -> ConsensusComponents:
    """Build the tasks and register their RPC handlers with the server.

    Must be called inside the event loop and before the server starts.
    """
    book = AddressBook(settings, live_vms)
    dependencies = _Dependencies(
        settings,
        clock,
        rng,
        client,
        book,
        options or Options(heartbeat_ms=_HEARTBEAT_MS),
    )
    # Filled below, since the consensus task is built with the follower.
    consensus_tasks: list[ConsensusTask] = []
    follower = ConfigFollower(
        book, client, clock, lambda: _replica_age_ms(consensus_tasks, clock)
    )
    follower.register(server)
    consensus = None
    if settings.data_folder is not None:
        folder = settings.data_folder / _RAFT_FOLDER
        consensus = _build_consensus(
            dependencies, folder, follower.accept_applied
        )
        consensus.register(server)
        consensus_tasks.append(consensus)
    leader = LeaderClient(book, client, clock, rng, consensus)
    return ConsensusComponents(
        follower,
        ReplicatedChangeClient(leader, follower),
        ReplicatedClaimClient(leader, book.own.vm_id),
        leader,
        consensus,
    )


def _replica_age_ms(
    consensus_tasks: list[ConsensusTask], clock: Clock
) -> int | None:
    return (
        consensus_tasks[0].leader_silence_ms(clock) if consensus_tasks else None
    )


def _build_consensus(
    dependencies: _Dependencies, folder: Path, listener: ApplyListener
) -> ConsensusTask:
    files = ReplicaFiles(folder)
    writer = ReplicaWriter(files)
    links = ReplicaLinks(dependencies.client, dependencies.book.address_of)
    runner = ReplicaRunner(
        dependencies.clock,
        dependencies.rng,
        writer,
        links,
        listener,
        dependencies.options,
    )
    operations = ReplicaOperations(
        runner, dependencies.clock, files.check_free_space
    )
    voters = tuple(VmId(name) for name in dependencies.settings.initial_voters)
    bootstrap = ReplicaBootstrap(
        folder,
        voters,
        dependencies.book,
        dependencies.client,
        writer,
        dependencies.rng,
    )
    maintenance = LeaderMaintenance(
        runner,
        operations,
        dependencies.book,
        dependencies.clock,
        dependencies.client,
    )
    return ConsensusTask(
        runner, operations, bootstrap, maintenance, writer, links
    )
