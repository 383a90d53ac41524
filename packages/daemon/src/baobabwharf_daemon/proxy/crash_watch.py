"""Collect evidence of crashing endpoints and share it with the other VMs."""

from typing import final

from baobabwharf_core.clock import Clock
from baobabwharf_core.codec import decode, encode
from baobabwharf_core.fleet_config import VmRecord
from baobabwharf_core.ids import VmId
from baobabwharf_core.input_types import ExactInteger
from baobabwharf_core.refusals import Refusal, RefusalCode
from baobabwharf_decisions.proxying.crash_blame import (
    CrashBlame,
    Verdict,
    VerdictAction,
)
from baobabwharf_decisions.proxying.crash_report import CrashReport
from baobabwharf_decisions.proxying.request_traits import Traits
from expression import Error, Ok, Result
from msgspec import Struct

from baobabwharf_daemon.decision_log import DecisionLog
from baobabwharf_daemon.interfaces import MembershipView
from baobabwharf_daemon.metrics import CRASH_EVIDENCE
from baobabwharf_daemon.proxy.attempt import Attempt
from baobabwharf_daemon.proxy.datagrams import DatagramTask
from baobabwharf_daemon.proxy.request_plan import ForwardMetadata
from baobabwharf_daemon.vm_records import host_of

# Crashes may follow each other within the delay between regions.
_PERIOD_S = 0.05
# Evidence is repeated at this interval, as datagrams get lost; the interval
# grows with the fleet, so that each VM sends at most 50 datagrams per second.
_REPEAT_MS = 500
_REPEAT_PER_VM_MS = 20
# Under overload control every this many repeats go to other regions: new
# evidence is sent to all at once, and a crash is mostly repeated where the
# endpoints are.
_FAR_REPEATS = 4
# A VM that has left the fleet still serves callers until it has drained.
_STOPPING_MS = 10_000


class CrashDatagram(Struct, frozen=True):
    """Carry the evidence of one VM; a lower sequence is older."""

    vm_id: VmId
    sequence: ExactInteger
    report: CrashReport


@final
class CrashWatch:
    """Own the evidence of this VM and judge requests by all evidence."""

    def __init__(self, vm_id: VmId, clock: Clock, log: DecisionLog) -> None:
        self._clock = clock
        self._log = log
        self.blame = CrashBlame(vm_id)

    def judge(self, traits: Traits) -> Result[Verdict, Refusal]:
        """Return a refusal if a trait of the request crashes endpoints."""
        now_ms = self._clock.now_ms()
        verdict = self.blame.verdict(traits, now_ms)
        if verdict.action is not VerdictAction.REFUSE:
            return Ok(verdict)
        trait_id = verdict.trait_id or ''
        return Error(
            Refusal(
                RefusalCode.REQUEST_QUARANTINED,
                retry_after_ms=verdict.retry_after_ms,
                detail=self.blame.explain(trait_id, now_ms) or '',
            )
        )

    def note_sent(self, verdict: Verdict) -> None:
        """Announce the request if it is the trial of a trait."""
        if verdict.action is VerdictAction.PROBE and verdict.trait_id:
            now_ms = self._clock.now_ms()
            self._log.record(
                'trait_tried',
                trait=verdict.trait_id,
                inputs=self.blame.explain(verdict.trait_id, now_ms),
            )
            self.blame.note_probe(verdict.trait_id, now_ms)

    def note_unsent(self, verdict: Verdict) -> None:
        """Withdraw a trial that reached no endpoint."""
        if verdict.action is VerdictAction.PROBE and verdict.trait_id:
            self.blame.note_probe_unsent(verdict.trait_id, self._clock.now_ms())

    def note_answer(self, attempt: Attempt, traits: Traits) -> None:
        """Record that an endpoint went on after it had begun an answer."""
        if attempt.answer_went_on or attempt.destination.record is None:
            return
        attempt.answer_went_on = True
        self.blame.note_answer(traits, self._clock.now_ms())

    def note_end(self, attempt: Attempt, metadata: ForwardMetadata) -> None:
        """Record an endpoint that was lost before its answer went on."""
        record = attempt.destination.record
        if record is None or not attempt.crash_suspected:
            return
        CRASH_EVIDENCE.inc({'source': 'own'})
        self._log.record(
            'crash_suspected',
            request=metadata.request_id,
            endpoint=record.endpoint_id,
            incarnation=record.incarnation,
            traits=metadata.traits,
        )
        self.blame.note_crash(
            record.endpoint_id,
            record.incarnation,
            (metadata.traits,),
            self._clock.now_ms(),
        )


@final
class CrashExchange(DatagramTask):
    """Send the evidence of this VM to all others and receive theirs."""

    def __init__(
        self,
        own: VmRecord,
        port: int,
        clock: Clock,
        members: MembershipView,
        blame: CrashBlame,
        *,
        fewer_far_repeats: bool = False,
    ) -> None:
        super().__init__(own, port)
        self._clock = clock
        self._members = members
        self._blame = blame
        self._fewer_far_repeats = fewer_far_repeats
        self._repeats = 0
        self._sequence = clock.wall_ms()
        self._sent_ms = 0
        self._newest: dict[VmId, int] = {}
        self._last_live_ms: dict[str, int] = {}

    def handle_datagram(self, content: bytes, host: str) -> None:
        """Merge the evidence of another VM unless it is outdated."""
        datagram = decode(content, CrashDatagram)
        if self._newest.get(datagram.vm_id, -1) < datagram.sequence:
            self._newest[datagram.vm_id] = datagram.sequence
            CRASH_EVIDENCE.inc({'source': 'other'})
            self._blame.apply_report(
                datagram.vm_id, datagram.report, self._clock.now_ms()
            )

    def send_due(self) -> float:
        """Send new evidence at once and repeat what is held."""
        now_ms = self._clock.now_ms()
        self._blame.drop_expired(now_ms)
        hosts = self._hosts(now_ms)
        repeat_ms = max(_REPEAT_MS, _REPEAT_PER_VM_MS * len(hosts))
        if self._blame.changed:
            self._sent_ms = now_ms
            self._send_report(hosts, now_ms)
        elif now_ms - self._sent_ms >= repeat_ms:
            self._sent_ms = now_ms
            self._repeats += 1
            self._send_report(self._repeat_hosts(hosts), now_ms)
        return _PERIOD_S

    def _repeat_hosts(self, hosts: list[str]) -> list[str]:
        if not self._fewer_far_repeats or not self._repeats % _FAR_REPEATS:
            return hosts
        far = {
            host_of(vm)
            for vm in self._members.live_vms()
            if vm.region != self._own.region
        }
        return [host for host in hosts if host not in far]

    def _hosts(self, now_ms: int) -> list[str]:
        """Return the hosts to send to, including VMs that are stopping."""
        live = self.other_hosts(self._members.live_vms())
        self._last_live_ms.update(dict.fromkeys(live, now_ms))
        self._last_live_ms = {
            host: live_ms
            for host, live_ms in self._last_live_ms.items()
            if now_ms - live_ms <= _STOPPING_MS
        }
        return sorted(self._last_live_ms)

    def _send_report(self, hosts: list[str], now_ms: int) -> None:
        report = self._blame.report(now_ms)
        if report.is_empty:
            return
        self._sequence += 1
        datagram = CrashDatagram(self._own.vm_id, self._sequence, report)
        self.send(encode(datagram), hosts)
