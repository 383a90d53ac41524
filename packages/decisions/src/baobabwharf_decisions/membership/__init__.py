"""SWIM-style membership: track live VMs at a bounded cost per VM."""

from baobabwharf_decisions.membership.core import (
    Callbacks,
    MembershipCore,
)
from baobabwharf_decisions.membership.freeze import FreezeDetector
from baobabwharf_decisions.membership.messages import (
    Exchange,
    ExchangeReply,
    MemberStatus,
    MemberUpdate,
    Piggyback,
    Summary,
)
from baobabwharf_decisions.membership.probes import Probe

__all__ = (
    'Callbacks',
    'Exchange',
    'ExchangeReply',
    'FreezeDetector',
    'MemberStatus',
    'MemberUpdate',
    'MembershipCore',
    'Piggyback',
    'Probe',
    'Summary',
)
