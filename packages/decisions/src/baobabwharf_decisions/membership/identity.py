"""Hold the record and the incarnation of this VM."""

from typing import final

import msgspec
from baobabwharf_core.fleet_config import VmRecord
from baobabwharf_core.ids import Incarnation
from baobabwharf_core.input_types import MAX_EXACT_INTEGER

from baobabwharf_decisions.membership.messages import (
    MemberStatus,
    MemberUpdate,
)


@final
class Identity:
    """Hold the record of this VM and whether it is leaving."""

    def __init__(self, record: VmRecord) -> None:
        self._record = record
        self._leaving = False

    @property
    def record(self) -> VmRecord:
        """Return the record with the current incarnation."""
        return self._record

    @property
    def leaving(self) -> bool:
        """Return whether this VM has announced that it leaves."""
        return self._leaving

    def update(self) -> MemberUpdate:
        """Return the update about this VM that other VMs should apply."""
        status = MemberStatus.LEFT if self._leaving else MemberStatus.ALIVE
        record = self._record
        return MemberUpdate(record.vm_id, status, record.incarnation, record)

    def leave(self) -> None:
        """Announce from now on that this VM leaves."""
        self._leaving = True
        self.raise_incarnation_above(self._record.incarnation)

    def raise_incarnation_above(self, incarnation: Incarnation) -> None:
        """Set the incarnation to one above the given one."""
        raised = min(incarnation + 1, MAX_EXACT_INTEGER)
        self._record = msgspec.structs.replace(
            self._record, incarnation=Incarnation(raised)
        )

    def must_refute(self, update: MemberUpdate) -> bool:
        """Return whether this VM must refute an update about itself."""
        if update.incarnation != self._record.incarnation:
            return update.incarnation > self._record.incarnation
        return update.status is not self.update().status
