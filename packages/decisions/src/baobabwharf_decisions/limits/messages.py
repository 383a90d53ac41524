"""Define the lending messages between VMs and the driver's actions."""

import msgspec
from baobabwharf_core.ids import CustomerId, VmId
from baobabwharf_core.input_types import (
    ExactInteger,
    MicroTokens,
    VersionNumber,
)
from baobabwharf_core.refusals import Refusal
from baobabwharf_core.requests import Reservation


class Ask(msgspec.Struct, frozen=True):
    """Ask for up to an amount of a customer's micro-tokens."""

    customer_id: CustomerId
    amount: MicroTokens


class BorrowRequest(msgspec.Struct, frozen=True):
    """Ask one holder for tokens; a resend has the same nonce and number."""

    borrower: VmId
    nonce: ExactInteger
    number: ExactInteger
    asks: tuple[Ask, ...]


class Grant(msgspec.Struct, frozen=True):
    """Lend a chunk (amount may be zero) and state the holder's level left."""

    customer_id: CustomerId
    chunk_id: VersionNumber
    amount: MicroTokens
    level_left: MicroTokens


class BorrowReply(msgspec.Struct, frozen=True):
    """Answer the asks of one request, in their order."""

    nonce: ExactInteger
    number: ExactInteger
    grants: tuple[Grant, ...]

    def answers(self, request: BorrowRequest) -> bool:
        """Return whether each ask of the request has its grant."""
        return (
            self.nonce == request.nonce
            and self.number == request.number
            and [grant.customer_id for grant in self.grants]
            == [ask.customer_id for ask in request.asks]
        )


class Returned(msgspec.Struct, frozen=True):
    """Report a chunk: left to spend, and the totals returned and used."""

    customer_id: CustomerId
    chunk_id: VersionNumber
    left: MicroTokens
    total: MicroTokens
    used: MicroTokens


class ReturnRequest(msgspec.Struct, frozen=True):
    """Return unspent tokens to one holder; safe to repeat."""

    borrower: VmId
    items: tuple[Returned, ...]


class ReturnReply(msgspec.Struct, frozen=True):
    """Acknowledge a ReturnRequest."""


class SendBorrow(msgspec.Struct, frozen=True):
    """Have the driver send a borrow request to a holder."""

    to: VmId
    request: BorrowRequest


class SendReturn(msgspec.Struct, frozen=True):
    """Have the driver send a return request to a holder."""

    to: VmId
    request: ReturnRequest


class Granted(msgspec.Struct, frozen=True):
    """Inform the driver that a request has its tokens."""

    ticket: int
    reservation: Reservation


class Refused(msgspec.Struct, frozen=True):
    """Inform the driver that a request got no tokens in time."""

    ticket: int
    refusal: Refusal


Action = SendBorrow | Granted | Refused
