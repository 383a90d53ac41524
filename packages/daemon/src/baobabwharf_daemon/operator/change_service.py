"""Submit operator changes and wait until they are in force."""

import asyncio
from collections.abc import Callable

import msgspec
from baobabwharf_core.changes import (
    ChangeCode,
    ChangeOutcome,
    ChangeRequest,
    RemoveCustomer,
    WithdrawEndpointKey,
    WithdrawKey,
)
from baobabwharf_core.clock import Clock
from baobabwharf_core.fleet_config import FleetConfig
from baobabwharf_core.ids import Revision, VmId

from baobabwharf_daemon.interfaces import (
    ChangeClient,
    ConfigSource,
    StatusSource,
)
from baobabwharf_daemon.operator.event_log import EventLog

HTTP_STATUS_BY_CODE = {
    ChangeCode.ACCEPTED: 200,
    ChangeCode.REVISION_CONFLICT: 409,
    ChangeCode.NOT_FOUND: 404,
    ChangeCode.ALREADY_EXISTS: 409,
    ChangeCode.INVALID: 422,
    ChangeCode.REQUEST_ID_REUSED: 422,
    ChangeCode.NOT_ACCEPTED: 503,
    ChangeCode.UNKNOWN: 504,
}
_POLL_INTERVAL_S = 0.02
_MS_PER_S = 1000

PublishTombstone = Callable[[bytes], None]


class FleetOutcome(msgspec.Struct, frozen=True):
    """Report whether an accepted change is in force on all live VMs.

    behind lists the VMs that still have an older revision.
    """

    outcome: ChangeOutcome
    in_force: bool
    behind: tuple[str, ...] = ()


class ChangeService:
    """Submit changes; announce key withdrawals ahead of the log.

    A withdrawn key is published as a tombstone, so that other VMs reject it
    before they have the new revision.
    """

    def __init__(
        self,
        client: ChangeClient,
        config_source: ConfigSource,
        status: StatusSource,
        publish_tombstone: PublishTombstone,
        events: EventLog,
        clock: Clock,
    ) -> None:
        self._client = client
        self._config_source = config_source
        self._status = status
        self._publish_tombstone = publish_tombstone
        self._events = events
        self._clock = clock

    async def submit(self, request: ChangeRequest) -> ChangeOutcome:
        """Submit a change and return its outcome."""
        # Read the digests first: applying the change may remove the records.
        digests = withdrawn_digests(self._config_source.config, request)
        outcome = await self._client.propose(request)
        if outcome.code is ChangeCode.ACCEPTED:
            for digest in digests:
                self._publish_tombstone(digest)
        change_name = type(request.change).__name__
        self._events.add(
            'operator',
            f'{change_name}: {outcome.code.value}, revision {outcome.revision}.',
            request.request_id,
        )
        return outcome

    async def wait_in_force(
        self, outcome: ChangeOutcome, timeout_ms: int
    ) -> FleetOutcome:
        """Wait until all live VMs have the revision, or until the timeout."""
        deadline_at_ms = self._clock.now_ms() + timeout_ms
        behind = self._behind(outcome.revision)
        while behind and self._clock.now_ms() < deadline_at_ms:
            await asyncio.sleep(_POLL_INTERVAL_S)
            await self._status.query_revisions(behind)
            behind = self._behind(outcome.revision)
        return FleetOutcome(outcome, not behind, behind)

    def _behind(self, revision: Revision) -> tuple[VmId, ...]:
        return tuple(
            vm.vm_id
            for vm in self._status.vm_status()
            if vm.alive and vm.revision < revision
        )


def withdrawn_digests(
    config: FleetConfig, request: ChangeRequest
) -> tuple[bytes, ...]:
    """Return the digests of the keys that a change withdraws."""
    change = request.change
    if isinstance(change, WithdrawKey):
        record = config.keys.get(change.key_id)
        return (record.digest,) if record else ()
    if isinstance(change, WithdrawEndpointKey):
        endpoint_key = config.endpoint_keys.get(change.key_id)
        return (endpoint_key.digest,) if endpoint_key else ()
    if isinstance(change, RemoveCustomer):
        return tuple(
            key.digest
            for key in config.keys.values()
            if key.customer_id == change.customer_id
        )
    return ()
