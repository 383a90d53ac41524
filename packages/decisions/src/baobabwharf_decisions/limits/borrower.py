"""Decide which holders to borrow tokens from, and return unneeded ones."""

from typing import final

import msgspec
from baobabwharf_core.fleet_config import Customer
from baobabwharf_core.ids import CustomerId, VmId

from baobabwharf_decisions.limits.account import Account, Chunk
from baobabwharf_decisions.limits.messages import (
    Action,
    Ask,
    BorrowReply,
    BorrowRequest,
    Returned,
    ReturnRequest,
    SendBorrow,
    SendReturn,
)
from baobabwharf_decisions.limits.shares import Share, ShareTable
from baobabwharf_decisions.limits.units import CHUNK_LIFETIME_MS

# A holder that did not reply is not asked again for this time.
_BACKOFF_MS = 500
_MAX_KEPT_TOTALS = 4096
# Reports are batched for this time, to send fewer messages.
_RETURN_PERIOD_MS = 200
# A holder with less than the need divided by this is not asked.
_MIN_LENDABLE_DIVISOR = 50
# Minimum number of holders asked at once, so that all are drained about equally
# and no holder is full, which would lose refill, while others are empty.
_MIN_HOLDERS_ASKED = 3
# A need is large above the lendable total of all holders divided by this.
_LARGE_NEED_DIVISOR = 16
# Fullness is rounded down to this many steps; holders in one step count as equal.
_FULLNESS_STEPS = 8


class _Sent(msgspec.Struct):
    to: VmId
    sent_ms: int
    asks: tuple[Ask, ...]


