"""Register this VM in the replicated configuration."""

import asyncio
import random
from typing import final

import msgspec
from baobabwharf_core.changes import ChangeCode, ChangeRequest, RegisterVm
from baobabwharf_core.fleet_config import VmRecord
from baobabwharf_core.ids import RequestId

from baobabwharf_daemon.fail_fast import spawn
from baobabwharf_daemon.interfaces import ChangeClient, ConfigSource
from baobabwharf_daemon.log import get_logger
from baobabwharf_daemon.task import Task

_log = get_logger('registration')

# A VM that starts in a partitioned region retries until the change is accepted.
# The backoff keeps a fleet whose VMs all start at once from flooding the leader.
_MIN_BACKOFF_S = 0.2
_MAX_BACKOFF_S = 5.0


@final
class VmRegistration(Task):
    """Propose the record of this VM until the configuration contains it."""

    def __init__(
        self,
        record: VmRecord,
        config_source: ConfigSource,
        changes: ChangeClient,
        rng: random.Random,
    ) -> None:
        self._record = record
        self._config_source = config_source
        self._changes = changes
        self._rng = rng
        self._registering: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start to register this VM."""
        self._registering = spawn(self._register())

    async def stop(self) -> None:
        """Stop trying to register."""
        if self._registering is not None:
            self._registering.cancel()

    async def _register(self) -> None:
        attempt = 0
        while not self._is_recorded():
            # Each attempt needs a new id, since an earlier one may have been
            # rejected permanently.
            attempt += 1
            request_id = RequestId(
                f'register-{self._record.vm_id}-'
                f'{self._record.incarnation}-{attempt}'
            )
            outcome = await self._changes.propose(
                ChangeRequest(request_id, RegisterVm(self._record))
            )
            if outcome.code is ChangeCode.ACCEPTED:
                _log.info('VM is registered at revision %s.', outcome.revision)
                return
            await asyncio.sleep(self._backoff_s(attempt))

    def _backoff_s(self, attempt: int) -> float:
        ceiling = min(_MAX_BACKOFF_S, _MIN_BACKOFF_S * 2**attempt)
        return self._rng.uniform(_MIN_BACKOFF_S, ceiling)

    def _is_recorded(self) -> bool:
        """Return whether the configuration holds this record.

        The incarnation is ignored, since gossip distributes it.
        """
        known = self._config_source.config.vms.get(self._record.vm_id)
        if known is None:
            return False
        with_own_incarnation = msgspec.structs.replace(
            known, incarnation=self._record.incarnation
        )
        return with_own_incarnation == self._record
