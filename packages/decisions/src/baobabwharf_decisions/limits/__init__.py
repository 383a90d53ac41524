"""Share each customer's token bucket between VMs without exceeding its cap."""

from baobabwharf_decisions.limits.core import LimitCore
from baobabwharf_decisions.limits.messages import (
    Ask,
    BorrowReply,
    BorrowRequest,
    Granted,
    Refused,
    ReturnReply,
    ReturnRequest,
    SendBorrow,
    SendReturn,
)
from baobabwharf_decisions.limits.shares import ShareRollout, ShareTable

__all__ = (
    'Ask',
    'BorrowReply',
    'BorrowRequest',
    'Granted',
    'LimitCore',
    'Refused',
    'ReturnReply',
    'ReturnRequest',
    'SendBorrow',
    'SendReturn',
    'ShareRollout',
    'ShareTable',
)