@final
class Borrower:
    """Track asks in flight and reports that are due to holders."""

    def __init__(self, vm_id: VmId, nonce: int) -> None:
        self._vm_id = vm_id
        self._nonce = nonce
        self._last_number = 0
        self._sent: dict[int, _Sent] = {}
        self._asks: dict[VmId, list[Ask]] = {}
        self._returns: dict[VmId, dict[int, Returned]] = {}
        self._returns_due_ms = 0
        self._backoff_until_ms: dict[VmId, int] = {}
        # Totals returned and used, by lender and chunk.
        self._totals: dict[tuple[VmId, int], tuple[int, int]] = {}

    def queue_asks(
        self,
        account: Account,
        need: int,
        customer: Customer,
        table: ShareTable,
        now_ms: int,
    ) -> None:
        """Queue asks to the fullest holders; the own region breaks ties."""
        ranked = self._rank(account, customer, table, now_ms)
        # A large need is spread over all holders, so that none stays full.
        total_lendable = sum(entry[-1] for entry in ranked)
        min_holders = (
            _MIN_HOLDERS_ASKED
            if need * _LARGE_NEED_DIVISOR < total_lendable
            else len(ranked)
        )
        chosen: dict[VmId, int] = {}
        for _fullness, _remote, vm_id, lendable in ranked:
            covered = sum(chosen.values()) >= need
            if covered and len(chosen) >= min_holders:
                break
            if lendable > need // _MIN_LENDABLE_DIVISOR:
                chosen[vm_id] = lendable
        self._ask_all(account, chosen, need, now_ms)

    def expected_supply(
        self,
        account: Account,
        customer: Customer,
        table: ShareTable,
        now_ms: int,
    ) -> tuple[int, int, int]:
        """Return the holders' lendable level, refill per ms and cap."""
        level, rate, cap = 0, 0, 0
        for holder in table.holders(account.customer_id):
            if self._may_ask(holder, now_ms):
                share = table.share(holder, customer)
                level += available(account, holder, share, now_ms)
                rate += share.rate
                cap += share.cap
        return level, rate, cap

    def match_reply(
        self, reply: BorrowReply, now_ms: int
    ) -> tuple[tuple[CustomerId, Chunk | None, VmId, int, int], ...]:
        """Return for each ask: customer, chunk, holder, level left, amount."""
        sent = self._sent.pop(reply.number, None)
        if sent is None or reply.nonce != self._nonce:
            return ()
        # The lender starts the lifetime later, so counting it from the sending of
        # the request is safe.
        expires_ms = sent.sent_ms + CHUNK_LIFETIME_MS
        taken = []
        for ask, grant in zip(sent.asks, reply.grants, strict=True):
            chunk = None
            if grant.amount > 0 and expires_ms > now_ms:
                chunk = Chunk(
                    grant.chunk_id,
                    sent.to,
                    expires_ms,
                    grant.amount,
                    grant.amount,
                )
            taken.append(
                (ask.customer_id, chunk, sent.to, grant.level_left, ask.amount)
            )
        return tuple(taken)

    def handle_failure(self, number: int, now_ms: int) -> tuple[Ask, ...]:
        """Start the back-off of a silent holder; return the failed asks."""
        sent = self._sent.pop(number, None)
        if sent is None:
            return ()
        self._backoff_until_ms[sent.to] = now_ms + _BACKOFF_MS
        return sent.asks

    def end_chunk(self, customer_id: CustomerId, chunk: Chunk) -> None:
        """Return the remainder of a chunk that this VM gives up."""
        refund = chunk.left
        chunk.left = 0
        self.queue_report(customer_id, chunk, refund)

    def queue_report(
        self, customer_id: CustomerId, chunk: Chunk, refund: int
    ) -> None:
        """Queue a report to the lender: left to spend, refunded and used."""
        key = (chunk.lender, chunk.chunk_id)
        returned, used = self._totals.pop(key, (0, 0))
        totals = (returned + refund, used + chunk.used)
        chunk.used = 0
        chunk.reported = chunk.left
        self._totals[key] = totals
        # Dropping the oldest totals is safe: totals that restart at zero only lose
        # tokens.
        if len(self._totals) > _MAX_KEPT_TOTALS:
            self._totals.pop(next(iter(self._totals)))
        # A newer report of the same chunk replaces the older one.
        reports = self._returns.setdefault(chunk.lender, {})
        reports[chunk.chunk_id] = Returned(
            customer_id, chunk.chunk_id, chunk.left, *totals
        )

    def drop_in_flight(self) -> None:
        """Drop asks in flight; after a freeze their replies may be of any age."""
        self._sent.clear()
        self._asks.clear()

    def take_actions(self, now_ms: int) -> list[Action]:
        """Return one request for each holder that is to be asked."""
        actions: list[Action] = []
        for to, asks in self._asks.items():
            self._last_number += 1
            number = self._last_number
            self._sent[number] = _Sent(to, now_ms, tuple(asks))
            request = BorrowRequest(
                self._vm_id, self._nonce, number, tuple(asks)
            )
            actions.append(SendBorrow(to, request))
        self._asks.clear()
        return actions

    def drain_returns(
        self, now_ms: int, at_once: bool = False
    ) -> list[SendReturn]:
        """Return one message for each holder with reports, if they are due."""
        if now_ms < self._returns_due_ms and not at_once:
            return []
        self._returns_due_ms = now_ms + _RETURN_PERIOD_MS
        returns = [
            SendReturn(to, ReturnRequest(self._vm_id, tuple(items.values())))
            for to, items in self._returns.items()
        ]
        self._returns.clear()
        return returns

    def _rank(
        self,
        account: Account,
        customer: Customer,
        table: ShareTable,
        now_ms: int,
    ) -> list[tuple[int, bool, VmId, int]]:
        own_region = table.region_of(self._vm_id)
        ranked = []
        for holder in table.holders(account.customer_id):
            if not self._may_ask(holder, now_ms):
                continue
            share = table.share(holder, customer)
            level = available(account, holder, share, now_ms)
            fullness = level * _FULLNESS_STEPS // max(share.cap, 1)
            is_remote = table.region_of(holder) != own_region
            ranked.append((-fullness, is_remote, holder, level))
        return sorted(ranked)

    def _may_ask(self, holder: VmId, now_ms: int) -> bool:
        if holder == self._vm_id:
            return False
        return self._backoff_until_ms.get(holder, now_ms) <= now_ms

    def _ask_all(
        self, account: Account, chosen: dict[VmId, int], need: int, now_ms: int
    ) -> None:
        total = sum(chosen.values())
        wanted = min(need, total)
        for holder, level in chosen.items():
            amount = -(-wanted * level // total)
            ask = Ask(account.customer_id, amount)
            self._asks.setdefault(holder, []).append(ask)
            account.asked += amount
            account.note_level(holder, level - amount, now_ms)


def available(account: Account, holder: VmId, share: Share, now_ms: int) -> int:
    """Estimate a holder's level; one without an estimate may be full."""
    known = account.estimates.get(holder)
    if known is None:
        return share.cap
    refilled = known.level + share.rate * (now_ms - known.at_ms)
    return max(0, min(share.cap, refilled))
