"""Describe lending messages between VMs and what the core asks for."""

import msgspec
from baobabwharf_core.ids import CustomerId, VmId
from baobabwharf_core.refusals import Refusal
from baobabwharf_core.requests import Reservation


class Ask(msgspec.Struct, frozen=True):
    """Ask for up to an amount of a customer's micro-tokens."""

    customer_id: CustomerId
    amount: int


class BorrowRequest(msgspec.Struct, frozen=True):
    """Ask one holder; a resend has the same nonce and number."""

    borrower: VmId
    nonce: int
    number: int
    asks: tuple[Ask, ...]


class Grant(msgspec.Struct, frozen=True):
    """Lend a chunk (amount may be zero) and tell what the holder has."""

    customer_id: CustomerId
    chunk_id: int
    amount: int
    level_left: int


class BorrowReply(msgspec.Struct, frozen=True):
    """Answer the asks of one request."""

    nonce: int
    number: int
    grants: tuple[Grant, ...]


class Returned(msgspec.Struct, frozen=True):
    """Report a chunk: left may be spent; the totals returned and used."""

    customer_id: CustomerId
    chunk_id: int
    left: int
    total: int
    used: int


class ReturnRequest(msgspec.Struct, frozen=True):
    """Give unspent tokens back to one holder; may be repeated."""

    borrower: VmId
    items: tuple[Returned, ...]


class ReturnReply(msgspec.Struct, frozen=True):
    """Confirm a return."""


class SendBorrow(msgspec.Struct, frozen=True):
    """Tell the driver to send an ask to a holder."""

    to: VmId
    request: BorrowRequest


class SendReturn(msgspec.Struct, frozen=True):
    """Tell the driver to send tokens back to a holder."""

    to: VmId
    request: ReturnRequest


class Granted(msgspec.Struct, frozen=True):
    """Tell the driver that a request has its tokens."""

    ticket: int
    reservation: Reservation


class Refused(msgspec.Struct, frozen=True):
    """Tell the driver that a request got no tokens in time."""

    ticket: int
    refusal: Refusal


Action = SendBorrow | Granted | Refused
