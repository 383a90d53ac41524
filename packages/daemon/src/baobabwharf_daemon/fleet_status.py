"""Tell operators which revision is in force on each VM."""

import asyncio
import contextlib
from collections.abc import Callable, Sequence
from typing import final

import msgspec
from baobabwharf_core.clock import Clock
from baobabwharf_core.codec import decode, encode
from baobabwharf_core.ids import Revision, VmId
from baobabwharf_core.model import VmRecord

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

# A change of revision is published at once; this refreshes role and age.
_REFRESH_S = 5.0
_MS_PER_S = 1000
_UNKNOWN_AGE_MS = -1
# Reports travel by gossip and may take seconds; an operator who waits for a
# change asks those VMs directly that seem to be behind, this many at once.
REPORT_PATH = '/baobabwharf.Status/Report'
_MAX_ASKED = 32
_ASK_TIMEOUT_MS = 500

Publisher = Callable[[bytes], None]
RoleSource = Callable[[], str]

_log = get_logger('status')


class ReportRequest(msgspec.Struct, frozen=True):
    """Ask a VM for its report."""

    sender: VmId


class RevisionReport(msgspec.Struct, frozen=True):
    """Report the revision in force on a VM and its age in ms."""

    revision: Revision
    age_ms: int
    role: str


class _Heard(msgspec.Struct, frozen=True):
    report: RevisionReport
    at_ms: int


@final
class FleetStatus(StatusSource, Task):
    """Publish the own revision and collect those of the other VMs."""

    def __init__(
        self,
        own: VmRecord,
        clock: Clock,
        config: ConfigSource,
        membership: MembershipView,
        role: RoleSource,
        publisher: Publisher,
        client: RpcClient,
    ) -> None:
        self._own = own
        self._clock = clock
        self._config = config
        self._membership = membership
        self._role = role
        self._publisher = publisher
        self._client = client
        self._heard: dict[VmId, _Heard] = {}
        self._loop: asyncio.Task[None] | None = None

    def register(self, server: RpcServer) -> None:
        """Serve Status.Report; call before the listener starts."""
        server.register_unary(
            REPORT_PATH, ReportRequest, RevisionReport, self._serve
        )

    async def start(self) -> None:
        """Begin to publish."""
        self._loop = spawn(self._publish_forever())

    async def stop(self) -> None:
        """Stop publishing."""
        if self._loop is not None:
            self._loop.cancel()
            await asyncio.gather(self._loop, return_exceptions=True)

    def on_report(self, origin: VmId, payload: bytes) -> None:
        """Take the report of another VM."""
        try:
            report = decode(payload, RevisionReport)
        except msgspec.DecodeError:
            _log.warning('VM %s sent a malformed report.', origin)
            return
        known = self._heard.get(origin)
        # A report that was asked for may have overtaken this one.
        if known is None or report.revision >= known.report.revision:
            self._heard[origin] = _Heard(report, self._clock.now_ms())

    async def query_revisions(self, vm_ids: Sequence[VmId]) -> None:
        """Ask VMs directly for their revision, ahead of their reports."""
        live = {vm.vm_id: vm for vm in self._membership.live_vms()}
        asked = [live[vm_id] for vm_id in vm_ids if vm_id in live]
        await asyncio.gather(*(self._ask(vm) for vm in asked[:_MAX_ASKED]))

    async def _ask(self, vm: VmRecord) -> None:
        reply = await self._client.call(
            vm.peer_address,
            REPORT_PATH,
            ReportRequest(self._own.vm_id),
            RevisionReport,
            _ASK_TIMEOUT_MS,
        )
        if reply.is_ok():
            self._heard[vm.vm_id] = _Heard(reply.ok, self._clock.now_ms())

    async def _serve(self, request: ReportRequest) -> RevisionReport:
        return self._own_report()

    def vm_status(self) -> tuple[VmStatus, ...]:
        """Return one entry for each known VM, this VM included."""
        live = {vm.vm_id: vm for vm in self._membership.live_vms()}
        known = {**self._config.config.vms, **live}
        known[self._own.vm_id] = self._own
        return tuple(
            self._describe(vm, vm.vm_id in live)
            for _vm_id, vm in sorted(known.items())
        )

    def _describe(self, vm: VmRecord, alive: bool) -> VmStatus:
        report = self._report_of(vm.vm_id)
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

    def _report_of(self, vm_id: VmId) -> RevisionReport:
        if vm_id == self._own.vm_id:
            return self._own_report()
        heard = self._heard.get(vm_id)
        if heard is None:
            return RevisionReport(Revision(0), _UNKNOWN_AGE_MS, 'unknown')
        since_ms = self._clock.now_ms() - heard.at_ms
        return msgspec.structs.replace(
            heard.report, age_ms=heard.report.age_ms + since_ms
        )

    def _own_report(self) -> RevisionReport:
        revision = self._config.config.revision
        return RevisionReport(revision, self._config.age_ms, self._role())

    async def _publish_forever(self) -> None:
        changes = self._config.subscribe()
        while True:
            self._publisher(encode(self._own_report()))
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changes.get(), _REFRESH_S)
