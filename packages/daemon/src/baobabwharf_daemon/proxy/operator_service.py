"""Handle deployments and zone evacuations requested by operators."""

import enum
import random
from typing import final

import msgspec
from baobabwharf_core.changes import (
    Change,
    ChangeCode,
    ChangeRequest,
    InstallDeployment,
    SetEvacuation,
)
from baobabwharf_core.deployment import Deployment
from baobabwharf_core.ids import RequestId, VmId, ZoneId
from baobabwharf_decisions.fleet_state.deployments import find_validation_errors

from baobabwharf_daemon.decision_log import DecisionLog
from baobabwharf_daemon.interfaces import ChangeClient
from baobabwharf_daemon.leader_client import LeaderClient
from baobabwharf_daemon.replica_messages import ReplyKind

# An operator's client gives up after one second and tries another VM.
_READ_TIMEOUT_MS = 900
_ID_BITS = 64


class ChangeStatus(enum.Enum):
    """Classify the outcome of an operator's change."""

    ACCEPTED = 'accepted'
    INVALID = 'invalid'
    UNAVAILABLE = 'unavailable'


class ChangeResult(msgspec.Struct, frozen=True):
    """Hold the outcome of a change and its reason."""

    status: ChangeStatus
    sentence: str = ''


class DocumentResult(msgspec.Struct, frozen=True):
    """Hold the document in force; if not confirmed, it may be outdated."""

    confirmed: bool
    document: bytes | None = None


# A change that has no effect was accepted earlier.
_ACCEPTED = frozenset((ChangeCode.ACCEPTED, ChangeCode.ALREADY_EXISTS))


@final
class OperatorService:
    """Handle the changes of operators on a disk VM."""

    def __init__(
        self,
        own: VmId,
        changes: ChangeClient,
        leader: LeaderClient,
        rng: random.Random,
        log: DecisionLog,
    ) -> None:
        self._own = own
        self._changes = changes
        self._leader = leader
        self._rng = rng
        self._log = log

    async def install(self, deployment: Deployment) -> ChangeResult:
        """Install a deployment unless a higher version is in force."""
        faults = find_validation_errors(deployment)
        if faults:
            result = ChangeResult(ChangeStatus.INVALID, ' '.join(faults))
        else:
            result = await self._submit_change(InstallDeployment(deployment))
        self._log.record(
            'deployment_order',
            version=deployment.version,
            outcome=result.status.value,
            reason=result.sentence,
        )
        return result

    async def evacuate(self, zone: ZoneId, *, active: bool) -> ChangeResult:
        """Start or end the evacuation of an availability zone."""
        result = await self._submit_change(SetEvacuation(zone, active))
        self._log.record(
            'evacuation_order',
            zone=zone,
            active=active,
            outcome=result.status.value,
            reason=result.sentence,
        )
        return result

    async def read_document(self) -> DocumentResult:
        """Return the document of the newest deployment."""
        reply = await self._leader.read_document(_READ_TIMEOUT_MS)
        if reply.kind is not ReplyKind.ANSWERED:
            return DocumentResult(confirmed=False)
        return DocumentResult(confirmed=True, document=reply.document)

    async def _submit_change(self, change: Change) -> ChangeResult:
        # Versions make changes idempotent, so each attempt has its own id.
        number = self._rng.getrandbits(_ID_BITS)
        request_id = RequestId(f'order-{self._own}-{number:x}')
        outcome = await self._changes.propose(ChangeRequest(request_id, change))
        if outcome.code in _ACCEPTED:
            return ChangeResult(ChangeStatus.ACCEPTED, outcome.sentence)
        if outcome.code is ChangeCode.INVALID:
            return ChangeResult(ChangeStatus.INVALID, outcome.sentence)
        return ChangeResult(ChangeStatus.UNAVAILABLE, outcome.sentence)
