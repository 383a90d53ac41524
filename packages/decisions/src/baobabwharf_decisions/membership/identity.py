"""Hold what this VM says about itself."""

from typing import final

import msgspec
from baobabwharf_core.ids import Incarnation
from baobabwharf_core.model import VmRecord

from baobabwharf_decisions.membership.messages import (
    MemberStatus,
    MemberUpdate,
)


@final
class Identity:
    """Own the record, the incarnation and whether this VM is leaving."""

    def __init__(self, record: VmRecord) -> None:
        self._record = record
        self._leaving = False

    @property
    def record(self) -> VmRecord:
        """Return the record with the present incarnation."""
        return self._record

    @property
    def leaving(self) -> bool:
        """Tell whether this VM has announced that it stops."""
        return self._leaving

    def update(self) -> MemberUpdate:
        """Return what others should believe."""
        status = MemberStatus.LEFT if self._leaving else MemberStatus.ALIVE
        record = self._record
        return MemberUpdate(record.vm_id, status, record.incarnation, record)

    def leave(self) -> None:
        """Say from now on that this VM stops."""
        self._leaving = True
        self.raise_incarnation_above(self._record.incarnation)

    def raise_incarnation_above(self, incarnation: Incarnation) -> None:
        """Take an incarnation above the given one."""
        self._record = msgspec.structs.replace(
            self._record, incarnation=Incarnation(incarnation + 1)
        )

    def must_refute(self, update: MemberUpdate) -> bool:
        """Tell whether a claim about this VM must be refuted."""
        if update.incarnation != self._record.incarnation:
            return update.incarnation > self._record.incarnation
        return update.status is not self.update().status
