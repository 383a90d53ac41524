"""Collect for operators which revision is in force on each VM."""

import asyncio
import contextlib
from collections.abc import Callable, Sequence
from typing import final

import msgspec
from baobabwharf_core.clock import Clock
from baobabwharf_core.codec import decode, encode
from baobabwharf_core.fleet_config import VmRecord
from baobabwharf_core.ids import Revision, VmId

from baobabwharf_daemon.fail_fast import spawn
from baobabwharf_daemon.interfaces import (
    ConfigSource,
    MembershipView,
    StatusSource,
    VmStatus,
)
from baobabwharf_daemon.log import get_logger
from baobabwharf_daemon.rpc import RpcClient, RpcServer
from baobabwharf_daemon.task import Task

# A change of revision is published at once; the period is for role and age.
_PUBLISH_PERIOD_S = 5.0
_MS_PER_S = 1000
_UNKNOWN_AGE_MS = -1
# Reports spread by gossip, which may take seconds.  While an operator waits for
# a change, VMs that seem to be behind are queried directly, up to
# _MAX_QUERIED_VMS at once.
REPORT_PATH = '/baobabwharf.Status/Report'
_MAX_QUERIED_VMS = 32
_QUERY_TIMEOUT_MS = 500

Publisher = Callable[[bytes], None]
RoleSource = Callable[[], str]

_log = get_logger('status')


class ReportRequest(msgspec.Struct, frozen=True):
    """Request the report of a VM."""

    sender: VmId


class RevisionReport(msgspec.Struct, frozen=True):
    """Carry the revision in force on a VM, its age in ms and the VM's role."""

    revision: Revision
    age_ms: int
    role: str


class _ReceivedReport(msgspec.Struct, frozen=True):
    report: RevisionReport
    received_ms: int


@final
class FleetStatus(StatusSource, Task):
    """Publish the revision of this VM and collect those of the other VMs."""

    def __init__(
        self,
        own_record: VmRecord,
        clock: Clock,
        config_source: ConfigSource,
        membership: MembershipView,
        role: RoleSource,
        publisher: Publisher,
        client: RpcClient,
    ) -> None:
        self._own_record = own_record
        self._clock = clock
        self._config_source = config_source
        self._membership = membership
        self._role = role
        self._publisher = publisher
        self._client = client
        self._reports: dict[VmId, _ReceivedReport] = {}
        self._loop: asyncio.Task[None] | None = None

    def register(self, server: RpcServer) -> None:
        """Serve Status.Report; must be called before the listener starts."""
        server.register_unary(
            REPORT_PATH, ReportRequest, RevisionReport, self._serve
        )

    async def start(self) -> None:
        """Start publishing."""
        self._loop = spawn(self._publish_forever())

    async def stop(self) -> None:
        """Stop publishing."""
        if self._loop is not None:
            self._loop.cancel()
            await asyncio.gather(self._loop, return_exceptions=True)

    def on_report(self, origin: VmId, payload: bytes) -> None:
        """Store the report that another VM published."""
        try:
            report = decode(payload, RevisionReport)
        except msgspec.DecodeError:
            _log.warning('Ignoring a malformed status report of VM %s.', origin)
            return
        known = self._reports.get(origin)
        # A direct query may have returned a newer report than this one.
        if known is None or report.revision >= known.report.revision:
            self._reports[origin] = _ReceivedReport(
                report, self._clock.now_ms()
            )

    async def query_revisions(self, vm_ids: Sequence[VmId]) -> None:
        """Query VMs directly, without waiting for their gossiped reports."""
        live = {vm.vm_id: vm for vm in self._membership.live_vms()}
        queried = [live[vm_id] for vm_id in vm_ids if vm_id in live]
        await asyncio.gather(
            *(self._query(vm) for vm in queried[:_MAX_QUERIED_VMS])
        )

    async def _query(self, vm: VmRecord) -> None:
        reply = await self._client.call(
            vm.peer_address,
            REPORT_PATH,
            ReportRequest(self._own_record.vm_id),
            RevisionReport,
            _QUERY_TIMEOUT_MS,
        )
        if reply.is_ok():
            self._reports[vm.vm_id] = _ReceivedReport(
                reply.ok, self._clock.now_ms()
            )

    async def _serve(self, request: ReportRequest) -> RevisionReport:
        return self._own_report()

    def vm_status(self) -> tuple[VmStatus, ...]:
        """Return one entry for each known VM, this VM included."""
        live = {vm.vm_id: vm for vm in self._membership.live_vms()}
        known = {**self._config_source.config.vms, **live}
        known[self._own_record.vm_id] = self._own_record
        return tuple(
            self._describe(vm, vm.vm_id in live)
            for _vm_id, vm in sorted(known.items())
        )

    def _describe(self, vm: VmRecord, alive: bool) -> VmStatus:
        report = self._report_for(vm.vm_id)
        return VmStatus(
            vm.vm_id,
            vm.region,
            vm.zone,
            report.revision,
            report.age_ms,
            alive,
            report.role,
            vm.incarnation,
        )

    def _report_for(self, vm_id: VmId) -> RevisionReport:
        if vm_id == self._own_record.vm_id:
            return self._own_report()
        received = self._reports.get(vm_id)
        if received is None:
            return RevisionReport(Revision(0), _UNKNOWN_AGE_MS, 'unknown')
        elapsed_ms = self._clock.now_ms() - received.received_ms
        return msgspec.structs.replace(
            received.report, age_ms=received.report.age_ms + elapsed_ms
        )

    def _own_report(self) -> RevisionReport:
        revision = self._config_source.config.revision
        return RevisionReport(
            revision, self._config_source.age_ms, self._role()
        )

    async def _publish_forever(self) -> None:
        changes = self._config_source.subscribe()
        while True:
            self._publisher(encode(self._own_report()))
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changes.get(), _PUBLISH_PERIOD_S)
