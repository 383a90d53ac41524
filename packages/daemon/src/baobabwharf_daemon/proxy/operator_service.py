"""Handle deployments and zone evacuations ordered by operators."""

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


class OrderStatus(enum.Enum):
    """Classify the outcome of an operator's order."""

    ACCEPTED = 'accepted'
    INVALID = 'invalid'
    UNAVAILABLE = 'unavailable'


class OrderResult(msgspec.Struct, frozen=True):
    """Hold the outcome of an order and its reason."""

    status: OrderStatus
    sentence: str = ''


class DocumentResult(msgspec.Struct, frozen=True):
    """Hold the document in force; if not confirmed, it may be outdated."""

    confirmed: bool
    document: bytes | None = None


# An order that changes nothing was accepted earlier.
_ACCEPTED = frozenset((ChangeCode.ACCEPTED, ChangeCode.ALREADY_EXISTS))


@final
class OperatorService:
    """Handle the orders of operators on a disk VM."""

    def __init__(
        self,
        own: VmId,
        changes: ChangeClient,
        leader: LeaderClient,
        generator: random.Random,
        log: DecisionLog,
    ) -> None:
        self._own = own
        self._changes = changes
        self._leader = leader
        self._random = generator
        self._log = log

    async def install(self, deployment: Deployment) -> OrderResult:
        """Install a deployment unless a higher version is in force."""
        faults = find_validation_errors(deployment)
        if faults:
            result = OrderResult(OrderStatus.INVALID, ' '.join(faults))
        else:
            result = await self._order(InstallDeployment(deployment))
        self._log.record(
            'deployment_order',
            version=deployment.version,
            outcome=result.status.value,
            reason=result.sentence,
        )
        return result

    async def evacuate(self, zone: ZoneId, *, active: bool) -> OrderResult:
        """Start or end the evacuation of an availability zone."""
        result = await self._order(SetEvacuation(zone, active))
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

    async def _order(self, change: Change) -> OrderResult:
        # Versions make orders idempotent, so each attempt has its own id.
        number = self._random.getrandbits(_ID_BITS)
        request_id = RequestId(f'order-{self._own}-{number:x}')
        outcome = await self._changes.propose(ChangeRequest(request_id, change))
        if outcome.code in _ACCEPTED:
            return OrderResult(OrderStatus.ACCEPTED, outcome.sentence)
        if outcome.code is ChangeCode.INVALID:
            return OrderResult(OrderStatus.INVALID, outcome.sentence)
        return OrderResult(OrderStatus.UNAVAILABLE, outcome.sentence)
