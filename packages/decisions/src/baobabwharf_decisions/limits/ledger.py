"""Take tokens for reservations and put unused ones back."""

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
    """Say where a part of a reservation came from; None is the own bucket."""

    lender: VmId | None
    source_id: int
    amount: int


class _OpenReservation(msgspec.Struct):
    customer_id: CustomerId
    amount: int
    parts: list[_Part]


@final
class Ledger:
    """Remember the parts of each open reservation."""

    def __init__(self, lender: Lender, borrower: Borrower) -> None:
        self._lender = lender
        self._borrower = borrower
        self._open: dict[int, _OpenReservation] = {}

    def drop_expired(self, account: Account, now_ms: int) -> None:
        """Stop spending from expired chunks; the holder gets the rest."""
        for chunk in account.drop_expired(now_ms):
            self._borrower.end_chunk(account.customer_id, chunk)

    def balance(self, account: Account, now_ms: int) -> int:
        """Return what can be spent without asking anyone."""
        bucket = self._lender.bucket(account.customer_id, now_ms)
        own = 0 if bucket is None else bucket.level
        return own + account.borrowed

    def customer_of(self, reservation_id: int) -> CustomerId | None:
        """Return the customer of an open reservation."""
        held = self._open.get(reservation_id)
        return None if held is None else held.customer_id

    def reserve(
        self, account: Account, amount: int, now_ms: int
    ) -> Reservation | None:
        """Take the amount from chunks, then from the own bucket, or not."""
        self.drop_expired(account, now_ms)
        bucket = self._lender.bucket(account.customer_id, now_ms)
        own = 0 if bucket is None else bucket.level
        if own + account.borrowed < amount:
            return None
        reservation_id = self._lender.next_id()
        # An own bucket near its cap would lose refill: it is spent first.
        first = 0 if bucket is None else max(0, own - bucket.cap // 2)
        first = min(first, amount)
        parts, left = _spend_chunks(account, amount - first)
        if first + left and bucket is not None:
            bucket.take(reservation_id, first + left)
            parts.append(_Part(None, reservation_id, first + left))
        taken = sum(part.amount for part in parts)
        check_invariant(taken == amount, 'A reservation is not covered.')
        self._open[reservation_id] = _OpenReservation(
            account.customer_id, amount, parts
        )
        return Reservation(reservation_id, account.customer_id, amount // MICRO)

    def settle(
        self, account: Account, reservation_id: int, used: int, now_ms: int
    ) -> None:
        """Put unused tokens back where they came from."""
        held = self._open.pop(reservation_id)
        unused = max(0, held.amount - used)
        for part in reversed(held.parts):
            refund = min(unused, part.amount)
            unused -= refund
            self._refund(account, part, refund, now_ms)

    def _refund(
        self, account: Account, part: _Part, refund: int, now_ms: int
    ) -> None:
        if part.lender is None:
            bucket = self._lender.bucket(account.customer_id, now_ms)
            if bucket is not None:
                bucket.give_back(part.source_id, refund)
            return
        chunk = account.find(part.source_id, part.lender)
        if chunk is None:
            ended = Chunk(part.source_id, part.lender, 0, 0, 0)
            ended.used = part.amount - refund
            # The holder credits it as far as refill has not replaced it.
            self._borrower.report(account.customer_id, ended, refund)
            return
        kept = min(refund, chunk.reported - chunk.left)
        chunk.left += kept
        chunk.used += part.amount - refund
        if refund > kept:
            self._borrower.report(account.customer_id, chunk, refund - kept)


def _spend_chunks(account: Account, amount: int) -> tuple[list[_Part], int]:
    parts = []
    for chunk in account.chunks:
        spent = min(chunk.left, amount)
        if spent:
            chunk.left -= spent
            amount -= spent
            parts.append(_Part(chunk.lender, chunk.chunk_id, spent))
    return parts, amount
