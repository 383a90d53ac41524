"""Spend tokens for reservations and refund unused ones."""

from typing import final

import msgspec
from baobabwharf_core.ids import CustomerId, VmId
from baobabwharf_core.invariants import check_invariant
from baobabwharf_core.requests import Reservation

from baobabwharf_decisions.limits.account import Account, Chunk
from baobabwharf_decisions.limits.borrower import Borrower
from baobabwharf_decisions.limits.lender import Lender
from baobabwharf_decisions.limits.units import MICRO


class _Part(msgspec.Struct):
    """Hold a part of a reservation; lender None means the own bucket."""

    lender: VmId | None
    source_id: int
    amount: int


class _OpenReservation(msgspec.Struct):
    customer_id: CustomerId
    amount: int
    parts: list[_Part]


@final
class Ledger:
    """Track the sources of each open reservation's tokens."""

    def __init__(self, lender: Lender, borrower: Borrower) -> None:
        self._lender = lender
        self._borrower = borrower
        self._open: dict[int, _OpenReservation] = {}

    def drop_expired(self, account: Account, now_ms: int) -> None:
        """Remove expired chunks and report their remainder to the holders."""
        for chunk in account.drop_expired(now_ms):
            self._borrower.end_chunk(account.customer_id, chunk)

    def balance(self, account: Account, now_ms: int) -> int:
        """Return what can be spent without borrowing more."""
        bucket = self._lender.bucket(account.customer_id, now_ms)
        own = 0 if bucket is None else bucket.level
        return own + account.borrowed

    def customer_of(self, reservation_id: int) -> CustomerId | None:
        """Return the customer of an open reservation, None if not open."""
        reservation = self._open.get(reservation_id)
        return None if reservation is None else reservation.customer_id

    def reserve(
        self, account: Account, amount: int, now_ms: int
    ) -> Reservation | None:
        """Spend the whole amount from chunks and the own bucket, or nothing."""
        self.drop_expired(account, now_ms)
        bucket = self._lender.bucket(account.customer_id, now_ms)
        own = 0 if bucket is None else bucket.level
        if own + account.borrowed < amount:
            return None
        reservation_id = self._lender.next_id()
        # An own bucket near its cap would lose refill, so what it has above half
        # of the cap is spent first.
        own_first = 0 if bucket is None else max(0, own - bucket.cap // 2)
        own_first = min(own_first, amount)
        parts, missing = _spend_chunks(account, amount - own_first)
        if own_first + missing and bucket is not None:
            bucket.spend(reservation_id, own_first + missing)
            parts.append(_Part(None, reservation_id, own_first + missing))
        taken = sum(part.amount for part in parts)
        check_invariant(
            taken == amount, 'Reservation is not covered by its parts.'
        )
        self._open[reservation_id] = _OpenReservation(
            account.customer_id, amount, parts
        )
        return Reservation(reservation_id, account.customer_id, amount // MICRO)

    def settle(
        self, account: Account, reservation_id: int, used: int, now_ms: int
    ) -> None:
        """Refund unused tokens to their sources."""
        reservation = self._open.pop(reservation_id)
        unused = max(0, reservation.amount - used)
        for part in reversed(reservation.parts):
            refund = min(unused, part.amount)
            unused -= refund
            self._refund(account, part, refund, now_ms)

    def _refund(
        self, account: Account, part: _Part, refund: int, now_ms: int
    ) -> None:
        if part.lender is None:
            bucket = self._lender.bucket(account.customer_id, now_ms)
            if bucket is not None:
                bucket.refund(part.source_id, refund)
            return
        chunk = account.find_chunk(part.source_id, part.lender)
        if chunk is None:
            expired = Chunk(part.source_id, part.lender, 0, 0, 0)
            expired.used = part.amount - refund
            # The holder credits the refund unless refill has replaced it.
            self._borrower.queue_report(account.customer_id, expired, refund)
            return
        kept = min(refund, chunk.reported - chunk.left)
        chunk.left += kept
        chunk.used += part.amount - refund
        if refund > kept:
            self._borrower.queue_report(
                account.customer_id, chunk, refund - kept
            )


def _spend_chunks(account: Account, amount: int) -> tuple[list[_Part], int]:
    parts = []
    for chunk in account.chunks:
        spent = min(chunk.left, amount)
        if spent:
            chunk.left -= spent
            amount -= spent
            parts.append(_Part(chunk.lender, chunk.chunk_id, spent))
    return parts, amount
